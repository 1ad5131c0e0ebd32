//! Long-lived sessions on several real processes: a session stays with its worker through versions,
//! restarts and lossy links, whichever node its client reaches; and what does move has a cause.

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
const PATIENCE_MS: u64 = 1_500;
/// Runs that a worker may have at once by default, over all nodes.
const MOST_RUNS: u64 = 1_024;
/// Cores for all that the clients ask for.
const CORES: usize = 40;

/// A stand-in worker that answers with its name after so long, until it is closed.
struct Stand {
    at: SocketAddr,
    closed: Arc<AtomicBool>,
    /// Another worker may get its machine.
    name: Arc<Mutex<String>>,
}

fn stand(name: &str, takes: Duration) -> Stand {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let name = Arc::new(Mutex::new(name.to_owned()));
    let stand = Stand {
        at: listener.local_addr().unwrap(),
        closed: Arc::default(),
        name: name.clone(),
    };
    let gone = stand.closed.clone();
    std::thread::spawn(move || {
        loop {
            let (stream, _) = listener.accept().unwrap();
            if gone.load(SeqCst) {
                // Whoever comes now finds nobody.
                return;
            }
            // One that was killed meanwhile has sent a part at the most.
            let Some((mut stream, _)) = Worker::try_read(stream) else {
                continue;
            };
            let name = name.lock().unwrap().clone();
            std::thread::spawn(move || {
                std::thread::sleep(takes);
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", name.len());
                let _ = stream.write_all(&[head.as_bytes(), name.as_bytes()].concat());
            });
        }
    });
    stand
}

