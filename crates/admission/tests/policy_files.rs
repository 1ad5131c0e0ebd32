//! The source files of the policy: their size, and their entries in the deploy file.

use std::fs;

const POLICY_FOLDER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/src/policy");
const MAX_LINES: usize = 400;
const MAX_LINE_WIDTH: usize = 100;
/// A lower number means that the folder was moved or that files were merged.
const MIN_FILES: usize = 6;

/// The limits apply to each decision module; a former limit of 950 lines on their total was lifted.
/// The deploy file has to list each module as policy.
#[test]
fn decision_modules_are_small_and_listed_as_policy() {
    let deploy = include_str!("../../../deploy/balancer.toml");
    let mut files = 0;
    for file in fs::read_dir(POLICY_FOLDER).unwrap() {
        let path = file.unwrap().path();
        let name = path.file_name().unwrap().to_str().unwrap().to_string();
        let listed = format!("\"crates/admission/src/policy/{name}\"");
        assert!(
            deploy.contains(&listed),
            "{name} is not listed under policy"
        );
        let text = fs::read_to_string(&path).unwrap();
        assert!(text.lines().count() <= MAX_LINES, "{name}");
        let is_narrow = |line: &str| line.chars().count() <= MAX_LINE_WIDTH;
        assert!(text.lines().all(is_narrow), "{name}");
        files += 1;
    }
    assert!(files >= MIN_FILES);
}
