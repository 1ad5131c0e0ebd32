//! Versions of the settings as several real processes act on them: what is published is taken by
//! all, and no process of a node goes back behind what it has acted on, whatever becomes of its
//! disk, its neighbours and its links.

mod common;

use common::{configuration, request_params, ScratchDirectory, PROGRAM};
use pipitlever_cluster_testing::process_control::{call_control, Cluster, ClusterConfig, LogLine};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

fn cluster(folder: &ScratchDirectory, nodes: usize, more: &str) -> Cluster {
    std::fs::create_dir_all(&folder.0).unwrap();
    let electors = "electors = [\"n0\", \"n1\", \"n2\"]\nlease_ms = 3000\n";
    let more = format!("[fleet.versions]\nfolder = \"FOLDER/versions\"\n{electors}{more}");
    Cluster::start_converged(
        ClusterConfig::new(PROGRAM, configuration(&json!({})), folder.0.clone(), more),
        nodes,
    )
}

/// `pipitlever fleet` with these words at the door of a node.
fn fleet(cluster: &Cluster, node: usize, words: &[&str]) -> (bool, String) {
    let door = cluster.nodes[node]
        .process
        .as_ref()
        .unwrap()
        .control_address
        .to_string();
    let output = Command::new(PROGRAM)
        .arg("fleet")
        .args(words)
        .args(["--at", &door])
        .output()
        .unwrap();
    (
        output.status.success(),
        String::from_utf8([output.stdout, output.stderr].concat()).unwrap(),
    )
}

/// Has all know of a class of this name alone beside the usual ones.
fn publish(
    cluster: &Cluster,
    folder: &ScratchDirectory,
    node: usize,
    class: &str,
) -> (bool, String) {
    let mut settings = configuration(&json!({}))["settings"].clone();
    let mut entry = settings["categories"][0].clone();
    entry["name"] = json!(class);
    settings["categories"].as_array_mut().unwrap().push(entry);
    settings["familyInfo"]["classCalls"]
        .as_array_mut()
        .unwrap()
        .push(json!(true));
    let file = folder.0.join(format!("{class}.json"));
    std::fs::write(&file, json!({ "settings": settings }).to_string()).unwrap();
    fleet(
        cluster,
        node,
        &[
            "publish",
            file.to_str().unwrap(),
            "--why",
            "a test wants it",
        ],
    )
}

/// A publication was taken; if not, the failure says why.
fn assert_published((taken, why): (bool, String)) {
    assert!(taken, "{why}");
}

fn versions(cluster: &Cluster, node: usize) -> Option<Value> {
    Some(cluster.view(node)?["versions"].clone())
}

fn all_act(cluster: &Cluster, nodes: &[usize], number: u64) -> bool {
    nodes.iter().all(|i| {
        versions(cluster, *i).is_some_and(|v| v["acting"] == number && v["may_act"] == true)
    })
}

/// One request of a class: 0 if it was served, else the code of its error.
fn ask(cluster: &Cluster, node: usize, class: &str) -> i64 {
    let at = cluster.nodes[node].process.as_ref().unwrap().client_address;
    let mut stream = TcpStream::connect(at).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    let message = json!({"jsonrpc": "2.0", "id": 1, "method": class, "params": request_params(3000, None, b"x")});
    stream.write_all(format!("{message}\n").as_bytes()).unwrap();
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).unwrap();
    let answer: Value = serde_json::from_str(&line).unwrap();
    answer["error"]["code"].as_i64().unwrap_or(0)
}

const NO_CLASS: i64 = -32601;
const REFUSED: i64 = -32000;

fn disk(cluster: &Cluster, folder: &ScratchDirectory, node: usize) -> PathBuf {
    folder.0.join(&cluster.nodes[node].name).join("versions")
}

fn copy(from: &Path, to: &Path) {
    let _ = std::fs::remove_dir_all(to);
    std::fs::create_dir_all(to).unwrap();
    for file in std::fs::read_dir(from).unwrap() {
        let file = file.unwrap();
        std::fs::copy(file.path(), to.join(file.file_name())).unwrap();
    }
}

/// What a process said since it was started, of versions.
fn version_lines(cluster: &Cluster, node: usize) -> Vec<String> {
    let number = cluster.nodes[node].process.as_ref().unwrap().number;
    let lines = cluster
        .lines_containing("versions: ")
        .into_iter()
        .filter(|l| l.process == number);
    lines.map(|l| l.text).collect()
}

