//! The directory of a store on a file system, and the thread that writes to it.

use crate::log::{Batch, Log, SegmentFiles};
use crate::record::Clocks;
use pipitlever_framing::disk::{ActiveFile, WriterThread};
use rustix::time::{clock_gettime, ClockId};
use std::fs::{self, File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::{SystemTime, UNIX_EPOCH};

/// Lock file. A process that uses the directory holds the lock.
const LOCK_FILE: &str = "lock";
/// Contains an id that changes with each boot of the machine.
const BOOT_ID_FILE: &str = "/proc/sys/kernel/random/boot_id";
const MICROS_PER_SECOND: i64 = 1_000_000;
const NANOS_PER_MICRO: i64 = 1000;

/// A store's directory.
#[derive(Debug)]
pub struct StoreDirectory {
    path: PathBuf,
    active: ActiveFile,
    /// Handle of the directory, which is synced to make the names of new files durable.
    directory: File,
    boot_id: String,
    /// Exclusive lock; `None` if the directory is opened for reading only.
    _lock: Option<File>,
}

impl StoreDirectory {
    /// Opens a directory for exclusive use, and creates it if there is none.
    ///
    /// # Errors
    ///
    /// If another process uses the directory, or it can't be created or opened.
    pub fn open(path: &Path) -> io::Result<StoreDirectory> {
        fs::create_dir_all(path)?;
        let lock = File::options()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(LOCK_FILE))?;
        match lock.try_lock() {
            Ok(()) => StoreDirectory::with_lock(path, Some(lock)),
            Err(TryLockError::WouldBlock) => {
                Err(io::Error::other("another process uses this directory"))
            }
            Err(TryLockError::Error(error)) => Err(error),
        }
    }

    /// Opens an existing directory for reading, even while another process uses it.
    ///
    /// # Errors
    ///
    /// If the directory can't be opened.
    pub fn open_read_only(path: &Path) -> io::Result<StoreDirectory> {
        StoreDirectory::with_lock(path, None)
    }

    fn with_lock(path: &Path, lock: Option<File>) -> io::Result<StoreDirectory> {
        let boot_id = fs::read_to_string(BOOT_ID_FILE).unwrap_or_default();
        Ok(StoreDirectory {
            path: path.to_owned(),
            active: ActiveFile::default(),
            directory: File::open(path)?,
            boot_id: boot_id.trim().to_owned(),
            _lock: lock,
        })
    }
}

impl SegmentFiles for StoreDirectory {
    fn list(&mut self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            // Names that are not UTF-8 are skipped: segments have UTF-8 names.
            names.extend(entry?.file_name().into_string());
        }
        Ok(names)
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let path = self.path.join(name);
        // The directory may have been removed and created again since it was opened.
        self.directory = File::open(&self.path)?;
        self.active.set(File::create(&path)?, path);
        Ok(())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.active.append(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        let (file, path) = self.active.get()?;
        file.sync_data()?;
        // A file whose directory entry is lost is lost as well. Only the first sync of a file has
        // an entry to write.
        self.directory.sync_data()?;
        // If the file or its directory was removed, the sync succeeds but the data is lost.
        fs::metadata(path).map(drop)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        match fs::remove_file(self.path.join(name)) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
            result => result,
        }
    }

    fn clocks(&mut self) -> Clocks {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |time| time.as_micros() as i64);
        let since_boot = clock_gettime(ClockId::Boottime);
        Clocks {
            wall,
            since_boot: since_boot.tv_sec * MICROS_PER_SECOND
                + since_boot.tv_nsec / NANOS_PER_MICRO,
            boot_id: self.boot_id.clone(),
        }
    }
}

/// The thread that writes batches to the log. The thread exits once this handle is dropped and the
/// submitted batches are written.
#[derive(Debug)]
pub struct BatchWriter {
    batches: Sender<Batch>,
}

impl BatchWriter {
    /// Starts the thread. After each batch it calls `on_written` with the size of the log in bytes,
    /// or with the error.
    ///
    /// # Errors
    ///
    /// If the system cannot start another thread.
    pub fn start<F: SegmentFiles + Send + 'static>(
        mut log: Log<F>,
        on_written: impl Fn(io::Result<u64>) + Send + 'static,
    ) -> io::Result<BatchWriter> {
        let (batches, received): (Sender<Batch>, Receiver<Batch>) = channel();
        WriterThread::spawn("store", move || {
            for batch in received {
                let result = log.write(&batch);
                on_written(result.map(|()| log.used_bytes()));
            }
        })?;
        Ok(BatchWriter { batches })
    }

    /// Submits the next batch. The caller must have received the result of the previous batch.
    pub fn write(&self, batch: Batch) {
        // Does not fail: the thread receives until this handle is dropped.
        let _ = self.batches.send(batch);
    }
}
