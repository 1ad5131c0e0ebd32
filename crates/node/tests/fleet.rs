//! Membership of several real processes under network and process faults, with clients that send
//! requests all the while. Checks that views converge and that no client loses an answer.

mod common;

use common::{configuration, ScratchDirectory, PROGRAM};
use pipitlever_cluster_testing::network_relay::LinkFaults;
use pipitlever_cluster_testing::open_loop::run_open_loop;
use pipitlever_cluster_testing::process_control::{call_control, Cluster, ClusterConfig, LogLine};
use pipitlever_cluster_testing::process_usage::{cpu_ms, memory_mb};
use pipitlever_cluster_testing::simulated_peers::SimulatedPeers;
use pipitlever_cluster_testing::stand_ins::{verify, Client, ClientLog, Processor};
use serde_json::json;
use std::io::{Read, Write};
use std::time::{Duration, Instant};

fn spec(folder: &ScratchDirectory) -> ClusterConfig {
    std::fs::create_dir_all(&folder.0).unwrap();
    let config = configuration(&json!({}));
    ClusterConfig {
        program: PROGRAM.into(),
        platform_config: config,
        directory: folder.0.clone(),
        probe_interval_ms: 200,
        external_seeds: Vec::new(),
        is_clustered: true,
        operator_sections: String::new(),
    }
}

fn member_state(cluster: &Cluster, node: usize, name: &str) -> String {
    cluster
        .member(node, name)
        .map_or(String::new(), |m| m["state"].as_str().unwrap().to_owned())
}

fn all_see_state(cluster: &Cluster, nodes: &[usize], name: &str, expected: &str) -> bool {
    nodes
        .iter()
        .all(|i| member_state(cluster, *i, name) == expected)
}

/// The log lines, after the first `skip` ones, that declare a member other than `expected` down.
fn wrongly_down(cluster: &Cluster, skip: usize, expected: &[&str]) -> Vec<LogLine> {
    let lines = cluster.history.lines().split_off(skip);
    let is_down =
        |l: &LogLine| l.text.contains("suspect -> down") || l.text.contains("alive -> down");
    let is_about = |l: &LogLine, name: &str| l.text.contains(&format!("member={name} "));
    lines
        .into_iter()
        .filter(|l| is_down(l) && !expected.iter().any(|name| is_about(l, name)))
        .collect()
}

fn stop_and_verify(clients: Vec<Client>, cluster: &Cluster, max_latency: Duration) {
    let client_logs: Vec<ClientLog> = clients.into_iter().map(Client::stop).collect();
    let runs: Vec<&Processor> = cluster.nodes.iter().map(|n| &n.processor).collect();
    let counts = verify(&client_logs, &runs).unwrap_or_else(|violation| panic!("{violation}"));
    println!("{counts:?}");
    assert!(counts.served > 200, "{counts:?}");
    let longest = client_logs.iter().map(|a| a.longest_latency).max().unwrap();
    assert!(longest < max_latency, "the slowest answer took {longest:?}");
}

/// Runs `pipitlever fleet` with these arguments against the control endpoints of these nodes.
/// Returns its exit code and its output.
fn run_fleet_command(
    cluster: &Cluster,
    arguments: &[&str],
    nodes: &[usize],
) -> (Option<i32>, String) {
    let mut command = std::process::Command::new(PROGRAM);
    command.arg("fleet").args(arguments);
    for node in nodes {
        command.args([
            "--at",
            &cluster.nodes[*node]
                .process
                .as_ref()
                .unwrap()
                .control_address
                .to_string(),
        ]);
    }
    let output = command.output().unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8(text).unwrap())
}

