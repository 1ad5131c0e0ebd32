//! Config versions on several real processes: all nodes activate a published version, and no
//! process of a node returns to an older version than one it has activated, whatever faults its
//! disk, the other nodes and the links have.

mod common;

use common::{configuration, request_params, ScratchDirectory, PROGRAM};
use pipitlever_cluster_testing::process_control::{call_control, Cluster, ClusterConfig, LogLine};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

fn cluster(folder: &ScratchDirectory, nodes: usize, settings: &str) -> Cluster {
    std::fs::create_dir_all(&folder.0).unwrap();
    let electors = "electors = [\"n0\", \"n1\", \"n2\"]\nlease_ms = 3000\n";
    let operator_sections =
        format!("[fleet.versions]\nfolder = \"FOLDER/versions\"\n{electors}{settings}");
    Cluster::start_converged(
        ClusterConfig::new(
            PROGRAM,
            configuration(&json!({})),
            folder.0.clone(),
            operator_sections,
        ),
        nodes,
    )
}

/// Runs `pipitlever fleet` with these arguments against the control endpoint of a node. Returns
/// whether it succeeded, and its output.
fn run_fleet_command(cluster: &Cluster, node: usize, arguments: &[&str]) -> (bool, String) {
    let control_address = cluster.nodes[node]
        .process
        .as_ref()
        .unwrap()
        .control_address
        .to_string();
    let output = Command::new(PROGRAM)
        .arg("fleet")
        .args(arguments)
        .args(["--at", &control_address])
        .output()
        .unwrap();
    (
        output.status.success(),
        String::from_utf8([output.stdout, output.stderr].concat()).unwrap(),
    )
}

/// Publishes a version with one class of this name in addition to the default ones.
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
    run_fleet_command(
        cluster,
        node,
        &[
            "publish",
            file.to_str().unwrap(),
            "--why",
            "published by a test",
        ],
    )
}

/// Asserts that a publication was accepted; the failure shows the output of the command.
fn assert_published((accepted, output): (bool, String)) {
    assert!(accepted, "{output}");
}

fn versions(cluster: &Cluster, node: usize) -> Option<Value> {
    Some(cluster.view(node)?["versions"].clone())
}

fn all_act_on(cluster: &Cluster, nodes: &[usize], number: u64) -> bool {
    nodes.iter().all(|i| {
        versions(cluster, *i).is_some_and(|v| v["acting"] == number && v["may_act"] == true)
    })
}

