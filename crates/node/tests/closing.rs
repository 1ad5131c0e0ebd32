//! What happens in the moment in which a connection, or the node itself, closes: no request and no
//! answer may be lost.

mod common;

use common::*;
use serde_json::{json, Value};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// The settings of the tests, with connections that may be idle for so long.
fn idle_after(ms: u64) -> Value {
    let mut settings = configuration(&json!({}))["settings"].clone();
    settings["familyInfo"]["keepaliveMax"] = json!(ms * 1000);
    json!({ "settings": settings })
}

/// A node with these parties, its processor, and a gateway.
fn pair(more: Value) -> (Node, Processor, Gateway) {
    let mut processor = Processor::new();
    let mut parties = json!({"processor": processor.address()});
    parties
        .as_object_mut()
        .unwrap()
        .extend(more.as_object().unwrap().clone());
    let node = Node::start(parties, None);
    processor.accept_running();
    let gateway = node.ready();
    (node, processor, gateway)
}

/// A request as a line.
fn line(id: u64, params: &Value) -> String {
    format!(
        "{}\n",
        json!({"jsonrpc": "2.0", "id": id, "method": "rota-view", "params": params})
    )
}

/// All that comes until the end of the stream. A reset is a failure.
fn rest(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    stream
        .read_to_end(&mut bytes)
        .expect("an end, and no reset");
    String::from_utf8(bytes).unwrap()
}

/// A raw connection that has brought a health check and read its answer.
fn known(node: &Node) -> TcpStream {
    let mut stream = TcpStream::connect(node.gateway_address).unwrap();
    stream.set_nodelay(true).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream
        .write_all(b"{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"alive\"}\n")
        .unwrap();
    let mut bytes = [0; 512];
    let mut read = 0;
    while !bytes[..read].contains(&b'\n') {
        read += stream.read(&mut bytes[read..]).unwrap();
    }
    stream
}

/// Waits for `goaway`, and for nothing behind it.
fn goaway(stream: &mut TcpStream) {
    let mut text = String::new();
    while !text.ends_with('\n') {
        let mut byte = [0];
        assert_eq!(
            stream.read(&mut byte).unwrap(),
            1,
            "goaway comes before the end"
        );
        text.push(byte[0] as char);
    }
    assert!(text.contains("\"method\":\"goaway\""), "{text}");
}

#[test]
fn a_request_that_crosses_the_close_of_an_idle_connection_is_answered() {
    let (node, mut processor, _gateway) = pair(idle_after(500));
    let mut stream = known(&node);
    // What a gateway writes before it has read this has crossed it.
    goaway(&mut stream);
    stream
        .write_all(line(2, &request_params(5000, None, b"crossed")).as_bytes())
        .unwrap();
    let (id, body) = processor.begin();
    assert_eq!(body, b"crossed");
    processor.complete(&id, "fine", b"served");
    let all = rest(&mut stream);
    assert!(all.contains(&base64(b"served")), "{all}");
}

#[test]
fn half_a_line_on_an_idle_connection_may_become_whole() {
    let (node, mut processor, _gateway) = pair(idle_after(500));
    let mut stream = known(&node);
    let text = line(2, &request_params(5000, None, b"in halves"));
    let (first, second) = text.as_bytes().split_at(40);
    stream.write_all(first).unwrap();
    goaway(&mut stream);
    stream.write_all(second).unwrap();
    let (id, _) = processor.begin();
    processor.complete(&id, "fine", b"served");
    let all = rest(&mut stream);
    assert!(all.contains(&base64(b"served")), "{all}");
}

#[test]
fn bytes_behind_an_idle_close_are_dropped_and_do_not_reset_it() {
    let (node, _processor, _gateway) = pair(idle_after(300));
    let mut stream = known(&node);
    goaway(&mut stream);
    assert_eq!(
        stream.read(&mut [0; 64]).unwrap(),
        0,
        "the node has half-closed"
    );
    // Within the 100 ms for which it still reads: a close would answer this with a reset.
    stream.write_all(b"{\"jsonrpc\":").unwrap();
    stream.write_all(b"\"2.0\"}\n").unwrap();
    assert_eq!(stream.read(&mut [0; 64]).unwrap(), 0);
    stream.shutdown(Shutdown::Write).unwrap();
    assert_eq!(stream.read(&mut [0; 64]).unwrap(), 0);
}