#[test]
fn two_nodes_discover_each_other_and_detect_a_crash() {
    let folder = ScratchDirectory::new("fleet-two");
    let mut cluster = Cluster::start_converged(spec(&folder), 2);
    let (code, text) = run_fleet_command(&cluster, &["status"], &[0]);
    assert!(
        code == Some(0) && text.contains("n0*") && text.contains("settled"),
        "{text}"
    );
    let (code, text) = run_fleet_command(&cluster, &["compare"], &[0, 1]);
    assert!(
        code == Some(0) && text.contains("equal: 2 views of 2 members, 2 alive"),
        "{text}"
    );
    assert_eq!(run_fleet_command(&cluster, &["compare"], &[0]).0, Some(1));
    assert_eq!(
        run_fleet_command(&cluster, &["status", "--at", "nowhere"], &[]).0,
        Some(1)
    );
    // During a partition the views of the two nodes differ.
    cluster.links.partition(2, |i| i);
    cluster.wait("both nodes see each other as down", |c| {
        member_state(c, 0, "n1") == "down" && member_state(c, 1, "n0") == "down"
    });
    let (code, text) = run_fleet_command(&cluster, &["compare"], &[0, 1]);
    assert!(
        code == Some(1) && text.contains("n1: ") && text.contains("(n0)"),
        "{text}"
    );
    cluster.links.heal();
    cluster.wait_converged("the partition has healed");
    cluster.kill(1);
    cluster.wait("n1 is down", |c| member_state(c, 0, "n1") == "down");
    assert_eq!(cluster.view(0).unwrap()["cut_off"], true);
    cluster.start(1);
    cluster.wait_converged("n1 is back");
    // A drain announces that the member leaves; a crash does not.
    cluster.signal(1, "-TERM");
    cluster.wait("n1 has left", |c| member_state(c, 0, "n1") == "left");
    // The log is read by another thread, which may lag behind the view.
    let has_left = |l: &LogLine| l.node == 0 && l.text.contains("alive -> left incarnation=");
    assert!(cluster.history.wait(0, has_left).is_some());
    let lines = cluster
        .lines_containing("member=n1")
        .into_iter()
        .filter(|l| l.node == 0);
    let lines: Vec<String> = lines.map(|l| l.text).collect();
    let seen = |part: &str| lines.iter().any(|l| l.contains(part));
    assert!(
        seen("alive -> suspect") && seen("probe of this node timed out") && seen("suspect -> down"),
        "{lines:#?}"
    );
    assert!(
        seen("down -> alive") && seen("alive -> left incarnation="),
        "{lines:#?}"
    );
    let metrics = call_control(
        cluster.nodes[0].process.as_ref().unwrap().control_address,
        "GET /status/metrics",
    )
    .unwrap()
    .body;
    assert!(
        metrics.contains("edge.fleet.alive:1|g") && metrics.contains("edge.fleet.left:1|g"),
        "{metrics}"
    );
}

