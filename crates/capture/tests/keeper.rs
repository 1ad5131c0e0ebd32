//! Bounds, gaps, and disks that fail.

mod common;

use common::*;
use pipitlever_capture::disk::{start_writer, Disk};
use pipitlever_capture::keeper::{parts, safe, Folder, Keeper, Limits};
use pipitlever_capture::segment::Reader;
use pipitlever_capture::tap::queue;
use std::io;
use std::sync::mpsc::channel;
use std::time::Duration;

fn some(rig: &mut Rig, steps: u32) {
    for i in 0..steps {
        rig.step(10_000, &[((i * 5) as u8, i * 97), ((i * 3) as u8, i * 31)]);
    }
}

fn lost(rig: &mut Rig) -> u64 {
    let files = &rig.keeper.folder().files;
    files
        .values()
        .filter_map(|f| Reader::open(f).unwrap().opening()?.lost.clone())
        .map(|l| l.records)
        .sum()
}

#[test]
fn the_oldest_segment_goes_first_and_the_bound_holds() {
    let limits = Limits {
        segment: 10_000,
        keep: 40_000,
    };
    let mut rig = Rig::new(0, 3, 1 << 20, limits);
    // Others' files in the folder are left alone, whatever they are called.
    for name in [
        "n1-x-0000000000001-000001.plc",
        "n10-0000000000001-000001.plc",
        "notes.txt",
    ] {
        rig.keeper.folder().files.insert(name.into(), vec![0; 10]);
    }
    rig.keeper
        .folder()
        .files
        .insert("n1-0000000000005-000001.plc".into(), vec![0; 30_000]);
    for _ in 0..80 {
        some(&mut rig, 10);
        rig.turn(50_000);
        assert!(rig.keeper.total() <= limits.keep, "{}", rig.keeper.total());
    }
    let most = rig.keeper.folder().most;
    assert!(most <= limits.keep + 30, "{most}");
    let names: Vec<String> = rig.keeper.folder().files.keys().cloned().collect();
    assert!(
        names.contains(&"n1-x-0000000000001-000001.plc".into())
            && names.contains(&"notes.txt".into())
    );
    let mine: Vec<_> = names
        .iter()
        .filter_map(|n| parts(n))
        .filter(|p| p.0 == "n1")
        .collect();
    assert!(
        mine.len() > 1 && mine.iter().all(|p| p.1 == 1_764_576_000_123 && p.2 > 1),
        "{mine:?}"
    );
    assert!(mine.windows(2).all(|w| w[0].2 + 1 == w[1].2), "{mine:?}");
    rig.keeper
        .folder()
        .files
        .retain(|name, _| parts(name).is_some_and(|p| p.0 == "n1"));
    let verdict = replay(&rig.end());
    assert_eq!((verdict.steps, verdict.lost, verdict.cuts), (800, 0, 0));
}

#[test]
fn a_disk_that_fails_costs_a_gap_that_is_named_and_one_line_a_change() {
    // What fails, and what the log says of it.
    type Fault = fn(&mut Shelf, bool);
    let faults: [(&str, Fault); 3] = [
        ("full", |shelf, on| shelf.room = on.then_some(0)),
        ("broken", |shelf, on| {
            shelf.broken = on.then_some(io::ErrorKind::Other)
        }),
        ("read-only", |shelf, on| {
            shelf.broken = on.then_some(io::ErrorKind::ReadOnlyFilesystem)
        }),
    ];
    for (what, fault) in faults {
        let mut rig = Rig::new(
            0,
            3,
            1 << 20,
            Limits {
                segment: 1 << 20,
                keep: 1 << 22,
            },
        );
        some(&mut rig, 30);
        // A checkpoint comes with the first step that the loop makes after it is wanted.
        let mut notes = rig.turn(50_000);
        fault(rig.keeper.folder(), true);
        for _ in 0..100 {
            some(&mut rig, 10);
            notes.extend(rig.turn(100_000));
        }
        fault(rig.keeper.folder(), false);
        for _ in 0..400 {
            some(&mut rig, 2);
            notes.extend(rig.turn(100_000));
        }
        let kinds: Vec<&str> = notes
            .iter()
            .map(|n| n.split(": ").nth(1).unwrap())
            .collect();
        assert_eq!(
            kinds,
            ["writing", "stopped", "gap", "writing"],
            "{what}: {notes:?}"
        );
        let lost = lost(&mut rig);
        assert!(lost > 1000, "{what}: {lost}");
        let named: u64 = notes[2].rsplit_once('=').unwrap().1.parse().unwrap();
        assert_eq!(named, lost, "{what}");
        let verdict = replay(&rig.end());
        assert_eq!(
            (verdict.steps, verdict.lost),
            (30 + 1000 + 800, lost),
            "{what}"
        );
    }
}

