//! Session affinity on several real processes: a session stays with its worker through config
//! versions, restarts and lossy links, whichever node receives its requests. Sessions move only
//! when their worker is removed or fails.

mod common;

use common::{configuration, packet, ScratchDirectory, Worker, PROGRAM, TEST_TIMEOUT};
use pipitlever_cluster_testing::network_relay::LinkFaults;
use pipitlever_cluster_testing::process_control::{Cluster, ClusterConfig};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const NODES: usize = 5;
const SESSION_WAIT_MS: u64 = 1_500;
/// Default limit of concurrent runs of a worker, over all nodes.
const RUN_LIMIT: u64 = 1_024;
/// Enough cores for all requests of the clients.
const CORES: usize = 40;

/// A stand-in worker that answers with its name after a fixed delay, until it is closed.
struct WorkerStandIn {
    at: SocketAddr,
    closed: Arc<AtomicBool>,
    /// Can change, as when another worker takes over the address.
    name: Arc<Mutex<String>>,
}

fn start_worker(name: &str, delay: Duration) -> WorkerStandIn {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let name = Arc::new(Mutex::new(name.to_owned()));
    let stand_in = WorkerStandIn {
        at: listener.local_addr().unwrap(),
        closed: Arc::default(),
        name: name.clone(),
    };
    let is_closed = stand_in.closed.clone();
    std::thread::spawn(move || {
        loop {
            let (stream, _) = listener.accept().unwrap();
            if is_closed.load(SeqCst) {
                // Ends the thread and closes the listener, so further connections are refused.
                return;
            }
            // A node that is killed while it sends leaves an incomplete request.
            let Some((mut stream, _)) = Worker::try_read(stream) else {
                continue;
            };
            let name = name.lock().unwrap().clone();
            std::thread::spawn(move || {
                std::thread::sleep(delay);
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", name.len());
                let _ = stream.write_all(&[head.as_bytes(), name.as_bytes()].concat());
            });
        }
    });
    stand_in
}

