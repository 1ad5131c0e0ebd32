//! Files of mod_jk and Apache, each with the operator's file that it becomes and what is said of
//! it.
//!
//! `node/tests/import/NAME` is the input, `NAME.toml` the output, `NAME.said` what stands on
//! standard error, the code in its first line. `PIPITLEVER_RECORD=1 cargo test -p pipitlever-node
//! --test import` writes them anew, to be read before they are committed.

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
fn each_sample_becomes_what_stands_beside_it() {
    let samples = samples();
    assert!(samples.len() >= 30);
    let mut partly = 0;
    for path in samples {
        let name = path.file_name().unwrap().to_str().unwrap();
        let output = Command::new(env!("CARGO_BIN_EXE_pipitlever"))
            .current_dir(path.parent().unwrap())
            .args(["import", name])
            .output()
            .unwrap();
        let code = output.status.code().expect("no signal");
        partly += usize::from(code == 3);
        let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
        let told = [
            text(output.stdout),
            format!("{code}\n{}", text(output.stderr)),
        ];
        for (told, end) in told.into_iter().zip(["toml", "said"]) {
            let beside = path.with_file_name(format!("{name}.{end}"));
            if std::env::var_os("PIPITLEVER_RECORD").is_some() {
                std::fs::write(&beside, &told).unwrap();
            }
            let wanted = std::fs::read_to_string(&beside).unwrap_or_default();
            assert_eq!(told, wanted, "{name}.{end}");
        }
    }
    assert!(partly >= 10, "a third of them can't be carried over whole");
}

/// Whatever the bytes: no panic and no silence, but a file, a report or an error.
#[test]
fn bytes_that_nobody_wrote_do_no_harm() {
    let inputs: Vec<Vec<u8>> = samples()
        .iter()
        .map(|p| std::fs::read(p).unwrap())
        .collect();
    // splitmix64: the same changes on every run.
    let mut seed = 20_260u64;
    let mut next = |below: usize| {
        seed = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (seed ^ (seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        ((z ^ (z >> 27)) % below.max(1) as u64) as usize
    };
    let folder = std::env::temp_dir().join(format!("pipitlever-{}-spoilt", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    for round in 0..60 {
        let mut arguments = vec!["import".to_owned()];
        // Some at once: each start of the program takes longer than all of its work.
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
            let end = ["conf", "properties"][next(2)];
            let path = folder.join(format!("{round}-{file}.{end}"));
            std::fs::write(&path, &bytes).unwrap();
            arguments.push(path.to_str().unwrap().to_owned());
        }
        let output = Command::new(env!("CARGO_BIN_EXE_pipitlever"))
            .args(&arguments)
            .output()
            .unwrap();
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            matches!(output.status.code(), Some(0 | 3)),
            "{:?} {said}",
            output.status
        );
        assert_eq!(output.status.code() == Some(3), !said.is_empty());
    }
    std::fs::remove_dir_all(&folder).unwrap();
}
