//! Shared parts of the writers of framed files: the active file and the writer thread.

use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

/// Stack size of a writer thread, in bytes. Writers use far less.
const STACK_BYTES: usize = 256 << 10;

/// The file that is being written, if any.
#[derive(Debug, Default)]
pub struct ActiveFile(Option<(File, PathBuf)>);

impl ActiveFile {
    /// Replaces the active file.
    pub fn set(&mut self, file: File, path: PathBuf) {
        self.0 = Some((file, path));
    }

    /// Closes the active file.
    pub fn close(&mut self) {
        self.0 = None;
    }

    /// Appends to the active file.
    ///
    /// # Errors
    ///
    /// If there is no active file, or the write fails.
    pub fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.get()?.0.write_all(bytes)
    }

    /// The active file and its path.
    ///
    /// # Errors
    ///
    /// If there is no active file.
    pub fn get(&self) -> io::Result<(&File, &Path)> {
        match &self.0 {
            Some((file, path)) => Ok((file, path)),
            None => Err(io::Error::other("no file is open for writing")),
        }
    }
}

/// A thread that writes to the disk. Dropping this handle detaches the thread.
#[derive(Debug)]
pub struct WriterThread {
    finished: Receiver<()>,
}

impl WriterThread {
    /// Starts a thread called `name` that runs `work`.
    ///
    /// # Errors
    ///
    /// If the system cannot start another thread.
    pub fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> io::Result<WriterThread> {
        let (sender, finished) = channel();
        std::thread::Builder::new()
            .name(name.to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || {
                work();
                // Sending fails if the handle was dropped.
                let _ = sender.send(());
            })?;
        Ok(WriterThread { finished })
    }

    /// Waits for the thread to finish. Returns whether it finished within `timeout`: a disk that
    /// hangs must not prevent the process from exiting.
    pub fn wait(&self, timeout: Duration) -> bool {
        self.finished.recv_timeout(timeout).is_ok()
    }
}
