//! Configuration files of mod_jk and Apache, each with the operator's file that `pipitlever import`
//! generates from it and the messages that the command prints.
//!
//! `node/tests/import/NAME` is the input, `NAME.toml` the output, `NAME.said` the exit code (first
//! line) and standard error. `PIPITLEVER_RECORD=1 cargo test -p pipitlever-node --test import`
//! writes the expected files again; review them before they are committed.

use std::path::{Path, PathBuf};
use std::process::Command;

fn samples() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/import");
    let all = std::fs::read_dir(folder)
        .unwrap()
        .map(|e| e.unwrap().path());
    let input = |p: &PathBuf| {
        p.extension()
            .is_some_and(|e| e == "properties" || e == "conf")
    };
    let mut all: Vec<PathBuf> = all.filter(input).collect();
    all.sort();
    all
}

#[test]
fn each_sample_gives_the_expected_files() {
    let samples = samples();
    assert!(samples.len() >= 30);
    let mut incomplete = 0;
    for path in samples {
        let name = path.file_name().unwrap().to_str().unwrap();
        let output = Command::new(env!("CARGO_BIN_EXE_pipitlever"))
            .current_dir(path.parent().unwrap())
            .args(["import", name])
            .output()
            .unwrap();
        let code = output.status.code().expect("no signal");
        incomplete += usize::from(code == 3);
        let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
        let outputs = [
            text(output.stdout),
            format!("{code}\n{}", text(output.stderr)),
        ];
        for (output, extension) in outputs.into_iter().zip(["toml", "said"]) {
            let expected_path = path.with_file_name(format!("{name}.{extension}"));
            if std::env::var_os("PIPITLEVER_RECORD").is_some() {
                std::fs::write(&expected_path, &output).unwrap();
            }
            let expected = std::fs::read_to_string(&expected_path).unwrap_or_default();
            assert_eq!(output, expected, "{name}.{extension}");
        }
    }
    assert!(
        incomplete >= 10,
        "only {incomplete} samples cannot be imported completely"
    );
}

/// Randomly altered input never causes a panic; messages are printed exactly when the import is
/// incomplete.
#[test]
fn randomly_altered_files_cause_no_panics() {
    let inputs: Vec<Vec<u8>> = samples()
        .iter()
        .map(|p| std::fs::read(p).unwrap())
        .collect();
    // splitmix64 with a fixed seed: the same alterations on every run.
    let mut seed = 20_260u64;
    let mut next = |below: usize| {
        seed = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (seed ^ (seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        ((z ^ (z >> 27)) % below.max(1) as u64) as usize
    };
    let folder = std::env::temp_dir().join(format!("pipitlever-{}-altered", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    for round in 0..60 {
        let mut arguments = vec!["import".to_owned()];
        // Several files per process: starting it takes longer than all of its work.
        for file in 0..20 {
            let mut bytes = inputs[next(inputs.len())].clone();
            for _ in 0..1 + next(6) {
                let at = next(bytes.len() + 1);
                match next(4) {
                    0 => bytes.insert(at, b"\\\"=.<>! \n\t#,0"[next(13)]),
                    1 => bytes.truncate(at),
                    2 => drop(
                        bytes.splice(at..at, inputs[next(inputs.len())].iter().copied().take(30)),
                    ),
                    _ if at < bytes.len() => bytes[at] = next(128) as u8,
                    _ => {}
                }
            }
            let extension = ["conf", "properties"][next(2)];
            let path = folder.join(format!("{round}-{file}.{extension}"));
            std::fs::write(&path, &bytes).unwrap();
            arguments.push(path.to_str().unwrap().to_owned());
        }
        let output = Command::new(env!("CARGO_BIN_EXE_pipitlever"))
            .args(&arguments)
            .output()
            .unwrap();
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            matches!(output.status.code(), Some(0 | 3)),
            "{:?} {errors}",
            output.status
        );
        assert_eq!(output.status.code() == Some(3), !errors.is_empty());
    }
    std::fs::remove_dir_all(&folder).unwrap();
}
