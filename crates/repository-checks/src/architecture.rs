//! References from a page of documentation to source code.
//!
//! A reference is a code span that begins with `crates/`: a file or folder, or a file and a function
//! in it, written `crates/core/src/lib.rs::function`.

use std::fs;
use std::path::Path;

/// A file, and possibly a function in it, that a page names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reference {
    /// The path below the repository's root.
    pub path: String,
    /// The function's name without its type.
    pub function: Option<String>,
}

/// All references of a page, in order.
pub fn parse_references(page: &str) -> Vec<Reference> {
    // Code spans are the odd parts between backticks.
    let spans = page.split('`').skip(1).step_by(2);
    let source_spans = spans.filter(|span| span.starts_with("crates/"));
    source_spans.map(parse_reference).collect()
}

fn parse_reference(span: &str) -> Reference {
    match span.split_once("::") {
        Some((path, function)) => Reference {
            path: path.to_owned(),
            function: Some(function.to_owned()),
        },
        None => Reference {
            path: span.to_owned(),
            function: None,
        },
    }
}

/// What is missing of a reference below `root`; nothing if all of it exists.
pub fn missing_target(root: &Path, reference: &Reference) -> Option<String> {
    let path = root.join(&reference.path);
    let Some(function) = &reference.function else {
        return (!path.exists()).then(|| format!("{}: no such file", reference.path));
    };
    let Ok(text) = fs::read_to_string(&path) else {
        return Some(format!("{}: no such file", reference.path));
    };
    let definitions = ["(", "<"].map(|end| format!("fn {function}{end}"));
    let found = definitions
        .iter()
        .any(|definition| text.contains(definition));
    (!found).then(|| format!("{}: no function {function}", reference.path))
}
