//! `pipitlever import`: converts configuration files of other programs, and prints the sections of
//! the operator file.

use crate::cli::import::Import;

/// Exit code of an import that could not convert everything.
const INCOMPLETE: u8 = 3;

/// Converts the files and prints the result; returns the exit code.
pub fn run(files: &[String]) -> Result<u8, String> {
    let mut import = Import::default();
    for path in files {
        let bytes = std::fs::read(path).map_err(|e| format!("{path}: {e}"))?;
        let text = String::from_utf8(bytes).map_err(|e| {
            let valid = &e.as_bytes()[..e.utf8_error().valid_up_to()];
            let line = valid.iter().filter(|byte| **byte == b'\n').count() + 1;
            format!("{path}:{line}: not UTF-8")
        })?;
        import.read(path, &text);
    }
    print!("{}", import.render()?);
    for note in &import.notes {
        eprintln!("{note}");
    }
    Ok(if import.notes.is_empty() {
        0
    } else {
        INCOMPLETE
    })
}
