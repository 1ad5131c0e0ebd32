//! Lists the workspace's tests by package and compares them with those of an earlier commit.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::{fs, io};

/// The functions marked `#[test]` of each package, by the package's folder below `crates/`.
pub type TestNames = BTreeMap<String, BTreeSet<String>>;

/// Finds the tests of all packages below a `crates/` folder.
///
/// # Errors
///
/// Fails if a folder or a source file cannot be read.
pub fn find_tests(crates: &Path) -> io::Result<TestNames> {
    let mut names = TestNames::new();
    for entry in fs::read_dir(crates)? {
        let entry = entry?;
        let package = entry.file_name().to_string_lossy().into_owned();
        let mut tests = BTreeSet::new();
        collect_tests(&entry.path(), &mut tests)?;
        names.insert(package, tests);
    }
    Ok(names)
}

fn collect_tests(folder: &Path, tests: &mut BTreeSet<String>) -> io::Result<()> {
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if path.is_dir() {
            collect_tests(&path, tests)?;
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            tests.extend(test_functions(&fs::read_to_string(&path)?));
        }
    }
    Ok(())
}

/// The names of the functions in a source text that are marked `#[test]`.
pub fn test_functions(source: &str) -> Vec<String> {
    let mut names = Vec::new();
    let mut is_marked = false;
    for line in source.lines().map(str::trim) {
        if line == "#[test]" {
            is_marked = true;
        } else if let Some(signature) = line.strip_prefix("fn ").filter(|_| is_marked) {
            let end = signature.find('(').unwrap_or(signature.len());
            names.push(signature[..end].to_owned());
            is_marked = false;
        }
    }
    names
}

/// Parses lines of two fields separated by white space; other lines are ignored.
pub fn parse_pairs(text: &str) -> Vec<(String, String)> {
    let parse_line = |line: &str| {
        let mut fields = line.split_whitespace();
        match (fields.next(), fields.next(), fields.next()) {
            (Some(first), Some(second), None) => Some((first.to_owned(), second.to_owned())),
            _ => None,
        }
    };
    text.lines().filter_map(parse_line).collect()
}

/// Describes each test of an earlier commit that no package has under its old or new name, and each
/// new name that two old tests of a package share.
///
/// `renamed` has pairs of old and new name for each package. A test may have moved to another
/// package.
pub fn missing_tests(
    earlier: &[(String, String)],
    renamed: &BTreeMap<String, Vec<(String, String)>>,
    current: &TestNames,
) -> Vec<String> {
    let all: BTreeSet<&String> = current.values().flatten().collect();
    let mut used = BTreeSet::new();
    let mut missing = Vec::new();
    for (package, old) in earlier {
        let list = renamed.get(package).map_or(&[][..], Vec::as_slice);
        let new = list.iter().find(|(from, _)| from == old);
        let name = new.map_or(old, |(_, to)| to);
        if !all.contains(name) {
            missing.push(format!("{package}: {old}: no test is called {name}"));
        } else if !used.insert((package, name)) {
            missing.push(format!("{package}: {old}: another test became {name}, too"));
        }
    }
    missing
}