/// The workers of the pool as a version has them: name, address, weight and more.
type Desks = Vec<(String, SocketAddr, f64, &'static str)>;

/// What a version holds of the operator's file.
fn operator(pool: &str, was: &str, desks: &Desks) -> String {
    let member = |(name, at, weight, more): &(String, SocketAddr, f64, &str)| {
        format!(
            "[[pool.member]]\naddress = \"{at}\"\nname = \"{name}\"\nweight = {weight:?}\n{more}"
        )
    };
    let members: String = desks.iter().map(member).collect();
    format!(
        "[uwsgi]\nlisten = \"127.0.0.1:0\"\ndeadline_ms = 4000\n\
         [[uwsgi.route]]\npath = \"/view\"\nclass = \"rota-view\"\nbackend = \"workers\"\npool = \"{pool}\"\n\
         [[pool]]\nname = \"{pool}\"\nwas = [{was}]\nshare = true\n\
         [pool.affinity]\nsession = \"HTTP_X_TERMINAL\"\npatience_ms = {PATIENCE_MS}\n{members}"
    )
}

struct Site {
    cluster: Cluster,
    folder: ScratchDirectory,
    /// Where uwsgi clients connect, by node; none while its process is down.
    fronts: Arc<Mutex<Vec<Option<SocketAddr>>>>,
}

impl Site {
    /// `cpus`: runs that a node may have at once follow from it.
    fn new(name: &str, desks: &Desks, cpus: usize) -> Site {
        let folder = ScratchDirectory::new(name);
        std::fs::create_dir_all(&folder.0).unwrap();
        let electors = "electors = [\"n0\", \"n1\", \"n2\"]\nlease_ms = 3000\n";
        let mut config = configuration(&json!({}));
        config["settings"]["familyInfo"]["cpus"] = json!(cpus);
        let more = format!(
            "[fleet.versions]\nfolder = \"FOLDER/versions\"\n{electors}{}",
            operator("desks", "", desks)
        );
        let spec = ClusterConfig::new(PROGRAM, config, folder.0.clone(), more);
        let cluster = Cluster::start_converged(spec, NODES);
        let site = Site {
            cluster,
            folder,
            fronts: Arc::new(Mutex::new(vec![None; NODES])),
        };
        (0..NODES).for_each(|i| site.found(i));
        site.cluster
            .wait("all have what they are to remember", |c| {
                (0..NODES).all(|i| filled(c, i))
            });
        site
    }

    /// Finds where a node's process takes uwsgi clients.
    fn found(&self, node: usize) {
        let number = self.cluster.nodes[node].process.as_ref().unwrap().number;
        let line = self.cluster.history.wait(0, |l| {
            l.process == number && l.text.contains("protocol=uwsgi")
        });
        let text = line.expect("it says so").text;
        let at = text
            .split(' ')
            .find_map(|w| w.strip_prefix("listen=").or(w.strip_prefix("address=")));
        self.fronts.lock().unwrap()[node] = Some(at.unwrap().parse().unwrap());
    }

    fn kill(&mut self, node: usize) {
        self.fronts.lock().unwrap()[node] = None;
        self.cluster.kill(node);
    }

    fn start(&mut self, node: usize) {
        self.cluster.start(node);
        self.found(node);
    }

    fn publish(&self, node: usize, why: &str, operator: &str) {
        let file = self.folder.0.join("version.json");
        std::fs::write(&file, json!({ "operator": operator }).to_string()).unwrap();
        let door = self.cluster.nodes[node]
            .process
            .as_ref()
            .unwrap()
            .control_address
            .to_string();
        let words = [
            "fleet",
            "publish",
            file.to_str().unwrap(),
            "--why",
            why,
            "--at",
            &door,
        ];
        let output = Command::new(PROGRAM).args(words).output().unwrap();
        assert!(
            output.status.success(),
            "{}",
            String::from_utf8_lossy(&output.stderr)
        );
    }

    fn acts(&self, nodes: &[usize], version: u64) {
        let acts = |c: &Cluster, i: usize| {
            c.view(i)
                .is_some_and(|v| v["versions"]["acting"] == version)
        };
        self.cluster
            .wait("they act on it", |c| nodes.iter().all(|i| acts(c, *i)));
    }
}

fn filled(cluster: &Cluster, node: usize) -> bool {
    cluster
        .view(node)
        .is_some_and(|v| v["sessions"]["filled"] == true)
}

/// One request of a session at a node: the worker that answered, or the code of the refusal.
fn ask(front: SocketAddr, session: usize) -> Result<String, String> {
    let wrong = |e: std::io::Error| e.to_string();
    let mut stream = TcpStream::connect(front).map_err(wrong)?;
    stream
        .set_read_timeout(Some(Duration::from_secs(8)))
        .map_err(wrong)?;
    stream
        .write_all(&packet(
            "/view",
            &[("HTTP_X_TERMINAL", &format!("terminal-{session}"))],
            b"x",
        ))
        .map_err(wrong)?;
    let mut text = String::new();
    stream.read_to_string(&mut text).map_err(wrong)?;
    match text.split_once("\r\n\r\n") {
        Some((head, body)) if head.contains(" 200 ") => Ok(body.to_owned()),
        Some((head, _)) => Err(head.lines().next().unwrap_or_default().to_owned()),
        None => Err("no answer".into()),
    }
}

/// What a client heard: when, which session, at which node, which worker.
type RequestOutcome = (Duration, usize, usize, String);

/// Clients that go from node to node, until they are dropped.
struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<()>>,
    heard: Arc<Mutex<Vec<RequestOutcome>>>,
    refused: Arc<Mutex<Vec<String>>>,
    start: Instant,
}

impl Clients {
    fn start(site: &Site, sessions: std::ops::Range<usize>) -> Clients {
        let mut clients = Clients {
            stop: Arc::default(),
            threads: Vec::new(),
            heard: Arc::default(),
            refused: Arc::default(),
            start: Instant::now(),
        };
        for part in 0..4 {
            let (stop, heard, refused) = (
                clients.stop.clone(),
                clients.heard.clone(),
                clients.refused.clone(),
            );
            let (fronts, start, sessions) = (site.fronts.clone(), clients.start, sessions.clone());
            clients.threads.push(std::thread::spawn(move || {
                let mut rng = fastrand::Rng::with_seed(part);
                while !stop.load(SeqCst) {
                    let (session, node) = (rng.usize(sessions.clone()), rng.usize(0..NODES));
                    // A client keeps to one thread, so that what it hears is in the order in which
                    // it asked.
                    let session = session - session % 4 + part as usize;
                    let Some(front) = fronts.lock().unwrap()[node] else {
                        continue;
                    };
                    match ask(front, session) {
                        Ok(worker) => {
                            heard
                                .lock()
                                .unwrap()
                                .push((start.elapsed(), session, node, worker))
                        }
                        Err(why) => refused.lock().unwrap().push(why),
                    }
                }
            }));
        }
        clients
    }

