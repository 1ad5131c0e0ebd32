//! Pools of uwsgi workers in a node process: members that hang, disconnect or refuse connections,
//! retries, standby members, reloads.

mod common;

use common::*;
use serde_json::json;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// How a worker handles every request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behaviour {
    Serve,
    /// Reads the whole packet and closes the connection.
    Disconnect,
    /// Reads the whole packet and never responds.
    Hang,
    /// Responds with bytes that are not HTTP.
    InvalidResponse,
    /// Responds with more bytes than the node accepts.
    TooLongResponse,
}

/// Starts a worker in a thread; returns its address and the count of the requests that it has read.
fn start_worker(behaviour: Behaviour) -> (SocketAddr, Arc<AtomicUsize>) {
    let worker = Worker::new();
    let (address, count) = (worker.address(), Arc::new(AtomicUsize::new(0)));
    let read = count.clone();
    std::thread::spawn(move || {
        let mut open: Vec<TcpStream> = Vec::new();
        loop {
            let (mut stream, _) = worker.accept();
            read.fetch_add(1, Ordering::SeqCst);
            let _ = match behaviour {
                Behaviour::Serve => {
                    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nwell")
                }
                Behaviour::InvalidResponse => {
                    stream.write_all(b"\x00\x01 nothing that is HTTP\r\n\r\n")
                }
                Behaviour::TooLongResponse => {
                    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n")
                }
                Behaviour::Disconnect => Ok(()),
                Behaviour::Hang => {
                    open.push(stream);
                    Ok(())
                }
            };
        }
    });
    (address, count)
}

/// Starts a node that serves all classes with these workers, given as lines of the operator's file.
fn start_node(workers: &str) -> Node {
    let text = format!(
        "[uwsgi]\nlisten = \"127.0.0.1:0\"\ndeadline_ms = 5000\n{workers}\
         [[uwsgi.route]]\npath = \"/view\"\nclass = \"rota-view\"\nbackend = \"workers\"\n\
         [[uwsgi.route]]\npath = \"/swap\"\nclass = \"swap-confirm\"\nbackend = \"workers\"\n"
    );
    let node = Node::start(json!({}), Some(&text));
    node.ready();
    node
}

/// The `workers` line of the operator's file.
fn workers_line(addresses: &[SocketAddr]) -> String {
    let quoted: Vec<String> = addresses.iter().map(|a| format!("\"{a}\"")).collect();
    format!("workers = [{}]\n", quoted.join(", "))
}

/// Sends a read and returns its status.
fn read_status(node: &Node) -> u16 {
    node.uwsgi_request(&packet("/view", &[], b"x")).0
}

#[test]
fn a_failed_read_is_retried_on_another_worker() {
    for behaviour in [Behaviour::Disconnect, Behaviour::InvalidResponse] {
        let ((good, _), (bad, attempts)) =
            (start_worker(Behaviour::Serve), start_worker(behaviour));
        let node = start_node(&workers_line(&[good, bad]));
        for _ in 0..40 {
            assert_eq!(read_status(&node), 200, "{behaviour:?}");
        }
        let line = node.wait_for_line(&format!("pool: ejected member={bad} "));
        assert!(line.contains("failures"), "{line}");
        // Ejected after five failures in a row.
        assert!(attempts.load(Ordering::SeqCst) <= 6, "{behaviour:?}");
    }
}

#[test]
fn a_keyed_request_that_may_have_run_is_not_retried() {
    let ((good, served), (bad, broken)) = (
        start_worker(Behaviour::Serve),
        start_worker(Behaviour::Disconnect),
    );
    let node = start_node(&workers_line(&[good, bad]));
    let mut statuses = Vec::new();
    for i in 0..30 {
        let key = format!("key-{i}");
        statuses.push(
            node.uwsgi_request(&packet("/swap", &[("HTTP_IDEMPOTENCY_KEY", &key)], b"x"))
                .0,
        );
    }
    let failed = statuses.iter().filter(|s| **s == 502).count();
    let (served, broken) = (served.load(Ordering::SeqCst), broken.load(Ordering::SeqCst));
    // Each request reached exactly one worker.
    assert_eq!((failed, served + broken), (broken, 30), "{statuses:?}");
    assert!((1..=6).contains(&broken), "{broken}");
}

