//! The cases of the second review. `cases NAME RECORD` plays a case and writes its record.
//!
//! Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run. `TROUBLE=0`
//! leaves the disruption out.

mod cases;
mod gateway;
mod node;
mod processor;
mod record;
mod settings;
mod wire;
mod worker;

use record::Record;
use std::path::{Path, PathBuf};
use std::process::exit;
use std::thread;
use std::time::Duration;

/// A case ends after this time at the latest, in seconds.
const LONGEST_CASE_S: u64 = 110;

/// What a case is given.
pub struct Case {
    pub record: Record,
    /// An empty folder, removed at the end.
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

/// The end of a case.
pub enum Verdict {
    Held,
    Broken(String),
    CouldNotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, path] = &arguments[..] else {
        eprintln!("usage: cases NAME RECORD");
        exit(2);
    };
    let record = Record::create(Path::new(path)).unwrap_or_else(|error| {
        eprintln!("{path}: {error}");
        exit(2);
    });
    let folder = std::env::temp_dir().join(format!("pipitlever-review-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&folder) {
        eprintln!("{}: {error}", folder.display());
        exit(2);
    }
    let (watching, watched) = (record.clone(), folder.clone());
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(LONGEST_CASE_S));
        watching.line("the case took too long");
        node::kill_all();
        let _ = std::fs::remove_dir_all(watched);
        exit(2);
    });
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let case = Case {
        record: record.clone(),
        folder: folder.clone(),
        has_trouble,
    };
    let verdict = std::panic::catch_unwind(|| cases::play(name, &case))
        .unwrap_or_else(|_| Verdict::CouldNotRun("the driver panicked".into()));
    node::kill_all();
    let _ = std::fs::remove_dir_all(&folder);
    let (status, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken(text) => (1, format!("the rule was broken: {text}")),
        Verdict::CouldNotRun(text) => (2, format!("the case could not run: {text}")),
    };
    record.line(text);
    exit(status);
}