/// The workers of the pool in a config version: name, address, weight and further settings.
type PoolMembers = Vec<(String, SocketAddr, f64, &'static str)>;

/// The operator's part of a config version.
fn operator(pool: &str, was: &str, workers: &PoolMembers) -> String {
    let member = |(name, at, weight, settings): &(String, SocketAddr, f64, &str)| {
        format!(
            "[[pool.member]]\naddress = \"{at}\"\nname = \"{name}\"\nweight = {weight:?}\n{settings}"
        )
    };
    let members: String = workers.iter().map(member).collect();
    format!(
        "[uwsgi]\nlisten = \"127.0.0.1:0\"\ndeadline_ms = 4000\n\
         [[uwsgi.route]]\npath = \"/view\"\nclass = \"rota-view\"\nbackend = \"workers\"\npool = \"{pool}\"\n\
         [[pool]]\nname = \"{pool}\"\nwas = [{was}]\nshare = true\n\
         [pool.affinity]\nsession = \"HTTP_X_TERMINAL\"\npatience_ms = {SESSION_WAIT_MS}\n{members}"
    )
}

struct TestCluster {
    cluster: Cluster,
    folder: ScratchDirectory,
    /// The uwsgi listening address of each node; `None` while its process is down.
    uwsgi_addresses: Arc<Mutex<Vec<Option<SocketAddr>>>>,
}

impl TestCluster {
    /// `cpus` determines the limit of concurrent runs of a node.
    fn new(name: &str, workers: &PoolMembers, cpus: usize) -> TestCluster {
        let folder = ScratchDirectory::new(name);
        std::fs::create_dir_all(&folder.0).unwrap();
        let electors = "electors = [\"n0\", \"n1\", \"n2\"]\nlease_ms = 3000\n";
        let mut config = configuration(&json!({}));
        config["settings"]["familyInfo"]["cpus"] = json!(cpus);
        let more = format!(
            "[fleet.versions]\nfolder = \"FOLDER/versions\"\n{electors}{}",
            operator("desks", "", workers)
        );
        let spec = ClusterConfig::new(PROGRAM, config, folder.0.clone(), more);
        let cluster = Cluster::start_converged(spec, NODES);
        let test_cluster = TestCluster {
            cluster,
            folder,
            uwsgi_addresses: Arc::new(Mutex::new(vec![None; NODES])),
        };
        (0..NODES).for_each(|i| test_cluster.record_uwsgi_address(i));
        test_cluster.cluster.wait(
            "all nodes have completed the bootstrap of their sessions",
            |c| (0..NODES).all(|i| is_bootstrapped(c, i)),
        );
        test_cluster
    }

    /// Records the uwsgi listening address of a node's current process.
    fn record_uwsgi_address(&self, node: usize) {
        let number = self.cluster.nodes[node].process.as_ref().unwrap().number;
        let line = self.cluster.history.wait(0, |l| {
            l.process == number && l.text.contains("protocol=uwsgi")
        });
        let text = line.expect("a log line with the uwsgi address").text;
        let at = text
            .split(' ')
            .find_map(|w| w.strip_prefix("listen=").or(w.strip_prefix("address=")));
        self.uwsgi_addresses.lock().unwrap()[node] = Some(at.unwrap().parse().unwrap());
    }

    fn kill(&mut self, node: usize) {
        self.uwsgi_addresses.lock().unwrap()[node] = None;
        self.cluster.kill(node);
    }

    fn start(&mut self, node: usize) {
        self.cluster.start(node);
        self.record_uwsgi_address(node);
    }

    fn publish(&self, node: usize, why: &str, operator: &str) {
        let file = self.folder.0.join("version.json");
        std::fs::write(&file, json!({ "operator": operator }).to_string()).unwrap();
        let control_address = self.cluster.nodes[node]
            .process
            .as_ref()
            .unwrap()
            .control_address
            .to_string();
        let arguments = [
            "fleet",
            "publish",
            file.to_str().unwrap(),
            "--why",
            why,
            "--at",
            &control_address,
        ];
        let output = Command::new(PROGRAM).args(arguments).output().unwrap();
        assert!(
            output.status.success(),
            "{}",
            String::from_utf8_lossy(&output.stderr)
        );
    }

    fn wait_for_version(&self, nodes: &[usize], version: u64) {
        let is_active = |c: &Cluster, i: usize| {
            c.view(i)
                .is_some_and(|v| v["versions"]["acting"] == version)
        };
        self.cluster.wait("the nodes act on the version", |c| {
            nodes.iter().all(|i| is_active(c, *i))
        });
    }
}

fn is_bootstrapped(cluster: &Cluster, node: usize) -> bool {
    cluster
        .view(node)
        .is_some_and(|v| v["sessions"]["filled"] == true)
}

/// Sends one request of a session to a node. Returns the worker that answered, or the error: an
/// I/O error or the status line of the response.
fn request(uwsgi_address: SocketAddr, session: usize) -> Result<String, String> {
    let to_message = |e: std::io::Error| e.to_string();
    let mut stream = TcpStream::connect(uwsgi_address).map_err(to_message)?;
    stream
        .set_read_timeout(Some(Duration::from_secs(8)))
        .map_err(to_message)?;
    stream
        .write_all(&packet(
            "/view",
            &[("HTTP_X_TERMINAL", &format!("terminal-{session}"))],
            b"x",
        ))
        .map_err(to_message)?;
    let mut text = String::new();
    stream.read_to_string(&mut text).map_err(to_message)?;
    match text.split_once("\r\n\r\n") {
        Some((head, body)) if head.contains(" 200 ") => Ok(body.to_owned()),
        Some((head, _)) => Err(head.lines().next().unwrap_or_default().to_owned()),
        None => Err("no answer".into()),
    }
}

/// An answered request: time since the start, session, node and the worker that answered.
type RequestOutcome = (Duration, usize, usize, String);

/// Clients that send each request to a random node, until they are stopped.
struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<()>>,
    answers: Arc<Mutex<Vec<RequestOutcome>>>,
    errors: Arc<Mutex<Vec<String>>>,
    start: Instant,
}

