//! Duplicates that arrive near the end of a key's window or of its run, and messages that are
//! truncated at every byte.

mod common;

use common::*;
use serde_json::{json, Value};
use std::net::TcpListener;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The duplicate window of keys in these tests, in milliseconds.
const WINDOW_MS: u64 = 1500;

/// How long a run works before its first call. The node waits for a run that may have read a reply
/// for at least this long, however slow the machine of the tests is.
const WORK_TIME: Duration = Duration::from_millis(200);

/// Starts a node whose keys have a short window, with its processor and a gateway.
fn start_with_short_window(extra_entries: Value) -> (Node, Processor, Gateway) {
    let mut settings = configuration(&json!({}))["settings"].clone();
    settings["categories"][1]["memorySpan"] = json!(WINDOW_MS * 1000);
    settings["categories"][1]["deadline"] = json!(1_000_000);
    settings["categories"][1]["target"] = json!(900_000);
    let mut processor = Processor::new();
    let mut entries = json!({"processor": processor.address(), "settings": settings});
    entries
        .as_object_mut()
        .unwrap()
        .extend(extra_entries.as_object().unwrap().clone());
    let node = Node::start(entries, None);
    processor.accept_running();
    let gateway = node.ready();
    (node, processor, gateway)
}

/// Waits until a time in Unix milliseconds.
fn sleep_until(unix_ms: u64) {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    std::thread::sleep(Duration::from_millis(unix_ms).saturating_sub(now));
}

fn expect_result(gateway: &mut Gateway, result: &[u8]) {
    let answer = gateway.receive();
    assert_eq!(answer["result"]["doc"], base64(result), "{answer}");
}

/// Runs the first attempt of a key; returns the end of its window, in Unix milliseconds.
fn run_first(processor: &mut Processor, gateway: &mut Gateway) -> u64 {
    let first = request_params(900, Some("edge"), b"body");
    let window_end = first["since"].as_u64().unwrap() + WINDOW_MS;
    gateway.send("swap-confirm", first);
    let (id, _) = processor.begin();
    processor.complete(&id, "fine", b"first");
    expect_result(gateway, b"first");
    window_end
}

#[test]
fn a_duplicate_sent_within_the_window_and_read_after_it_is_not_run() {
    let (node, mut processor, mut gateway) = start_with_short_window(json!({}));
    let window_end = run_first(&mut processor, &mut gateway);
    // The process is stopped at the end of the window, with the duplicate in its socket buffers.
    sleep_until(window_end - 300);
    node.signal("-STOP");
    let mut duplicate = request_params(900, Some("edge"), b"body");
    duplicate["since"] = json!(window_end - 1);
    gateway.send("swap-confirm", duplicate);
    sleep_until(window_end + 100);
    node.signal("-CONT");
    expect_result(&mut gateway, b"first");
}

#[test]
fn a_request_after_the_window_is_a_new_run() {
    let (_node, mut processor, mut gateway) = start_with_short_window(json!({}));
    let window_end = run_first(&mut processor, &mut gateway);
    // The key's entry is retained after the window for the longest time that a request may take to
    // be read.
    sleep_until(window_end + 7000);
    gateway.send("swap-confirm", request_params(900, Some("edge"), b"body"));
    let (id, _) = processor.begin();
    processor.complete(&id, "fine", b"second");
    expect_result(&mut gateway, b"second");
}

/// Guards against a second run of a key after SIGHUP has made its window longer, by either front.
#[test]
fn a_duplicate_within_a_window_that_became_longer_is_not_run() {
    const LONGER_WINDOW_MS: u64 = 20_000;
    let mut settings = configuration(&json!({}))["settings"].clone();
    settings["categories"][1]["memorySpan"] = json!(WINDOW_MS * 1000);
    let mut processor = Processor::new();
    let entries = json!({"processor": processor.address(), "settings": settings});
    let operator_file = uwsgi_operator_file(None, "processor");
    let mut node = Node::start(entries, Some(&operator_file));
    processor.accept_running();
    let mut gateway = node.ready();
    let window_end = run_first(&mut processor, &mut gateway);
    settings["categories"][1]["memorySpan"] = json!(LONGER_WINDOW_MS * 1000);
    node.reload(json!({"settings": settings}));
    assert_eq!(node.wait_for_line("reload: "), "reload: done");
    sleep_until(window_end + 100);
    gateway.send("swap-confirm", request_params(900, Some("edge"), b"body"));
    expect_result(&mut gateway, b"first");
    let key = [("HTTP_IDEMPOTENCY_KEY", "edge")];
    let (status, text) = node.uwsgi_request(&packet("/swap", &key, b"body"));
    assert!(status == 200 && text.ends_with("first"), "{text}");
}

