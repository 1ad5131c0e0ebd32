//! Repeats of a key at the edges of its window and of its run, and answers that break off at every
//! byte.

mod common;

use common::*;
use serde_json::{json, Value};
use std::net::TcpListener;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How long a key is remembered in these tests, in milliseconds.
const WINDOW_MS: u64 = 1500;

/// A node whose keys have a short window, its processor, and a gateway.
fn pair(more: Value) -> (Node, Processor, Gateway) {
    let mut settings = configuration(&json!({}))["settings"].clone();
    settings["categories"][1]["memorySpan"] = json!(WINDOW_MS * 1000);
    settings["categories"][1]["deadline"] = json!(1_000_000);
    settings["categories"][1]["target"] = json!(900_000);
    let mut processor = Processor::new();
    let mut parties = json!({"processor": processor.address(), "settings": settings});
    parties
        .as_object_mut()
        .unwrap()
        .extend(more.as_object().unwrap().clone());
    let node = Node::start(parties, None);
    processor.accept_running();
    let gateway = node.ready();
    (node, processor, gateway)
}

/// Waits until a time in Unix milliseconds.
fn sleep_until(unix_ms: u64) {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    std::thread::sleep(Duration::from_millis(unix_ms).saturating_sub(now));
}

fn served(gateway: &mut Gateway, result: &[u8]) {
    let answer = gateway.receive();
    assert_eq!(answer["result"]["doc"], base64(result), "{answer}");
}

/// Runs the first try of a key, and says when its window ends, in Unix milliseconds.
fn run_first(processor: &mut Processor, gateway: &mut Gateway) -> u64 {
    let first = request_params(900, Some("edge"), b"body");
    let window_end = first["since"].as_u64().unwrap() + WINDOW_MS;
    gateway.send("swap-confirm", first);
    let (id, _) = processor.begin();
    processor.complete(&id, "fine", b"first");
    served(gateway, b"first");
    window_end
}

#[test]
fn a_repeat_written_within_the_window_and_read_after_it_does_not_run() {
    let (node, mut processor, mut gateway) = pair(json!({}));
    let window_end = run_first(&mut processor, &mut gateway);
    // The node stands still over the end of the window, with the repeat in its buffers.
    sleep_until(window_end - 300);
    node.signal("-STOP");
    let mut repeat = request_params(900, Some("edge"), b"body");
    repeat["since"] = json!(window_end - 1);
    gateway.send("swap-confirm", repeat);
    sleep_until(window_end + 100);
    node.signal("-CONT");
    served(&mut gateway, b"first");
}

#[test]
fn a_repeat_after_the_window_is_a_request_of_its_own() {
    let (_node, mut processor, mut gateway) = pair(json!({}));
    let window_end = run_first(&mut processor, &mut gateway);
    // Its entry outlives the window by the longest time that a request may take to be read.
    sleep_until(window_end + 7000);
    gateway.send("swap-confirm", request_params(900, Some("edge"), b"body"));
    let (id, _) = processor.begin();
    processor.complete(&id, "fine", b"second");
    served(&mut gateway, b"second");
}

/// The end of a run and a repeat of it are read in one turn, in either order: one run, and its
/// result for both.
#[test]
fn a_repeat_that_comes_as_the_run_ends_joins_it() {
    for end_first in [true, false] {
        let (node, mut processor, mut gateway) = pair(json!({}));
        gateway.send("swap-confirm", request_params(900, Some("end"), b"body"));
        let (id, _) = processor.begin();
        node.signal("-STOP");
        if end_first {
            processor.complete(&id, "fine", b"once");
        }
        gateway.send("swap-confirm", request_params(900, Some("end"), b"body"));
        if !end_first {
            processor.complete(&id, "fine", b"once");
        }
        node.signal("-CONT");
        served(&mut gateway, b"once");
        served(&mut gateway, b"once");
    }
}

/// A caller's own answer broke off with its connection; its repeat comes on another one, over
/// another link of the processor's.
#[test]
fn a_repeat_after_its_answer_broke_off_gets_it_over_a_new_link() {
    let (node, mut processor, mut gateway) = pair(json!({}));
    gateway.send("swap-confirm", request_params(900, Some("cut"), b"body"));
    let (id, _) = processor.begin();
    drop(gateway);
    processor.disconnect();
    let mut other = node.gateway();
    other.send("swap-confirm", request_params(900, Some("cut"), b"body"));
    processor.accept_running();
    processor.complete(&id, "fine", b"once");
    served(&mut other, b"once");
}