/// One sequence of faults on seven nodes, with clients that send requests throughout.
#[test]
fn seven_nodes_converge_after_each_fault_and_clients_are_served() {
    let folder = ScratchDirectory::new("fleet-seven");
    let mut cluster = Cluster::start_converged(spec(&folder), 7);
    let clients: Vec<Client> = (0..7).map(|i| cluster.start_client(i)).collect();
    let (all, line_count) = ([0, 1, 2, 3, 4, 5, 6], cluster.history.lines().len());

    // A one-way link, a link cut in both directions, and a node whose links lose, duplicate and
    // corrupt datagrams.
    let cut = LinkFaults {
        is_cut: true,
        ..LinkFaults::default()
    };
    let degraded = LinkFaults {
        loss: 0.1,
        duplication: 0.2,
        corruption: 0.1,
        delay: Duration::from_millis(20),
        is_cut: false,
    };
    cluster.links.set(1, 0, cut);
    cluster.links.set(2, 3, cut);
    cluster.links.set(3, 2, cut);
    all.iter().for_each(|i| cluster.links.set(4, *i, degraded));
    std::thread::sleep(Duration::from_secs(4));
    assert_eq!(
        wrongly_down(&cluster, line_count, &[]).len(),
        0,
        "{:#?}",
        wrongly_down(&cluster, line_count, &[])
    );
    cluster.links.heal();
    cluster.wait_converged("the links have healed");

    // A node is stopped until it is declared down, while another one crashes and restarts.
    cluster.signal(5, "-STOP");
    cluster.wait("n5 is down", |c| {
        all_see_state(c, &[0, 1, 2, 3, 4, 6], "n5", "down")
    });
    cluster.kill(6);
    cluster.wait("n6 is down", |c| {
        all_see_state(c, &[0, 1, 2, 3, 4], "n6", "down")
    });
    cluster.start(6);
    cluster.wait("n6 is back", |c| c.have_converged(&[0, 1, 2, 3, 4, 6]));
    let lines_before_resume = cluster.history.lines().len();
    cluster.signal(5, "-CONT");
    cluster.wait_converged("n5 resumes");
    let wrong = wrongly_down(&cluster, lines_before_resume, &[]);
    assert!(
        wrong.is_empty(),
        "members declared down after n5 resumed: {wrong:#?}"
    );
    assert!(cluster
        .lines_containing("fleet: refuted: claimed_state=")
        .iter()
        .any(|l| l.node == 5));

    // A partition into two parts, with a crash, a restart and a graceful leave during it.
    cluster.links.partition(7, |i| usize::from(i >= 4));
    cluster.wait("the two parts see each other as down", |c| {
        all_see_state(c, &[0, 1, 2, 3], "n4", "down")
            && all_see_state(c, &[4, 5, 6], "n0", "down")
            && all_see_state(c, &[0, 1, 2, 3], "n6", "down")
            && all_see_state(c, &[4, 5, 6], "n3", "down")
    });
    cluster.wait("the smaller part detects that it is cut off", |c| {
        [4, 5, 6]
            .iter()
            .all(|i| c.view(*i).unwrap()["cut_off"] == true)
            && c.view(0).unwrap()["cut_off"] == false
    });
    cluster.kill(3);
    cluster.kill(4);
    cluster.start(4);
    cluster.signal(5, "-TERM");
    cluster.nodes[5].process.as_mut().unwrap().wait();
    cluster.nodes[5].process = None;
    cluster.wait("n3 is down", |c| all_see_state(c, &[0, 1, 2], "n3", "down"));
    cluster.links.heal();
    let running = [0, 1, 2, 4, 6];
    let took = cluster.wait("the two parts converge after the heal", |c| {
        c.have_converged(&running)
    });
    assert!(took < Duration::from_secs(10), "{took:?}");
    assert!(
        all_see_state(&cluster, &running, "n3", "down")
            && all_see_state(&cluster, &running, "n5", "left")
    );
    cluster.start(3);
    cluster.start(5);
    cluster.wait_converged("all are back");

    // All nodes crash and restart at the same time.
    (0..7).for_each(|i| cluster.kill(i));
    (0..7).for_each(|i| cluster.start(i));
    cluster.wait_converged("all have restarted");
    stop_and_verify(clients, &cluster, Duration::from_secs(5));
}

#[test]
fn a_hot_restart_leaves_one_member_also_during_a_partition() {
    let folder = ScratchDirectory::new("fleet-hot-restart");
    let mut cluster = Cluster::start_converged(spec(&folder), 4);
    let clients: Vec<Client> = (0..4).map(|i| cluster.start_client(i)).collect();
    let before = cluster.member(0, "n2").unwrap();
    let line_count = cluster.history.lines().len();
    for partition in [false, true] {
        if partition {
            cluster.links.partition(4, |i| usize::from(i == 3));
            cluster.wait("n3 is cut off", |c| {
                all_see_state(c, &[0, 1, 2], "n3", "down")
            });
        }
        let listen = cluster.nodes[2].process.as_ref().unwrap().client_address;
        let successor = cluster.start_process(2, "n2", Some(listen));
        let number = successor.number;
        let serving = cluster.history.wait(line_count, |l| {
            l.process == number && l.text.contains("fleet: serving")
        });
        assert!(serving.is_some(), "{:#?}", cluster.tail(2));
        let mut old = cluster.nodes[2].process.replace(successor).unwrap();
        // While both processes run, only one of them sends and receives messages: with two senders
        // the other members would alternate between their states.
        let received_count = |control_address| {
            let text = call_control(control_address, "GET /status/metrics")
                .unwrap()
                .body;
            let count = text
                .lines()
                .find_map(|l| l.strip_prefix("edge.fleet.heard:")?.strip_suffix("|c"));
            count
                .unwrap_or_else(|| panic!("{text}"))
                .parse::<u64>()
                .unwrap()
        };
        let (before, control_address) = (
            received_count(old.control_address),
            cluster.nodes[2].process.as_ref().unwrap().control_address,
        );
        cluster.wait("the successor receives messages", |_| {
            received_count(control_address) > 20
        });
        assert_eq!(received_count(old.control_address), before);
        old.signal("-TERM");
        assert_eq!(old.wait().code(), Some(0));
        cluster.wait("the successor is a member", |c| {
            c.have_converged(if partition { &[0, 1, 2] } else { &[0, 1, 2, 3] })
        });
    }
    // No node, other than the one that was cut off, logged a change of state of n2.
    let lines = cluster.history.lines().split_off(line_count);
    let seen: Vec<_> = lines
        .iter()
        .filter(|l| l.node < 2 && l.text.contains("member=n2 "))
        .collect();
    assert!(seen.is_empty(), "{seen:#?}");
    let after = cluster.member(0, "n2").unwrap();
    assert_eq!(
        (&after["incarnation"], &after["address"]),
        (&before["incarnation"], &before["address"])
    );
    cluster.links.heal();
    cluster.wait_converged("n3 is back");

    // A predecessor that crashes during the hot restart, before or after it has yielded, leaves
    // one live member.
    let listen = cluster.nodes[2].process.as_ref().unwrap().client_address;
    let successor = cluster.start_process(2, "n2", Some(listen));
    cluster.kill(2);
    cluster.nodes[2].process = Some(successor);
    cluster.wait_converged("the successor is the member");
    let member = cluster.member(0, "n2").unwrap();
    assert_eq!(
        (&member["address"], &member["conflict"]),
        (&before["address"], &json!([]))
    );
    stop_and_verify(clients, &cluster, Duration::from_secs(5));
}