fn place(lines: &[String], part: &str) -> usize {
    lines
        .iter()
        .position(|l| l.contains(part))
        .unwrap_or_else(|| panic!("no {part}: {lines:#?}"))
}

/// The first slice: two versions, and a node that comes back with yesterday's disk.
#[test]
fn a_disk_put_back_brings_no_stale_version_back() {
    let folder = ScratchDirectory::new("versions-put-back");
    let mut cluster = cluster(&folder, 4, "");
    let all = [0, 1, 2, 3];
    cluster.wait("all may act on their own files", |c| all_act(c, &all, 0));
    assert_eq!(
        (ask(&cluster, 3, "rota-view"), ask(&cluster, 3, "monday")),
        (0, NO_CLASS)
    );
    let (yes, text) = publish(&cluster, &folder, 0, "monday");
    assert!(yes && text.contains("decided: 1"), "{text}");
    cluster.wait("all act on 1", |c| all_act(c, &all, 1));
    assert!(all.iter().all(|i| ask(&cluster, *i, "monday") == 0));
    let yesterday = folder.0.join("yesterday");
    copy(&disk(&cluster, &folder, 3), &yesterday);
    // Only what the fleet decides: a file of a node's own may be any day's.
    cluster.signal(3, "-HUP");
    cluster.history.wait(0, |l| {
        l.text.contains("reload: not done") && l.text.contains("fleet publish")
    });
    assert_eq!(ask(&cluster, 3, "monday"), 0);

    assert_published(publish(&cluster, &folder, 1, "tuesday"));
    cluster.wait("all act on 2", |c| all_act(c, &all, 2));
    assert!(all
        .iter()
        .all(|i| ask(&cluster, *i, "tuesday") == 0 && ask(&cluster, *i, "monday") == NO_CLASS));
    // A version is made on top of the newest, and by an elector.
    assert!(fleet(&cluster, 3, &["close", "1"])
        .1
        .contains("not an acceptor"));

    for new_disk in [false, true] {
        cluster.kill(3);
        match new_disk {
            true => std::fs::remove_dir_all(disk(&cluster, &folder, 3)).unwrap(),
            false => copy(&yesterday, &disk(&cluster, &folder, 3)),
        }
        cluster.start(3);
        // While it comes up: under yesterday's version nothing is served, and under none either.
        loop {
            let answer = ask(&cluster, 3, "monday");
            assert!(
                answer == REFUSED || answer == NO_CLASS,
                "{answer} {:#?}",
                version_lines(&cluster, 3)
            );
            if all_act(&cluster, &[3], 2) {
                break;
            }
        }
        // Its log is read by another thread, which may lag behind its view.
        let number = cluster.nodes[3].process.as_ref().unwrap().number;
        let serves = |l: &LogLine| l.process == number && l.text.contains("versions: serving");
        assert!(cluster.history.wait(0, serves).is_some());
        let lines = version_lines(&cluster, 3);
        assert!(
            place(&lines, "minimum version is known minimum_version=2")
                < place(&lines, "activated number=2"),
            "{lines:#?}"
        );
        assert!(
            place(&lines, "activated number=2") < place(&lines, "versions: serving"),
            "{lines:#?}"
        );
        assert_eq!(
            (ask(&cluster, 3, "tuesday"), ask(&cluster, 3, "monday")),
            (0, NO_CLASS)
        );
    }
}

