//! Errors of the adapter. Each ends the process.

use crate::input::ItemKind;
use pipitlever_settings::SettingsError;
use std::io;

/// Why a batch could not be answered.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// Standard input could not be read.
    #[error("reading standard input: {0}")]
    Read(io::Error),
    /// Standard output could not be written.
    #[error("writing standard output: {0}")]
    Write(io::Error),
    /// The line is no valid batch.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The settings of a new instance cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An item refers to an instance that is not running.
    #[error("no instance {0}")]
    UnknownInstance(String),
    /// A request has a class that the settings do not define.
    #[error("no class {0}")]
    UnknownClass(String),
    /// An item lacks a field that its kind requires.
    #[error("no {field} in {kind:?}")]
    MissingField {
        /// The kind of the item.
        kind: ItemKind,
        /// The simulator's name of the field.
        field: &'static str,
    },
    /// An item that starts or ends an instance was converted to an event.
    #[error("{0:?} is not an event of a running instance")]
    NotAnEvent(ItemKind),
}
