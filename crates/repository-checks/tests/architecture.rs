//! `docs/architecture.md` names only files and functions that exist.

use pipitlever_repository_checks::architecture::{missing_target, parse_references, Reference};
use pipitlever_repository_checks::root;

#[test]
fn every_reference_of_the_architecture_page_exists() {
    let page = std::fs::read_to_string(root().join("docs/architecture.md")).unwrap();
    let references = parse_references(&page);
    assert!(
        references.len() > 20,
        "the page has only {} references to source code",
        references.len()
    );
    assert!(references.iter().any(|r| r.function.is_some()));
    let missing: Vec<String> = references
        .iter()
        .filter_map(|r| missing_target(&root(), r))
        .collect();
    assert!(missing.is_empty(), "{missing:#?}");
}

#[test]
fn missing_files_and_functions_are_reported() {
    let page = "`crates/none`, `other/file.rs`, `crates/repository-checks/src/lib.rs::root`, \
                `crates/repository-checks/src/lib.rs::roots`";
    let found = parse_references(page);
    let reference = |path: &str, function: Option<&str>| Reference {
        path: path.into(),
        function: function.map(str::to_owned),
    };
    let file = "crates/repository-checks/src/lib.rs";
    let expected = [
        reference("crates/none", None),
        reference(file, Some("root")),
        reference(file, Some("roots")),
    ];
    assert_eq!(found, expected);
    let results: Vec<_> = found.iter().map(|r| missing_target(&root(), r)).collect();
    assert_eq!(results[0].as_deref(), Some("crates/none: no such file"));
    assert_eq!(results[1], None);
    assert!(results[2].as_ref().unwrap().ends_with("no function roots"));
}
