//! A simulated directory with injectable faults, which loses unsynced data on a power failure.
#![allow(dead_code, reason = "no test file uses all items of this module")]

pub mod runs;

use pipitlever_idempotency_store::log::SegmentFiles;
use pipitlever_idempotency_store::record::Clocks;
use std::cell::{RefCell, RefMut};
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

/// Size of a page, in bytes. Pages are written to the disk one by one, in any order.
const PAGE: usize = 512;
/// Time since boot after a power failure, in microseconds.
const BOOT_TIME: i64 = 1_000_000;

/// Faults of the file system, which stay in effect until they are changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Only this many bytes of each append are written, if any.
    pub append_limit: Option<usize>,
    /// Syncs fail. The data to be synced may or may not be on the disk.
    pub fail_syncs: bool,
    /// Creations and appends fail.
    pub read_only: bool,
    /// Removals fail.
    pub fail_removals: bool,
}

#[derive(Clone, Debug, Default)]
struct File {
    bytes: Vec<u8>,
    /// Length of the part that is on the disk.
    synced: usize,
    /// Whether the file's directory entry is on the disk.
    is_name_synced: bool,
}

impl File {
    fn sync(&mut self) {
        self.synced = self.bytes.len();
        self.is_name_synced = true;
    }

    /// Loses unsynced data: `is_lost` decides on the length of the file and on each page.
    fn lose_unsynced(&mut self, is_lost: &mut impl FnMut() -> bool) {
        let synced = self.synced;
        if is_lost() {
            // The new length of the file is lost as well.
            let mut length = synced;
            while length < self.bytes.len() && is_lost() {
                length = ((length / PAGE + 1) * PAGE).min(self.bytes.len());
            }
            self.bytes.truncate(length);
        }
        for page in synced / PAGE..self.bytes.len().div_ceil(PAGE) {
            if is_lost() {
                let start = (page * PAGE).max(synced);
                let end = ((page + 1) * PAGE).min(self.bytes.len());
                self.bytes[start..end].fill(0);
            }
        }
    }
}

/// State of the directory and of the machine, which persists when a process exits.
#[derive(Clone, Debug, Default)]
pub struct Machine {
    files: BTreeMap<String, File>,
    /// Name of the active file.
    active: Option<String>,
    pub faults: Faults,
    /// Unix time, in microseconds.
    pub wall: i64,
    /// Time since boot, in microseconds.
    pub since_boot: i64,
    boots: u32,
}

impl Machine {
    fn active_file(&mut self) -> io::Result<&mut File> {
        let name = self.active.clone().expect("a file was created");
        self.files
            .get_mut(&name)
            .ok_or_else(|| io::Error::other("the active file was removed"))
    }
}

/// A handle on the directory.
#[derive(Clone, Debug, Default)]
pub struct Directory(Rc<RefCell<Machine>>);

impl Directory {
    pub fn machine(&self) -> RefMut<'_, Machine> {
        self.0.borrow_mut()
    }

    /// Advances both clocks.
    pub fn advance(&self, micros: i64) {
        let mut machine = self.machine();
        machine.wall += micros;
        machine.since_boot += micros;
    }

    /// Size of all files, in bytes.
    pub fn size(&self) -> u64 {
        let machine = self.machine();
        let sizes = machine.files.values().map(|file| file.bytes.len() as u64);
        sizes.sum()
    }

    /// Names of the files, the oldest first.
    pub fn names(&self) -> Vec<String> {
        self.machine().files.keys().cloned().collect()
    }

    /// Changes the bytes of a file.
    pub fn modify(&self, name: &str, change: impl FnOnce(&mut Vec<u8>)) {
        let mut machine = self.machine();
        change(&mut machine.files.get_mut(name).expect("the file exists").bytes);
    }

    /// Removes a file.
    pub fn delete(&self, name: &str) {
        self.machine().files.remove(name);
    }

    /// The power fails and the machine boots again. `random_bool` decides which of the unsynced
    /// data is on the disk.
    pub fn power_cut(&self, mut random_bool: impl FnMut() -> bool) {
        let mut machine = self.machine();
        machine.active = None;
        machine.boots += 1;
        machine.since_boot = BOOT_TIME;
        machine
            .files
            .retain(|_, file| file.is_name_synced || random_bool());
        for file in machine.files.values_mut() {
            file.lose_unsynced(&mut random_bool);
            file.sync();
        }
    }

    /// The process is killed. The system retains all written data, synced or not.
    pub fn kill(&self) {
        let mut machine = self.machine();
        machine.active = None;
        machine.files.values_mut().for_each(File::sync);
    }
}

impl SegmentFiles for Directory {
    fn list(&mut self) -> io::Result<Vec<String>> {
        Ok(self.names())
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        let machine = self.machine();
        let file = machine.files.get(name);
        file.map(|file| file.bytes.clone())
            .ok_or_else(|| io::Error::other("no such file"))
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let mut machine = self.machine();
        if machine.faults.read_only {
            return Err(io::Error::other("read-only file system"));
        }
        machine.files.insert(name.to_owned(), File::default());
        machine.active = Some(name.to_owned());
        Ok(())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut machine = self.machine();
        let limit = if machine.faults.read_only {
            0
        } else {
            machine.faults.append_limit.unwrap_or(usize::MAX)
        };
        let file = machine.active_file()?;
        file.bytes
            .extend_from_slice(&bytes[..limit.min(bytes.len())]);
        if limit < bytes.len() {
            return Err(io::Error::other("no space"));
        }
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut machine = self.machine();
        if machine.faults.fail_syncs {
            return Err(io::Error::other("sync failed"));
        }
        machine.active_file()?.sync();
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut machine = self.machine();
        if machine.faults.fail_removals {
            return Err(io::Error::other("busy"));
        }
        machine.files.remove(name);
        Ok(())
    }

    fn clocks(&mut self) -> Clocks {
        let machine = self.machine();
        Clocks {
            wall: machine.wall,
            since_boot: machine.since_boot,
            boot_id: format!("boot {}", machine.boots),
        }
    }
}