/// A link that breaks within the notice of a run's end, at any byte, costs nothing: the notice
/// comes again, and counts once.
#[test]
fn the_end_of_a_run_may_break_off_at_every_byte() {
    let (node, mut processor, mut gateway) = pair(json!({}));
    let mut notices = 0;
    for cut in 0.. {
        gateway.send("rota-view", request_params(6000, None, b"body"));
        let (id, _) = processor.begin();
        notices += 1;
        let notice = format!("complete {notices} {id} fine 12.25 6\r\nresult\r\n");
        if cut > notice.len() {
            processor.send(notice.as_bytes());
            served(&mut gateway, b"result");
            break;
        }
        processor.send(&notice.as_bytes()[..cut]);
        processor.disconnect();
        processor.accept_running();
        // All notices that the node has not read whole follow, as its hello asks for.
        let read: u64 = processor
            .hello
            .strip_prefix("hello ")
            .unwrap()
            .parse()
            .unwrap();
        assert_eq!(
            read,
            if cut == notice.len() {
                notices
            } else {
                notices - 1
            },
            "cut at {cut}"
        );
        if read < notices {
            processor.send(notice.as_bytes());
        }
        served(&mut gateway, b"result");
    }
    node.signal("-USR1");
    let counters = node.wait_for_line("counters: ");
    assert_eq!(Node::counter(&counters, "malformed"), 0, "{counters}");
    assert_eq!(Node::counter(&counters, "served"), notices, "{counters}");
}

/// A reply to a call that breaks off, at any byte, may have had its effect: a class that may run
/// twice asks again, on another connection, and its run gets the whole reply once.
#[test]
fn a_reply_to_a_call_may_break_off_at_every_byte() {
    let ledger = TcpListener::bind("127.0.0.1:0").unwrap();
    let (_node, mut processor, mut gateway) = pair(json!({"ledger": ledger.local_addr().unwrap()}));
    for cut in 0.. {
        gateway.send("rota-view", request_params(6000, None, b"body"));
        let (id, _) = processor.begin();
        processor.notice("ask", &id, b"call");
        let reply = format!("{id} posted 5\r\nreply\r\n");
        let mut below = LedgerConnection::accept(&ledger);
        below.post();
        let whole = cut >= reply.len();
        below.reply_bytes(&reply.as_bytes()[..cut.min(reply.len())]);
        drop(below);
        if !whole {
            let mut again = LedgerConnection::accept(&ledger);
            assert_eq!(again.post(), (id.clone(), b"call".to_vec()), "cut at {cut}");
            again.reply(&reply);
        }
        let (words, body) = processor.command();
        assert_eq!(
            (words[0].as_str(), &body[..]),
            ("answer", &b"reply"[..]),
            "cut at {cut}"
        );
        processor.complete(&id, "fine", b"served");
        served(&mut gateway, b"served");
        if whole {
            break;
        }
    }
}

/// Who accepts and is gone at once has read nothing for certain: link and call are set up again,
/// and one run has one answer.
#[test]
fn a_party_may_be_killed_right_after_it_accepts() {
    let ledger = TcpListener::bind("127.0.0.1:0").unwrap();
    let (_node, mut processor, mut gateway) = pair(json!({"ledger": ledger.local_addr().unwrap()}));
    processor.disconnect();
    for _ in 0..3 {
        drop(processor.listener.accept().unwrap());
    }
    processor.accept_running();
    gateway.send("rota-view", request_params(6000, None, b"body"));
    let (id, _) = processor.begin();
    processor.notice("ask", &id, b"call");
    for _ in 0..3 {
        drop(ledger.accept().unwrap());
    }
    let mut below = LedgerConnection::accept(&ledger);
    assert_eq!(below.post().1, b"call");
    below.reply(&format!("{id} posted 5\r\nreply\r\n"));
    assert_eq!(processor.command().1, b"reply");
    processor.complete(&id, "fine", b"served");
    served(&mut gateway, b"served");
}

/// A reply that comes twice, or after its request was answered, means nothing to anybody.
#[test]
fn a_reply_twice_or_too_late_is_dropped() {
    let ledger = TcpListener::bind("127.0.0.1:0").unwrap();
    let (_node, mut processor, mut gateway) = pair(json!({"ledger": ledger.local_addr().unwrap()}));
    gateway.send("rota-view", request_params(6000, None, b"twice"));
    let (id, _) = processor.begin();
    processor.notice("ask", &id, b"call");
    let mut below = LedgerConnection::accept(&ledger);
    below.post();
    let reply = format!("{id} posted 3\r\none\r\n");
    below.reply(&reply.repeat(2));
    assert_eq!(processor.command().1, b"one");
    processor.notice("ask", &id, b"next");
    let mut below = LedgerConnection::accept(&ledger);
    assert_eq!(below.post().1, b"next");
    below.reply(&format!("{id} posted 3\r\ntwo\r\n"));
    assert_eq!(processor.command().1, b"two");
    processor.complete(&id, "fine", b"served");
    served(&mut gateway, b"served");
    // Too late: the request is answered at its due time, and what comes behind that changes
    // nothing.
    gateway.send("rota-view", request_params(400, None, b"late"));
    let (id, _) = processor.begin();
    let start = Instant::now();
    assert_ne!(gateway.receive()["error"], Value::Null);
    assert!(start.elapsed() < TEST_TIMEOUT);
    processor.complete(&id, "fine", b"late");
    gateway.send("alive", json!({}));
    assert_eq!(gateway.receive()["result"]["healthy"], true);
}
