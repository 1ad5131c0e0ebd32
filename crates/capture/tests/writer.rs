//! Limits, gaps and failing disks.

mod common;

use common::{
    replay, run_info, CapturedHost, MemoryDirectory, SimulatedHost, LARGE_QUEUE, WIDE_LIMITS,
};
use pipitlever_capture::directory::{sanitize_node_name, Directory, SegmentName};
use pipitlever_capture::disk::{start_writer, CaptureDirectory};
use pipitlever_capture::recorder::record_queue;
use pipitlever_capture::segment::SegmentReader;
use pipitlever_capture::writer::{CaptureWriter, Limits};
use std::io;
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

/// Takes steps with two events each.
fn take_steps(captured: &mut CapturedHost, steps: u32) {
    for i in 0..steps {
        captured.step(10_000, &[((i * 5) as u8, i * 97), ((i * 3) as u8, i * 31)]);
    }
}

/// The number of records that the segments state as lost.
fn stated_lost(captured: &mut CapturedHost) -> u64 {
    let files = &captured.directory().files;
    files
        .values()
        .filter_map(|file| SegmentReader::open(file).unwrap().header()?.lost.clone())
        .map(|lost| lost.records)
        .sum()
}

#[test]
fn the_oldest_segment_is_removed_first_and_the_limit_holds() {
    let limits = Limits {
        segment_bytes: 10_000,
        total_bytes: 40_000,
    };
    let mut captured = CapturedHost::new(0, 3, LARGE_QUEUE, limits);
    // Other files in the directory are not removed, whatever their names.
    for name in [
        "n1-x-0000000000001-000001.plc",
        "n10-0000000000001-000001.plc",
        "notes.txt",
    ] {
        captured.directory().files.insert(name.into(), vec![0; 10]);
    }
    captured
        .directory()
        .files
        .insert("n1-0000000000005-000001.plc".into(), vec![0; 30_000]);
    for _ in 0..80 {
        take_steps(&mut captured, 10);
        captured.write(50_000);
        assert!(
            captured.writer.total_bytes() <= limits.total_bytes,
            "{}",
            captured.writer.total_bytes()
        );
    }
    let max_bytes = captured.directory().max_bytes;
    assert!(max_bytes <= limits.total_bytes + 30, "{max_bytes}");
    let names: Vec<String> = captured.directory().files.keys().cloned().collect();
    assert!(
        names.contains(&"n1-x-0000000000001-000001.plc".into())
            && names.contains(&"notes.txt".into())
    );
    let own: Vec<_> = names
        .iter()
        .filter_map(|name| SegmentName::parse(name))
        .filter(|name| name.node == "n1")
        .collect();
    assert!(
        own.len() > 1
            && own
                .iter()
                .all(|name| name.run == 1_764_576_000_123 && name.segment > 1),
        "{own:?}"
    );
    assert!(
        own.windows(2)
            .all(|pair| pair[0].segment + 1 == pair[1].segment),
        "{own:?}"
    );
    captured
        .directory()
        .files
        .retain(|name, _| SegmentName::parse(name).is_some_and(|name| name.node == "n1"));
    let summary = replay(&captured.finish());
    assert_eq!(
        (summary.steps, summary.lost, summary.truncated),
        (800, 0, 0)
    );
}

#[test]
fn a_failing_disk_causes_a_stated_gap_and_one_log_line_per_change() {
    // The name of each fault, and how it is switched on and off.
    type Fault = fn(&mut MemoryDirectory, bool);
    let faults: [(&str, Fault); 3] = [
        ("full", |directory, on| {
            directory.capacity = on.then_some(0);
        }),
        ("broken", |directory, on| {
            directory.error = on.then_some(io::ErrorKind::Other);
        }),
        ("read-only", |directory, on| {
            directory.error = on.then_some(io::ErrorKind::ReadOnlyFilesystem);
        }),
    ];
    for (fault_name, fault) in faults {
        let mut captured = CapturedHost::new(0, 3, LARGE_QUEUE, WIDE_LIMITS);
        take_steps(&mut captured, 30);
        // The recorder queues a checkpoint at the first step after the writer's request.
        let mut log = captured.write(50_000);
        fault(captured.directory(), true);
        for _ in 0..100 {
            take_steps(&mut captured, 10);
            log.extend(captured.write(100_000));
        }
        fault(captured.directory(), false);
        for _ in 0..400 {
            take_steps(&mut captured, 2);
            log.extend(captured.write(100_000));
        }
        let kinds: Vec<&str> = log
            .iter()
            .map(|line| line.split(": ").nth(1).unwrap())
            .collect();
        assert_eq!(
            kinds,
            ["writing", "stopped", "gap", "writing"],
            "{fault_name}: {log:?}"
        );
        let lost = stated_lost(&mut captured);
        assert!(lost > 1000, "{fault_name}: {lost}");
        let logged: u64 = log[2].rsplit_once('=').unwrap().1.parse().unwrap();
        assert_eq!(logged, lost, "{fault_name}");
        let summary = replay(&captured.finish());
        assert_eq!(
            (summary.steps, summary.lost),
            (30 + 1000 + 800, lost),
            "{fault_name}"
        );
    }
}

