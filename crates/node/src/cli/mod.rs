//! The command line.

mod fleet;
mod import;
mod pools;
mod sessions;
mod store;

use crate::cli::import::Import;
use crate::cli::store::Task;
use crate::config::platform::Config;
use crate::lifecycle::serve;
use lexopt::prelude::*;

const HELP: &str = "\
pipitlever: a rota node

  pipitlever [serve] [--config FILE] [--operator FILE]
                       serve until SIGTERM; the configuration is EDGE_CONFIG's if not given; the uwsgi front and
                       the capture are off unless an operator's file like deploy/operator.toml has their sections
  pipitlever check [--config FILE] [--operator FILE]
                       read both files, say what they hold, and end
  pipitlever import FILE...
                       turn mod_jk's workers.properties and Apache's balancer sections into the operator's
                       file's, on standard output; what can't be carried over is named on standard error, and the
                       code is 3 (0: all of it was; 1: a file can't be read)
  pipitlever pools [--config FILE] [--operator FILE]
                       say what each pool of workers would do, and what is odd about it
  pipitlever store check|list|compact FOLDER [--json]
                       read a store that no node uses: whether all of it can be read, the keys within their
                       windows, or write these anew and drop the rest
  pipitlever fleet status --at DOOR [--json] [--watch]
                       the fleet as the node sees it that has this door (HOST:PORT); again at each change
  pipitlever fleet compare --at DOOR --at DOOR...
                       where the views of these nodes differ, and 1 if they do
  pipitlever fleet publish FILE --why WHY --at DOOR
                       have the fleet decide about a new version of the settings: JSON with \"settings\" as the platform
                       gives them, or \"operator\" with [uwsgi] and [[pool]] as text, at an elector's door
  pipitlever fleet close|accept-floor N --at DOOR
                       no node acts on a version below N; or: this node may act on N and what follows, where its
                       electors are lost
  pipitlever fleet sessions --at DOOR [--worker NAME] [--json]
                       where long-lived sessions live, as this node remembers them, and what has moved here and why
  pipitlever version   print the version
  pipitlever help      print this

SIGTERM drains and ends; SIGHUP reads both files again and takes over settings, classes, the addresses of
the other parties and the capture, all or nothing; SIGUSR1 prints the counters.
";

/// The code to end with when an import could not carry all over.
const PARTLY: u8 = 3;

/// Does what the command line says; the code to end with.
pub fn run() -> Result<u8, String> {
    let mut parser = lexopt::Parser::from_env();
    let mut verb = None;
    let mut operator = None;
    let mut files = Vec::new();
    let (mut json, mut watch, mut doors, mut why, mut worker) =
        (false, false, Vec::new(), None, None);
    let mut config = std::env::var("EDGE_CONFIG").ok();
    while let Some(arg) = parser.next().map_err(|e| e.to_string())? {
        match arg {
            Long("config") => {
                let value = parser.value().map_err(|e| e.to_string())?;
                config = Some(value.string().map_err(|e| e.to_string())?);
            }
            Long("uwsgi") => {
                return Err(
                    "--uwsgi is gone: put the file under [uwsgi] into one for --operator".into(),
                );
            }
            Long("operator") => {
                let value = parser.value().map_err(|e| e.to_string())?;
                operator = Some(value.string().map_err(|e| e.to_string())?);
            }
            Long("help") | Short('h') => verb = Some("help".to_owned()),
            Long("version") | Short('V') => verb = Some("version".to_owned()),
            Value(word) if verb.is_none() => verb = Some(word.string().map_err(|e| e.to_string())?),
            Long("json") if matches!(verb.as_deref(), Some("store" | "fleet")) => json = true,
            Long("why") if verb.as_deref() == Some("fleet") => {
                let value = parser.value().map_err(|e| e.to_string())?;
                why = Some(value.string().map_err(|e| e.to_string())?);
            }
            Long("worker") if verb.as_deref() == Some("fleet") => {
                let value = parser.value().map_err(|e| e.to_string())?;
                worker = Some(value.string().map_err(|e| e.to_string())?);
            }
            Long("watch") if verb.as_deref() == Some("fleet") => watch = true,
            Long("at") if verb.as_deref() == Some("fleet") => {
                let value = parser.value().map_err(|e| e.to_string())?;
                doors.push(value.string().map_err(|e| e.to_string())?);
            }
            Value(file) if matches!(verb.as_deref(), Some("import" | "store" | "fleet")) => {
                files.push(file.string().map_err(|e| e.to_string())?);
            }
            other => return Err(format!("{}; see 'pipitlever help'", other.unexpected())),
        }
    }
    let read =
        move |version: Option<&[u8]>| Config::load(config.as_deref(), operator.as_deref(), version);
    match verb.as_deref().unwrap_or("serve") {
        "serve" => serve(read(None)?, read).map(|()| 0),
        "check" => {
            let c = read(None)?;
            println!("name={} listen={} classes={}", c.name, c.listen, c.tuning.classes.join(","));
            println!("sockets={} memory_mb={}", c.sockets, c.memory_mb);
            println!("control={}", c.control.map_or("off".into(), |at| at.to_string()));
            let listen = c.tuning.uwsgi.listen.map_or("off".into(), |at| at.to_string());
            println!(
                "uwsgi={listen} workers={} routes={}",
                c.tuning.uwsgi.pools().iter().map(|p| p.members.len()).sum::<usize>(),
                c.tuning.uwsgi.routes.len()
            );
            let capture = c.capture.map_or("off".into(), |c| {
                let mb = |bytes: u64| bytes as f64 / 1048576.0;
                format!("{} segment_mb={} keep_mb={}", c.folder.display(), mb(c.segment), mb(c.keep))
            });
            println!("capture={capture}");
            let store = c.store.map_or("off".into(), |s| {
                let (place, mb) = (s.folder.display().to_string(), s.most as f64 / 1048576.0);
                format!("{place} max_mb={mb} each={} wait={}", s.each, s.wait)
            });
            println!("store={store}");
            let fleet = c.fleet.map_or("off".into(), |f| {
                let local = [f.bind, f.advertise].iter().chain(&f.seeds).all(|at| at.ip().is_loopback());
                let network = if local { "loopback" } else { "trusted (nothing is signed or secret)" };
                let seeds = f.seeds.len();
                format!(
                    "{} bind={} advertise={} seeds={seeds} network={network}",
                    f.name, f.bind, f.advertise
                )
            });
            println!("fleet={fleet}");
            Ok(0)
        }
        "import" if files.is_empty() => Err("import: no file named".into()),
        "import" => {
            let mut import = Import::default();
            for path in files {
                let bytes = std::fs::read(&path).map_err(|e| format!("{path}: {e}"))?;
                let text = String::from_utf8(bytes).map_err(|e| {
                    let before = &e.as_bytes()[..e.utf8_error().valid_up_to()];
                    let line = before.iter().filter(|b| **b == b'\n').count() + 1;
                    format!("{path}:{line}: no UTF-8")
                })?;
                import.read(&path, &text);
            }
            print!("{}", import.file()?);
            import.notes.iter().for_each(|note| eprintln!("{note}"));
            Ok(if import.notes.is_empty() { 0 } else { PARTLY })
        }
        "pools" => {
            pools::pools(&read(None)?.tuning.uwsgi).iter().for_each(|line| println!("{line}"));
            Ok(0)
        }
        "store" => match &files[..] {
            [task, folder] if Task::named(task).is_some() => {
                store::run(Task::named(task).expect("seen above"), folder, json).map(|()| 0)
            }
            _ => Err("store: say check, list or compact, and a folder".into()),
        },
        "fleet" => match (&files[..], &doors[..]) {
            ([task, file], [door]) if task == "publish" => fleet::publish(door, file, why.as_deref()),
            ([task, number], [door]) if task == "close" || task == "accept-floor" => {
                fleet::order(door, task, number)
            }
            ([task], [door]) if task == "sessions" => sessions::run(door, worker.as_deref(), json),
            ([task], [door]) if task == "status" => fleet::status(door, json, watch),
            ([task], [_, _, ..]) if task == "compare" => fleet::compare(&doors),
            _ => Err("fleet: say publish FILE --why WHY --at DOOR, close N or accept-floor N, status or sessions and --at DOOR, or compare and --at for two doors or more".into()),
        },
        "version" => {
            println!("pipitlever {}", env!("CARGO_PKG_VERSION"));
            Ok(0)
        }
        "help" => {
            print!("{HELP}");
            Ok(0)
        }
        word => Err(format!("no command '{word}'; see 'pipitlever help'")),
    }
}