/// The last error closes the connection: a request behind it was read in the same turn, ran, and
/// had no answer.
#[test]
fn nothing_behind_the_last_word_runs() {
    let (mut node, mut processor, mut gateway) = pair(json!({}));
    let mut bad = TcpStream::connect(node.gateway_address).unwrap();
    bad.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let request = line(1, &request_params(5000, None, b"behind"));
    bad.write_all(format!("{}{request}", "{\n".repeat(8)).as_bytes())
        .unwrap();
    assert_eq!(rest(&mut bad).lines().count(), 8);
    gateway.send("rota-view", request_params(5000, None, b"after"));
    let (id, body) = processor.begin();
    assert_eq!(body, b"after");
    processor.complete(&id, "fine", b"");
    gateway.receive();
    node.signal("-TERM");
    let counters = node.wait_for_line("counters: ");
    assert_eq!(Node::counter(&counters, "requests"), 1, "{counters}");
    assert!(node.wait().success());
}

/// At its end the process closed connections over bytes that it had not read, which reset them.
#[test]
fn clients_that_never_stop_sending_are_answered_and_not_reset_by_the_end_of_a_drain() {
    let (mut node, mut processor, _gateway) = pair(json!({"stop_ms": 3000}));
    let node_at = node.gateway_address;
    let client = move || -> (u64, usize) {
        let mut stream = TcpStream::connect(node_at).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let mut reader = stream.try_clone().unwrap();
        let writer = std::thread::spawn(move || {
            for id in 1.. {
                // Nobody reads these after the half-close, and until then each is answered.
                let check = format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"alive\"}}\n");
                if stream.write_all(check.as_bytes()).is_err() {
                    return id;
                }
                std::thread::sleep(Duration::from_millis(1));
            }
            unreachable!()
        });
        let text = rest(&mut reader);
        drop(reader);
        (
            writer.join().unwrap(),
            text.lines().filter(|l| l.contains("\"id\":")).count(),
        )
    };
    let clients: Vec<_> = (0..8).map(|_| std::thread::spawn(client)).collect();
    let mut asking = node.gateway();
    asking.send("rota-view", request_params(2500, None, b"running"));
    let (id, _) = processor.begin();
    let start = Instant::now();
    node.signal("-TERM");
    assert_eq!(asking.receive()["method"], "goaway");
    processor.complete(&id, "fine", b"served");
    assert_eq!(asking.receive()["result"]["doc"], base64(b"served"));
    for client in clients {
        let (sent, answered) = client.join().expect("no reset");
        assert!(answered > 0 && answered as u64 <= sent);
    }
    assert!(node.wait().success());
    assert!(
        start.elapsed() < Duration::from_millis(3000),
        "{:?}",
        start.elapsed()
    );
}