#[test]
fn a_keyed_request_whose_connection_was_refused_goes_to_another_worker() {
    let (good, served) = start_worker(Behaviour::Serve);
    let node = start_node(&workers_line(&[good, unused_address()]));
    for i in 0..20 {
        let key = format!("key-{i}");
        assert_eq!(
            node.uwsgi_request(&packet("/swap", &[("HTTP_IDEMPOTENCY_KEY", &key)], b"x"))
                .0,
            200
        );
    }
    assert_eq!(served.load(Ordering::SeqCst), 20);
}

/// Starts a node whose class `shift-claim` is `single_shot` and served by these workers.
fn start_single_shot_node(addresses: &[SocketAddr]) -> Node {
    let mut settings = configuration(&json!({}))["settings"].clone();
    let mut class = settings["categories"][0].clone();
    class["name"] = json!("shift-claim");
    class["idempotency"] = json!("single_shot");
    settings["categories"].as_array_mut().unwrap().push(class);
    settings["familyInfo"]["classCalls"] = json!([true, true, true]);
    let workers = workers_line(addresses);
    let text = format!(
        "[uwsgi]\nlisten = \"127.0.0.1:0\"\ndeadline_ms = 5000\n{workers}\
         [[uwsgi.route]]\npath = \"/view\"\nclass = \"rota-view\"\nbackend = \"workers\"\n\
         [[uwsgi.route]]\npath = \"/swap\"\nclass = \"swap-confirm\"\nbackend = \"workers\"\n\
         [[uwsgi.route]]\npath = \"/claim\"\nclass = \"shift-claim\"\nbackend = \"workers\"\n"
    );
    let node = Node::start(json!({"settings": settings}), Some(&text));
    node.ready();
    node
}

/// Guards against a `single_shot` request that runs on a second worker after the first one read it
/// and failed: without a key it counted as idempotent.
#[test]
fn a_single_shot_request_that_may_have_run_is_not_retried() {
    let behaviours = [
        Behaviour::Disconnect,
        Behaviour::InvalidResponse,
        Behaviour::TooLongResponse,
    ];
    for behaviour in behaviours {
        let (good, served) = start_worker(Behaviour::Serve);
        let (bad, failed) = start_worker(behaviour);
        let node = start_single_shot_node(&[good, bad]);
        let mut gateway = node.gateway();
        let mut errors = 0;
        for i in 0..15 {
            let status = node.uwsgi_request(&packet("/claim", &[], b"x")).0;
            assert!([200, 502].contains(&status), "{status}");
            errors += usize::from(status == 502);
            gateway.send("shift-claim", request_params(5000, None, b"x"));
            let answer = gateway.receive();
            let has_failed = answer["error"]["code"] == -32001;
            assert!(has_failed || answer["result"].is_object(), "{i}: {answer}");
            errors += usize::from(has_failed);
        }
        let (served, failed) = (served.load(Ordering::SeqCst), failed.load(Ordering::SeqCst));
        // Each request reached exactly one worker, and each that the bad one read has failed.
        assert_eq!((errors, served + failed), (failed, 30), "{behaviour:?}");
        assert!(failed >= 1, "{behaviour:?}");
    }
}

/// A `single_shot` request whose worker accepted no connection never ran: it is retried.
#[test]
fn a_single_shot_request_whose_connection_was_refused_goes_to_another_worker() {
    let (good, served) = start_worker(Behaviour::Serve);
    let node = start_single_shot_node(&[good, unused_address()]);
    for _ in 0..20 {
        assert_eq!(node.uwsgi_request(&packet("/claim", &[], b"x")).0, 200);
    }
    assert_eq!(served.load(Ordering::SeqCst), 20);
}

