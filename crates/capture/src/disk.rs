//! A directory of segments on a file system, and the thread that writes the segments.

use crate::directory::Directory;
use crate::recorder::RecordReceiver;
use crate::writer::{CaptureWriter, WriterEvent};
use pipitlever_admission::Micros;
use pipitlever_framing::disk::ActiveFile;
pub use pipitlever_framing::disk::WriterThread;
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// How often the writer thread empties the queue. Records younger than this are lost if the process
/// is killed.
pub const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// A directory of a file system.
#[derive(Debug)]
pub struct CaptureDirectory {
    path: PathBuf,
    file: ActiveFile,
}

impl CaptureDirectory {
    /// The directory at this path, which [`Directory::list`] creates if it is missing.
    pub fn new(path: &Path) -> CaptureDirectory {
        CaptureDirectory {
            path: path.to_owned(),
            file: ActiveFile::default(),
        }
    }
}

impl Directory for CaptureDirectory {
    fn list(&mut self) -> io::Result<Vec<(String, u64)>> {
        fs::create_dir_all(&self.path)?;
        let mut files = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let entry = entry?;
            // Skips files that are removed while the directory is read.
            if let (Ok(name), Ok(metadata)) = (entry.file_name().into_string(), entry.metadata()) {
                files.push((name, metadata.len()));
            }
        }
        Ok(files)
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let path = self.path.join(name);
        self.file.set(File::create_new(&path)?, path);
        Ok(())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file.append(bytes)
    }

    fn close(&mut self) {
        self.file.close();
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }

    fn contains(&mut self, name: &str) -> bool {
        self.path.join(name).exists()
    }
}

/// Starts the thread that writes a capture. The thread ends once the recorder is dropped and all
/// records are written. `log` is called with each event to be logged.
///
/// # Errors
///
/// If the system can't start a thread.
pub fn start_writer<D: Directory + Send + 'static>(
    mut writer: CaptureWriter<D>,
    mut receiver: RecordReceiver,
    log: impl Fn(&WriterEvent) + Send + 'static,
) -> io::Result<WriterThread> {
    let start = Instant::now();
    let clock = move || start.elapsed().as_micros() as Micros;
    WriterThread::spawn("capture", move || {
        receiver.set_writer_thread(std::thread::current());
        while !receiver.is_finished() {
            writer
                .write_queued(clock(), &mut receiver)
                .iter()
                .for_each(&log);
            std::thread::park_timeout(POLL_INTERVAL);
        }
        writer.finish(clock(), &mut receiver).iter().for_each(&log);
    })
}
