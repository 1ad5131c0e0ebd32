//! References from a page of the documentation to source code.
//!
//! A reference is a code span that begins with `crates/`: a file or folder, or a file and a
//! function in it, written `crates/core/src/lib.rs::function`.

use std::fs;
use std::path::Path;

/// A reference to a file or folder, and possibly to a function in the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reference {
    /// The path below the repository's root.
    pub path: String,
    /// The function's name, without the type that defines it.
    pub function: Option<String>,
}

/// Returns all references of a page, in order.
pub fn parse_references(page: &str) -> Vec<Reference> {
    // Split at the backticks, every second part is a code span.
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

/// Describes the file or function of a reference that does not exist below `root`; `None` if both
/// exist.
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