/// Regression: while segments could not be removed, each new one increased disk usage beyond the
/// limit.
#[test]
fn segments_that_cannot_be_removed_do_not_accumulate() {
    let limits = Limits {
        segment_bytes: 10_000,
        total_bytes: 40_000,
    };
    let mut captured = CapturedHost::new(0, 3, LARGE_QUEUE, limits);
    captured.directory().is_removal_denied = true;
    let mut log = Vec::new();
    for _ in 0..300 {
        take_steps(&mut captured, 10);
        log.extend(captured.write(200_000));
    }
    let total = captured.directory().total_bytes();
    assert!(total <= limits.total_bytes, "{total}");
    assert!(
        log.len() == 2 && log[1].starts_with("capture: stopped: permission denied"),
        "{log:?}"
    );
    // Recording resumes once they can be removed.
    captured.directory().is_removal_denied = false;
    for _ in 0..400 {
        take_steps(&mut captured, 2);
        log.extend(captured.write(200_000));
    }
    assert!(
        log.len() == 4 && log[3].starts_with("capture: writing: "),
        "{log:?}"
    );
    assert!(log[2].starts_with("capture: gap: records="), "{log:?}");
    replay(&captured.finish());
}

/// Regression: after a failed creation the file remained, and every later attempt used the same
/// name.
#[test]
fn a_failed_segment_creation_does_not_prevent_the_next_one() {
    let mut captured = CapturedHost::new(0, 3, LARGE_QUEUE, WIDE_LIMITS);
    captured.directory().capacity = Some(100);
    captured.directory().is_removal_denied = true;
    take_steps(&mut captured, 5);
    let mut log = captured.write(50_000);
    assert_eq!(
        captured.directory().files.len(),
        1,
        "a part of the header remains"
    );
    captured.directory().capacity = None;
    captured.directory().is_removal_denied = false;
    for _ in 0..40 {
        take_steps(&mut captured, 2);
        log.extend(captured.write(100_000));
    }
    assert!(
        log.iter()
            .any(|line| line.starts_with("capture: writing: ")),
        "{log:?}"
    );
    assert_eq!(captured.directory().files.len(), 2);
    assert_eq!(replay(&captured.finish()).truncated, 1);
}

#[test]
fn a_removed_segment_file_is_detected() {
    let mut captured = CapturedHost::new(0, 3, LARGE_QUEUE, WIDE_LIMITS);
    take_steps(&mut captured, 5);
    captured.write(50_000);
    captured.directory().files.clear();
    for _ in 0..60 {
        take_steps(&mut captured, 2);
        captured.write(100_000);
    }
    assert_eq!(captured.directory().files.len(), 1);
    assert!(stated_lost(&mut captured) > 0);
    replay(&captured.finish());
}

#[test]
fn a_checkpoint_above_the_limit_is_not_written() {
    let mut captured = CapturedHost::new(
        0,
        3,
        LARGE_QUEUE,
        Limits {
            segment_bytes: 100,
            total_bytes: 200,
        },
    );
    take_steps(&mut captured, 5);
    let log = captured.write(50_000);
    assert!(
        log.len() == 1 && log[0].contains("exceeds keep_mb"),
        "{log:?}"
    );
    assert!(captured.finish().is_empty());
}