/// All that a node may have in hand when the signal comes gets its one answer, and only what came
/// within the grace runs.
#[test]
fn a_drain_answers_what_is_queued_runs_waits_and_was_not_read_yet() {
    let ledger = TcpListener::bind("127.0.0.1:0").unwrap();
    let more = json!({"ledger": ledger.local_addr().unwrap(), "stop_ms": 4000});
    let (mut node, mut processor, mut gateway) = pair(more);
    let calling = gateway.send("rota-view", request_params(3000, None, b"calls"));
    let (call_id, _) = processor.begin();
    processor.notice("ask", &call_id, b"body");
    let mut below = LedgerConnection::accept(&ledger);
    below.post();
    let running = gateway.send("swap-confirm", request_params(3000, Some("key"), b"runs"));
    let (run_id, _) = processor.begin();
    let repeat = gateway.send("swap-confirm", request_params(3000, Some("key"), b"runs"));
    // Read by half: its rest comes after the signal.
    let half_text = line(1, &request_params(3000, None, b"half"));
    let mut half = TcpStream::connect(node.gateway_address).unwrap();
    half.set_nodelay(true).unwrap();
    half.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    half.write_all(&half_text.as_bytes()[..30]).unwrap();
    // In the kernel's buffers, of a connection that the node has not accepted yet: it stands still
    // meanwhile.
    node.signal("-STOP");
    let mut unread = TcpStream::connect(node.gateway_address).unwrap();
    unread.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    unread
        .write_all(line(1, &request_params(3000, None, b"unread")).as_bytes())
        .unwrap();
    node.signal("-TERM");
    node.signal("-TERM");
    node.signal("-HUP");
    node.signal("-CONT");
    node.wait_for_line("draining: ");
    half.write_all(&half_text.as_bytes()[30..]).unwrap();
    let mut begun = vec![processor.begin(), processor.begin()];
    begun.sort_by(|a, b| a.1.cmp(&b.1));
    assert_eq!(
        (&begun[0].1[..], &begun[1].1[..]),
        (&b"half"[..], &b"unread"[..])
    );
    for (id, body) in &begun {
        processor.complete(id, "fine", body);
    }
    below.reply(&format!("{call_id} posted 0\r\n\r\n"));
    let (words, _) = processor.command();
    assert_eq!(words[0], "answer");
    processor.complete(&call_id, "fine", b"called");
    processor.complete(&run_id, "fine", b"ran");
    let mut answers: Vec<(u64, Value)> = Vec::new();
    while answers.len() < 3 {
        let message = gateway.receive();
        assert!(!message.is_null(), "an end with {answers:?}");
        if let Some(id) = message["id"].as_u64() {
            answers.push((id, message["result"]["doc"].clone()));
        }
    }
    answers.sort_by_key(|a| a.0);
    let ran = json!(base64(b"ran"));
    assert_eq!(
        answers,
        [
            (calling, json!(base64(b"called"))),
            (running, ran.clone()),
            (repeat, ran)
        ]
    );
    assert!(rest(&mut half).contains(&base64(b"half")));
    assert!(rest(&mut unread).contains(&base64(b"unread")));
    let counters = node.wait_for_line("counters: ");
    assert_eq!(
        (
            Node::counter(&counters, "requests"),
            Node::counter(&counters, "served")
        ),
        (5, 5)
    );
    assert!(node.wait().success());
}

/// What reaches the machine after the grace is refused as never run, on every connection, until the
/// end.
#[test]
fn what_comes_after_the_grace_of_a_drain_never_runs() {
    let mut settings = configuration(&json!({}))["settings"].clone();
    settings["safety"]["drainGrace"] = json!(300_000);
    let (mut node, mut processor, mut gateway) =
        pair(json!({"settings": settings, "stop_ms": 4000}));
    gateway.send(
        "rota-view",
        request_params(3500, None, b"holds the end back"),
    );
    let (id, _) = processor.begin();
    node.signal("-TERM");
    node.wait_for_line("draining: ");
    assert_eq!(gateway.receive()["method"], "goaway");
    // The fronts close a little before the grace is over; what is said to have come after it is
    // late for certain.
    let since = Instant::now();
    while since.elapsed() < Duration::from_millis(200) {
        std::thread::sleep(Duration::from_millis(10));
    }
    let mut late = Vec::new();
    for _ in 0..5 {
        late.push(gateway.send("rota-view", request_params(3000, None, b"late")));
    }
    for number in late {
        let answer = gateway.receive();
        assert_eq!(
            (&answer["id"], &answer["error"]["code"]),
            (&json!(number), &json!(-32000)),
            "{answer}"
        );
    }
    processor.complete(&id, "fine", b"served");
    assert_eq!(gateway.receive()["result"]["doc"], base64(b"served"));
    let counters = node.wait_for_line("counters: ");
    assert_eq!(
        (
            Node::counter(&counters, "runs"),
            Node::counter(&counters, "refused")
        ),
        (1, 5),
        "{counters}"
    );
    assert!(node.wait().success());
}

