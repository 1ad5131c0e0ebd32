//! A folder on a file system, and the thread that writes to it.

use crate::log::{Batch, Log, SegmentFiles};
use crate::record::Clocks;
use rustix::time::{clock_gettime, ClockId};
use std::fs::{self, File, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::{SystemTime, UNIX_EPOCH};

/// The file whose lock says that a process uses the folder.
const LOCK: &str = "lock";

/// A folder, for as long as no other process uses it.
#[derive(Debug)]
pub struct StoreDirectory {
    path: PathBuf,
    /// The file that is written, and where it is.
    file: Option<(File, PathBuf)>,
    /// The folder itself: new names in it have to be synced, too.
    folder: File,
    boot: String,
    _lock: Option<File>,
}

impl StoreDirectory {
    /// The folder at this path, made if it is not there. An error if another process uses it.
    pub fn open(path: &Path) -> io::Result<StoreDirectory> {
        fs::create_dir_all(path)?;
        let lock = File::options()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(LOCK))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                return Err(io::Error::other("another process uses this folder"))
            }
            Err(TryLockError::Error(error)) => return Err(error),
        }
        StoreDirectory::at(path, Some(lock))
    }

    /// The same to read only, of a folder that is there, even while another process uses it.
    pub fn open_read_only(path: &Path) -> io::Result<StoreDirectory> {
        StoreDirectory::at(path, None)
    }

    fn at(path: &Path, lock: Option<File>) -> io::Result<StoreDirectory> {
        let boot = fs::read_to_string("/proc/sys/kernel/random/boot_id").unwrap_or_default();
        let boot = boot.trim().to_owned();
        Ok(StoreDirectory {
            path: path.to_owned(),
            file: None,
            folder: File::open(path)?,
            boot,
            _lock: lock,
        })
    }
}

impl SegmentFiles for StoreDirectory {
    fn list(&mut self) -> io::Result<Vec<String>> {
        let names =
            fs::read_dir(&self.path)?.map(|entry| Ok(entry?.file_name().into_string().ok()));
        Ok(names
            .collect::<io::Result<Vec<_>>>()?
            .into_iter()
            .flatten()
            .collect())
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let path = self.path.join(name);
        // The folder may have been taken away and put back since.
        self.folder = File::open(&self.path)?;
        self.file = Some((File::create(&path)?, path));
        Ok(())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let (file, _) = self
            .file
            .as_mut()
            .ok_or_else(|| io::Error::other("no segment"))?;
        file.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        let (file, path) = self
            .file
            .as_mut()
            .ok_or_else(|| io::Error::other("no segment"))?;
        file.sync_data()?;
        // A file whose name is lost is lost with it. Only the first sync of each finds anything to
        // do here.
        self.folder.sync_data()?;
        // Written to a file that was taken away, or in a folder that was, nothing is kept.
        fs::metadata(path).map(drop)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        match fs::remove_file(self.path.join(name)) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
            done => done,
        }
    }

    fn clocks(&mut self) -> Clocks {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_micros() as i64);
        let up = clock_gettime(ClockId::Boottime);
        Clocks {
            wall,
            since_boot: up.tv_sec * 1_000_000 + up.tv_nsec / 1000,
            boot_id: self.boot.clone(),
        }
    }
}

/// The writer's thread. It ends when this is dropped, after the batch that it has.
#[derive(Debug)]
pub struct WriterThread {
    batches: Sender<Batch>,
}

impl WriterThread {
    /// Starts it. `done` is called in it after each batch, with the bytes that the log takes or
    /// what failed.
    pub fn start<F: SegmentFiles + Send + 'static>(
        mut log: Log<F>,
        done: impl Fn(Result<u64, String>) + Send + 'static,
    ) -> io::Result<WriterThread> {
        let (batches, work): (Sender<Batch>, Receiver<Batch>) = channel();
        let work = move || {
            for batch in work {
                let result = log.write(&batch).map_err(|e| e.to_string());
                done(result.map(|()| log.used_bytes()));
            }
        };
        std::thread::Builder::new()
            .name("store".into())
            .stack_size(256 << 10)
            .spawn(work)?;
        Ok(WriterThread { batches })
    }

    /// Hands it the next batch. The one before has come back.
    pub fn write(&self, batch: Batch) {
        // It only ends with its sender.
        let _ = self.batches.send(batch);
    }
}