impl Clients {
    fn start(test_cluster: &TestCluster, sessions: std::ops::Range<usize>) -> Clients {
        let mut clients = Clients {
            stop: Arc::default(),
            threads: Vec::new(),
            answers: Arc::default(),
            errors: Arc::default(),
            start: Instant::now(),
        };
        for thread in 0..4 {
            let (stop, answers, errors) = (
                clients.stop.clone(),
                clients.answers.clone(),
                clients.errors.clone(),
            );
            let (uwsgi_addresses, start, sessions) = (
                test_cluster.uwsgi_addresses.clone(),
                clients.start,
                sessions.clone(),
            );
            clients.threads.push(std::thread::spawn(move || {
                let mut rng = fastrand::Rng::with_seed(thread);
                while !stop.load(SeqCst) {
                    let (session, node) = (rng.usize(sessions.clone()), rng.usize(0..NODES));
                    // All requests of a session are sent by one thread, so that its answers are
                    // recorded in the order of its requests.
                    let session = session - session % 4 + thread as usize;
                    let Some(uwsgi_address) = uwsgi_addresses.lock().unwrap()[node] else {
                        continue;
                    };
                    match request(uwsgi_address, session) {
                        Ok(worker) => {
                            answers
                                .lock()
                                .unwrap()
                                .push((start.elapsed(), session, node, worker))
                        }
                        Err(error) => errors.lock().unwrap().push(error),
                    }
                }
            }));
        }
        clients
    }

    fn end(mut self) -> Vec<RequestOutcome> {
        self.stop.store(true, SeqCst);
        self.threads.drain(..).for_each(|t| t.join().unwrap());
        let errors = self.errors.lock().unwrap();
        let answers = std::mem::take(&mut *self.answers.lock().unwrap());
        let mut kinds: BTreeMap<&str, usize> = BTreeMap::new();
        errors
            .iter()
            .for_each(|error| *kinds.entry(error).or_default() += 1);
        println!("{} answers; rejected or lost: {kinds:?}", answers.len());
        answers
    }
}

/// Each change of a session's worker after the first `skip` answers, in the order of its answers:
/// session, old worker, new worker and node.
fn moves(answers: &[RequestOutcome], skip: usize) -> Vec<(usize, String, String, usize)> {
    let mut last: BTreeMap<usize, &str> = BTreeMap::new();
    let mut moves = Vec::new();
    for (i, (_, session, node, worker)) in answers.iter().enumerate() {
        match last.insert(*session, worker) {
            Some(before) if before != worker && i >= skip => {
                moves.push((*session, before.to_owned(), worker.clone(), *node))
            }
            _ => {}
        }
    }
    moves
}

/// The worker of each session's last answer.
fn last_workers(answers: &[RequestOutcome]) -> BTreeMap<usize, String> {
    answers
        .iter()
        .map(|(_, session, _, worker)| (*session, worker.clone()))
        .collect()
}

fn start_workers(
    names: std::ops::Range<usize>,
    delay: Duration,
) -> (PoolMembers, Vec<WorkerStandIn>) {
    let start_one = |i: usize| {
        let stand_in = start_worker(&format!("w{i}"), delay);
        ((format!("w{i}"), stand_in.at, 1.0, ""), stand_in)
    };
    names.map(start_one).unzip()
}

