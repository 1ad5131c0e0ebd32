//! A directory that fails as real ones do, and loses on a power cut what was not synced.
#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod runs;

use pipitlever_idempotency_store::log::SegmentFiles;
use pipitlever_idempotency_store::record::Clocks;
use std::cell::{RefCell, RefMut};
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

/// Pages are written to the disk one by one, in any order. In bytes.
const PAGE: usize = 512;
/// Time since boot after a power cut, in microseconds.
const BOOT_TIME: i64 = 1_000_000;

/// Errors of the file system, until they are set otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Only this many bytes of each append are written, if any.
    pub append_limit: Option<usize>,
    /// Syncs fail. What they were to sync may be on the disk or not.
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
    /// Whether the file's name is on the disk.
    is_name_synced: bool,
}

impl File {
    fn sync(&mut self) {
        self.synced = self.bytes.len();
        self.is_name_synced = true;
    }

    /// Loses what was not synced, as far as `is_lost` decides.
    fn lose_unsynced(&mut self, is_lost: &mut impl FnMut() -> bool) {
        let synced = self.synced;
        if is_lost() {
            // The new length was not written either.
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

/// State of the directory and of the machine, which outlives processes.
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
            .ok_or_else(|| io::Error::other("gone"))
    }
}

/// A handle on the directory.
#[derive(Clone, Debug, Default)]
pub struct Directory(Rc<RefCell<Machine>>);

impl Directory {
    pub fn machine(&self) -> RefMut<'_, Machine> {
        self.0.borrow_mut()
    }

    /// Time passes.
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

    /// The power fails and the machine boots again. `draw` decides what of the unsynced data is on
    /// the disk.
    pub fn power_cut(&self, mut draw: impl FnMut() -> bool) {
        let mut machine = self.machine();
        machine.active = None;
        machine.boots += 1;
        machine.since_boot = BOOT_TIME;
        machine
            .files
            .retain(|_, file| file.is_name_synced || draw());
        for file in machine.files.values_mut() {
            file.lose_unsynced(&mut draw);
            file.sync();
        }
    }

    /// The process ends. What was written is retained by the system.
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
            return Err(io::Error::other("read-only"));
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
            return Err(io::Error::other("sync"));
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
