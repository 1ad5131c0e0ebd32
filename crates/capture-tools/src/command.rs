//! The command line.

use crate::explain::{explain, RequestFilter};
use crate::source::ToolError;
use crate::{diff, export, replay, stats};
use lexopt::prelude::*;
use pipitlever_capture::record::digest;
use std::path::PathBuf;

const HELP: &str = "\
pipitlever-capture: tools for what a node has captured

  pipitlever-capture replay PATH            feed a capture to this build's module; is every action the same?
  pipitlever-capture replay --diff PATH     go on past differences: what would this build have done otherwise?
  pipitlever-capture explain PATH WHICH...  the story of requests: --ref REF, --key KEY, --key-digest DIGEST,
                                        --sender N, --refused, --failed; --most N of them (20)
  pipitlever-capture stats PATH             outcomes and times by class and second
  pipitlever-capture export PATH --parquet FILE
                                        a row a request into FILE, a row a step into FILE's name with -steps
  pipitlever-capture digest KEY             what captures call a key
  pipitlever-capture version, help          as they say

PATH is a capture's file, or a folder with the segments of any number of nodes. --json prints JSON.

It ends with 0 when all is well (identical; found; written), 1 when it isn't (different; no such request), 2 when
a capture can't be read, 3 when the command line is wrong or a file can't be written.
";

/// What was asked for.
#[derive(Default)]
struct Asked {
    verb: Option<String>,
    words: Vec<String>,
    json: bool,
    diff: bool,
    parquet: Option<PathBuf>,
    filter: RequestFilter,
    which: bool,
}

fn parse(mut parser: lexopt::Parser) -> Result<Asked, lexopt::Error> {
    let mut asked = Asked {
        filter: RequestFilter {
            limit: 20,
            ..RequestFilter::default()
        },
        ..Asked::default()
    };
    let hex =
        |text: String| u64::from_str_radix(&text, 16).map_err(|_| format!("{text} is not hex"));
    while let Some(arg) = parser.next()? {
        asked.which |= matches!(
            arg,
            Long("ref" | "key" | "key-digest" | "sender" | "refused" | "failed")
        );
        match arg {
            Long("json") => asked.json = true,
            Long("diff") => asked.diff = true,
            Long("parquet") => asked.parquet = Some(parser.value()?.into()),
            Long("ref") => asked.filter.reference = Some(hex(parser.value()?.string()?)?),
            Long("key") => asked.filter.key_digest = Some(digest(&parser.value()?.string()?)),
            Long("key-digest") => asked.filter.key_digest = Some(hex(parser.value()?.string()?)?),
            Long("sender") => asked.filter.sender = Some(parser.value()?.parse()?),
            Long("most") => asked.filter.limit = parser.value()?.parse()?,
            Long("refused") => asked.filter.is_rejected = true,
            Long("failed") => asked.filter.is_failed = true,
            Long("help") | Short('h') => asked.verb = Some("help".into()),
            Long("version") | Short('V') => asked.verb = Some("version".into()),
            Value(word) if asked.verb.is_none() => asked.verb = Some(word.string()?),
            Value(word) => asked.words.push(word.string()?),
            other => return Err(other.unexpected()),
        }
    }
    Ok(asked)
}

/// Does what the command line says; the code to end with.
pub fn run() -> u8 {
    // A capture that no node wrote may bring the module to a panic: it is caught, and told as
    // damage.
    let usual = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        let module = info
            .location()
            .is_some_and(|l| l.file().contains("src/policy/"));
        if !module {
            usual(info);
        }
    }));
    let asked = match parse(lexopt::Parser::from_env()) {
        Ok(asked) => asked,
        Err(error) => return wrong(&error.to_string()),
    };
    let verb = asked.verb.as_deref().unwrap_or("help");
    let done = match (verb, &asked.words[..]) {
        ("help", []) => {
            print!("{HELP}");
            return 0;
        }
        ("version", []) => {
            println!("pipitlever-capture {}", env!("CARGO_PKG_VERSION"));
            return 0;
        }
        ("digest", [key]) => {
            let digest = format!("{:016x}", digest(key));
            match asked.json {
                true => println!("{}", serde_json::json!({ "digest": digest })),
                false => println!("{digest}"),
            }
            return 0;
        }
        ("replay", [path]) if asked.diff => diff::diff(path.as_ref(), asked.json),
        ("replay", [path]) => replay::replay(path.as_ref(), asked.json),
        ("explain", [path]) if asked.which => explain(path.as_ref(), &asked.filter, asked.json),
        ("explain", [_]) => {
            return wrong("explain: which request? --ref, --key, --sender, --refused")
        }
        ("stats", [path]) => stats::stats(path.as_ref(), asked.json).map(|()| true),
        ("export", [path]) => match &asked.parquet {
            Some(file) => export::export(path.as_ref(), file, asked.json).map(|()| true),
            None => return wrong("export: where to? --parquet FILE"),
        },
        ("replay" | "explain" | "stats" | "export", _) => {
            return wrong(&format!("{verb}: one PATH"))
        }
        _ => return wrong(&format!("no command '{verb}'")),
    };
    match done {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(trouble) => {
            eprintln!("pipitlever-capture: {trouble}");
            if matches!(trouble, ToolError::Output(..)) {
                3
            } else {
                2
            }
        }
    }
}

fn wrong(what: &str) -> u8 {
    eprintln!("pipitlever-capture: {what}; see 'pipitlever-capture help'");
    3
}