#[test]
fn sessions_stay_while_their_worker_stays_a_member() {
    let (mut all, stand_ins) = start_workers(0..5, Duration::ZERO);
    let mut test_cluster = TestCluster::new("sessions-stay", &all, CORES);
    let clients = Clients::start(&test_cluster, 0..200);
    let settle = Duration::from_millis(600);
    std::thread::sleep(settle);
    // Workers are added, weights and the order change, and the pool is renamed.
    let (more, _) = start_workers(5..8, Duration::ZERO);
    all.extend(more);
    all.reverse();
    all.iter_mut()
        .enumerate()
        .for_each(|(i, member)| member.2 = 0.5 + i as f64);
    test_cluster.publish(0, "more workers", &operator("desks", "", &all));
    test_cluster.wait_for_version(&[0, 1, 2, 3, 4], 1);
    // A node's share of a worker's limit is one run until all other nodes know its share of the new
    // workers, and while reports of loads that rise from zero are in transit. Shares add up to the
    // limit once no load has changed for as long as a report takes. The rename has to keep them.
    let runs_at_workers = |c: &Cluster, node: usize| -> Option<Vec<u64>> {
        let view = c.view(node)?;
        let workers = view["share"][0]["workers"].as_array()?;
        workers.iter().map(|w| w["most_runs"].as_u64()).collect()
    };
    let shares_add_up = |c: &Cluster| {
        let of_nodes: Option<Vec<Vec<u64>>> = (0..NODES).map(|i| runs_at_workers(c, i)).collect();
        let sum_at = |nodes: &[Vec<u64>], worker: usize| -> u64 {
            nodes.iter().filter_map(|runs| runs.get(worker)).sum()
        };
        of_nodes.is_some_and(|nodes| (0..all.len()).all(|w| sum_at(&nodes, w) == RUN_LIMIT))
    };
    let shares_are_known = |c: &Cluster| {
        let more_than_one = |runs: Vec<u64>| runs.iter().all(|limit| *limit > 1);
        (0..NODES).all(|i| runs_at_workers(c, i).is_some_and(more_than_one))
    };
    test_cluster
        .cluster
        .wait("the nodes' shares add up to the limits", |c| {
            shares_add_up(c) && shares_are_known(c)
        });
    test_cluster.publish(1, "another name", &operator("counters", "\"desks\"", &all));
    test_cluster.wait_for_version(&[0, 1, 2, 3, 4], 2);
    // Each node's shares of the workers survive the rename of the pool.
    assert!(
        shares_are_known(&test_cluster.cluster),
        "{:?}",
        (0..NODES)
            .map(|i| runs_at_workers(&test_cluster.cluster, i))
            .collect::<Vec<_>>()
    );
    // Links that lose 20 %, duplicate 10 % and delay all datagrams.
    for (from, to) in (0..NODES).flat_map(|a| (0..NODES).map(move |b| (a, b))) {
        let link = LinkFaults {
            loss: 0.2,
            duplication: 0.1,
            delay: Duration::from_millis(3),
            ..LinkFaults::default()
        };
        test_cluster.cluster.links.set(from, to, link);
    }
    std::thread::sleep(settle);
    for node in [4, 1] {
        test_cluster.kill(node);
        std::thread::sleep(settle);
        test_cluster.start(node);
        std::thread::sleep(settle);
    }
    // A worker moves to another address: it is identified by its name.
    all[0].1 = start_worker(&all[0].0, Duration::ZERO).at;
    test_cluster.publish(
        0,
        "another machine",
        &operator("counters", "\"desks\"", &all),
    );
    test_cluster.wait_for_version(&[0, 1, 2, 3, 4], 3);
    test_cluster.cluster.links.heal();
    std::thread::sleep(settle);
    let answers = clients.end();
    let moved = moves(&answers, 0);
    let log_lines = || {
        [
            test_cluster.cluster.lines_containing("sessions: pool"),
            test_cluster.cluster.lines_containing(": ejected member="),
        ]
        .concat()
    };
    assert!(moved.is_empty(), "{moved:?}: {:#?}", log_lines());
    assert!(last_workers(&answers).len() > 190 && answers.len() > 1_000);
    // w2 gets the former address of w1: sessions follow the names, and nothing that is recorded of
    // an address applies to the new worker there.
    let placements = last_workers(&answers);
    let index_of = |name: &str| all.iter().position(|member| member.0 == name).unwrap();
    let (w1, w2) = (index_of("w1"), index_of("w2"));
    *stand_ins[1].name.lock().unwrap() = "w2".into();
    (all[w1].1, all[w2].1) = (start_worker("w1", Duration::ZERO).at, stand_ins[1].at);
    test_cluster.publish(
        0,
        "w2 gets the machine of w1",
        &operator("counters", "\"desks\"", &all),
    );
    test_cluster.wait_for_version(&[0, 1, 2, 3, 4], 4);
    let uwsgi_addresses = test_cluster.uwsgi_addresses.lock().unwrap().clone();
    let affected_sessions: Vec<(usize, String)> = placements
        .iter()
        .filter(|(_, w)| *w == "w1" || *w == "w2")
        .map(|(s, w)| (*s, w.clone()))
        .collect();
    for (session, worker) in &affected_sessions {
        assert_eq!(
            request(uwsgi_addresses[session % NODES].unwrap(), *session).as_ref(),
            Ok(worker)
        );
    }
    // Sessions that began after the new workers were added are placed on them as well.
    let new: Vec<String> = (1_000..1_060)
        .map(|s| request(uwsgi_addresses[s % NODES].unwrap(), s).unwrap())
        .collect();
    assert!(
        ["w5", "w6"].iter().all(|w| new.iter().any(|n| n == w)),
        "{new:?}"
    );
}