#[test]
fn a_crash_at_any_step_of_a_hot_restart_leaves_one_live_member() {
    let folder = ScratchDirectory::new("fleet-crashes");
    let mut cluster = Cluster::start_converged(spec(&folder), 3);
    let clients: Vec<Client> = (0..3).map(|i| cluster.start_client(i)).collect();
    let initial = cluster.member(0, "n2").unwrap();
    // The log line of either process after which a process is killed, whether the successor is the
    // one that is killed, and the delay in milliseconds.
    let (connected, took_over, yielded) = (
        "a successor connected",
        "took over, this process serves",
        "yielded, the successor serves",
    );
    let steps = [
        (connected, true, 0),
        (connected, true, 3),
        (took_over, true, 0),
        (yielded, true, 50),
        (connected, false, 0),
        (connected, false, 3),
        (took_over, false, 0),
        (yielded, false, 50),
    ];
    for (log_text, kills_successor, ms) in steps {
        let line_count = cluster.history.lines().len();
        let old = cluster.nodes[2].process.as_ref().unwrap().number;
        let listen = cluster.nodes[2].process.as_ref().unwrap().client_address;
        let launched = cluster.launch(2, "n2", Some(listen));
        let new = launched.number;
        let is_step =
            |l: &LogLine| (l.process == old || l.process == new) && l.text.contains(log_text);
        assert!(
            cluster.history.wait(line_count, is_step).is_some(),
            "{log_text}: {:#?}",
            cluster.tail(2)
        );
        std::thread::sleep(Duration::from_millis(ms));
        if kills_successor {
            launched.signal("-KILL");
            drop(launched);
        } else {
            cluster.nodes[2].process.as_ref().unwrap().signal("-KILL");
            // The predecessor is reaped before the successor is waited for; clients stay connected
            // to the successor's address.
            cluster.nodes[2].process = None;
            cluster.nodes[2].process = Some(cluster.wait_ready(launched));
        }
        cluster.wait_converged(&format!(
            "killed {ms} ms after {log_text:?}, successor={kills_successor}: the surviving process"
        ));
        let member = cluster.member(0, "n2").unwrap();
        assert_eq!(
            (&member["state"], &member["address"], &member["conflict"]),
            (&json!("alive"), &initial["address"], &json!([])),
            "killed {ms} ms after {log_text:?}, successor={kills_successor}: {:#?}",
            cluster.tail(2)
        );
        let lines = cluster.history.lines().split_off(line_count);
        let ended = lines
            .iter()
            .find(|l| l.node < 2 && l.text.contains("member=n2 ") && l.text.contains("-> left"));
        assert!(
            ended.is_none(),
            "killed {ms} ms after {log_text:?}, successor={kills_successor}: {ended:?}"
        );
    }
    stop_and_verify(clients, &cluster, Duration::from_secs(5));
}