/// A node that finds neither neighbours nor a disk that it may trust waits, and says why; an
/// operator can end that.
#[test]
fn a_node_alone_with_yesterdays_disk_waits_for_its_neighbours() {
    let folder = ScratchDirectory::new("versions-alone");
    let mut cluster = cluster(&folder, 4, "");
    let all = [0, 1, 2, 3];
    cluster.wait("all may act on their own files", |c| all_act(c, &all, 0));
    publish(&cluster, &folder, 0, "monday");
    cluster.wait("all act on 1", |c| all_act(c, &all, 1));
    let yesterday = folder.0.join("yesterday");
    copy(&disk(&cluster, &folder, 3), &yesterday);
    publish(&cluster, &folder, 0, "tuesday");
    cluster.wait("all act on 2", |c| all_act(c, &all, 2));
    all.iter().for_each(|i| cluster.kill(*i));
    copy(&yesterday, &disk(&cluster, &folder, 3));
    cluster.start(3);
    cluster.wait("it is up", |c| {
        ask(c, 3, "rota-view") == REFUSED && ask(c, 3, "monday") == REFUSED
    });
    let standing = versions(&cluster, 3).unwrap();
    assert!(
        standing["why"]
            .as_str()
            .unwrap()
            .contains("no quorum of acceptors has answered"),
        "{standing}"
    );
    let door = cluster.nodes[3].process.as_ref().unwrap().control_address;
    assert_eq!(cluster.member(3, "n3").unwrap()["standing"], "starting");
    // One elector is no majority.
    cluster.start(0);
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(
        (
            ask(&cluster, 3, "monday"),
            versions(&cluster, 3).unwrap()["may_act"].clone()
        ),
        (REFUSED, json!(false))
    );
    cluster.start(1);
    cluster.wait("it has gone forward", |c| all_act(c, &[0, 1, 3], 2));
    assert_eq!(
        (ask(&cluster, 3, "tuesday"), ask(&cluster, 3, "monday")),
        (0, NO_CLASS)
    );
    // With the electors lost for good an operator takes it upon himself, and the node says what it
    // goes by.
    [0, 1, 3].iter().for_each(|i| cluster.kill(*i));
    copy(&yesterday, &disk(&cluster, &folder, 3));
    cluster.start(3);
    cluster.wait("it is up", |c| ask(c, 3, "monday") == REFUSED);
    assert!(
        !call_control(door, "POST /fleet/accept-floor/x").is_some_and(|response| response.is_ok)
    );
    assert!(fleet(&cluster, 3, &["accept-floor", "1"]).0);
    cluster.wait("it acts on what it has", |c| all_act(c, &[3], 1));
    assert_eq!(ask(&cluster, 3, "monday"), 0);
}

/// A replacement, a kill in the middle of a publish, and halves that don't hear each other: each
/// node's versions only grow.
#[test]
fn versions_only_grow_through_cuts_kills_and_a_stopped_process() {
    let folder = ScratchDirectory::new("versions-grow");
    let mut cluster = cluster(&folder, 5, "without_lease = \"refuse\"\n");
    let all = [0, 1, 2, 3, 4];
    cluster.wait("all may act on their own files", |c| all_act(c, &all, 0));
    // n2, n3 and n4 hear nothing of what n0 and n1 decide; n2 is an elector, but no majority.
    cluster.links.partition(5, |i| usize::from(i >= 2));
    let (yes, text) = publish(&cluster, &folder, 0, "monday");
    assert!(yes, "{text}");
    cluster.wait("the larger half acts on 1", |c| all_act(c, &[0, 1], 1));
    // Without a lease the others refuse: what they would do could be stale for as long as they are
    // cut off.
    cluster.wait("the others refuse", |c| {
        [2, 3, 4].iter().all(|i| ask(c, *i, "rota-view") == REFUSED)
    });
    assert!(versions(&cluster, 3).unwrap()["why"]
        .as_str()
        .unwrap()
        .contains("lease"));
    let refused = publish(&cluster, &folder, 2, "sunday");
    assert!(!refused.0, "{}", refused.1);
    // Stopped while the next one is published and the one before is closed, with a request in its
    // socket.
    cluster.links.heal();
    cluster.wait("all act on 1", |c| all_act(c, &all, 1));
    cluster.signal(4, "-STOP");
    let at = cluster.nodes[4].process.as_ref().unwrap().client_address;
    let mut stream = TcpStream::connect(at).unwrap();
    let message = json!({"jsonrpc": "2.0", "id": 1, "method": "monday", "params": request_params(60_000, None, b"x")});
    stream.write_all(format!("{message}\n").as_bytes()).unwrap();
    assert_published(publish(&cluster, &folder, 1, "tuesday"));
    cluster.kill(3);
    cluster.wait("the others act on 2", |c| all_act(c, &[0, 1, 2], 2));
    assert!(fleet(&cluster, 0, &["close", "2"]).0);
    let closed = cluster.history.wait(0, |l| {
        l.text
            .contains("retired all versions below minimum_version=2")
    });
    assert!(closed.is_some());
    let runs = cluster.nodes[4].processor.started_run_count();
    cluster.signal(4, "-CONT");
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).unwrap();
    let answer: Value = serde_json::from_str(&line).unwrap();
    assert_eq!(
        answer["error"]["code"], REFUSED,
        "under a closed version nothing is begun: {answer}"
    );
    assert_eq!(cluster.nodes[4].processor.started_run_count(), runs);
    cluster.start(3);
    cluster.wait("all act on 2", |c| all_act(c, &all, 2));
    assert!(all
        .iter()
        .all(|i| ask(&cluster, *i, "tuesday") == 0 && ask(&cluster, *i, "monday") == NO_CLASS));
    // What each node has acted on, over all its processes, only grew.
    for node in all {
        let numbers: Vec<u64> = cluster
            .history
            .lines()
            .iter()
            .filter(|l| l.node == node)
            .filter_map(|l| {
                l.text
                    .strip_prefix("versions: activated number=")?
                    .parse()
                    .ok()
            })
            .collect();
        assert!(
            numbers.windows(2).all(|n| n[0] < n[1]),
            "n{node}: {numbers:?}"
        );
    }
}