/// Guards against sessions that move to another worker and back because the nodes that hold their
/// placements took longer to reply than a lookup waits: a node without a record placed them again.
#[test]
fn a_session_is_not_placed_again_while_the_nodes_with_its_placement_do_not_reply() {
    const SESSIONS: usize = 40;
    const QUERIED_NODE: usize = NODES - 1;
    let (mut all, _stand_ins) = start_workers(0..4, Duration::ZERO);
    let test_cluster = TestCluster::new("sessions-no-reply", &all, CORES);
    let uwsgi_addresses: Vec<SocketAddr> = test_cluster
        .uwsgi_addresses
        .lock()
        .unwrap()
        .iter()
        .flatten()
        .copied()
        .collect();
    let request_at = |node: usize, session: usize| request(uwsgi_addresses[node], session);
    // A node that has just started, or whose information on the other nodes' loads changes, rejects
    // some requests.
    let admitted = |node: usize, session: usize| {
        let start = Instant::now();
        let answer = std::iter::repeat_with(|| request_at(node, session))
            .take_while(|_| start.elapsed() < TEST_TIMEOUT)
            .find_map(Result::ok);
        answer.unwrap_or_else(|| panic!("session {session} is not admitted at node {node}"))
    };
    let placements: Vec<String> = (0..SESSIONS)
        .map(|session| admitted(session % QUERIED_NODE, session))
        .collect();
    // With these weights a new placement of a session would choose another worker than its own.
    for member in &mut all {
        member.2 = if member.0 == "w0" { 100.0 } else { 0.01 };
    }
    test_cluster.publish(0, "other weights", &operator("desks", "", &all));
    test_cluster.wait_for_version(&[0, 1, 2, 3, 4], 1);
    (0..QUERIED_NODE).for_each(|node| test_cluster.cluster.signal(node, "-STOP"));
    let answers: Vec<Result<String, String>> = (0..SESSIONS)
        .map(|session| request_at(QUERIED_NODE, session))
        .collect();
    (0..QUERIED_NODE).for_each(|node| test_cluster.cluster.signal(node, "-CONT"));
    let rejected = answers.iter().filter(|answer| answer.is_err()).count();
    for (answer, placement) in answers.iter().zip(&placements) {
        match answer {
            Ok(worker) => assert_eq!(worker, placement),
            Err(error) => assert!(error.contains("503"), "{error}"),
        }
    }
    assert!(
        rejected > 0,
        "no lookup timed out: the other nodes were not stopped"
    );
    test_cluster
        .cluster
        .wait_converged("all nodes have resumed");
    for (session, placement) in placements.iter().enumerate() {
        assert_eq!(&admitted(session % NODES, session), placement, "{session}");
    }
}

