//! The pool of workers in the node: members that hang, break off or refuse, repeated tries, spares,
//! a reload.

mod common;

use common::*;
use serde_json::json;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// What a worker does with all that it gets.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    Serves,
    /// Reads the whole packet, and ends the connection.
    Breaks,
    /// Reads the whole packet, and says nothing.
    Hangs,
    /// Says what is no HTTP.
    Garbage,
}

/// A worker's thread. How many requests it has read.
fn worker(way: Way) -> (SocketAddr, Arc<AtomicUsize>) {
    let worker = Worker::new();
    let (at, count) = (worker.address(), Arc::new(AtomicUsize::new(0)));
    let read = count.clone();
    std::thread::spawn(move || {
        let mut held: Vec<TcpStream> = Vec::new();
        loop {
            let (mut stream, _) = worker.accept();
            read.fetch_add(1, Ordering::SeqCst);
            let _ = match way {
                Way::Serves => {
                    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nwell")
                }
                Way::Garbage => stream.write_all(b"\x00\x01 nothing that is HTTP\r\n\r\n"),
                Way::Breaks => Ok(()),
                Way::Hangs => {
                    held.push(stream);
                    Ok(())
                }
            };
        }
    });
    (at, count)
}

/// A node whose work is all done by these workers, said as in the operator's file.
fn node(workers: &str) -> Node {
    let text = format!(
        "[uwsgi]\nlisten = \"127.0.0.1:0\"\ndeadline_ms = 5000\n{workers}\
         [[uwsgi.route]]\npath = \"/view\"\nclass = \"rota-view\"\nbackend = \"workers\"\n\
         [[uwsgi.route]]\npath = \"/swap\"\nclass = \"swap-confirm\"\nbackend = \"workers\"\n"
    );
    let node = Node::start(json!({}), Some(&text));
    node.ready();
    node
}

fn listed(all: &[SocketAddr]) -> String {
    let all: Vec<String> = all.iter().map(|at| format!("\"{at}\"")).collect();
    format!("workers = [{}]\n", all.join(", "))
}

fn read(node: &Node) -> u16 {
    node.uwsgi_request(&packet("/view", &[], b"x")).0
}

#[test]
fn a_read_that_broke_off_is_tried_on_another_worker() {
    for way in [Way::Breaks, Way::Garbage] {
        let ((good, _), (bad, tries)) = (worker(Way::Serves), worker(way));
        let node = node(&listed(&[good, bad]));
        for _ in 0..40 {
            assert_eq!(read(&node), 200, "{way:?}");
        }
        let line = node.wait_for_line(&format!("pool: ejected member={bad} "));
        assert!(line.contains("failures"), "{line}");
        // Out after five in a row.
        assert!(tries.load(Ordering::SeqCst) <= 6, "{way:?}");
    }
}

#[test]
fn a_keyed_run_that_may_have_run_is_tried_once() {
    let ((good, served), (bad, broken)) = (worker(Way::Serves), worker(Way::Breaks));
    let node = node(&listed(&[good, bad]));
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
    // Each reached one worker and no other.
    assert_eq!((failed, served + broken), (broken, 30), "{statuses:?}");
    assert!((1..=6).contains(&broken), "{broken}");
}

