//! The files of a node's versions: what an elector has voted, and what is acted on. Each is written
//! anew as a whole, synced, put in place by a rename, and the folder synced: a crash leaves the one
//! or the other, never half of one. A thread does it, as a disk may take its time and no request
//! may wait for that.

use async_channel::{Receiver, Sender};
use pipitlever_config_versions::acceptor::AcceptorState;
use pipitlever_config_versions::file_format::{decode, encode};
use pipitlever_config_versions::minimum_version::StoredVersion;
use std::fs::{self, File};
use std::io::{ErrorKind, Write};
use std::path::{Path, PathBuf};

/// What an elector has promised, accepted and closed.
pub const ACCEPTOR_FILE: &str = "elector";
/// The floor, and the version that is acted on.
pub const ACTIVE_FILE: &str = "acting";

/// A file to be written.
pub enum DiskWrite {
    /// An elector's votes, and the number of that write.
    Acceptor(Box<AcceptorState>, u64),
    /// What is about to be acted on.
    Active(StoredVersion),
}

/// What has become of one.
pub enum DiskWriteResult {
    /// The write of this number is on the disk, or is not.
    Acceptor(u64, Result<(), String>),
    /// So is this floor.
    Active(Result<u64, String>),
}

/// What is there: the elector's file only for one that is an elector.
pub fn load<T: for<'a> serde::Deserialize<'a>>(
    folder: &Path,
    name: &str,
) -> Result<Option<T>, String> {
    let path = folder.join(name);
    match fs::read(&path) {
        Ok(bytes) => match decode(&bytes) {
            Ok(kept) => Ok(Some(kept)),
            Err(e) => Err(format!("{}: at {}: {:?}", path.display(), e.offset, e.kind)),
        },
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
        Err(e) => Err(format!("{}: {e}", path.display())),
    }
}

fn put(folder: &Path, name: &str, bytes: &[u8]) -> std::io::Result<()> {
    let (new, place) = (folder.join(format!("{name}.new")), folder.join(name));
    let mut file = File::create(&new)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(&new, &place)?;
    // The name, too, is only there for certain once its folder is.
    File::open(folder)?.sync_all()
}

/// Writes one after another until nobody asks any more.
pub fn start(folder: PathBuf) -> Result<(Sender<DiskWrite>, Receiver<DiskWriteResult>), String> {
    fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let (jobs, todo) = async_channel::unbounded::<DiskWrite>();
    let (say, done) = async_channel::unbounded();
    let work = move || {
        while let Ok(job) = todo.recv_blocking() {
            let wrong = |e: std::io::Error| format!("{}: {e}", folder.display());
            let said = match job {
                DiskWrite::Acceptor(kept, number) => DiskWriteResult::Acceptor(
                    number,
                    put(&folder, ACCEPTOR_FILE, &encode(&kept)).map_err(wrong),
                ),
                DiskWrite::Active(saved) => {
                    let put = put(&folder, ACTIVE_FILE, &encode(&saved)).map_err(wrong);
                    DiskWriteResult::Active(put.map(|()| saved.minimum_version))
                }
            };
            if say.send_blocking(said).is_err() {
                return;
            }
        }
    };
    let thread = std::thread::Builder::new()
        .name("versions".into())
        .spawn(work);
    thread
        .map(|_| (jobs, done))
        .map_err(|e| format!("versions: no thread: {e}"))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A file that was cut at any byte, or spoilt, was never put in place like that: it is an error
    /// with its name, not an empty disk.
    #[test]
    fn a_file_is_whole_or_named_as_damaged() {
        let folder =
            std::env::temp_dir().join(format!("pipitlever-versions-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        assert_eq!(load::<StoredVersion>(&folder, ACTIVE_FILE), Ok(None));
        let saved = StoredVersion {
            minimum_version: 7,
            version: None,
            content: b"{}".to_vec(),
        };
        put(&folder, ACTIVE_FILE, &encode(&saved)).unwrap();
        assert_eq!(
            load::<StoredVersion>(&folder, ACTIVE_FILE),
            Ok(Some(saved.clone()))
        );
        let bytes = fs::read(folder.join(ACTIVE_FILE)).unwrap();
        for at in 0..bytes.len() {
            let mut spoilt = bytes.clone();
            spoilt[at] ^= 1;
            for wrong in [&bytes[..at], &spoilt] {
                fs::write(folder.join(ACTIVE_FILE), wrong).unwrap();
                let found = load::<StoredVersion>(&folder, ACTIVE_FILE);
                assert!(
                    found.as_ref().is_err_and(|e| e.contains(ACTIVE_FILE)),
                    "{at}: {found:?}"
                );
            }
        }
        // What a crash left of the next one is not looked at.
        put(&folder, ACTIVE_FILE, &encode(&saved)).unwrap();
        fs::write(folder.join("acting.new"), b"half of it").unwrap();
        assert_eq!(load::<StoredVersion>(&folder, ACTIVE_FILE), Ok(Some(saved)));
        fs::remove_dir_all(&folder).unwrap();
    }
}