/// A process takes over from another one that has more requests in flight than it may run. Sessions
/// stay with their workers, and no request waits for a reply that never arrives.
#[test]
fn a_hot_restart_moves_no_session_and_answers_all_requests() {
    let delay = Duration::from_millis(100);
    let (mut all, _) = start_workers(0..4, delay);
    let mut test_cluster = TestCluster::new("sessions-hot-restart", &all, 1);
    let uwsgi_addresses = |test_cluster: &TestCluster| -> Vec<SocketAddr> {
        test_cluster
            .uwsgi_addresses
            .lock()
            .unwrap()
            .iter()
            .flatten()
            .copied()
            .collect()
    };
    // Sends one request of each session, to the node `at` or to a different node for each.
    let request_all =
        |uwsgi_addresses: &[SocketAddr], at: Option<usize>| -> Vec<Result<String, String>> {
            let requests = (0..40).map(|s| (uwsgi_addresses[at.unwrap_or(s % NODES)], s));
            let threads: Vec<_> = requests
                .map(|(address, session)| std::thread::spawn(move || request(address, session)))
                .collect();
            threads.into_iter().map(|t| t.join().unwrap()).collect()
        };
    let mut placements: BTreeMap<usize, String> = BTreeMap::new();
    while placements.len() < 40 {
        let answers = request_all(&uwsgi_addresses(&test_cluster), None);
        placements.extend(
            answers
                .into_iter()
                .enumerate()
                .filter_map(|(session, answer)| Some((session, answer.ok()?))),
        );
    }
    // The new weights apply to new placements; the placed sessions stay.
    all.iter_mut()
        .enumerate()
        .for_each(|(i, member)| member.2 = 0.2 + 2.0 * i as f64);
    test_cluster.publish(0, "other weights", &operator("desks", "", &all));
    test_cluster.wait_for_version(&[0, 1, 2, 3, 4], 1);
    // By now every node has a record of each session, and none was used within the last second.
    std::thread::sleep(Duration::from_millis(2_100));
    for node in [1, 3] {
        let listen = test_cluster.cluster.nodes[node]
            .process
            .as_ref()
            .unwrap()
            .client_address;
        // The node runs a few of these requests at a time, and most of them after the successor has
        // replaced it as the member.
        let addresses = uwsgi_addresses(&test_cluster);
        let (send_all, start) = (request_all, Instant::now());
        let in_flight =
            std::thread::spawn(move || (send_all(&addresses, Some(node)), start.elapsed()));
        let launched = test_cluster
            .cluster
            .launch(node, &format!("n{node}"), Some(listen));
        let successor = test_cluster.cluster.wait_ready(launched);
        let mut old = test_cluster.cluster.nodes[node]
            .process
            .replace(successor)
            .unwrap();
        let (answers, took) = in_flight.join().unwrap();
        println!("n{node}: all requests were answered after {took:?}");
        assert!(took < Duration::from_secs(5), "{took:?}");
        for (session, answer) in answers.into_iter().enumerate() {
            match answer {
                Ok(worker) => assert_eq!(worker, placements[&session], "{session}"),
                Err(error) => assert!(error.contains("503"), "{session}: {error}"),
            }
        }
        test_cluster.record_uwsgi_address(node);
        old.signal("-TERM");
        assert_eq!(old.wait().code(), Some(0));
    }
    test_cluster.cluster.wait(
        "all nodes have completed the bootstrap of their sessions",
        |c| (0..NODES).all(|i| is_bootstrapped(c, i)),
    );
    for answer in request_all(&uwsgi_addresses(&test_cluster), None)
        .into_iter()
        .enumerate()
    {
        assert!(
            answer.1.as_ref().is_ok_and(|w| *w == placements[&answer.0]) || answer.1.is_err(),
            "{answer:?}"
        );
    }
}

