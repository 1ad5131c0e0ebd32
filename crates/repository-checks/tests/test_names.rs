//! No test of commit 5f02f56 was dropped when code and tests were renamed for readability.

use pipitlever_repository_checks::root;
use pipitlever_repository_checks::test_names::{find, lost, marked, pairs, TestNames};
use std::collections::{BTreeMap, BTreeSet};
use std::fs;

/// The tests of commit 5f02f56, a line each: package and function.
const BEFORE: &str = "5f02f56.txt";

#[test]
fn every_test_of_the_earlier_commit_is_still_there() {
    let folder = root().join("docs/renamed-tests");
    let before = pairs(&fs::read_to_string(folder.join(BEFORE)).unwrap());
    assert!(before.len() > 480, "the list is whole");
    let mut renamed = BTreeMap::new();
    for entry in fs::read_dir(&folder).unwrap() {
        let path = entry.unwrap().path();
        let package = path.file_stem().unwrap().to_str().unwrap().to_owned();
        renamed.insert(package, pairs(&fs::read_to_string(&path).unwrap()));
    }
    let now = find(&root().join("crates")).unwrap();
    let lost = lost(&before, &renamed, &now);
    assert!(lost.is_empty(), "{lost:#?}");
}

#[test]
fn a_dropped_test_and_a_shared_new_name_are_reported() {
    let text = "#[test]\nfn kept() {}\nfn helper() {}\n#[test]\n// why\nfn new() {}\n";
    let now = TestNames::from([("core".into(), BTreeSet::from_iter(marked(text)))]);
    assert_eq!(now["core"].iter().collect::<Vec<_>>(), ["kept", "new"]);
    let before = pairs("core kept\ncore old\ncore older\ncore dropped\n");
    let renames = pairs("old new\nolder new\nnot a pair\n");
    let lost = lost(&before, &BTreeMap::from([("core".into(), renames)]), &now);
    assert_eq!(lost.len(), 2, "{lost:?}");
    assert!(lost[0].contains("another test became new"));
    assert!(lost[1].contains("no test is called dropped"));
}