#[test]
fn a_node_name_is_sanitized_for_file_names() {
    let cases = [
        ("n3", "n3"),
        ("a/b", "a_b"),
        ("../x", ".._x"),
        ("..", "node"),
        ("", "node"),
        ("é-1", "__1"),
    ];
    for (name, expected) in cases {
        assert_eq!(sanitize_node_name(name), expected);
        let file = format!("{}-0000000000001-000002.plc", sanitize_node_name(name));
        let parsed = SegmentName {
            node: expected,
            run: 1,
            segment: 2,
        };
        assert_eq!(SegmentName::parse(&file), Some(parsed));
        assert_eq!(parsed.file_name(), file);
    }
    for name in [
        "n1.plc",
        "n1-1.plc",
        "-1-x.plc",
        "n1-0000000000001-000002.txt",
    ] {
        let parsed = SegmentName::parse(name);
        assert_eq!(parsed.filter(|name| name.node == "n1"), None, "{name}");
    }
}

/// A directory in which each append waits for a permit from the test.
struct SlowDirectory {
    directory: MemoryDirectory,
    permits: Receiver<()>,
}

impl Directory for SlowDirectory {
    fn list(&mut self) -> io::Result<Vec<(String, u64)>> {
        self.directory.list()
    }
    fn create(&mut self, name: &str) -> io::Result<()> {
        self.directory.create(name)
    }
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        // An error means that the test is over: no further permits.
        let _ = self.permits.recv();
        self.directory.append(bytes)
    }
    fn close(&mut self) {
        self.directory.close();
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.directory.remove(name)
    }
    fn contains(&mut self, name: &str) -> bool {
        self.directory.contains(name)
    }
}

#[test]
fn a_hanging_disk_blocks_neither_the_event_loop_nor_the_shutdown() {
    let (mut recorder, receiver) = record_queue(run_info(3), 16 << 10);
    let (permit_sender, permits) = channel();
    let writer = CaptureWriter::new(
        SlowDirectory {
            directory: MemoryDirectory::default(),
            permits,
        },
        WIDE_LIMITS,
        "n1",
    );
    let thread = start_writer(writer, receiver, |_| {}).unwrap();
    let mut host = SimulatedHost::new(0, 3);
    // Far more records than fit into the queue: the event loop does not wait for the disk.
    for i in 0..20_000u32 {
        host.step(1_000, &[((i * 5) as u8, i * 97)], Some(&mut recorder));
    }
    drop(recorder);
    assert!(
        !thread.wait(Duration::from_millis(50)),
        "the writer still waits for the disk"
    );
    drop(permit_sender);
    assert!(thread.wait(Duration::from_secs(20)));
}

/// Guards against a second segment at the start of a capture. The writer finds the queue empty, the
/// recorder queues the first checkpoint, and only then the writer requests that checkpoint.
#[test]
fn a_request_for_a_checkpoint_already_queued_causes_no_second_one() {
    const ONE_SECOND: i32 = 1_000_000;
    let mut captured = CapturedHost::new(0, 3, LARGE_QUEUE, WIDE_LIMITS);
    captured.receiver.drain(|message| panic!("{message:?}"));
    take_steps(&mut captured, 1);
    captured.receiver.request_checkpoint();
    // Later than the shortest time between two checkpoints.
    captured.step(ONE_SECOND, &[]);
    captured.write(0);
    captured.step(ONE_SECOND, &[]);
    assert_eq!(captured.finish().len(), 1, "segments");
}

#[test]
fn a_directory_on_disk_is_created_written_and_read_back() {
    let path = std::env::temp_dir().join(format!(
        "pipitlever-{}-capture-writer/nested",
        std::process::id()
    ));
    let (mut recorder, receiver) = record_queue(run_info(3), LARGE_QUEUE);
    let writer = CaptureWriter::new(CaptureDirectory::new(&path), WIDE_LIMITS, "n1");
    let thread = start_writer(writer, receiver, |_| {}).unwrap();
    let mut host = SimulatedHost::new(0, 3);
    for i in 0..500u32 {
        host.step(1_000, &[((i * 5) as u8, i * 97)], Some(&mut recorder));
    }
    drop(recorder);
    assert!(thread.wait(Duration::from_secs(20)));
    let mut files: Vec<_> = std::fs::read_dir(&path)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    files.sort();
    let segments: Vec<Vec<u8>> = files
        .iter()
        .map(|path| std::fs::read(path).unwrap())
        .collect();
    assert!(replay(&segments).is_complete(500));
    std::fs::remove_dir_all(path.parent().unwrap()).unwrap();
}