/// A node whose clients have taken all places still reaches its processor, its ledger and the
/// membership service, and lets newcomers in; no connection with an open request is closed for
/// them.
#[test]
fn resting_clients_keep_the_node_from_nothing_that_it_needs() {
    let ledger = TcpListener::bind("127.0.0.1:0").unwrap();
    let members = udp_socket();
    let mut processor = Processor::new();
    let parties = json!({"processor": processor.address(), "ledger": ledger.local_addr().unwrap(),
        "members": members.local_addr().unwrap(), "limits": {"sockets": 120, "memory_mb": 48}});
    // Descriptors that the system refuses beyond the number that the node is told.
    let node = Node::start_with_descriptor_limit(120, parties);
    processor.accept_running();
    let mut open = node.ready();
    open.send("rota-view", request_params(15000, None, b"open"));
    let (open_id, _) = processor.begin();
    // More than there are places, all of which have been heard once and then rest.
    let mut resting: Vec<TcpStream> = (0..150).map(|_| known(&node)).collect();
    let mut newcomer = node.gateway();
    newcomer.send("rota-view", request_params(9000, None, b"new"));
    let (id, _) = processor.begin();
    processor.notice("ask", &id, b"call");
    let mut below = LedgerConnection::accept(&ledger);
    below.post();
    // The link breaks while all places are taken, and is set up again.
    processor.disconnect();
    processor.accept_running();
    below.reply(&format!("{id} posted 0\r\n\r\n"));
    // A start that the old link may have swallowed goes out again; where it runs already that means
    // nothing.
    while processor.command().0[0] != "answer" {}
    processor.complete(&id, "fine", b"served");
    assert_eq!(newcomer.receive()["result"]["doc"], base64(b"served"));
    // Reports go on: what came before is read away first.
    members.set_nonblocking(true).unwrap();
    while members.recv(&mut [0; 64]).is_ok() {}
    members.set_nonblocking(false).unwrap();
    let mut report = [0; 64];
    let length = members.recv(&mut report).unwrap();
    assert_eq!(&report[..length], b"HB n1 UP");
    processor.complete(&open_id, "fine", b"kept");
    assert_eq!(open.receive()["result"]["doc"], base64(b"kept"));
    // Those that rested longest were told first.
    goaway(&mut resting[0]);
    node.signal("-USR1");
    let counters = node.wait_for_line("counters: ");
    assert_eq!(Node::counter(&counters, "accept_errors"), 0, "{counters}");
    for mut last in resting.into_iter().skip(148) {
        last.set_read_timeout(Some(Duration::from_millis(1)))
            .unwrap();
        let heard = last.read(&mut [0; 64]);
        assert!(
            heard.is_err_and(|e| matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)),
            "who came last is not closed first"
        );
    }
}

/// Newcomers that are accepted in one turn each had the same connection chosen for them, as its
/// driver had not had its turn yet.
#[test]
fn newcomers_in_one_turn_have_one_connection_each_closed_for_them() {
    // 74 descriptors are kept back, so 16 connections are taken, two of which are kept free.
    let (node, _processor, _gateway) = pair(json!({"limits": {"sockets": 90}}));
    let mut resting: Vec<TcpStream> = (0..16).map(|_| known(&node)).collect();
    // One that was used within the last 0.1 s is not closed.
    std::thread::sleep(Duration::from_millis(150));
    node.signal("-STOP");
    let newcomers: Vec<TcpStream> = (0..4)
        .map(|_| TcpStream::connect(node.gateway_address).unwrap())
        .collect();
    node.signal("-CONT");
    // It is answered in a later turn than that in which the newcomers were accepted.
    known(&node);
    node.signal("-USR1");
    let counters = node.wait_for_line("counters: ");
    let chosen = Node::counter(&counters, "crowded_out");
    assert!(chosen >= 3, "{counters}");
    // The gateway of the start was the first of them.
    for stream in resting.iter_mut().take(chosen as usize - 1) {
        // Idle ones are closed after 15 s in any case.
        stream
            .set_read_timeout(Some(Duration::from_secs(5)))
            .unwrap();
        goaway(stream);
    }
    drop(newcomers);
}
