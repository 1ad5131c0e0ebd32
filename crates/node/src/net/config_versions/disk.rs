//! Files of a node's config versions: the acceptor's state and the active version.
//!
//! Each write replaces a whole file: the new content is written and synced under a temporary name
//! and renamed, and the folder is synced. After a crash the file has either the old or the new
//! content. A thread of its own writes, so that no request waits for the disk.

use crate::supervision::ThreadSentinel;
use async_channel::{Receiver, Sender};
use pipitlever_config_versions::acceptor::AcceptorState;
use pipitlever_config_versions::file_format::{decode, encode, ReadError};
use pipitlever_config_versions::minimum_version::StoredVersion;
use std::fs::{self, File};
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;

#[cfg(test)]
mod tests;

/// Name of the file with the acceptor's state.
pub const ACCEPTOR_FILE: &str = "elector";
/// Name of the file with the minimum version and the active version.
pub const ACTIVE_FILE: &str = "acting";

/// Why a file could not be read or written.
#[derive(Debug, Error)]
pub enum DiskError {
    /// The system's error.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The file is damaged.
    #[error("{}: {source}", path.display())]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Position and kind of the damage.
        source: ReadError,
    },
    /// The writer thread could not be started.
    #[error("versions: could not start the writer thread: {0}")]
    NoThread(io::Error),
    /// The writer thread has ended.
    #[error("the writer thread of config versions has ended")]
    ThreadEnded,
}

/// A file to be written.
pub enum DiskWrite {
    /// The acceptor's state, and the number of the write.
    Acceptor(Box<AcceptorState>, u64),
    /// A version that is about to be activated.
    Active(StoredVersion),
}

/// The result of a write.
pub enum DiskWriteResult {
    /// The write of the acceptor's state with this number.
    Acceptor(u64, Result<(), DiskError>),
    /// The write of a version, with the minimum version that is on the disk.
    Active(Result<u64, DiskError>),
}

/// Reads a file; none if it does not exist.
pub fn load<T: for<'a> serde::Deserialize<'a>>(
    folder: &Path,
    name: &str,
) -> Result<Option<T>, DiskError> {
    let path = folder.join(name);
    match fs::read(&path) {
        Ok(bytes) => decode(&bytes)
            .map(Some)
            .map_err(|source| DiskError::Damaged { path, source }),
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
        Err(source) => Err(DiskError::Io { path, source }),
    }
}

/// Replaces a file.
fn replace(folder: &Path, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
    let write = || {
        let temporary = folder.join(format!("{name}.new"));
        let mut file = File::create(&temporary)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&temporary, folder.join(name))?;
        // The rename is durable only once the folder is synced.
        File::open(folder)?.sync_all()
    };
    write().map_err(|source| DiskError::Io {
        path: folder.to_owned(),
        source,
    })
}

/// The channels to and from the writer thread.
pub struct DiskWriter {
    /// Queue of files to write.
    pub writes: Sender<DiskWrite>,
    /// Results of the writes, in the same order.
    pub results: Receiver<DiskWriteResult>,
}

/// Starts a thread that writes files to `folder` until its channel is closed.
pub fn start(folder: PathBuf, sentinel: ThreadSentinel) -> Result<DiskWriter, DiskError> {
    fs::create_dir_all(&folder).map_err(|source| DiskError::Io {
        path: folder.clone(),
        source,
    })?;
    let (writes, pending) = async_channel::unbounded();
    let (completed, results) = async_channel::unbounded();
    let run = move || {
        while let Ok(write) = pending.recv_blocking() {
            sentinel.panic_point();
            if completed.send_blocking(execute(&folder, write)).is_err() {
                return;
            }
        }
    };
    std::thread::Builder::new()
        .name("versions".into())
        .spawn(run)
        .map_err(DiskError::NoThread)?;
    Ok(DiskWriter { writes, results })
}

fn execute(folder: &Path, write: DiskWrite) -> DiskWriteResult {
    match write {
        DiskWrite::Acceptor(state, number) => {
            let result = replace(folder, ACCEPTOR_FILE, &encode(&state));
            DiskWriteResult::Acceptor(number, result)
        }
        DiskWrite::Active(version) => {
            let result = replace(folder, ACTIVE_FILE, &encode(&version));
            DiskWriteResult::Active(result.map(|()| version.minimum_version))
        }
    }
}