/// The end of a run and a duplicate of its request are pending at once, in either order: one run,
/// and its result for both.
#[test]
fn a_duplicate_read_together_with_the_end_of_the_run_joins_it() {
    for end_first in [true, false] {
        let (node, mut processor, mut gateway) = start_with_short_window(json!({}));
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
        expect_result(&mut gateway, b"once");
        expect_result(&mut gateway, b"once");
    }
}

/// A client's connection is closed before its answer; its duplicate arrives on a new connection,
/// and the result over a new processor connection.
#[test]
fn a_duplicate_after_a_lost_connection_gets_the_result() {
    let (node, mut processor, mut gateway) = start_with_short_window(json!({}));
    gateway.send("swap-confirm", request_params(900, Some("cut"), b"body"));
    let (id, _) = processor.begin();
    drop(gateway);
    processor.disconnect();
    let mut other = node.gateway();
    other.send("swap-confirm", request_params(900, Some("cut"), b"body"));
    processor.accept_running();
    processor.complete(&id, "fine", b"once");
    expect_result(&mut other, b"once");
}

/// The processor connection is lost within the notice of a run's end, at any byte: the notice is
/// sent again and counts once.
#[test]
fn the_notice_of_a_runs_end_may_be_truncated_at_every_byte() {
    let (node, mut processor, mut gateway) = start_with_short_window(json!({}));
    let mut notices = 0;
    for length in 0.. {
        gateway.send("rota-view", request_params(6000, None, b"body"));
        let (id, _) = processor.begin();
        notices += 1;
        let notice = format!("complete {notices} {id} fine 12.25 6\r\nresult\r\n");
        if length > notice.len() {
            processor.send(notice.as_bytes());
            expect_result(&mut gateway, b"result");
            break;
        }
        processor.send(&notice.as_bytes()[..length]);
        processor.disconnect();
        processor.accept_running();
        // The node's hello names the last complete notice: later ones are sent again.
        let read: u64 = processor
            .hello
            .strip_prefix("hello ")
            .unwrap()
            .parse()
            .unwrap();
        assert_eq!(
            read,
            if length == notice.len() {
                notices
            } else {
                notices - 1
            },
            "{length} bytes sent"
        );
        if read < notices {
            processor.send(notice.as_bytes());
        }
        expect_result(&mut gateway, b"result");
    }
    node.signal("-USR1");
    let counters = node.wait_for_line("counters: ");
    assert_eq!(Node::counter(&counters, "malformed"), 0, "{counters}");
    assert_eq!(Node::counter(&counters, "served"), notices, "{counters}");
}

/// A call whose reply is truncated, at any byte, may have had its effect: for a class that may run
/// twice the call is sent again on another connection, and the run gets the complete reply once.
#[test]
fn the_reply_to_a_call_may_be_truncated_at_every_byte() {
    let ledger = TcpListener::bind("127.0.0.1:0").unwrap();
    let (_node, mut processor, mut gateway) =
        start_with_short_window(json!({"ledger": ledger.local_addr().unwrap()}));
    for length in 0.. {
        gateway.send("rota-view", request_params(6000, None, b"body"));
        let (id, _) = processor.begin();
        processor.notice("ask", &id, b"call");
        let reply = format!("{id} posted 5\r\nreply\r\n");
        let mut connection = LedgerConnection::accept(&ledger);
        connection.post();
        let complete = length >= reply.len();
        connection.reply_bytes(&reply.as_bytes()[..length.min(reply.len())]);
        drop(connection);
        if !complete {
            let mut retry = LedgerConnection::accept(&ledger);
            assert_eq!(
                retry.post(),
                (id.clone(), b"call".to_vec()),
                "{length} bytes sent"
            );
            retry.reply(&reply);
        }
        let (command, body) = processor.command();
        assert_eq!(
            (command[0].as_str(), &body[..]),
            ("answer", &b"reply"[..]),
            "{length} bytes sent"
        );
        processor.complete(&id, "fine", b"served");
        expect_result(&mut gateway, b"served");
        if complete {
            break;
        }
    }
}