/// Guards against a start that fails with "address in use" because it looked for its predecessor
/// only once, before the predecessor had detected the exit of another successor.
#[test]
fn a_process_started_before_its_predecessor_serves_again_replaces_it() {
    let folder = ScratchDirectory::new("fleet-resuming");
    let mut cluster = Cluster::start_converged(spec(&folder), 2);
    let old = cluster.nodes[1].process.as_ref().unwrap();
    let (old, listen) = (old.number, old.client_address);
    let yielded = |l: &LogLine| l.process == old && l.text.contains("the successor serves");
    let killed_successor = cluster.launch(1, "n1", Some(listen));
    assert!(cluster.history.wait(0, yielded).is_some());
    // Stopped, the predecessor can't detect the exit before the next process has looked for it.
    cluster.signal(1, "-STOP");
    killed_successor.signal("-KILL");
    drop(killed_successor);
    let line_count = cluster.history.lines().len();
    let next = cluster.launch(1, "n1", Some(listen));
    let number = next.number;
    let waits = |l: &LogLine| l.process == number && l.text.contains("address in use");
    let waiting = cluster.history.wait(line_count, waits);
    cluster.signal(1, "-CONT");
    assert!(waiting.is_some(), "{:#?}", cluster.tail(1));
    assert!(
        cluster.history.wait(line_count, yielded).is_some(),
        "{:#?}",
        cluster.tail(1)
    );
    let next = cluster.wait_ready(next);
    cluster.nodes[1].process = Some(next);
    cluster.wait_converged("the next process is the member");
}

#[test]
fn a_node_with_a_wrong_seed_joins_after_a_reload() {
    let folder = ScratchDirectory::new("fleet-seeds");
    let unused = common::unused_address();
    let mut cluster = Cluster::new(
        ClusterConfig {
            external_seeds: vec![unused],
            ..spec(&folder)
        },
        2,
    );
    (0..2).for_each(|i| cluster.start(i));
    for i in 0..2 {
        let view = cluster.view(i).unwrap();
        assert!(
            view["settled"] == false && view["members"].as_array().unwrap().len() == 1,
            "{view}"
        );
    }
    let line = cluster
        .lines_containing("fleet: serving")
        .into_iter()
        .find(|l| l.node == 1)
        .unwrap()
        .text;
    let bind_address = line
        .split(' ')
        .find_map(|w| w.strip_prefix("bind="))
        .unwrap();
    cluster.edit_operator_file(0, &unused.to_string(), bind_address);
    cluster.wait_converged("the nodes have discovered each other");
    let status = call_control(
        cluster.nodes[0].process.as_ref().unwrap().control_address,
        "GET /status",
    )
    .unwrap();
    assert!(status.is_ok && cluster.lines_containing("reload: done").len() == 1);
}

#[test]
fn a_node_out_of_descriptors_stays_a_member_and_detects_a_crash() {
    let folder = ScratchDirectory::new("fleet-descriptors");
    let mut cluster = Cluster::start_converged(spec(&folder), 4);
    let id = cluster.nodes[2].process.as_ref().unwrap().id().to_string();
    let set_descriptor_limits = |soft_and_hard: &str| {
        let arguments = ["--pid", &id, &format!("--nofile={soft_and_hard}")];
        assert!(std::process::Command::new("prlimit")
            .args(arguments)
            .status()
            .unwrap()
            .success());
    };
    let line_count = cluster.history.lines().len();
    // The node can open no further descriptor beyond its three standard streams; the descriptors
    // that are open stay open.
    set_descriptor_limits("3:1024");
    let mut stream =
        std::net::TcpStream::connect(cluster.nodes[2].process.as_ref().unwrap().control_address)
            .unwrap();
    stream
        .set_read_timeout(Some(Duration::from_millis(300)))
        .unwrap();
    stream.write_all(b"GET /fleet HTTP/1.1\r\n\r\n").unwrap();
    assert!(
        stream.read(&mut [0]).is_err(),
        "the node can still accept a connection"
    );
    cluster.kill(3);
    cluster.wait("n3 is down", |c| all_see_state(c, &[0, 1], "n3", "down"));
    let detected = cluster.history.wait(line_count, |l| {
        l.node == 2 && l.text.contains("member=n3 suspect -> down")
    });
    assert!(detected.is_some(), "{:#?}", cluster.tail(2));
    // A member that restarts is discovered by datagrams. Connections are not accepted, and no other
    // member is declared down for that.
    cluster.start(3);
    cluster.wait("n3 is back", |c| {
        all_see_state(c, &[0, 1, 3], "n3", "alive") && all_see_state(c, &[0, 1, 3], "n2", "alive")
    });
    assert!(wrongly_down(&cluster, line_count, &["n3"]).is_empty());
    set_descriptor_limits("1024:1024");
    cluster.wait_converged("the descriptor limit is raised again");
}