#[test]
fn a_worker_that_hangs_is_ejected() {
    let ((good, _), (bad, attempts)) = (
        start_worker(Behaviour::Serve),
        start_worker(Behaviour::Hang),
    );
    let node = start_node(&workers_line(&[good, bad]));
    let allow = [("HTTP_X_ALLOW_MS", "300")];
    let mut late = 0;
    for _ in 0..60 {
        match node.uwsgi_request(&packet("/view", &allow, b"x")).0 {
            200 => {}
            // Timed out: 502 or 504 depends on which timer fires first.
            502 | 504 => late += 1,
            status => panic!("{status}"),
        }
    }
    assert!(
        late <= 6,
        "{late} late, {} attempts",
        attempts.load(Ordering::SeqCst)
    );
}

#[test]
fn a_standby_member_is_used_when_no_other_is_left() {
    let ((standby, received), down) = (start_worker(Behaviour::Serve), unused_address());
    let text = format!(
        "[[uwsgi.worker]]\naddress = \"{down}\"\nweight = 2.0\n\
         [[uwsgi.worker]]\naddress = \"{standby}\"\nspare = true\n"
    );
    let node = start_node(&text);
    let statuses: Vec<u16> = (0..20).map(|_| read_status(&node)).collect();
    // Until the first member is ejected, its requests have no other worker and are not run.
    assert!(
        statuses.iter().all(|s| *s == 200 || *s == 503) && statuses[10..].contains(&200),
        "{statuses:?}"
    );
    node.wait_for_line("pool: standby members activated");
    assert!(received.load(Ordering::SeqCst) > 0);
    node.signal("-USR1");
    assert!(node
        .wait_for_line(&format!("pool: member={down} state="))
        .contains("state=ejected"));
    let line = node.wait_for_line(&format!("pool: member={standby} state="));
    assert!(
        line.contains("state=healthy") && line.ends_with(" standby"),
        "{line}"
    );
}

#[test]
fn a_worker_removed_by_a_reload_finishes_its_runs() {
    let first = Worker::new();
    let node = start_node(&workers_line(&[first.address()]));
    let client = node.uwsgi_client(&packet("/view", &[], b"x"));
    let (mut stream, _) = first.accept();
    let (second, _) = start_worker(Behaviour::Serve);
    let text = format!(
        "[uwsgi]\nlisten = \"127.0.0.1:0\"\n{}\
         [[uwsgi.route]]\npath = \"/view\"\nclass = \"rota-view\"\nbackend = \"workers\"\n\
         [[uwsgi.route]]\npath = \"/swap\"\nclass = \"swap-confirm\"\nbackend = \"workers\"\n",
        workers_line(&[second])
    );
    node.rewrite_operator_file(&text);
    node.wait_for_line("reload: done");
    assert_eq!(read_status(&node), 200);
    node.signal("-USR1");
    assert!(node
        .wait_for_line(&format!("pool: member={} ", first.address()))
        .contains("state=removed"));
    stream
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlast")
        .unwrap();
    drop(stream);
    assert!(read_response(client).1.ends_with("last"));
    node.signal("-USR1");
    assert!(node
        .wait_for_line("pool: member=")
        .contains(&second.to_string()));
}