/// Sends one request of a class. Returns 0 if it was served, otherwise the error code.
fn request(cluster: &Cluster, node: usize, class: &str) -> i64 {
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

const UNKNOWN_CLASS: i64 = -32601;
const REJECTED: i64 = -32000;

/// The folder in which a node stores its config versions.
fn versions_folder(cluster: &Cluster, folder: &ScratchDirectory, node: usize) -> PathBuf {
    folder.0.join(&cluster.nodes[node].name).join("versions")
}

fn copy_directory(from: &Path, to: &Path) {
    let _ = std::fs::remove_dir_all(to);
    std::fs::create_dir_all(to).unwrap();
    for file in std::fs::read_dir(from).unwrap() {
        let file = file.unwrap();
        std::fs::copy(file.path(), to.join(file.file_name())).unwrap();
    }
}

/// The log lines about versions that a node's current process has written.
fn version_lines(cluster: &Cluster, node: usize) -> Vec<String> {
    let number = cluster.nodes[node].process.as_ref().unwrap().number;
    let lines = cluster
        .lines_containing("versions: ")
        .into_iter()
        .filter(|l| l.process == number);
    lines.map(|l| l.text).collect()
}

fn index_of_line(lines: &[String], part: &str) -> usize {
    lines
        .iter()
        .position(|l| l.contains(part))
        .unwrap_or_else(|| panic!("no line with {part:?}: {lines:#?}"))
}

/// Guards against a node that serves under a stale version after it restarted with an old copy of
/// its disk, or with an empty one, while the fleet has activated a newer version.
#[test]
fn a_node_with_an_old_disk_serves_no_stale_version() {
    let folder = ScratchDirectory::new("versions-old-disk");
    let mut cluster = cluster(&folder, 4, "");
    let all = [0, 1, 2, 3];
    cluster.wait("all nodes may act on their own files", |c| {
        all_act_on(c, &all, 0)
    });
    assert_eq!(
        (
            request(&cluster, 3, "rota-view"),
            request(&cluster, 3, "monday")
        ),
        (0, UNKNOWN_CLASS)
    );
    let (accepted, text) = publish(&cluster, &folder, 0, "monday");
    assert!(accepted && text.contains("decided: 1"), "{text}");
    cluster.wait("all act on 1", |c| all_act_on(c, &all, 1));
    assert!(all.iter().all(|i| request(&cluster, *i, "monday") == 0));
    let old_disk = folder.0.join("old-disk");
    copy_directory(&versions_folder(&cluster, &folder, 3), &old_disk);
    // A reload does not apply the node's own file, which may be of any age: settings come from the
    // fleet's decisions alone.
    cluster.signal(3, "-HUP");
    cluster.history.wait(0, |l| {
        l.text.contains("reload: not done") && l.text.contains("fleet publish")
    });
    assert_eq!(request(&cluster, 3, "monday"), 0);

    assert_published(publish(&cluster, &folder, 1, "tuesday"));
    cluster.wait("all act on 2", |c| all_act_on(c, &all, 2));
    assert!(all.iter().all(|i| request(&cluster, *i, "tuesday") == 0
        && request(&cluster, *i, "monday") == UNKNOWN_CLASS));
    // Versions are published and retired by acceptors alone, each on top of the newest one.
    assert!(run_fleet_command(&cluster, 3, &["close", "1"])
        .1
        .contains("not an acceptor"));

    for new_disk in [false, true] {
        cluster.kill(3);
        match new_disk {
            true => std::fs::remove_dir_all(versions_folder(&cluster, &folder, 3)).unwrap(),
            false => copy_directory(&old_disk, &versions_folder(&cluster, &folder, 3)),
        }
        cluster.start(3);
        // During the start nothing is served, neither under the old version nor without one.
        loop {
            let answer = request(&cluster, 3, "monday");
            assert!(
                answer == REJECTED || answer == UNKNOWN_CLASS,
                "{answer} {:#?}",
                version_lines(&cluster, 3)
            );
            if all_act_on(&cluster, &[3], 2) {
                break;
            }
        }
        // The log is read by another thread, which may lag behind the view.
        let number = cluster.nodes[3].process.as_ref().unwrap().number;
        let serves = |l: &LogLine| l.process == number && l.text.contains("versions: serving");
        assert!(cluster.history.wait(0, serves).is_some());
        let lines = version_lines(&cluster, 3);
        assert!(
            index_of_line(&lines, "minimum version is known minimum_version=2")
                < index_of_line(&lines, "activated number=2"),
            "{lines:#?}"
        );
        assert!(
            index_of_line(&lines, "activated number=2")
                < index_of_line(&lines, "versions: serving"),
            "{lines:#?}"
        );
        assert_eq!(
            (
                request(&cluster, 3, "tuesday"),
                request(&cluster, 3, "monday")
            ),
            (0, UNKNOWN_CLASS)
        );
    }
}

/// A node with an old disk that reaches no quorum of acceptors rejects requests and reports the
/// reason, until a quorum answers or an operator accepts its minimum version.
#[test]
fn a_node_with_an_old_disk_waits_for_a_quorum() {
    let folder = ScratchDirectory::new("versions-no-quorum");
    let mut cluster = cluster(&folder, 4, "");
    let all = [0, 1, 2, 3];
    cluster.wait("all nodes may act on their own files", |c| {
        all_act_on(c, &all, 0)
    });
    publish(&cluster, &folder, 0, "monday");
    cluster.wait("all act on 1", |c| all_act_on(c, &all, 1));
    let old_disk = folder.0.join("old-disk");
    copy_directory(&versions_folder(&cluster, &folder, 3), &old_disk);
    publish(&cluster, &folder, 0, "tuesday");
    cluster.wait("all act on 2", |c| all_act_on(c, &all, 2));
    all.iter().for_each(|i| cluster.kill(*i));
    copy_directory(&old_disk, &versions_folder(&cluster, &folder, 3));
    cluster.start(3);
    cluster.wait("n3 runs and rejects requests", |c| {
        request(c, 3, "rota-view") == REJECTED && request(c, 3, "monday") == REJECTED
    });
    let view = versions(&cluster, 3).unwrap();
    assert!(
        view["why"]
            .as_str()
            .unwrap()
            .contains("no quorum of acceptors has answered"),
        "{view}"
    );
    let control_address = cluster.nodes[3].process.as_ref().unwrap().control_address;
    assert_eq!(cluster.member(3, "n3").unwrap()["standing"], "starting");
    // One acceptor is not a quorum.
    cluster.start(0);
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(
        (
            request(&cluster, 3, "monday"),
            versions(&cluster, 3).unwrap()["may_act"].clone()
        ),
        (REJECTED, json!(false))
    );
    cluster.start(1);
    cluster.wait("all running nodes act on 2", |c| {
        all_act_on(c, &[0, 1, 3], 2)
    });
    assert_eq!(
        (
            request(&cluster, 3, "tuesday"),
            request(&cluster, 3, "monday")
        ),
        (0, UNKNOWN_CLASS)
    );
    // When the acceptors are lost permanently, an operator can accept the minimum version on the
    // node's behalf.
    [0, 1, 3].iter().for_each(|i| cluster.kill(*i));
    copy_directory(&old_disk, &versions_folder(&cluster, &folder, 3));
    cluster.start(3);
    cluster.wait("n3 runs and rejects requests", |c| {
        request(c, 3, "monday") == REJECTED
    });
    assert!(!call_control(control_address, "POST /fleet/accept-floor/x")
        .is_some_and(|response| response.is_ok));
    assert!(run_fleet_command(&cluster, 3, &["accept-floor", "1"]).0);
    cluster.wait("n3 acts on the version on its disk", |c| {
        all_act_on(c, &[3], 1)
    });
    assert_eq!(request(&cluster, 3, "monday"), 0);
}

/// Through a partition, a stopped process and a crash during a publication, the numbers of the
/// versions that each node activates only grow.
#[test]
fn versions_only_grow_through_partitions_crashes_and_a_stopped_process() {
    let folder = ScratchDirectory::new("versions-grow");
    let mut cluster = cluster(&folder, 5, "without_lease = \"refuse\"\n");
    let all = [0, 1, 2, 3, 4];
    cluster.wait("all nodes may act on their own files", |c| {
        all_act_on(c, &all, 0)
    });
    // n2, n3 and n4 receive nothing that n0 and n1 decide; n2 is an acceptor, but not a quorum.
    cluster.links.partition(5, |i| usize::from(i >= 2));
    let (accepted, text) = publish(&cluster, &folder, 0, "monday");
    assert!(accepted, "{text}");
    cluster.wait("the part with a quorum acts on 1", |c| {
        all_act_on(c, &[0, 1], 1)
    });
    // Without a lease the other nodes reject requests, as their version may be stale for as long as
    // they are cut off.
    cluster.wait("the other nodes reject requests", |c| {
        [2, 3, 4]
            .iter()
            .all(|i| request(c, *i, "rota-view") == REJECTED)
    });
    assert!(versions(&cluster, 3).unwrap()["why"]
        .as_str()
        .unwrap()
        .contains("lease"));
    let rejected = publish(&cluster, &folder, 2, "sunday");
    assert!(!rejected.0, "{}", rejected.1);
    // n4 is stopped, with a request in its socket, while the next version is published and the
    // earlier ones are retired.
    cluster.links.heal();
    cluster.wait("all act on 1", |c| all_act_on(c, &all, 1));
    cluster.signal(4, "-STOP");
    let at = cluster.nodes[4].process.as_ref().unwrap().client_address;
    let mut stream = TcpStream::connect(at).unwrap();
    let message = json!({"jsonrpc": "2.0", "id": 1, "method": "monday", "params": request_params(60_000, None, b"x")});
    stream.write_all(format!("{message}\n").as_bytes()).unwrap();
    assert_published(publish(&cluster, &folder, 1, "tuesday"));
    cluster.kill(3);
    cluster.wait("the other nodes act on 2", |c| all_act_on(c, &[0, 1, 2], 2));
    assert!(run_fleet_command(&cluster, 0, &["close", "2"]).0);
    let retired = cluster.history.wait(0, |l| {
        l.text
            .contains("retired all versions below minimum_version=2")
    });
    assert!(retired.is_some());
    let runs = cluster.nodes[4].processor.started_run_count();
    cluster.signal(4, "-CONT");
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).unwrap();
    let answer: Value = serde_json::from_str(&line).unwrap();
    assert_eq!(
        answer["error"]["code"], REJECTED,
        "a request was started under a retired version: {answer}"
    );
    assert_eq!(cluster.nodes[4].processor.started_run_count(), runs);
    cluster.start(3);
    cluster.wait("all act on 2", |c| all_act_on(c, &all, 2));
    assert!(all.iter().all(|i| request(&cluster, *i, "tuesday") == 0
        && request(&cluster, *i, "monday") == UNKNOWN_CLASS));
    // The versions that each node activated only grew, over all its processes.
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

/// A successor acts on its predecessor's version at once, and on a version that is published during
/// the hot restart. When the successor crashes, the predecessor resumes from the state that the
/// successor has written to disk.
#[test]
fn a_hot_restart_neither_returns_to_an_older_version_nor_stops_serving() {
    let folder = ScratchDirectory::new("versions-hot-restart");
    let mut cluster = cluster(&folder, 4, "");
    let all = [0, 1, 2, 3];
    cluster.wait("all nodes may act on their own files", |c| {
        all_act_on(c, &all, 0)
    });
    assert_published(publish(&cluster, &folder, 0, "monday"));
    cluster.wait("all act on 1", |c| all_act_on(c, &all, 1));
    // n1 is an acceptor, n3 is not.
    for (node, class) in [(1, "tuesday"), (3, "wednesday")] {
        let acting = versions(&cluster, node).unwrap()["acting"]
            .as_u64()
            .unwrap();
        let old_class = ["monday", "tuesday"][acting as usize - 1];
        let listen = cluster.nodes[node].process.as_ref().unwrap().client_address;
        let line_count = cluster.history.lines().len();
        let launched = cluster.launch(node, &format!("n{node}"), Some(listen));
        let number = launched.number;
        // Requests reach either process until the successor serves.
        let mut codes = Vec::new();
        let serves = |c: &Cluster| {
            c.history.lines()[line_count..]
                .iter()
                .any(|l| l.process == number && l.text.contains("fleet: serving"))
        };
        while !serves(&cluster) {
            codes.push(request(&cluster, node, old_class));
        }
        // Published during the hot restart.
        assert_published(publish(&cluster, &folder, 0, class));
        let successor = cluster.wait_ready(launched);
        let mut old = cluster.nodes[node].process.replace(successor).unwrap();
        cluster.wait("all nodes act on the new version", |c| {
            all_act_on(c, &all, acting + 1)
        });
        assert!(codes.iter().all(|code| *code == 0), "{codes:?}");
        assert_eq!(
            (
                request(&cluster, node, class),
                request(&cluster, node, old_class)
            ),
            (0, UNKNOWN_CLASS)
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

    // A successor takes over, votes for and activates another version, and crashes.
    let listen = cluster.nodes[1].process.as_ref().unwrap().client_address;
    let predecessor = cluster.nodes[1].process.take().unwrap();
    let successor = cluster.start_process(1, "n1", Some(listen));
    cluster.nodes[1].process = Some(successor);
    cluster.wait("the successor is the member", |c| {
        versions(c, 1).is_some_and(|v| v["may_act"] == true)
    });
    // The successor may act on the transferred version before it may publish. Until then a
    // publication fails with this reason and no other.
    cluster.wait("the successor publishes", |c| {
        let (accepted, output) = publish(c, &folder, 1, "thursday");
        assert!(
            accepted || output.contains("has not written its incarnation or verified its disk yet"),
            "{output}"
        );
        accepted
    });
    cluster.wait("all act on 4", |c| all_act_on(c, &all, 4));
    cluster.nodes[1].process.as_ref().unwrap().signal("-KILL");
    cluster.nodes[1].process = Some(predecessor);
    loop {
        let answer = request(&cluster, 1, "wednesday");
        assert!(
            answer == REJECTED || answer == UNKNOWN_CLASS,
            "{answer}: {:#?}",
            version_lines(&cluster, 1)
        );
        if all_act_on(&cluster, &all, 4) {
            break;
        }
    }
    assert!(
        publish(&cluster, &folder, 1, "friday").0,
        "the predecessor does not vote again, or its disk is not verified"
    );
    cluster.wait("all act on 5", |c| all_act_on(c, &all, 5));
    assert!(cluster.lines_containing("no longer votes").is_empty());
}