#[test]
fn a_name_conflict_is_reported_by_all_nodes_and_neither_process_yields() {
    let folder = ScratchDirectory::new("fleet-conflict");
    let mut cluster = Cluster::start_converged(spec(&folder), 4);
    // The process on n3's address uses the name of n1.
    cluster.kill(3);
    cluster.wait("n3 is down", |c| all_see_state(c, &[0, 1, 2], "n3", "down"));
    let twin = cluster.start_process(3, "n1", None);
    cluster.nodes[3].process = Some(twin);
    let addresses = |c: &Cluster, at: usize| {
        let member = c.member(at, "n1")?;
        let mut both = vec![
            member["address"].as_str()?.to_owned(),
            member["conflict"][0].as_str()?.to_owned(),
        ];
        both.sort();
        Some(both)
    };
    let mut both = vec![
        cluster.nodes[1].relay.address.to_string(),
        cluster.nodes[3].relay.address.to_string(),
    ];
    both.sort();
    cluster.wait("all nodes report both addresses", |c| {
        (0..4).all(|i| addresses(c, i).as_ref() == Some(&both))
    });
    let incarnation = |c: &Cluster| c.member(0, "n1").unwrap()["incarnation"].as_u64().unwrap();
    let first_incarnation = incarnation(&cluster);
    std::thread::sleep(Duration::from_secs(3));
    assert!(
        incarnation(&cluster) <= first_incarnation + 1 && addresses(&cluster, 2) == Some(both),
        "the two processes raise their incarnations against each other"
    );
    for node in [1, 3] {
        assert!(
            cluster
                .lines_containing("fleet: name conflict: member=n1")
                .iter()
                .any(|l| l.node == node),
            "node {node} logs no name conflict"
        );
    }
    cluster.kill(3);
    cluster.wait("n1 is one process again", |c| {
        [0, 1, 2].iter().all(|i| {
            let member = c.member(*i, "n1").unwrap();
            member["state"] == "alive"
                && member["conflict"] == json!([])
                && member["address"] == c.nodes[1].relay.address.to_string()
        })
    });
}