/// A successor acts on what its predecessor did, at once and through a publish that comes
/// meanwhile; and where it dies again the first one goes on from what it has written.
#[test]
fn a_replacement_neither_goes_back_nor_stops_serving() {
    let folder = ScratchDirectory::new("versions-replaced");
    let mut cluster = cluster(&folder, 4, "");
    let all = [0, 1, 2, 3];
    cluster.wait("all may act on their own files", |c| all_act(c, &all, 0));
    assert_published(publish(&cluster, &folder, 0, "monday"));
    cluster.wait("all act on 1", |c| all_act(c, &all, 1));
    // n1 is an elector, n3 is none.
    for (node, class) in [(1, "tuesday"), (3, "wednesday")] {
        let acting = versions(&cluster, node).unwrap()["acting"]
            .as_u64()
            .unwrap();
        let usual = ["monday", "tuesday"][acting as usize - 1];
        let listen = cluster.nodes[node].process.as_ref().unwrap().client_address;
        let behind = cluster.history.lines().len();
        let launched = cluster.launch(node, &format!("n{node}"), Some(listen));
        let number = launched.number;
        // Callers ask all the while, of whatever process serves.
        let mut asked = Vec::new();
        let serves = |c: &Cluster| {
            c.history.lines()[behind..]
                .iter()
                .any(|l| l.process == number && l.text.contains("fleet: serving"))
        };
        while !serves(&cluster) {
            asked.push(ask(&cluster, node, usual));
        }
        // Published while the two change places.
        assert_published(publish(&cluster, &folder, 0, class));
        let successor = cluster.wait_ready(launched);
        let mut old = cluster.nodes[node].process.replace(successor).unwrap();
        cluster.wait("the new one acts on it", |c| all_act(c, &all, acting + 1));
        assert!(asked.iter().all(|code| *code == 0), "{asked:?}");
        assert_eq!(
            (ask(&cluster, node, class), ask(&cluster, node, usual)),
            (0, NO_CLASS)
        );
        let lines = version_lines(&cluster, node);
        assert!(
            lines[0].contains(&format!("active_version={acting} minimum_version={acting}")),
            "{lines:#?}"
        );
        assert!(!lines.iter().any(|l| l.contains("refusing")), "{lines:#?}");
        old.signal("-TERM");
        assert_eq!(old.wait().code(), Some(0));
    }

    // One that takes over, votes for and acts on another version, and dies.
    let listen = cluster.nodes[1].process.as_ref().unwrap().client_address;
    let first = cluster.nodes[1].process.take().unwrap();
    let successor = cluster.start_process(1, "n1", Some(listen));
    cluster.nodes[1].process = Some(successor);
    cluster.wait("it is the member", |c| {
        versions(c, 1).is_some_and(|v| v["may_act"] == true)
    });
    // It may act under what was passed on to it before it may publish: until then it says so, and
    // nothing else.
    cluster.wait("it publishes", |c| {
        let (taken, why) = publish(c, &folder, 1, "thursday");
        assert!(
            taken || why.contains("has not written its incarnation or verified its disk yet"),
            "{why}"
        );
        taken
    });
    cluster.wait("all act on 4", |c| all_act(c, &all, 4));
    cluster.nodes[1].process.as_ref().unwrap().signal("-KILL");
    cluster.nodes[1].process = Some(first);
    loop {
        let answer = ask(&cluster, 1, "wednesday");
        assert!(
            answer == REFUSED || answer == NO_CLASS,
            "{answer}: {:#?}",
            version_lines(&cluster, 1)
        );
        if all_act(&cluster, &all, 4) {
            break;
        }
    }
    assert!(
        publish(&cluster, &folder, 1, "friday").0,
        "it votes again, and nobody doubts its disk"
    );
    cluster.wait("all act on 5", |c| all_act(c, &all, 5));
    assert!(cluster.lines_containing("no longer votes").is_empty());
}
