//! Pools shared by several real processes: the sum of their concurrent runs at one worker through
//! partitions, crashes and stopped processes, the assignment of workers to nodes, and the turns in
//! which nodes probe an ejected worker.

mod common;

use common::{configuration, request_params, ScratchDirectory, Worker, PROGRAM};
use pipitlever_cluster_testing::process_control::{Cluster, ClusterConfig};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A stand-in worker that answers after a fixed delay and counts its concurrent runs.
struct WorkerStandIn {
    at: SocketAddr,
    running: Arc<AtomicUsize>,
    peak: Arc<AtomicUsize>,
    runs: Arc<AtomicUsize>,
    fails: Arc<AtomicBool>,
}

const RUN_DURATION: Duration = Duration::from_millis(100);

impl WorkerStandIn {
    fn start() -> WorkerStandIn {
        let worker = Worker::new();
        let worker_stand_in = WorkerStandIn {
            at: worker.address(),
            running: Arc::default(),
            peak: Arc::default(),
            runs: Arc::default(),
            fails: Arc::default(),
        };
        let (running, peak, runs, fails) = (
            worker_stand_in.running.clone(),
            worker_stand_in.peak.clone(),
            worker_stand_in.runs.clone(),
            worker_stand_in.fails.clone(),
        );
        std::thread::spawn(move || loop {
            // A node that is killed while it sends leaves an incomplete request.
            let Some((mut stream, _)) = Worker::try_read(worker.0.accept().unwrap().0) else {
                continue;
            };
            runs.fetch_add(1, SeqCst);
            if fails.load(SeqCst) {
                continue;
            }
            peak.fetch_max(running.fetch_add(1, SeqCst) + 1, SeqCst);
            let running = running.clone();
            std::thread::spawn(move || {
                std::thread::sleep(RUN_DURATION);
                running.fetch_sub(1, SeqCst);
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nwell");
            });
        });
        worker_stand_in
    }
}

/// Limit of concurrent runs of a worker.
const RUN_LIMIT: usize = 10;

fn cluster(
    folder: &ScratchDirectory,
    nodes: usize,
    workers: &[WorkerStandIn],
    pool_settings: &str,
) -> Cluster {
    std::fs::create_dir_all(&folder.0).unwrap();
    let member = |(i, worker_stand_in): (usize, &WorkerStandIn)| {
        format!(
            "[[pool.member]]\naddress = \"{}\"\nname = \"w{i}\"\nmost_runs = {RUN_LIMIT}\n",
            worker_stand_in.at
        )
    };
    let mut config = configuration(&json!({}));
    // Enough cores for all runs of the workers, so that only the limits of the workers apply.
    config["settings"]["familyInfo"]["cpus"] = json!(40);
    let members: String = workers.iter().enumerate().map(member).collect();
    let operator_file = format!(
            "share_apart = \"least\"\n\
             [fleet.versions]\nfolder = \"FOLDER/versions\"\nelectors = [\"n0\", \"n1\", \"n2\"]\nlease_ms = 1000\n\
             [[pool]]\nname = \"desks\"\nshare = true\n{pool_settings}{members}\
             [[uwsgi.route]]\npath = \"/view\"\nclass = \"rota-view\"\nbackend = \"workers\"\npool = \"desks\"\n"
        );
    let spec = ClusterConfig::new(PROGRAM, config, folder.0.clone(), operator_file);
    Cluster::start_converged(spec, nodes)
}

/// Clients of one node, each with one request at a time, until the load is dropped.
struct Load {
    stop: Arc<AtomicBool>,
    served: Arc<AtomicUsize>,
}

impl Load {
    fn start(cluster: &Cluster, node: usize, clients: usize) -> Load {
        let at = cluster.nodes[node].process.as_ref().unwrap().client_address;
        let load = Load {
            stop: Arc::default(),
            served: Arc::default(),
        };
        for _ in 0..clients {
            let (stop, served) = (load.stop.clone(), load.served.clone());
            std::thread::spawn(move || send_requests(at, &stop, &served));
        }
        load
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.stop.store(true, SeqCst);
    }
}