#[test]
fn only_sessions_of_a_removed_or_failed_worker_move() {
    let (mut all, stand_ins) = start_workers(0..5, Duration::ZERO);
    let test_cluster = TestCluster::new("sessions-move", &all, CORES);
    let clients = Clients::start(&test_cluster, 0..120);
    std::thread::sleep(Duration::from_millis(800));
    // Two nodes don't receive the version that removes w0; clients alternate between the two parts.
    test_cluster
        .cluster
        .links
        .partition(NODES, |i| usize::from(i >= 3));
    test_cluster
        .cluster
        .wait("the two parts have converged", |c| {
            c.have_converged(&[0, 1, 2]) && c.have_converged(&[3, 4])
        });
    let removed = all.remove(0);
    test_cluster.publish(0, "w0 is gone", &operator("desks", "", &all));
    test_cluster.wait_for_version(&[0, 1, 2], 1);
    std::thread::sleep(Duration::from_millis(500));
    test_cluster.cluster.links.heal();
    test_cluster.wait_for_version(&[0, 1, 2, 3, 4], 1);
    test_cluster.cluster.wait_converged("the heal");
    // During the partition sessions of w0 may alternate between workers; no other session moves.
    let answers_before = clients.answers.lock().unwrap().len();
    let answers = clients.answers.lock().unwrap().clone();
    let moved = moves(&answers, 0);
    assert!(!moved.is_empty(), "no session moved away from w0");
    let sessions_of_removed: Vec<usize> = moved
        .iter()
        .filter(|m| m.1 == removed.0)
        .map(|m| m.0)
        .collect();
    assert!(
        moved.iter().all(|m| sessions_of_removed.contains(&m.0)),
        "{moved:?} {:#?}",
        test_cluster.cluster.lines_containing(": ejected member=")
    );
    std::thread::sleep(Duration::from_millis(2_500));
    let answers = clients.answers.lock().unwrap().clone();
    let after = moves(&answers, answers_before);
    // Within a second of the heal all nodes have the same placements.
    assert!(
        after
            .iter()
            .all(|m| m.1 == removed.0 || sessions_of_removed.contains(&m.0)),
        "{after:?}"
    );
    let settled = answers.len();
    std::thread::sleep(Duration::from_secs(1));
    let answers = clients.answers.lock().unwrap().clone();
    assert_eq!(
        moves(&answers, settled),
        [],
        "sessions moved after the heal had settled"
    );
    let settled = answers.len();

    // w1 fails and refuses connections. No run can have started there, so its sessions move at
    // once, and exactly once.
    stand_ins[1].closed.store(true, SeqCst);
    let _ = TcpStream::connect(all[0].1);
    std::thread::sleep(Duration::from_millis(2_500));
    let answers = clients.end();
    let before = last_workers(&answers[..settled]);
    let moved = moves(&answers, settled);
    assert!(moved.iter().all(|m| m.1 == "w1"), "{moved:?}");
    let sessions_of_w1: Vec<usize> = before
        .iter()
        .filter(|(_, w)| *w == "w1")
        .map(|(s, _)| *s)
        .collect();
    assert!(
        sessions_of_w1
            .iter()
            .all(|s| moved.iter().filter(|m| m.0 == *s).count() == 1),
        "{sessions_of_w1:?} {moved:?}"
    );
    // All nodes send a session to the same worker.
    let now = last_workers(&answers);
    let uwsgi_addresses = test_cluster.uwsgi_addresses.lock().unwrap().clone();
    for (session, worker) in &now {
        for uwsgi_address in uwsgi_addresses.iter().flatten() {
            assert_eq!(
                request(*uwsgi_address, *session).as_deref(),
                Ok(worker.as_str()),
                "{session}"
            );
        }
    }
    let control_address = test_cluster.cluster.nodes[0]
        .process
        .as_ref()
        .unwrap()
        .control_address;
    let metrics = pipitlever_cluster_testing::process_control::call_control(
        control_address,
        "GET /status/metrics",
    )
    .unwrap()
    .body;
    assert!(metrics.contains("edge.sessions.remembered:"), "{metrics}");
    let output = Command::new(PROGRAM)
        .args([
            "fleet",
            "sessions",
            "--worker",
            "w2",
            "--at",
            &control_address.to_string(),
        ])
        .output();
    let output = String::from_utf8(output.unwrap().stdout).unwrap();
    assert!(output.contains("w2") && !output.contains("w3"), "{output}");
    let view: Value = test_cluster.cluster.view(0).unwrap();
    assert!(
        view["sessions"]["pools"][0]["workers"]["w2"]
            .as_u64()
            .is_some_and(|n| n > 0),
        "{view}"
    );
}