    fn end(mut self) -> Vec<RequestOutcome> {
        self.stop.store(true, SeqCst);
        self.threads.drain(..).for_each(|t| t.join().unwrap());
        let refused = self.refused.lock().unwrap();
        let heard = std::mem::take(&mut *self.heard.lock().unwrap());
        let mut kinds: BTreeMap<&str, usize> = BTreeMap::new();
        refused
            .iter()
            .for_each(|why| *kinds.entry(why).or_default() += 1);
        println!("{} answers; refused or lost: {kinds:?}", heard.len());
        heard
    }
}

/// Each change of a session's worker, behind so many answers, in the order in which its client
/// heard: session, from, to, and where.
fn moves(heard: &[RequestOutcome], behind: usize) -> Vec<(usize, String, String, usize)> {
    let mut last: BTreeMap<usize, &str> = BTreeMap::new();
    let mut moves = Vec::new();
    for (i, (_, session, node, worker)) in heard.iter().enumerate() {
        match last.insert(*session, worker) {
            Some(before) if before != worker && i >= behind => {
                moves.push((*session, before.to_owned(), worker.clone(), *node))
            }
            _ => {}
        }
    }
    moves
}

fn last(heard: &[RequestOutcome]) -> BTreeMap<usize, String> {
    heard
        .iter()
        .map(|(_, session, _, worker)| (*session, worker.clone()))
        .collect()
}

fn desks(names: std::ops::Range<usize>, takes: Duration) -> (Desks, Vec<Stand>) {
    let desk = |i: usize| {
        let stand = stand(&format!("w{i}"), takes);
        ((format!("w{i}"), stand.at, 1.0, ""), stand)
    };
    names.map(desk).unzip()
}