fn send_requests(at: SocketAddr, stop: &AtomicBool, served: &AtomicUsize) -> Option<()> {
    let mut stream = TcpStream::connect(at).ok()?;
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .ok()?;
    let mut lines = BufReader::new(stream.try_clone().ok()?);
    for id in 1.. {
        if stop.load(SeqCst) {
            break;
        }
        let message = json!({"jsonrpc": "2.0", "id": id, "method": "rota-view", "params": request_params(3000, None, b"x")});
        stream.write_all(format!("{message}\n").as_bytes()).ok()?;
        let mut line = String::new();
        while !line.contains(&format!("\"id\":{id},")) {
            line.clear();
            if lines.read_line(&mut line).ok()? == 0 {
                return None;
            }
        }
        match line.contains("\"error\"") {
            true => std::thread::sleep(Duration::from_millis(20)),
            false => drop(served.fetch_add(1, SeqCst)),
        }
    }
    Some(())
}

/// A node's share of each worker: whether the node uses the worker, and its limit of concurrent
/// runs there.
fn shares(cluster: &Cluster, node: usize) -> Option<Vec<(bool, usize)>> {
    let view = cluster.view(node)?;
    let workers = view["share"][0]["workers"].as_array()?.clone();
    let share = |w: &Value| Some((w["used"].as_bool()?, w["most_runs"].as_u64()? as usize));
    workers.iter().map(share).collect()
}

/// The sum of the nodes' shares of each worker.
fn sums(cluster: &Cluster, nodes: &[usize], workers: usize) -> Option<Vec<usize>> {
    let mut sums = vec![0; workers];
    for node in nodes {
        let shares = shares(cluster, *node)?;
        shares
            .iter()
            .zip(&mut sums)
            .for_each(|((used, runs), sum)| *sum += if *used { *runs } else { 0 });
    }
    Some(sums)
}

/// Whether no worker had more than `limit` concurrent runs since the last call. The limit is not
/// guaranteed while a node is starved of CPU for as long as an update takes to arrive, as on a busy
/// machine; such a node logs the delay.
fn stays_within(
    cluster: &Cluster,
    workers: &[WorkerStandIn],
    limit: usize,
    stopped: &[usize],
    seen_lines: &mut usize,
) -> bool {
    let peaks = take_peaks(workers);
    let is_delay = |l: &pipitlever_cluster_testing::process_control::LogLine| {
        l.text.contains("this node was not there") && !stopped.contains(&l.node)
    };
    let lines = cluster.history.lines();
    let delays = lines[*seen_lines..].iter().filter(|l| is_delay(l)).count();
    *seen_lines = lines.len();
    println!("concurrent runs: {peaks:?}, limit {limit}; local delays logged: {delays}");
    peaks.iter().all(|s| *s <= limit) || delays > 0
}

/// The highest number of concurrent runs of each worker since the last call.
fn take_peaks(workers: &[WorkerStandIn]) -> Vec<usize> {
    workers.iter().map(|d| d.peak.swap(0, SeqCst)).collect()
}