/// Run manually: seeded random faults, and a check of convergence and of all answers.
/// `RIG="NODES SECONDS SEED" cargo test --release -p pipitlever-node --test fleet random_faults --
/// --ignored --nocapture`.
#[test]
#[ignore]
fn random_faults() {
    let arguments = std::env::var("RIG").unwrap_or("24 600 1".into());
    let arguments: Vec<u64> = arguments.split(' ').map(|w| w.parse().unwrap()).collect();
    let [count, seconds, seed] = arguments[..] else {
        panic!("RIG has to be \"NODES SECONDS SEED\"")
    };
    let (count, mut rng) = (count as usize, fastrand::Rng::with_seed(seed));
    let folder = ScratchDirectory::new("fleet-random");
    let spec = ClusterConfig {
        probe_interval_ms: 500,
        ..spec(&folder)
    };
    let mut cluster = Cluster::start_converged(spec, count);
    let clients: Vec<Client> = (0..count).map(|i| cluster.start_client(i)).collect();
    let start = Instant::now();
    let (mut rounds, mut longest, mut faults) = (0, Duration::ZERO, 0);
    while start.elapsed().as_secs() < seconds {
        let mut stopped = Vec::new();
        for _ in 0..rng.usize(2..8) {
            faults += 1;
            let node = rng.usize(..count);
            let running = cluster.nodes[node].process.is_some() && !stopped.contains(&node);
            match rng.u32(..8) {
                0 | 1 if running => cluster.kill(node),
                0 | 1 if !stopped.contains(&node) => cluster.start(node),
                2 if running => {
                    cluster.signal(node, "-STOP");
                    stopped.push(node);
                }
                3 if running => {
                    cluster.signal(node, "-TERM");
                    assert_eq!(
                        cluster.nodes[node].process.as_mut().unwrap().wait().code(),
                        Some(0)
                    );
                    cluster.nodes[node].process = None;
                }
                4 => {
                    let cut = LinkFaults {
                        is_cut: true,
                        ..LinkFaults::default()
                    };
                    cluster.links.set(node, rng.usize(..count), cut);
                }
                5 => {
                    let parts = rng.usize(2..4);
                    let groups: Vec<usize> = (0..count).map(|_| rng.usize(..parts)).collect();
                    cluster.links.partition(count, |i| groups[i]);
                }
                6 => {
                    let delay = Duration::from_millis(rng.u64(..100));
                    let degraded = LinkFaults {
                        loss: 0.2,
                        duplication: 0.1,
                        corruption: 0.05,
                        delay,
                        is_cut: false,
                    };
                    (0..count).for_each(|i| cluster.links.set(node, i, degraded));
                }
                _ => std::thread::sleep(Duration::from_millis(rng.u64(..4000))),
            }
        }
        std::thread::sleep(Duration::from_millis(rng.u64(..8000)));
        cluster.links.heal();
        stopped.iter().for_each(|i| cluster.signal(*i, "-CONT"));
        (0..count)
            .filter(|i| cluster.nodes[*i].process.is_none())
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|i| {
                cluster.start(i);
            });
        let took = cluster.wait_converged("after a round of faults");
        (rounds, longest) = (rounds + 1, longest.max(took));
    }
    let suspected = cluster.lines_containing("alive -> suspect").len();
    println!("nodes={count} seed={seed} rounds={rounds} faults={faults} converged within {longest:?}; {suspected} suspicions");
    // A request to a stopped process waits until the process resumes or the client times out.
    stop_and_verify(clients, &cluster, Duration::from_secs(30));
}

/// Run manually: CPU time, latency and memory of a node with `[fleet]` and without, alternately.
/// `FLEET="24 5" cargo test --release -p pipitlever-node --test fleet cost -- --ignored
/// --nocapture`: number of members (above 100 all but the node are simulated) and of rounds.
#[test]
#[ignore]
fn cost() {
    let arguments = std::env::var("FLEET").unwrap_or("24 5".into());
    let arguments: Vec<usize> = arguments.split(' ').map(|w| w.parse().unwrap()).collect();
    let [members, rounds] = arguments[..] else {
        panic!("FLEET has to be \"MEMBERS ROUNDS\"")
    };
    let is_simulated = members > 100;
    for round in 0..rounds {
        for fleet in [false, true] {
            let folder = ScratchDirectory::new("fleet-cost");
            let peers = (is_simulated && fleet).then(|| SimulatedPeers::start(members));
            let seeds = peers.iter().map(|c| c.seed()).collect();
            let mut spec = ClusterConfig {
                probe_interval_ms: 500,
                external_seeds: seeds,
                is_clustered: fleet,
                ..spec(&folder)
            };
            // Enough cores for all requests: rejected requests have another cost.
            spec.platform_config["settings"]["familyInfo"]["cpus"] = json!(64);
            let count = if fleet && !is_simulated { members } else { 1 };
            let mut cluster = Cluster::new(spec, count);
            (0..count).for_each(|i| cluster.start(i));
            if fleet {
                let all = |c: &Cluster| {
                    c.view(0).is_some_and(|v| {
                        v["members"]
                            .as_array()
                            .unwrap()
                            .iter()
                            .filter(|m| m["state"] == "alive")
                            .count()
                            >= members
                    })
                };
                cluster.wait("the node has discovered all members", all);
                std::thread::sleep(Duration::from_secs(5));
            }
            let process = cluster.nodes[0].process.as_ref().unwrap();
            let measured =
                run_open_loop(process.client_address, 500, Duration::from_secs(10), || {
                    cpu_ms(process.id())
                });
            let memory = memory_mb(process.id());
            println!(
                "members={members} round={round} fleet={fleet}: {measured} memory={memory:.1} MB"
            );
        }
    }
}
