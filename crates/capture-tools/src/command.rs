//! Parses the command line and runs the commands.

use crate::explain::{explain, RequestFilter};
use crate::source::ToolError;
use crate::{diff, export, replay, stats};
use lexopt::{Arg, Parser, ValueExt};
use pipitlever_capture::record::digest;
use std::path::{Path, PathBuf};

const HELP: &str = "\
pipitlever-capture: replays, explains and exports the captures of nodes

  pipitlever-capture replay PATH         check whether this build decides as recorded, up to the
                                         first difference
  pipitlever-capture replay --diff PATH  replay past differences and compare all decisions
  pipitlever-capture explain PATH FILTER...
                                         print the timelines of requests, selected by --ref REF,
                                         --key KEY, --key-digest DIGEST, --sender N, --refused or
                                         --failed; at most --most N of them (default 20)
  pipitlever-capture stats PATH          print outcomes and durations by class and second
  pipitlever-capture export PATH --parquet FILE
                                         write a row for each request to FILE, and a row for each
                                         step to a second file, named after FILE with -steps
  pipitlever-capture digest KEY          print the digest that captures contain for a key
  pipitlever-capture version, help       print the version, print this text

PATH is a capture file, or a folder with the segments of any number of nodes. --json prints JSON.

Exit codes: 0 success (identical, found or written); 1 different, or no such request; 2 a capture
can't be read; 3 the command line is wrong, or a file can't be written.
";
/// The number of requests that `explain` prints unless `--most` is given.
const DEFAULT_LIMIT: usize = 20;

/// The exit code of the program.
#[derive(Clone, Copy)]
enum Exit {
    /// Identical, found or written.
    Success = 0,
    /// Different, or no such request.
    Negative = 1,
    /// A capture can't be read.
    Unreadable = 2,
    /// The command line is wrong, or a file can't be written.
    Usage = 3,
}

/// The arguments of the command line.
#[derive(Default)]
struct Arguments {
    command: Option<String>,
    operands: Vec<String>,
    as_json: bool,
    with_diff: bool,
    parquet: Option<PathBuf>,
    filter: RequestFilter,
    /// Whether the command line has a criterion of the filter.
    has_filter: bool,
}

fn parse_hex(text: &str) -> Result<u64, String> {
    u64::from_str_radix(text, 16).map_err(|_| format!("'{text}' is not a hexadecimal number"))
}

fn parse(mut parser: Parser) -> Result<Arguments, lexopt::Error> {
    let mut arguments = Arguments::default();
    let filter = &mut arguments.filter;
    filter.limit = DEFAULT_LIMIT;
    while let Some(argument) = parser.next()? {
        arguments.has_filter |= matches!(
            argument,
            Arg::Long("ref" | "key" | "key-digest" | "sender" | "refused" | "failed")
        );
        match argument {
            Arg::Long("json") => arguments.as_json = true,
            Arg::Long("diff") => arguments.with_diff = true,
            Arg::Long("parquet") => arguments.parquet = Some(parser.value()?.into()),
            Arg::Long("ref") => filter.reference = Some(parse_hex(&parser.value()?.string()?)?),
            Arg::Long("key") => filter.key_digest = Some(digest(&parser.value()?.string()?)),
            Arg::Long("key-digest") => {
                filter.key_digest = Some(parse_hex(&parser.value()?.string()?)?);
            }
            Arg::Long("sender") => filter.sender = Some(parser.value()?.parse()?),
            Arg::Long("most") => filter.limit = parser.value()?.parse()?,
            Arg::Long("refused") => filter.is_rejected = true,
            Arg::Long("failed") => filter.is_failed = true,
            Arg::Long("help") | Arg::Short('h') => arguments.command = Some("help".into()),
            Arg::Long("version") | Arg::Short('V') => arguments.command = Some("version".into()),
            Arg::Value(value) if arguments.command.is_none() => {
                arguments.command = Some(value.string()?);
            }
            Arg::Value(value) => arguments.operands.push(value.string()?),
            other => return Err(other.unexpected()),
        }
    }
    Ok(arguments)
}

/// Hides the panic messages of the admission controller, recognized by its source folder
/// `src/policy/`. A capture that no node wrote can make the controller panic; the replay catches
/// the panic and reports damage.
fn hide_controller_panics() {
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        let is_controller = info
            .location()
            .is_some_and(|location| location.file().contains("src/policy/"));
        if !is_controller {
            default_hook(info);
        }
    }));
}

/// Runs the command of the command line and returns the exit code.
pub fn run() -> u8 {
    hide_controller_panics();
    let exit = match parse(Parser::from_env()) {
        Ok(arguments) => run_command(&arguments),
        Err(error) => usage_error(&error.to_string()),
    };
    exit as u8
}

fn run_command(arguments: &Arguments) -> Exit {
    let command = arguments.command.as_deref().unwrap_or("help");
    match (command, &arguments.operands[..]) {
        ("help", []) => {
            print!("{HELP}");
            Exit::Success
        }
        ("version", []) => {
            println!("pipitlever-capture {}", env!("CARGO_PKG_VERSION"));
            Exit::Success
        }
        ("digest", [key]) => {
            print_digest(key, arguments.as_json);
            Exit::Success
        }
        ("replay" | "explain" | "stats" | "export", [path]) => {
            run_on_capture(command, path.as_ref(), arguments)
        }
        ("replay" | "explain" | "stats" | "export", _) => {
            usage_error(&format!("{command}: exactly one PATH is required"))
        }
        _ => usage_error(&format!("no command '{command}', or wrong operands for it")),
    }
}

fn print_digest(key: &str, as_json: bool) {
    let digest = format!("{:016x}", digest(key));
    if as_json {
        println!("{}", serde_json::json!({ "digest": digest }));
    } else {
        println!("{digest}");
    }
}

fn run_on_capture(command: &str, path: &Path, arguments: &Arguments) -> Exit {
    let as_json = arguments.as_json;
    let result = match command {
        "replay" if arguments.with_diff => diff::diff(path, as_json),
        "replay" => replay::replay(path, as_json),
        "stats" => stats::stats(path, as_json).map(|()| true),
        "explain" if arguments.has_filter => explain(path, &arguments.filter, as_json),
        "explain" => return usage_error(
            "explain: a filter is required: --ref, --key, --key-digest, --sender, --refused or \
                 --failed",
        ),
        _ => match &arguments.parquet {
            Some(file) => export::export(path, file, as_json).map(|()| true),
            None => return usage_error("export: an output file is required: --parquet FILE"),
        },
    };
    match result {
        Ok(true) => Exit::Success,
        Ok(false) => Exit::Negative,
        Err(error) => {
            eprintln!("pipitlever-capture: {error}");
            match error {
                ToolError::Output(..) => Exit::Usage,
                _ => Exit::Unreadable,
            }
        }
    }
}

fn usage_error(message: &str) -> Exit {
    eprintln!("pipitlever-capture: {message}; see 'pipitlever-capture help'");
    Exit::Usage
}