#[test]
fn shares_add_up_through_crashes_partitions_and_stopped_processes() {
    let folder = ScratchDirectory::new("share-bounds");
    let workers: Vec<WorkerStandIn> = (0..3).map(|_| WorkerStandIn::start()).collect();
    let mut cluster = cluster(&folder, 5, &workers, "");
    let all = [0, 1, 2, 3, 4];
    let adds_up = |c: &Cluster, nodes: &[usize]| sums(c, nodes, 3) == Some(vec![RUN_LIMIT; 3]);
    let mut seen_lines = 0;
    cluster.wait("the shares add up to each limit", |c| adds_up(c, &all));

    // Far more clients than the workers may have runs.
    let mut loads: Vec<Load> = all.iter().map(|i| Load::start(&cluster, *i, 12)).collect();
    std::thread::sleep(Duration::from_secs(3));
    let peaks = take_peaks(&workers);
    assert!(peaks.iter().all(|peak| *peak <= RUN_LIMIT), "{peaks:?}");
    assert!(
        peaks.iter().sum::<usize>() >= 2 * RUN_LIMIT,
        "the workers are under-used: {peaks:?}"
    );

    // The share of a crashed node stays unused until the crash is certain, then the other nodes
    // divide it.
    loads.remove(4);
    cluster.kill(4);
    cluster.wait("the other nodes have its share", |c| {
        adds_up(c, &[0, 1, 2, 3])
    });
    assert!(stays_within(
        &cluster,
        &workers,
        RUN_LIMIT,
        &[],
        &mut seen_lines
    ));
    cluster.start(4);
    cluster.wait("the node has its share again", |c| adds_up(c, &all));
    loads.push(Load::start(&cluster, 4, 12));

    // Two nodes are cut off from the acceptors: they are down to one run at each worker before the
    // other nodes take over their shares.
    cluster.links.partition(5, |i| usize::from(i >= 3));
    let are_at_minimum = |c: &Cluster| {
        [3, 4]
            .iter()
            .all(|i| shares(c, *i).is_some_and(|p| p.iter().all(|(_, runs)| *runs == 1)))
    };
    cluster.wait(
        "the nodes that are cut off are down to one run",
        are_at_minimum,
    );
    cluster.wait("the other nodes divide all of each limit", |c| {
        adds_up(c, &[0, 1, 2])
    });
    std::thread::sleep(Duration::from_secs(1));
    // The nodes that are cut off may have one run each beyond the limit.
    assert!(stays_within(
        &cluster,
        &workers,
        RUN_LIMIT + 2,
        &[],
        &mut seen_lines
    ));
    assert!(loads[3].served.load(SeqCst) > 0);
    cluster.links.heal();
    cluster.wait("the shares add up to each limit again", |c| {
        adds_up(c, &all)
    });
    std::thread::sleep(2 * RUN_DURATION);
    take_peaks(&workers);

    // A stopped node, with its clients' requests in its sockets, has lost its share when it
    // resumes.
    cluster.signal(3, "-STOP");
    cluster.wait("the other nodes have its share", |c| {
        adds_up(c, &[0, 1, 2, 4])
    });
    assert!(stays_within(
        &cluster,
        &workers,
        RUN_LIMIT,
        &[3],
        &mut seen_lines
    ));
    cluster.signal(3, "-CONT");
    cluster.wait("the node has its share again", |c| adds_up(c, &all));
    assert!(stays_within(
        &cluster,
        &workers,
        RUN_LIMIT + 1,
        &[3],
        &mut seen_lines
    ));
}

#[test]
fn a_busy_node_gets_the_share_of_idle_nodes() {
    let folder = ScratchDirectory::new("share-idle");
    let workers: Vec<WorkerStandIn> = (0..3).map(|_| WorkerStandIn::start()).collect();
    let cluster = cluster(&folder, 4, &workers, "");
    cluster.wait("the shares add up to each limit", |c| {
        sums(c, &[0, 1, 2, 3], 3) == Some(vec![RUN_LIMIT; 3])
    });
    let start = Instant::now();
    let _load = Load::start(&cluster, 1, 40);
    // Each of the other nodes keeps one run of each limit.
    cluster.wait("the busy node has the spare capacity", |c| {
        shares(c, 1).is_some_and(|p| p.iter().all(|(_, runs)| *runs >= RUN_LIMIT - 3))
    });
    println!(
        "the busy node had the idle nodes' share after {:?}",
        start.elapsed()
    );
    assert!(
        start.elapsed() < Duration::from_secs(8),
        "{:?}",
        start.elapsed()
    );
    std::thread::sleep(Duration::from_secs(1));
    let peaks = take_peaks(&workers);
    assert!(
        peaks
            .iter()
            .all(|peak| (RUN_LIMIT / 2..=RUN_LIMIT).contains(peak)),
        "{peaks:?}"
    );
}

