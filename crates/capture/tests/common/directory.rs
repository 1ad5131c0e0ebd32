//! A directory in memory that fails on request.

use pipitlever_capture::directory::Directory;
use std::collections::BTreeMap;
use std::io;

#[derive(Debug, Default)]
pub struct MemoryDirectory {
    pub files: BTreeMap<String, Vec<u8>>,
    pub open_file: Option<String>,
    /// The most bytes that all files have together, if limited.
    pub capacity: Option<u64>,
    /// The error of all operations, if they fail.
    pub error: Option<io::ErrorKind>,
    /// Files can't be removed.
    pub is_removal_denied: bool,
    /// The largest total size so far, in bytes.
    pub max_bytes: u64,
}

impl MemoryDirectory {
    pub fn total_bytes(&self) -> u64 {
        self.files.values().map(|file| file.len() as u64).sum()
    }

    fn check(&self) -> io::Result<()> {
        self.error.map_or(Ok(()), |kind| Err(kind.into()))
    }
}

impl Directory for MemoryDirectory {
    fn list(&mut self) -> io::Result<Vec<(String, u64)>> {
        self.check()?;
        Ok(self
            .files
            .iter()
            .map(|(name, bytes)| (name.clone(), bytes.len() as u64))
            .collect())
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.check()?;
        assert!(
            self.files.insert(name.into(), Vec::new()).is_none(),
            "{name} is created twice"
        );
        self.open_file = Some(name.into());
        Ok(())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.check()?;
        let free = self.capacity.map_or(usize::MAX, |capacity| {
            capacity.saturating_sub(self.total_bytes()) as usize
        });
        // A full file system writes what fits, and then fails.
        let written = &bytes[..bytes.len().min(free)];
        let name = self.open_file.as_ref().expect("a file is open");
        if let Some(file) = self.files.get_mut(name) {
            file.extend_from_slice(written);
        }
        self.max_bytes = self.max_bytes.max(self.total_bytes());
        if written.len() < bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn close(&mut self) {
        self.open_file = None;
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.check()?;
        if self.is_removal_denied {
            return Err(io::ErrorKind::PermissionDenied.into());
        }
        self.files
            .remove(name)
            .map(|_| ())
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn contains(&mut self, name: &str) -> bool {
        self.files.contains_key(name)
    }
}