/// Each new segment once took the bytes of an old one that could not be removed on top.
#[test]
fn segments_that_cannot_be_removed_do_not_pile_up() {
    let limits = Limits {
        segment: 10_000,
        keep: 40_000,
    };
    let mut rig = Rig::new(0, 3, 1 << 20, limits);
    rig.keeper.folder().sticky = true;
    let mut notes = Vec::new();
    for _ in 0..300 {
        some(&mut rig, 10);
        notes.extend(rig.turn(200_000));
    }
    let total = rig.keeper.folder().total();
    assert!(total <= limits.keep, "{total}");
    assert!(
        notes.len() == 2 && notes[1].starts_with("capture: stopped: permission denied"),
        "{notes:?}"
    );
    // It goes on once they can be.
    rig.keeper.folder().sticky = false;
    for _ in 0..400 {
        some(&mut rig, 2);
        notes.extend(rig.turn(200_000));
    }
    assert!(
        notes.len() == 4 && notes[3].starts_with("capture: writing: "),
        "{notes:?}"
    );
    assert!(notes[2].starts_with("capture: gap: records="), "{notes:?}");
    replay(&rig.end());
}

/// What a failed start had left once had every later one fail over its name.
#[test]
fn a_start_that_failed_half_way_is_no_obstacle() {
    let mut rig = Rig::new(
        0,
        3,
        1 << 20,
        Limits {
            segment: 1 << 20,
            keep: 1 << 22,
        },
    );
    (rig.keeper.folder().room, rig.keeper.folder().sticky) = (Some(100), true);
    some(&mut rig, 5);
    let mut notes = rig.turn(50_000);
    assert_eq!(
        rig.keeper.folder().files.len(),
        1,
        "half of an opening stays"
    );
    (rig.keeper.folder().room, rig.keeper.folder().sticky) = (None, false);
    for _ in 0..40 {
        some(&mut rig, 2);
        notes.extend(rig.turn(100_000));
    }
    assert!(
        notes.iter().any(|n| n.starts_with("capture: writing: ")),
        "{notes:?}"
    );
    assert_eq!(rig.keeper.folder().files.len(), 2);
    assert_eq!(replay(&rig.end()).cuts, 1);
}

#[test]
fn a_segment_that_is_taken_away_is_noticed() {
    let mut rig = Rig::new(
        0,
        3,
        1 << 20,
        Limits {
            segment: 1 << 20,
            keep: 1 << 22,
        },
    );
    some(&mut rig, 5);
    rig.turn(50_000);
    rig.keeper.folder().files.clear();
    for _ in 0..60 {
        some(&mut rig, 2);
        rig.turn(100_000);
    }
    assert_eq!(rig.keeper.folder().files.len(), 1);
    assert!(lost(&mut rig) > 0);
    replay(&rig.end());
}