#[test]
fn subsets_are_even_and_stable_and_probes_take_turns() {
    let folder = ScratchDirectory::new("share-subsets");
    let workers: Vec<WorkerStandIn> = (0..8).map(|_| WorkerStandIn::start()).collect();
    let mut cluster = cluster(&folder, 6, &workers, "subset = 4\n");
    let all = [0, 1, 2, 3, 4, 5];
    let uses = |c: &Cluster, nodes: &[usize]| -> Option<Vec<Vec<usize>>> {
        let used = |p: Vec<(bool, usize)>| {
            p.iter()
                .enumerate()
                .filter(|(_, p)| p.0)
                .map(|(i, _)| i)
                .collect()
        };
        nodes.iter().map(|i| shares(c, *i).map(used)).collect()
    };
    let is_even = |c: &Cluster, nodes: &[usize]| {
        uses(c, nodes).is_some_and(|uses| {
            let count = |w: usize| uses.iter().filter(|u| u.contains(&w)).count();
            let counts: Vec<usize> = (0..8).map(count).collect();
            let adds_up = sums(c, nodes, 8) == Some(vec![RUN_LIMIT; 8]);
            adds_up
                && uses.iter().all(|u| u.len() == 4)
                && counts.iter().max().unwrap() - counts.iter().min().unwrap() <= 1
        })
    };
    cluster.wait("each worker has three nodes, each node four workers", |c| {
        is_even(c, &all)
    });
    let before = uses(&cluster, &all).unwrap();
    cluster.kill(5);
    cluster.wait("assignments are even without n5", |c| is_even(c, &all[..5]));
    let after = uses(&cluster, &all[..5]).unwrap();
    let moved: usize = before
        .iter()
        .zip(&after)
        .map(|(b, a)| b.iter().filter(|w| !a.contains(w)).count())
        .sum();
    assert!(
        moved <= 4,
        "{moved} of 20 pairs moved: {before:?} {after:?}"
    );
    cluster.start(5);
    cluster.wait("assignments are even with n5 again", |c| is_even(c, &all));
    assert_eq!(
        uses(&cluster, &all).unwrap(),
        before,
        "n5 got other assignments than before"
    );

    // A worker that fails all its requests is probed by one node at a time, and clients are served
    // meanwhile.
    let loads: Vec<Load> = all.iter().map(|i| Load::start(&cluster, *i, 3)).collect();
    let users: Vec<usize> = all
        .iter()
        .copied()
        .filter(|i| before[*i].contains(&0))
        .collect();
    workers[0].fails.store(true, SeqCst);
    let is_ejected = |c: &Cluster| {
        users.iter().all(|i| {
            c.history.lines().iter().any(|l| {
                l.node == *i
                    && l.text
                        .contains(&format!("ejected member={} ", workers[0].at))
            })
        })
    };
    cluster.wait("all nodes that use the worker have ejected it", is_ejected);
    let (requests_before, since) = (workers[0].runs.load(SeqCst), Instant::now());
    std::thread::sleep(Duration::from_secs(9));
    let probes = workers[0].runs.load(SeqCst) - requests_before;
    println!(
        "{} nodes sent {probes} probes in {:?}",
        users.len(),
        since.elapsed()
    );
    // Without probe turns each node would probe the worker twice, 2 s and 6 s after its ejection:
    // the first ejection lasts 2 s, and the duration doubles with each further one.
    assert!(
        probes < 2 * users.len(),
        "{probes} probes by {} nodes",
        users.len()
    );
    workers[0].fails.store(false, SeqCst);
    let is_recovered = |c: &Cluster| {
        users.iter().all(|i| {
            c.history.lines().iter().any(|l| {
                l.node == *i
                    && l.text
                        .ends_with(&format!("recovered member={}", workers[0].at))
            })
        })
    };
    cluster.wait("all nodes use the worker again", is_recovered);
    assert!(loads.iter().all(|l| l.served.load(SeqCst) > 0));
}
