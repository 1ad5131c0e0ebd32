//! The directory of captures on a file system, and the thread that writes to it.

use crate::keeper::{Folder, Keeper, Note};
use crate::tap::Spool;
use pipitlever_admission::Micros;
use pipitlever_framing::disk::ActiveFile;
pub use pipitlever_framing::disk::WriterThread;
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// The writer looks at the queue this often: what is younger is lost with the process.
pub const LOOK: Duration = Duration::from_millis(25);

/// A folder.
#[derive(Debug)]
pub struct Disk {
    path: PathBuf,
    file: ActiveFile,
}

impl Disk {
    /// The folder at this path; it need not be there yet.
    pub fn new(path: &Path) -> Disk {
        Disk {
            path: path.to_owned(),
            file: ActiveFile::default(),
        }
    }
}

impl Folder for Disk {
    fn list(&mut self) -> io::Result<Vec<(String, u64)>> {
        fs::create_dir_all(&self.path)?;
        let mut all = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let entry = entry?;
            // One may go while they are listed.
            if let (Ok(name), Ok(meta)) = (entry.file_name().into_string(), entry.metadata()) {
                all.push((name, meta.len()));
            }
        }
        Ok(all)
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

    fn holds(&mut self, name: &str) -> bool {
        self.path.join(name).exists()
    }
}

/// Starts the thread that writes a capture. It ends once the loop's side of the queue is dropped and
/// all of it is written.
///
/// # Errors
///
/// If the system starts no further thread.
pub fn start_writer<F: Folder + Send + 'static>(
    mut keeper: Keeper<F>,
    mut spool: Spool,
    log: impl Fn(&Note) + Send + 'static,
) -> io::Result<WriterThread> {
    let start = Instant::now();
    let clock = move || start.elapsed().as_micros() as Micros;
    WriterThread::spawn("capture", move || {
        spool.emptied_by(std::thread::current());
        while !spool.ended() {
            keeper.turn(clock(), &mut spool).iter().for_each(&log);
            std::thread::park_timeout(LOOK);
        }
        keeper.finish(clock(), &mut spool).iter().for_each(&log);
    })
}