#[test]
fn a_state_over_the_bound_is_not_written_at_all() {
    let mut rig = Rig::new(
        0,
        3,
        1 << 20,
        Limits {
            segment: 100,
            keep: 200,
        },
    );
    some(&mut rig, 5);
    let notes = rig.turn(50_000);
    assert!(
        notes.len() == 1 && notes[0].contains("over keep_mb"),
        "{notes:?}"
    );
    assert!(rig.end().is_empty());
}

#[test]
fn a_nodes_name_is_made_fit_for_a_file() {
    let cases = [
        ("n3", "n3"),
        ("a/b", "a_b"),
        ("../x", ".._x"),
        ("..", "node"),
        ("", "node"),
        ("é-1", "__1"),
    ];
    for (name, wanted) in cases {
        assert_eq!(safe(name), wanted);
        let file = format!("{}-0000000000001-000002.plc", safe(name));
        assert_eq!(parts(&file), Some((wanted, 1, 2)));
    }
    for name in [
        "n1.plc",
        "n1-1.plc",
        "-1-x.plc",
        "n1-0000000000001-000002.txt",
    ] {
        assert_eq!(parts(name).filter(|p| p.0 == "n1"), None, "{name}");
    }
}

/// A disk that takes a step at a time, as the test allows.
struct Slow(Shelf, std::sync::mpsc::Receiver<()>);

impl Folder for Slow {
    fn list(&mut self) -> io::Result<Vec<(String, u64)>> {
        self.0.list()
    }
    fn create(&mut self, name: &str) -> io::Result<()> {
        self.0.create(name)
    }
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let _ = self.1.recv();
        self.0.append(bytes)
    }
    fn close(&mut self) {
        self.0.close();
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.0.remove(name)
    }
    fn holds(&mut self, name: &str) -> bool {
        self.0.holds(name)
    }
}

#[test]
fn a_disk_that_hangs_stops_neither_the_loop_nor_the_end() {
    let (mut tap, spool) = queue(about(3), 16 << 10);
    let (allow, allowed) = channel();
    let keeper = Keeper::new(
        Slow(Shelf::default(), allowed),
        Limits {
            segment: 1 << 20,
            keep: 1 << 22,
        },
        "n1",
    );
    let thread = start_writer(keeper, spool, |_| {}).unwrap();
    let mut world = World::new(0, 3);
    // Far more than the queue holds: the loop gets through, as nothing waits for the disk.
    for i in 0..20_000u32 {
        world.step(1_000, &[((i * 5) as u8, i * 97)], Some(&mut tap));
    }
    drop(tap);
    assert!(
        !thread.wait(Duration::from_millis(50)),
        "the disk still hangs"
    );
    drop(allow);
    assert!(thread.wait(Duration::from_secs(20)));
}

#[test]
fn a_folder_on_disk_is_made_written_and_read_back() {
    let path = std::env::temp_dir().join(format!("pipitlever-{}-keeper/deep", std::process::id()));
    let (mut tap, spool) = queue(about(3), 1 << 20);
    let keeper = Keeper::new(
        Disk::new(&path),
        Limits {
            segment: 1 << 20,
            keep: 1 << 22,
        },
        "n1",
    );
    let thread = start_writer(keeper, spool, |_| {}).unwrap();
    let mut world = World::new(0, 3);
    for i in 0..500u32 {
        world.step(1_000, &[((i * 5) as u8, i * 97)], Some(&mut tap));
    }
    drop(tap);
    assert!(thread.wait(Duration::from_secs(20)));
    let mut files: Vec<_> = std::fs::read_dir(&path)
        .unwrap()
        .map(|e| e.unwrap().path())
        .collect();
    files.sort();
    let segments: Vec<Vec<u8>> = files.iter().map(|f| std::fs::read(f).unwrap()).collect();
    assert!(matches!(
        replay(&segments),
        Verdict {
            steps: 500,
            lost: 0,
            cuts: 0,
            ..
        }
    ));
    std::fs::remove_dir_all(path.parent().unwrap()).unwrap();
}
