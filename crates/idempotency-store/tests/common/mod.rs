//! A folder that fails in all the ways that folders fail, and loses on a power cut what was not
//! synced.
#![allow(dead_code)]

use pipitlever_idempotency_store::log::SegmentFiles;
use pipitlever_idempotency_store::record::Clocks;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

/// Pages go to the disk one by one, in any order.
const PAGE: usize = 512;

/// What goes wrong from now on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Only so many bytes of the next appends are written.
    pub short: Option<usize>,
    /// A sync is an error; what it was to sync may be on the disk or not.
    pub sync: bool,
    /// Nothing can be created or appended.
    pub read_only: bool,
    /// SegmentFiles can't be removed.
    pub remove: bool,
}

#[derive(Clone, Debug, Default)]
struct File {
    bytes: Vec<u8>,
    /// So many of them are on the disk.
    synced: usize,
    /// Its name is.
    named: bool,
}

/// The folder's state, which outlives processes.
#[derive(Clone, Debug, Default)]
pub struct World {
    files: BTreeMap<String, File>,
    open: Option<String>,
    pub faults: Faults,
    pub wall: i64,
    pub up: i64,
    pub boot: u32,
    /// Syncs that went well.
    pub syncs: u64,
}

/// A process's handle on it.
#[derive(Clone, Debug, Default)]
pub struct Folder(pub Rc<RefCell<World>>);

impl Folder {
    /// All bytes together.
    pub fn size(&self) -> u64 {
        self.0
            .borrow()
            .files
            .values()
            .map(|f| f.bytes.len() as u64)
            .sum()
    }

    /// The names of the files, the oldest first.
    pub fn names(&self) -> Vec<String> {
        self.0.borrow().files.keys().cloned().collect()
    }

    /// Changes the bytes of a file, by hand.
    pub fn change(&self, name: &str, change: impl FnOnce(&mut Vec<u8>)) {
        change(
            &mut self
                .0
                .borrow_mut()
                .files
                .get_mut(name)
                .expect("a file")
                .bytes,
        );
    }

    /// Takes a file away, by hand.
    pub fn take(&self, name: &str) {
        self.0.borrow_mut().files.remove(name);
    }

    /// The process ends; the system goes on, and with it what was written.
    pub fn kill(&self) {
        let mut world = self.0.borrow_mut();
        world.open = None;
        world
            .files
            .values_mut()
            .for_each(|f| (f.synced, f.named) = (f.bytes.len(), true));
    }

    /// The power goes. `dice` says of each page that was not synced whether it reached the disk.
    pub fn power_cut(&self, mut dice: impl FnMut() -> bool) {
        let mut world = self.0.borrow_mut();
        world.open = None;
        world.boot += 1;
        world.up = 1_000_000;
        world.files.retain(|_, file| file.named || dice());
        for file in world.files.values_mut() {
            let synced = file.synced;
            if dice() {
                // Its length was not written either.
                let mut length = synced;
                while length < file.bytes.len() && dice() {
                    length = ((length / PAGE + 1) * PAGE).min(file.bytes.len());
                }
                file.bytes.truncate(length);
            }
            let pages = file.bytes.len().div_ceil(PAGE);
            for page in synced / PAGE..pages {
                if dice() {
                    let (start, end) = (
                        (page * PAGE).max(synced),
                        ((page + 1) * PAGE).min(file.bytes.len()),
                    );
                    file.bytes[start..end].fill(0);
                }
            }
            (file.synced, file.named) = (file.bytes.len(), true);
        }
    }
}

fn error(what: &str) -> io::Error {
    io::Error::other(what.to_owned())
}

impl SegmentFiles for Folder {
    fn list(&mut self) -> io::Result<Vec<String>> {
        Ok(self.names())
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        let world = self.0.borrow();
        world
            .files
            .get(name)
            .map(|f| f.bytes.clone())
            .ok_or_else(|| error("no such file"))
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let mut world = self.0.borrow_mut();
        if world.faults.read_only {
            return Err(error("read-only"));
        }
        world.files.insert(name.to_owned(), File::default());
        world.open = Some(name.to_owned());
        Ok(())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut world = self.0.borrow_mut();
        let name = world.open.clone().expect("one was begun");
        let faults = world.faults;
        let room = if faults.read_only {
            0
        } else {
            faults.short.unwrap_or(usize::MAX)
        };
        let file = world.files.get_mut(&name).ok_or_else(|| error("gone"))?;
        file.bytes
            .extend_from_slice(&bytes[..room.min(bytes.len())]);
        if room < bytes.len() {
            return Err(error("no space"));
        }
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut world = self.0.borrow_mut();
        let name = world.open.clone().expect("one was begun");
        if world.faults.sync {
            return Err(error("sync"));
        }
        world.syncs += 1;
        let file = world.files.get_mut(&name).ok_or_else(|| error("gone"))?;
        (file.synced, file.named) = (file.bytes.len(), true);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut world = self.0.borrow_mut();
        if world.faults.remove {
            return Err(error("busy"));
        }
        world.files.remove(name);
        Ok(())
    }

    fn clocks(&mut self) -> Clocks {
        let world = self.0.borrow();
        Clocks {
            wall: world.wall,
            since_boot: world.up,
            boot_id: format!("boot {}", world.boot),
        }
    }
}