#[test]
fn nobody_moves_while_the_worker_stays_a_member() {
    let (mut all, stands) = desks(0..5, Duration::ZERO);
    let mut site = Site::new("sessions-stay", &all, CORES);
    let clients = Clients::start(&site, 0..200);
    let settle = Duration::from_millis(600);
    std::thread::sleep(settle);
    // Workers come, weights and the order change, and the pool gets another name.
    let (more, _) = desks(5..8, Duration::ZERO);
    all.extend(more);
    all.reverse();
    all.iter_mut()
        .enumerate()
        .for_each(|(i, d)| d.2 = 0.5 + i as f64);
    site.publish(0, "more desks", &operator("desks", "", &all));
    site.acts(&[0, 1, 2, 3, 4], 1);
    // A node has one run at each worker until all others know of its share of the new ones, and
    // while reports of loads that rise from nothing are on their way. Shares add up to the limit
    // once no load has changed for as long as a report takes. The rename is to keep them.
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
        of_nodes.is_some_and(|nodes| (0..all.len()).all(|w| sum_at(&nodes, w) == MOST_RUNS))
    };
    let shares_are_known = |c: &Cluster| {
        let more_than_one = |runs: Vec<u64>| runs.iter().all(|most| *most > 1);
        (0..NODES).all(|i| runs_at_workers(c, i).is_some_and(more_than_one))
    };
    site.cluster.wait("all know their shares", |c| {
        shares_add_up(c) && shares_are_known(c)
    });
    site.publish(1, "another name", &operator("counters", "\"desks\"", &all));
    site.acts(&[0, 1, 2, 3, 4], 2);
    // What each node has of the workers goes by the pool's first name, too.
    assert!(
        shares_are_known(&site.cluster),
        "{:?}",
        (0..NODES)
            .map(|i| runs_at_workers(&site.cluster, i))
            .collect::<Vec<_>>()
    );
    // Links that lose a fifth, double some, and take their time.
    for (from, to) in (0..NODES).flat_map(|a| (0..NODES).map(move |b| (a, b))) {
        let link = LinkFaults {
            loss: 0.2,
            duplication: 0.1,
            delay: Duration::from_millis(3),
            ..LinkFaults::default()
        };
        site.cluster.links.set(from, to, link);
    }
    std::thread::sleep(settle);
    for node in [4, 1] {
        site.kill(node);
        std::thread::sleep(settle);
        site.start(node);
        std::thread::sleep(settle);
    }
    // A worker moves to another machine: it is known by its name.
    all[0].1 = stand(&all[0].0, Duration::ZERO).at;
    site.publish(
        0,
        "another machine",
        &operator("counters", "\"desks\"", &all),
    );
    site.acts(&[0, 1, 2, 3, 4], 3);
    site.cluster.links.heal();
    std::thread::sleep(settle);
    let heard = clients.end();
    let moved = moves(&heard, 0);
    let said = || {
        [
            site.cluster.lines_containing("sessions: pool"),
            site.cluster.lines_containing(": ejected member="),
        ]
        .concat()
    };
    assert!(moved.is_empty(), "{moved:?}: {:#?}", said());
    assert!(last(&heard).len() > 190 && heard.len() > 1_000);
    // One's address is another's former one: names count, and nothing that was known of an address.
    let homes = last(&heard);
    let place = |name: &str| all.iter().position(|d| d.0 == name).unwrap();
    let (one, two) = (place("w1"), place("w2"));
    *stands[1].name.lock().unwrap() = "w2".into();
    (all[one].1, all[two].1) = (stand("w1", Duration::ZERO).at, stands[1].at);
    site.publish(
        0,
        "w2 gets the machine of w1",
        &operator("counters", "\"desks\"", &all),
    );
    site.acts(&[0, 1, 2, 3, 4], 4);
    let fronts = site.fronts.lock().unwrap().clone();
    let asked: Vec<(usize, String)> = homes
        .iter()
        .filter(|(_, w)| *w == "w1" || *w == "w2")
        .map(|(s, w)| (*s, w.clone()))
        .collect();
    for (session, worker) in &asked {
        assert_eq!(
            ask(fronts[session % NODES].unwrap(), *session).as_ref(),
            Ok(worker)
        );
    }
    // The new ones took some as well: whoever came after they did.
    let new: Vec<String> = (1_000..1_060)
        .map(|s| ask(fronts[s % NODES].unwrap(), s).unwrap())
        .collect();
    assert!(
        ["w5", "w6"].iter().all(|w| new.iter().any(|n| n == w)),
        "{new:?}"
    );
}

/// Guards against sessions that move, and come back, because the nodes that know them took longer
/// than a lookup to reply: a node that knows nothing of them placed them anew.
#[test]
fn a_session_is_not_placed_anew_while_the_nodes_that_know_it_are_silent() {
    const SESSIONS: usize = 40;
    const ASKED: usize = NODES - 1;
    let (mut all, _stands) = desks(0..4, Duration::ZERO);
    let site = Site::new("sessions-silent", &all, CORES);
    let fronts: Vec<SocketAddr> = site
        .fronts
        .lock()
        .unwrap()
        .iter()
        .flatten()
        .copied()
        .collect();
    let at = |node: usize, session: usize| ask(fronts[node], session);
    // A node that has just started, or learns of the others' loads, rejects some.
    let admitted = |node: usize, session: usize| {
        let start = Instant::now();
        let answer = std::iter::repeat_with(|| at(node, session))
            .take_while(|_| start.elapsed() < TEST_TIMEOUT)
            .find_map(Result::ok);
        answer.unwrap_or_else(|| panic!("session {session} is not admitted at node {node}"))
    };
    let homes: Vec<String> = (0..SESSIONS)
        .map(|session| admitted(session % ASKED, session))
        .collect();
    // From now on each session would be placed elsewhere than where it is.
    for desk in &mut all {
        desk.2 = if desk.0 == "w0" { 100.0 } else { 0.01 };
    }
    site.publish(0, "other weights", &operator("desks", "", &all));
    site.acts(&[0, 1, 2, 3, 4], 1);
    (0..ASKED).for_each(|node| site.cluster.signal(node, "-STOP"));
    let answers: Vec<Result<String, String>> =
        (0..SESSIONS).map(|session| at(ASKED, session)).collect();
    (0..ASKED).for_each(|node| site.cluster.signal(node, "-CONT"));
    let refused = answers.iter().filter(|answer| answer.is_err()).count();
    for (answer, home) in answers.iter().zip(&homes) {
        match answer {
            Ok(worker) => assert_eq!(worker, home),
            Err(why) => assert!(why.contains("503"), "{why}"),
        }
    }
    assert!(refused > 0, "the others were not silent");
    site.cluster.wait_converged("all go on");
    for (session, home) in homes.iter().enumerate() {
        assert_eq!(&admitted(session % NODES, session), home, "{session}");
    }
}