#[test]
fn a_keyed_run_that_nobody_accepted_goes_to_another_worker() {
    let (good, served) = worker(Way::Serves);
    let node = node(&listed(&[good, unused_address()]));
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

#[test]
fn a_worker_that_hangs_is_left_out() {
    let ((good, _), (bad, tries)) = (worker(Way::Serves), worker(Way::Hangs));
    let node = node(&listed(&[good, bad]));
    let allow = [("HTTP_X_ALLOW_MS", "300")];
    let mut late = 0;
    for _ in 0..60 {
        match node.uwsgi_request(&packet("/view", &allow, b"x")).0 {
            200 => {}
            // Its time was up, whoever noticed first.
            502 | 504 => late += 1,
            status => panic!("{status}"),
        }
    }
    assert!(
        late <= 6,
        "{late} late, {} tries",
        tries.load(Ordering::SeqCst)
    );
}

#[test]
fn a_spare_is_used_when_nobody_else_is_left() {
    let ((spare, got), down) = (worker(Way::Serves), unused_address());
    let text = format!(
        "[[uwsgi.worker]]\naddress = \"{down}\"\nweight = 2.0\n\
         [[uwsgi.worker]]\naddress = \"{spare}\"\nspare = true\n"
    );
    let node = node(&text);
    let statuses: Vec<u16> = (0..20).map(|_| read(&node)).collect();
    // Before the first one is out its runs have nowhere to go, and never ran.
    assert!(
        statuses.iter().all(|s| *s == 200 || *s == 503) && statuses[10..].contains(&200),
        "{statuses:?}"
    );
    node.wait_for_line("pool: standby members activated");
    assert!(got.load(Ordering::SeqCst) > 0);
    node.signal("-USR1");
    assert!(node
        .wait_for_line(&format!("pool: member={down} state="))
        .contains("state=ejected"));
    let line = node.wait_for_line(&format!("pool: member={spare} state="));
    assert!(
        line.contains("state=healthy") && line.ends_with(" standby"),
        "{line}"
    );
}

#[test]
fn a_worker_taken_out_of_the_file_finishes_what_it_has() {
    let first = Worker::new();
    let node = node(&listed(&[first.address()]));
    let client = node.uwsgi_client(&packet("/view", &[], b"x"));
    let (mut stream, _) = first.accept();
    let (second, _) = worker(Way::Serves);
    let text = format!(
        "[uwsgi]\nlisten = \"127.0.0.1:0\"\n{}\
         [[uwsgi.route]]\npath = \"/view\"\nclass = \"rota-view\"\nbackend = \"workers\"\n\
         [[uwsgi.route]]\npath = \"/swap\"\nclass = \"swap-confirm\"\nbackend = \"workers\"\n",
        listed(&[second])
    );
    node.rewrite_operator_file(&text);
    node.wait_for_line("reload: done");
    assert_eq!(read(&node), 200);
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

/// Connections to workers count against the node's, and leave the fronts half of them.
#[test]
fn connections_to_workers_are_bounded() {
    let worker = Worker::new();
    let text = format!(
        "[uwsgi]\nlisten = \"127.0.0.1:0\"\ndeadline_ms = 5000\n{}\
         [[uwsgi.route]]\npath = \"/view\"\nclass = \"rota-view\"\nbackend = \"workers\"\n\
         [[uwsgi.route]]\npath = \"/swap\"\nclass = \"swap-confirm\"\nbackend = \"workers\"\n",
        listed(&[worker.address()])
    );
    // 64 are kept back for the node's own, 8 are left for these.
    let node = Node::start(
        json!({"limits": {"sockets": 72, "memory_mb": 64}}),
        Some(&text),
    );
    let mut gateway = node.ready();
    let held: Vec<_> = (0..4)
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
    for mut stream in held {
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nwell")
            .unwrap();
    }
    (0..4).for_each(|_| assert_eq!(gateway.receive()["result"]["doc"], base64(b"well")));
}

/// Two pools: routes name theirs, one takes over for the other, and one key's runs stay with one
/// worker.
#[test]
fn pools_have_names_fall_backs_and_keys() {
    let (down, workers) = (
        unused_address(),
        [
            worker(Way::Serves),
            worker(Way::Serves),
            worker(Way::Serves),
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
    // Tried there, then on the pool that takes over.
    (0..10).for_each(|_| assert_eq!(read(&node), 200));
    assert_eq!(other.1.load(Ordering::SeqCst), 10);
    let mut seen = Vec::new();
    for i in 0..12 {
        let key = format!("key-{i}");
        assert_eq!(
            node.uwsgi_request(&packet("/swap", &[("HTTP_IDEMPOTENCY_KEY", &key)], b"x"))
                .0,
            200
        );
        seen.push(first.1.load(Ordering::SeqCst));
    }
    let after = [first, second].map(|w| w.1.load(Ordering::SeqCst));
    assert!(
        after.iter().sum::<usize>() == 12 && after.iter().all(|n| *n > 0),
        "{after:?}"
    );
    // The same keys on another node: the same workers.
    let again = Node::start(json!({}), Some(&text));
    again.ready();
    for (i, before) in seen.iter().enumerate() {
        let key = format!("key-{i}");
        assert_eq!(
            again
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
    // Pools stay as they are until the next start; members may change.
    node.rewrite_operator_file(
        &text
            .replace("name = \"other\"", "name = \"else\"")
            .replace("\"other\"", "\"else\""),
    );
    assert!(node
        .wait_for_line("reload: not done")
        .contains("pools can be neither added nor removed"));
}