/// Connections to workers count towards the node's limit and leave half of it to the listeners.
#[test]
fn connections_to_workers_are_bounded() {
    let worker = Worker::new();
    let text = format!(
        "[uwsgi]\nlisten = \"127.0.0.1:0\"\ndeadline_ms = 5000\n{}\
         [[uwsgi.route]]\npath = \"/view\"\nclass = \"rota-view\"\nbackend = \"workers\"\n\
         [[uwsgi.route]]\npath = \"/swap\"\nclass = \"swap-confirm\"\nbackend = \"workers\"\n",
        workers_line(&[worker.address()])
    );
    // 64 descriptors are reserved for the node itself; 8 are left for connections.
    let node = Node::start(
        json!({"limits": {"sockets": 72, "memory_mb": 64}}),
        Some(&text),
    );
    let mut gateway = node.ready();
    let in_flight: Vec<_> = (0..4)
        .map(|_| {
            gateway.send("rota-view", request_params(5000, None, b"x"));
            worker.accept().0
        })
        .collect();
    let id = gateway.send("rota-view", request_params(5000, None, b"one too many"));
    let answer = gateway.receive();
    assert_eq!(
        (&answer["id"], &answer["error"]["code"]),
        (&json!(id), &json!(-32000)),
        "{answer}"
    );
    for mut stream in in_flight {
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nwell")
            .unwrap();
    }
    (0..4).for_each(|_| assert_eq!(gateway.receive()["result"]["doc"], base64(b"well")));
}

/// Several pools: routes name theirs, one is the fallback of another, and the requests of one key
/// go to one worker.
#[test]
fn routes_select_pools_with_fallbacks_and_sticky_keys() {
    let (down, workers) = (
        unused_address(),
        [
            start_worker(Behaviour::Serve),
            start_worker(Behaviour::Serve),
            start_worker(Behaviour::Serve),
        ],
    );
    let [first, second, other] = [&workers[0], &workers[1], &workers[2]];
    let text = format!(
        "[[pool]]\nname = \"views\"\nfallback = \"other\"\n[[pool.member]]\naddress = \"{down}\"\n\
         [[pool]]\nname = \"swaps\"\n[[pool.member]]\naddress = \"{}\"\n[[pool.member]]\naddress = \"{}\"\n\
         [[pool]]\nname = \"other\"\n[[pool.member]]\naddress = \"{}\"\n\
         [uwsgi]\nlisten = \"127.0.0.1:0\"\ndeadline_ms = 5000\n\
         [[uwsgi.route]]\npath = \"/view\"\nclass = \"rota-view\"\nbackend = \"workers\"\npool = \"views\"\n\
         [[uwsgi.route]]\npath = \"/swap\"\nclass = \"swap-confirm\"\nbackend = \"workers\"\npool = \"swaps\"\n\
         sticky = true\n",
        first.0, second.0, other.0
    );
    let node = Node::start(json!({}), Some(&text));
    node.ready();
    // The first attempt goes to the route's pool, the retry to the fallback.
    (0..10).for_each(|_| assert_eq!(read_status(&node), 200));
    assert_eq!(other.1.load(Ordering::SeqCst), 10);
    let mut counts = Vec::new();
    for i in 0..12 {
        let key = format!("key-{i}");
        assert_eq!(
            node.uwsgi_request(&packet("/swap", &[("HTTP_IDEMPOTENCY_KEY", &key)], b"x"))
                .0,
            200
        );
        counts.push(first.1.load(Ordering::SeqCst));
    }
    let after = [first, second].map(|w| w.1.load(Ordering::SeqCst));
    assert!(
        after.iter().sum::<usize>() == 12 && after.iter().all(|n| *n > 0),
        "{after:?}"
    );
    // Another node maps the same keys to the same workers.
    let other_node = Node::start(json!({}), Some(&text));
    other_node.ready();
    for (i, before) in counts.iter().enumerate() {
        let key = format!("key-{i}");
        assert_eq!(
            other_node
                .uwsgi_request(&packet("/swap", &[("HTTP_IDEMPOTENCY_KEY", &key)], b"x"))
                .0,
            200
        );
        assert_eq!(first.1.load(Ordering::SeqCst), after[0] + before, "{key}");
    }
    node.signal("-USR1");
    assert!(node
        .wait_for_line(&format!("pool other: member={} ", other.0))
        .contains("state=healthy"));
    // A reload may change members, but neither add nor remove pools.
    node.rewrite_operator_file(
        &text
            .replace("name = \"other\"", "name = \"else\"")
            .replace("\"other\"", "\"else\""),
    );
    assert!(node
        .wait_for_line("reload: not done")
        .contains("pools can be neither added nor removed"));
}