/// A process takes over from another one, which has more in hand than it may run: sessions stay,
/// and none of it waits for word that never comes.
#[test]
fn a_replacement_moves_nobody_and_answers_all() {
    let takes = Duration::from_millis(100);
    let (mut all, _) = desks(0..4, takes);
    let mut site = Site::new("sessions-replaced", &all, 1);
    let fronts = |site: &Site| -> Vec<SocketAddr> {
        site.fronts
            .lock()
            .unwrap()
            .iter()
            .flatten()
            .copied()
            .collect()
    };
    // Each session is known to all nodes by now, and to none within the last second.
    let ask_all = |fronts: &[SocketAddr], at: Option<usize>| -> Vec<Result<String, String>> {
        let asked = (0..40).map(|s| (fronts[at.unwrap_or(s % NODES)], s));
        let threads: Vec<_> = asked
            .map(|(f, s)| std::thread::spawn(move || ask(f, s)))
            .collect();
        threads.into_iter().map(|t| t.join().unwrap()).collect()
    };
    let mut homes: BTreeMap<usize, String> = BTreeMap::new();
    while homes.len() < 40 {
        let heard = ask_all(&fronts(&site), None);
        homes.extend(
            heard
                .into_iter()
                .enumerate()
                .filter_map(|(s, h)| Some((s, h.ok()?))),
        );
    }
    // Where a new session would go is another matter than where one lives.
    all.iter_mut()
        .enumerate()
        .for_each(|(i, d)| d.2 = 0.2 + 2.0 * i as f64);
    site.publish(0, "other weights", &operator("desks", "", &all));
    site.acts(&[0, 1, 2, 3, 4], 1);
    std::thread::sleep(Duration::from_millis(2_100));
    for node in [1, 3] {
        let listen = site.cluster.nodes[node]
            .process
            .as_ref()
            .unwrap()
            .client_address;
        // It runs a few of these at a time, and most of them once it is not the member any more.
        let known = fronts(&site);
        let (asked, begun) = (ask_all, Instant::now());
        let held = std::thread::spawn(move || (asked(&known, Some(node)), begun.elapsed()));
        let launched = site.cluster.launch(node, &format!("n{node}"), Some(listen));
        let successor = site.cluster.wait_ready(launched);
        let mut old = site.cluster.nodes[node].process.replace(successor).unwrap();
        let (heard, took) = held.join().unwrap();
        println!("n{node}: all had their answers after {took:?}");
        assert!(took < Duration::from_secs(5), "{took:?}");
        for (session, heard) in heard.into_iter().enumerate() {
            match heard {
                Ok(worker) => assert_eq!(worker, homes[&session], "{session}"),
                Err(why) => assert!(why.contains("503"), "{session}: {why}"),
            }
        }
        site.found(node);
        old.signal("-TERM");
        assert_eq!(old.wait().code(), Some(0));
    }
    site.cluster
        .wait("all have what they are to remember", |c| {
            (0..NODES).all(|i| filled(c, i))
        });
    for heard in ask_all(&fronts(&site), None).into_iter().enumerate() {
        assert!(
            heard.1.as_ref().is_ok_and(|w| *w == homes[&heard.0]) || heard.1.is_err(),
            "{heard:?}"
        );
    }
}

