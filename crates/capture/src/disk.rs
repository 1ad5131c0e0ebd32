//! A folder on a file system, and the thread that writes to it.

use crate::keeper::{Folder, Keeper, Note};
use crate::tap::Spool;
use pipitlever_admission::Micros;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

/// The writer looks at the queue this often: what is younger is lost with the process.
pub const LOOK: Duration = Duration::from_millis(25);

/// A folder.
#[derive(Debug)]
pub struct Disk {
    path: PathBuf,
    file: Option<File>,
}

impl Disk {
    /// The folder at this path; it need not be there yet.
    pub fn new(path: &Path) -> Disk {
        Disk {
            path: path.to_owned(),
            file: None,
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
        self.file = Some(File::create_new(self.path.join(name))?);
        Ok(())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file
            .as_mut()
            .ok_or_else(|| io::Error::other("no segment"))?
            .write_all(bytes)
    }

    fn close(&mut self) {
        self.file = None;
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }

    fn holds(&mut self, name: &str) -> bool {
        self.path.join(name).exists()
    }
}

/// The writer's thread.
#[derive(Debug)]
pub struct Thread(Receiver<()>);

impl Thread {
    /// Starts it. It ends once the loop's side of the queue is dropped and all is written.
    pub fn start<F: Folder + Send + 'static>(
        mut keeper: Keeper<F>,
        mut spool: Spool,
        log: impl Fn(&Note) + Send + 'static,
    ) -> io::Result<Thread> {
        let (done, ended) = channel();
        let start = Instant::now();
        let clock = move || start.elapsed().as_micros() as Micros;
        let work = move || {
            spool.emptied_by(std::thread::current());
            while !spool.ended() {
                keeper.turn(clock(), &mut spool).iter().for_each(&log);
                std::thread::park_timeout(LOOK);
            }
            keeper.finish(clock(), &mut spool).iter().for_each(&log);
            let _ = done.send(());
        };
        std::thread::Builder::new()
            .name("capture".into())
            .stack_size(256 << 10)
            .spawn(work)?;
        Ok(Thread(ended))
    }

    /// Waits for its end, but no longer than this: a disk that hangs must not keep a process.
    pub fn ended(&self, patience: Duration) -> bool {
        self.0.recv_timeout(patience).is_ok()
    }
}