/// A peer that closes a connection right after accepting it may have read nothing: the processor
/// connection and the call are set up again, and one run has one answer.
#[test]
fn a_peer_may_close_connections_right_after_accepting_them() {
    let ledger = TcpListener::bind("127.0.0.1:0").unwrap();
    let (_node, mut processor, mut gateway) =
        start_with_short_window(json!({"ledger": ledger.local_addr().unwrap()}));
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
    let mut connection = LedgerConnection::accept(&ledger);
    assert_eq!(connection.post().1, b"call");
    connection.reply(&format!("{id} posted 5\r\nreply\r\n"));
    assert_eq!(processor.command().1, b"reply");
    processor.complete(&id, "fine", b"served");
    expect_result(&mut gateway, b"served");
}

/// A reply that arrives twice, or after its request was answered, is ignored.
#[test]
fn a_repeated_or_late_reply_is_ignored() {
    let ledger = TcpListener::bind("127.0.0.1:0").unwrap();
    let (_node, mut processor, mut gateway) =
        start_with_short_window(json!({"ledger": ledger.local_addr().unwrap()}));
    gateway.send("rota-view", request_params(6000, None, b"twice"));
    let (id, _) = processor.begin();
    processor.notice("ask", &id, b"call");
    let mut connection = LedgerConnection::accept(&ledger);
    connection.post();
    let reply = format!("{id} posted 3\r\none\r\n");
    connection.reply(&reply.repeat(2));
    assert_eq!(processor.command().1, b"one");
    processor.notice("ask", &id, b"next");
    let mut connection = LedgerConnection::accept(&ledger);
    assert_eq!(connection.post().1, b"next");
    connection.reply(&format!("{id} posted 3\r\ntwo\r\n"));
    assert_eq!(processor.command().1, b"two");
    processor.complete(&id, "fine", b"served");
    expect_result(&mut gateway, b"served");
    // The request is answered at its deadline; the later end of its run is ignored.
    gateway.send("rota-view", request_params(400, None, b"late"));
    let (id, _) = processor.begin();
    let start = Instant::now();
    assert_ne!(gateway.receive()["error"], Value::Null);
    assert!(start.elapsed() < TEST_TIMEOUT);
    processor.complete(&id, "fine", b"late");
    gateway.send("alive", json!({}));
    assert_eq!(gateway.receive()["result"]["healthy"], true);
}

/// Guards against a reply that a broken connection may have lost and that is sent again although
/// its run works: if the run's next call is on its way by then, the processor takes the repeated
/// reply for the reply to that call.
#[test]
fn a_reply_that_was_read_before_a_break_is_not_sent_for_the_next_call() {
    let ledger = TcpListener::bind("127.0.0.1:0").unwrap();
    let (node, mut processor, mut gateway) =
        start_with_short_window(json!({"ledger": ledger.local_addr().unwrap()}));
    gateway.send("rota-view", request_params(6000, None, b"body"));
    let (id, _) = processor.begin();
    std::thread::sleep(WORK_TIME);
    processor.notice("ask", &id, b"first");
    let mut connection = LedgerConnection::accept(&ledger);
    connection.post();
    connection.reply(&format!("{id} posted 3\r\none\r\n"));
    assert_eq!(processor.command().1, b"one");
    // The run works now. The connection breaks before the node knows that the reply was read.
    processor.disconnect();
    processor.accept_running();
    assert_eq!(processor.hello, "hello 1");
    // The node has handled all earlier notices and the first gauges when it queries them again.
    for _ in 0..2 {
        assert!(processor.answer_usage(1), "the run waits for nothing");
    }
    processor.notice("ask", &id, b"second");
    let mut connection = LedgerConnection::accept(&ledger);
    assert_eq!(connection.post().1, b"second");
    connection.reply(&format!("{id} posted 3\r\ntwo\r\n"));
    assert_eq!(processor.command().1, b"two");
    processor.complete(&id, "fine", b"served");
    expect_result(&mut gateway, b"served");
    drop(node);
}