#[test]
fn sessions_of_a_worker_that_goes_or_fails_move_alone() {
    let (mut all, stands) = desks(0..5, Duration::ZERO);
    let site = Site::new("sessions-move", &all, CORES);
    let clients = Clients::start(&site, 0..120);
    std::thread::sleep(Duration::from_millis(800));
    // Two nodes don't hear that w0 is gone; clients go back and forth between the halves.
    site.cluster.links.partition(NODES, |i| usize::from(i >= 3));
    site.cluster.wait("they are parted", |c| {
        c.have_converged(&[0, 1, 2]) && c.have_converged(&[3, 4])
    });
    let gone = all.remove(0);
    site.publish(0, "w0 is gone", &operator("desks", "", &all));
    site.acts(&[0, 1, 2], 1);
    std::thread::sleep(Duration::from_millis(500));
    site.cluster.links.heal();
    site.acts(&[0, 1, 2, 3, 4], 1);
    site.cluster.wait_converged("the heal");
    // What the halves did apart: back and forth for those of w0, nothing for the others.
    let so_far = clients.heard.lock().unwrap().len();
    let heard = clients.heard.lock().unwrap().clone();
    let moved = moves(&heard, 0);
    assert!(!moved.is_empty(), "some were of w0");
    let of_gone: Vec<usize> = moved
        .iter()
        .filter(|m| m.1 == gone.0)
        .map(|m| m.0)
        .collect();
    assert!(
        moved.iter().all(|m| of_gone.contains(&m.0)),
        "{moved:?} {:#?}",
        site.cluster.lines_containing(": ejected member=")
    );
    std::thread::sleep(Duration::from_millis(2_500));
    let heard = clients.heard.lock().unwrap().clone();
    let after = moves(&heard, so_far);
    // Within a second of the heal all have heard which place holds.
    assert!(
        after
            .iter()
            .all(|m| m.1 == gone.0 || of_gone.contains(&m.0)),
        "{after:?}"
    );
    let settled = heard.len();
    std::thread::sleep(Duration::from_secs(1));
    let heard = clients.heard.lock().unwrap().clone();
    assert_eq!(moves(&heard, settled), [], "and from then on nobody moves");
    let settled = heard.len();

    // w1 breaks down: its machine accepts nobody. Runs never began there, so its sessions move at
    // once, and once.
    stands[1].closed.store(true, SeqCst);
    let _ = TcpStream::connect(all[0].1);
    std::thread::sleep(Duration::from_millis(2_500));
    let heard = clients.end();
    let before = last(&heard[..settled]);
    let moved = moves(&heard, settled);
    assert!(moved.iter().all(|m| m.1 == "w1"), "{moved:?}");
    let of: Vec<usize> = before
        .iter()
        .filter(|(_, w)| *w == "w1")
        .map(|(s, _)| *s)
        .collect();
    assert!(
        of.iter()
            .all(|s| moved.iter().filter(|m| m.0 == *s).count() == 1),
        "{of:?} {moved:?}"
    );
    // The same for all: wherever one asks.
    let now = last(&heard);
    let fronts = site.fronts.lock().unwrap().clone();
    for (session, worker) in &now {
        for front in fronts.iter().flatten() {
            assert_eq!(
                ask(*front, *session).as_deref(),
                Ok(worker.as_str()),
                "{session}"
            );
        }
    }
    let door = site.cluster.nodes[0]
        .process
        .as_ref()
        .unwrap()
        .control_address;
    let figures =
        pipitlever_cluster_testing::process_control::call_control(door, "GET /status/metrics")
            .unwrap()
            .body;
    assert!(figures.contains("edge.sessions.remembered:"), "{figures}");
    let output = Command::new(PROGRAM)
        .args([
            "fleet",
            "sessions",
            "--worker",
            "w2",
            "--at",
            &door.to_string(),
        ])
        .output();
    let output = String::from_utf8(output.unwrap().stdout).unwrap();
    assert!(output.contains("w2") && !output.contains("w3"), "{output}");
    let view: Value = site.cluster.view(0).unwrap();
    assert!(
        view["sessions"]["pools"][0]["workers"]["w2"]
            .as_u64()
            .is_some_and(|n| n > 0),
        "{view}"
    );
}
