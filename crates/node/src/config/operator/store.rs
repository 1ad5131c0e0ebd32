//! `[store]`: the idempotency store.

use super::error::{within, FileError};
use serde::Deserialize;
use std::path::PathBuf;
use toml::Spanned;

/// Largest store, in MB: all of it is read at the start.
const MAX_STORE_MB: f64 = 4096.0;
/// Smallest store, in MB.
const MIN_STORE_MB: f64 = 0.25;
/// Bytes in a MB.
const MEGABYTE: f64 = 1_048_576.0;

/// How the node starts if the store is damaged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OnDamage {
    /// Keyed requests are rejected for one window; all others are served.
    #[default]
    Refuse,
    /// The process ends.
    Stop,
}

/// Which records are synced together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Sync {
    /// All records that are waiting (group commit).
    #[default]
    Group,
    /// Each record by itself.
    Each,
}

/// When a keyed request with a result is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Answers {
    /// When the run ends.
    #[default]
    AtOnce,
    /// When the outcome is on the disk.
    Durable,
}

/// How a request with a new key is handled if the store is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
enum WhenFull {
    /// The request is rejected.
    #[default]
    Refuse,
}

/// The settings of the store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreSettings {
    /// The folder; created if it does not exist.
    pub folder: PathBuf,
    /// Maximum size, in bytes.
    pub capacity_bytes: u64,
    /// Whether each record is synced by itself.
    pub sync_each_record: bool,
    /// Whether answers with a result are delayed until the result is on the disk.
    pub answer_when_durable: bool,
    /// How the node starts if the store is damaged.
    pub on_damage: OnDamage,
}

/// The section `[store]`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSection {
    folder: Spanned<PathBuf>,
    max_mb: Spanned<f64>,
    #[serde(default)]
    sync: Sync,
    #[serde(default)]
    answers: Answers,
    /// Read only to reject other values: there is one so far.
    #[serde(default, rename = "when_full")]
    _when_full: WhenFull,
    #[serde(default)]
    on_damage: OnDamage,
}

impl StoreSection {
    /// Checks the values.
    pub fn read(self, text: &str) -> Result<StoreSettings, FileError> {
        let folder = non_empty_folder(text, self.folder)?;
        let range = [MIN_STORE_MB, MAX_STORE_MB];
        let max_mb = within(text, "max_mb", Some(self.max_mb), 0.0, range)?;
        Ok(StoreSettings {
            folder,
            capacity_bytes: (max_mb * MEGABYTE) as u64,
            sync_each_record: self.sync == Sync::Each,
            answer_when_durable: self.answers == Answers::Durable,
            on_damage: self.on_damage,
        })
    }
}

/// A folder whose name is not empty.
pub fn non_empty_folder(text: &str, folder: Spanned<PathBuf>) -> Result<PathBuf, FileError> {
    if folder.get_ref().as_os_str().is_empty() {
        return Err(FileError::at(text, folder.span().start, "folder is empty"));
    }
    Ok(folder.into_inner())
}