/// Guards against a run that is never given a reply that a broken connection has lost.
#[test]
fn a_reply_that_was_lost_with_a_break_reaches_its_run() {
    let ledger = TcpListener::bind("127.0.0.1:0").unwrap();
    let (node, mut processor, mut gateway) =
        start_with_short_window(json!({"ledger": ledger.local_addr().unwrap()}));
    for runnable in [0, 1] {
        gateway.send("rota-view", request_params(6000, None, b"body"));
        let (id, _) = processor.begin();
        processor.notice("ask", &id, b"call");
        let mut connection = LedgerConnection::accept(&ledger);
        connection.post();
        connection.reply(&format!("{id} posted 5\r\nreply\r\n"));
        assert_eq!(processor.command().1, b"reply");
        processor.disconnect();
        processor.accept_running();
        // Gauges that count more than runs delay the reply, and do not keep it back.
        while processor.answer_usage(runnable) {}
        assert_eq!(processor.command().1, b"reply");
        processor.complete(&id, "fine", b"served");
        expect_result(&mut gateway, b"served");
    }
    drop(node);
}

/// Guards against runs whose start was lost with a connection, which must not be sent again, and
/// that hold their place for ever: after as many losses as runs fit on the cores, everything was
/// rejected.
#[test]
fn runs_whose_start_was_lost_give_their_place_back() {
    let (node, mut processor, mut gateway) =
        start_with_short_window(json!({"control": "127.0.0.1:0"}));
    let control = node.control_endpoint();
    let mut retry = Value::Null;
    for round in 0..3 {
        for i in 0..4 {
            let key = format!("key-{round}-{i}");
            retry = request_params(400, Some(&key), b"lost");
            gateway.send("swap-confirm", retry.clone());
        }
        // Once the node has read all, the reply to a query lets it write their starts together.
        gateway.send("alive", json!({}));
        assert_eq!(gateway.receive()["result"]["healthy"], true);
        for _ in 0..4 {
            processor.begin();
        }
        processor.disconnect();
        processor.accept_running();
        for _ in 0..4 {
            assert_ne!(gateway.receive()["error"], Value::Null);
        }
        // The runs are silent while the gauges are queried this often.
        for _ in 0..10 {
            assert!(processor.answer_usage(0));
        }
        assert_eq!(control.metric("runs_in_doubt"), Some(0));
    }
    // No key runs again.
    retry["ref"] = json!("00000000000000ff");
    retry["dup"] = json!(1);
    retry["allow"] = json!(6000);
    gateway.send("swap-confirm", retry);
    assert!(gateway.receive()["error"]["code"].as_i64().unwrap() < -32000);
    for _ in 0..4 {
        gateway.send("rota-view", request_params(6000, None, b"body"));
    }
    for _ in 0..4 {
        let (id, body) = processor.begin();
        assert_eq!(body, b"body");
        processor.complete(&id, "fine", b"served");
        expect_result(&mut gateway, b"served");
    }
}

/// Guards against runs for a client that has left: it closed its connection while its requests were
/// unread. A key that comes again on another connection runs once.
#[test]
fn unread_requests_of_a_client_that_has_left_do_not_run() {
    const REQUESTS: u64 = 5;
    for has_reset in [false, true] {
        let mut processor = Processor::new();
        let operator_file = uwsgi_operator_file(None, "processor");
        let entries = json!({"processor": processor.address()});
        let node = Node::start(entries, Some(&operator_file));
        processor.accept_running();
        let mut later = node.ready();
        let mut leaving = node.gateway();
        // The node is stopped until the client has written and left.
        node.signal("-STOP");
        if has_reset {
            // A close with unread bytes resets the connection.
            leaving.send("alive", json!({}));
            node.signal("-CONT");
            leaving.wait_for_bytes();
            node.signal("-STOP");
        }
        for number in 0..REQUESTS {
            let key = format!("gateway-{number}");
            leaving.send("swap-confirm", request_params(5000, Some(&key), b"left"));
        }
        drop(leaving);
        let key = [("HTTP_IDEMPOTENCY_KEY", "uwsgi")];
        drop(node.uwsgi_client(&packet("/swap", &key, b"left")));
        node.signal("-CONT");
        // Runs are started in order, so that the first one shows whether others were started.
        later.send(
            "swap-confirm",
            request_params(5000, Some("gateway-0"), b"left"),
        );
        let (id, _) = processor.begin();
        processor.complete(&id, "fine", b"once");
        expect_result(&mut later, b"once");
        let client = node.uwsgi_client(&packet("/swap", &key, b"left"));
        let (id, _) = processor.begin();
        processor.complete(&id, "fine", b"once");
        assert_eq!(read_response(client).0, 200);
        node.signal("-USR1");
        let counters = node.wait_for_line("counters: ");
        let count = |name: &str| Node::counter(&counters, name);
        assert_eq!(
            (count("runs"), count("gone")),
            (2, REQUESTS + 1),
            "{counters}"
        );
    }
}
