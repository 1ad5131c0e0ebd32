//! Checks of the repository itself, used by this package's tests.
//!
//! - [`architecture`]: the files and functions that `docs/architecture.md` names exist.
//! - [`test_names`]: every test of an earlier commit exists, under its old or its new name.

pub mod architecture;
pub mod test_names;

use std::path::{Path, PathBuf};

/// The root folder of the repository.
pub fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}
