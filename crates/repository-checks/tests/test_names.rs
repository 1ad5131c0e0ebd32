//! Every test of commit 5f02f56 exists: none was dropped when code and tests were renamed for
//! readability.

use pipitlever_repository_checks::root;
use pipitlever_repository_checks::test_names::{
    find_tests, missing_tests, parse_pairs, test_functions, TestNames,
};
use std::collections::{BTreeMap, BTreeSet};
use std::fs;

/// The file with the tests of commit 5f02f56, one `PACKAGE FUNCTION` per line.
const EARLIER_TESTS: &str = "5f02f56.txt";

#[test]
fn every_test_of_the_earlier_commit_exists() {
    let folder = root().join("docs/renamed-tests");
    let earlier = parse_pairs(&fs::read_to_string(folder.join(EARLIER_TESTS)).unwrap());
    assert!(
        earlier.len() > 480,
        "{EARLIER_TESTS} is truncated: {} tests",
        earlier.len()
    );
    let mut renamed = BTreeMap::new();
    for entry in fs::read_dir(&folder).unwrap() {
        let path = entry.unwrap().path();
        let package = path.file_stem().unwrap().to_str().unwrap().to_owned();
        renamed.insert(package, parse_pairs(&fs::read_to_string(&path).unwrap()));
    }
    let current = find_tests(&root().join("crates")).unwrap();
    let missing = missing_tests(&earlier, &renamed, &current);
    assert!(missing.is_empty(), "{missing:#?}");
}

#[test]
fn a_dropped_test_and_a_shared_new_name_are_reported() {
    let text = "#[test]\nfn kept() {}\nfn helper() {}\n#[test]\n// why\nfn new() {}\n";
    let current = TestNames::from([("core".into(), BTreeSet::from_iter(test_functions(text)))]);
    assert_eq!(current["core"].iter().collect::<Vec<_>>(), ["kept", "new"]);
    let earlier = parse_pairs("core kept\ncore old\ncore older\ncore dropped\n");
    let renames = parse_pairs("old new\nolder new\nnot a pair\n");
    let missing = missing_tests(
        &earlier,
        &BTreeMap::from([("core".into(), renames)]),
        &current,
    );
    assert_eq!(missing.len(), 2, "{missing:?}");
    assert!(missing[0].contains("another test became new"));
    assert!(missing[1].contains("no test is called dropped"));
}
