//! The rules of the platform's protocol, one test each, on real sockets.

mod common;

use common::*;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

/// A node with a processor that is up, and a gateway.
fn pair(parties: Value) -> (Node, Processor, Gateway) {
    let mut processor = Processor::new();
    let mut all = json!({"processor": processor.address().to_string()});
    all.as_object_mut()
        .unwrap()
        .extend(parties.as_object().unwrap().clone());
    let node = Node::start(all, None);
    processor.accept_running();
    let gateway = node.ready();
    (node, processor, gateway)
}

fn code(answer: &Value) -> i64 {
    answer["error"]["code"]
        .as_i64()
        .unwrap_or_else(|| panic!("no error: {answer}"))
}

#[test]
fn bodies_results_and_replies_pass_unchanged() {
    let ledger = TcpListener::bind("127.0.0.1:0").unwrap();
    let (_node, mut processor, mut gateway) =
        pair(json!({"ledger": ledger.local_addr().unwrap().to_string()}));
    let every: Vec<u8> = (0..2048).map(|i| i as u8).collect();
    let number = gateway.send("rota-view", request_params(5000, None, &every));
    let (words, body) = processor.command();
    assert_eq!(
        (&*words[0], &*words[2], &body),
        ("begin", "rota-view", &every)
    );
    processor.notice("ask", &words[1], b"call\r\n\0");
    let mut below = LedgerConnection::accept(&ledger);
    assert_eq!(below.post(), (words[1].clone(), b"call\r\n\0".to_vec()));
    assert!(
        (1..=5000).contains(&below.allowed_ms),
        "{}",
        below.allowed_ms
    );
    below.reply_bytes(
        &[
            format!("{} posted 4\r\n", words[1]).as_bytes(),
            b"\r\n\xff\0\r\n",
        ]
        .concat(),
    );
    assert_eq!(
        processor.command(),
        (
            vec!["answer".into(), words[1].clone(), "4".into()],
            b"\r\n\xff\0".to_vec()
        )
    );
    let result: Vec<u8> = (0..4096).map(|i| (i * 7) as u8).collect();
    processor.complete(&words[1], "fine", &result);
    let answer = gateway.receive();
    assert_eq!(
        (&answer["id"], &answer["result"]["doc"]),
        (&json!(number), &json!(base64(&result)))
    );
}

#[test]
fn a_request_is_answered_by_its_due_time_though_it_runs() {
    let (_node, mut processor, mut gateway) = pair(json!({}));
    let start = Instant::now();
    gateway.send("rota-view", request_params(300, None, b""));
    processor.begin();
    // The module may turn a running read away; to its caller that is never a refusal.
    assert_eq!(code(&gateway.receive()), -32002);
    assert!(
        start.elapsed() < Duration::from_millis(450),
        "{:?}",
        start.elapsed()
    );
    // A try that came late is answered at once, unrun.
    let mut late = request_params(300, None, b"");
    late["since"] = json!(late["since"].as_u64().unwrap() - 1000);
    gateway.send("rota-view", late);
    assert_eq!(code(&gateway.receive()), -32000);
}

#[test]
fn before_the_processor_is_up_requests_are_refused_with_advice() {
    let processor = Processor::new();
    let node = Node::start(json!({"processor": processor.address().to_string()}), None);
    let mut gateway = node.gateway();
    gateway.send("alive", json!({}));
    assert_eq!(gateway.receive()["result"]["healthy"], false);
    gateway.send("swap-confirm", request_params(5000, Some("k"), b""));
    let answer = gateway.receive();
    assert_eq!(
        (code(&answer), &answer["error"]["data"]["cooldown"]),
        (-32000, &json!(200))
    );
}

#[test]
fn a_key_runs_once_and_its_repeats_share_the_outcome() {
    let (_node, mut processor, mut gateway) = pair(json!({}));
    let mut other = _node.gateway();
    let first = gateway.send("swap-confirm", request_params(5000, Some("key"), b"x"));
    let (id, _) = processor.begin();
    // One joins the run; its own cancelled twin does not.
    let joined = other.send("swap-confirm", request_params(5000, Some("key"), b"x"));
    // The key with another body is its client's error, while it runs and after: the result is not
    // its own.
    let another = |party: &mut Gateway| {
        party.send("swap-confirm", request_params(5000, Some("key"), b"other"));
        assert_eq!(code(&party.receive()), -32602);
    };
    another(&mut other);
    let cancelled = other.send("swap-confirm", request_params(5000, Some("key"), b"x"));
    other.notify("cancelRequest", json!({"id": cancelled}));
    assert_eq!(code(&other.receive()), -32800);
    // A read that runs behind them shows that both were taken in, and that neither began a run.
    other.send("rota-view", request_params(5000, None, b"read"));
    let (read, body) = processor.begin();
    assert_eq!(body, b"read");
    processor.complete(&read, "fine", b"view");
    assert_eq!(other.receive()["result"]["doc"], base64(b"view"));
    processor.complete(&id, "fine", b"once");
    for (party, number) in [(&mut gateway, first), (&mut other, joined)] {
        let answer = party.receive();
        assert_eq!(
            (&answer["id"], &answer["result"]["doc"]),
            (&json!(number), &json!(base64(b"once")))
        );
    }
    another(&mut gateway);
    // After the end the kept result serves; another key runs.
    gateway.send("swap-confirm", request_params(5000, Some("key"), b"x"));
    assert_eq!(gateway.receive()["result"]["doc"], base64(b"once"));
    gateway.send("swap-confirm", request_params(5000, Some("another"), b"y"));
    assert_eq!(processor.begin().1, b"y");
}

/// A reply that a broken link swallowed once left its run standing until its time was up.
#[test]
fn a_new_link_goes_on_where_the_old_one_broke() {
    let ledger = TcpListener::bind("127.0.0.1:0").unwrap();
    let (_node, mut processor, mut gateway) =
        pair(json!({"ledger": ledger.local_addr().unwrap().to_string()}));
    gateway.send("rota-view", request_params(10000, None, b"stands"));
    let (stands, _) = processor.begin();
    processor.notice("ask", &stands, b"call");
    let mut below = LedgerConnection::accept(&ledger);
    below.post();
    below.reply(&format!("{stands} posted 1\r\nx\r\n"));
    let answer = processor.command();
    assert_eq!(
        answer,
        (
            vec!["answer".into(), stands.clone(), "1".into()],
            b"x".to_vec()
        )
    );
    // While nobody knows whether that was read nothing more goes out, so nothing more can be lost.
    gateway.send("swap-confirm", request_params(10000, Some("key"), b"waits"));
    gateway.send("alive", json!({}));
    assert_eq!(gateway.receive()["result"]["healthy"], true);
    let again = |processor: &mut Processor, hello: &str| {
        processor.disconnect();
        processor.accept();
        assert_eq!(processor.hello, hello);
        processor.send(b"hi running 2000\r\n");
    };
    // The notice repeated is not applied again; the reply goes out again, and then what waited.
    again(&mut processor, "hello 1");
    processor.send(format!("ask 1 {stands} 4\r\ncall\r\n").as_bytes());
    assert_eq!(processor.command(), answer);
    // Had it been read after all, the second one is rejected, and that is no harm to anybody.
    processor.send(format!("reject answer {stands}\r\n").as_bytes());
    let (write, body) = processor.begin();
    assert_eq!(body, b"waits");
    processor.complete(&stands, "fine", b"1");
    assert_eq!(gateway.receive()["result"]["doc"], base64(b"1"));
    // The start of a read goes out again; that of a write does not, as its run may be over.
    again(&mut processor, "hello 2");
    gateway.send("rota-view", request_params(10000, None, b"read"));
    let read = processor.begin();
    assert_eq!(read.1, b"read");
    again(&mut processor, "hello 2");
    assert_eq!(processor.begin(), read);
    for (id, result) in [(write, b"2"), (read.0, b"3")] {
        processor.complete(&id, "fine", result);
        assert_eq!(gateway.receive()["result"]["doc"], base64(result));
    }
}

/// A try whose start was rejected never ran: its key is free, and what comes next under it is no
/// repeat.
#[test]
fn a_rejected_command_ends_its_request_at_once() {
    let (_node, mut processor, mut gateway) = pair(json!({}));
    gateway.send(
        "swap-confirm",
        request_params(10000, Some("key"), b"unknown"),
    );
    let (id, _) = processor.begin();
    processor.send(format!("reject begin {id}\r\n").as_bytes());
    assert_eq!(code(&gateway.receive()), -32000);
    gateway.send("swap-confirm", request_params(10000, Some("key"), b"known"));
    let (id, body) = processor.begin();
    assert_eq!(body, b"known");
    processor.send(format!("reject answer {id}\r\n").as_bytes());
    assert_eq!(code(&gateway.receive()), -32001);
}

#[test]
fn a_call_is_placed_again_only_where_it_cannot_have_run_or_may_run_twice() {
    let gone = unused_address();
    let (_node, mut processor, mut gateway) = pair(json!({"ledger": gone.to_string()}));
    gateway.send("swap-confirm", request_params(10000, Some("key"), b""));
    let (write, _) = processor.begin();
    processor.notice("ask", &write, b"call");
    // Refused connections prove that nothing ran: the call goes on as soon as somebody listens.
    let ledger = TcpListener::bind(gone).expect("the port is still free");
    let mut below = LedgerConnection::accept(&ledger);
    assert_eq!(below.post(), (write, b"call".to_vec()));
    // A connection that breaks with the call in hand proves nothing.
    drop(below);
    assert_eq!(code(&gateway.receive()), -32001);
    // To a read that makes no difference.
    gateway.send("rota-view", request_params(10000, None, b""));
    let (read, _) = processor.begin();
    processor.notice("ask", &read, b"call");
    for _ in 0..2 {
        assert_eq!(
            LedgerConnection::accept(&ledger).post(),
            (read.clone(), b"call".to_vec())
        );
    }
    let mut below = LedgerConnection::accept(&ledger);
    below.post();
    below.reply(&format!("{read} posted 1\r\nx\r\n"));
    assert_eq!(processor.command().1, b"x");
}

#[test]
fn reports_come_well_inside_three_seconds() {
    let members = udp_socket();
    let (node, ..) = pair(json!({"members": members.local_addr().unwrap().to_string()}));
    let mut word = [0; 64];
    let mut next = || {
        let n = members.recv(&mut word).unwrap();
        String::from_utf8(word[..n].to_vec()).unwrap()
    };
    assert_eq!(next(), "HB n1 UP");
    let start = Instant::now();
    assert_eq!(next(), "HB n1 UP");
    assert!(
        start.elapsed() < Duration::from_millis(1500),
        "{:?}",
        start.elapsed()
    );
    node.signal("-TERM");
    while next() != "HB n1 OUT" {}
}

/// SIGHUP once ended the process, and with it everything that was open.
#[test]
fn a_new_configuration_takes_over_under_load() {
    let parties = |p: &Processor, ledger: &TcpListener, members: &UdpSocket| {
        json!({"processor": p.address().to_string(), "ledger": ledger.local_addr().unwrap().to_string(),
            "members": members.local_addr().unwrap().to_string()})
    };
    let (ledger, members) = (TcpListener::bind("127.0.0.1:0").unwrap(), udp_socket());
    let mut processor = Processor::new();
    let mut node = Node::start(parties(&processor, &ledger, &members), None);
    processor.accept_running();
    let mut gateway = node.ready();
    gateway.send("swap-confirm", request_params(9000, Some("key"), b"write"));
    let (write, _) = processor.begin();
    gateway.send("rota-view", request_params(9000, None, b"read"));
    let (read, _) = processor.begin();
    processor.notice("ask", &read, b"call");
    let mut below = LedgerConnection::accept(&ledger);
    assert_eq!(below.post(), (read.clone(), b"call".to_vec()));
    // A file that can't be read changes nothing.
    node.reload_text("{");
    node.wait_for_line("reload: not done");
    // The old link is left once what was said on it is read; the new one goes on behind its last
    // notice.
    let (new_ledger, new_members, mut new) = (
        TcpListener::bind("127.0.0.1:0").unwrap(),
        udp_socket(),
        Processor::new(),
    );
    node.reload(parties(&new, &new_ledger, &new_members));
    processor.answer_usage_until_closed();
    new.accept();
    assert_eq!(new.hello, "hello 1");
    new.continue_notice_numbers(&processor);
    new.send(b"hi running 2000\r\n");
    // The call that was out comes home from the old ledger, the next one goes to the new.
    below.reply(&format!("{read} posted 1\r\nx\r\n"));
    assert_eq!(
        new.command(),
        (
            vec!["answer".into(), read.clone(), "1".into()],
            b"x".to_vec()
        )
    );
    new.notice("ask", &read, b"next");
    let mut next = LedgerConnection::accept(&new_ledger);
    assert_eq!(next.post(), (read, b"next".to_vec()));
    // Keys go on, and so do reports, to the new address.
    new.complete(&write, "fine", b"once");
    assert_eq!(gateway.receive()["result"]["doc"], base64(b"once"));
    gateway.send("swap-confirm", request_params(9000, Some("key"), b"write"));
    assert_eq!(gateway.receive()["result"]["doc"], base64(b"once"));
    let mut report = [0; 64];
    let n = new_members.recv(&mut report).unwrap();
    assert_eq!(&report[..n], b"HB n1 UP");
}

/// One connection once carried all calls, and one spoilt reply cost them all.
#[test]
fn a_spoilt_reply_costs_its_own_call_alone() {
    let ledger = TcpListener::bind("127.0.0.1:0").unwrap();
    let (node, mut processor, mut gateway) =
        pair(json!({"ledger": ledger.local_addr().unwrap().to_string()}));
    // A run that stands at its call, and that call's connection.
    let mut keys = 0;
    let mut stands = |gateway: &mut Gateway| {
        keys += 1;
        gateway.send(
            "swap-confirm",
            request_params(9000, Some(&keys.to_string()), b""),
        );
        let (id, _) = processor.begin();
        processor.notice("ask", &id, b"call");
        (id, LedgerConnection::accept(&ledger))
    };
    let (good, mut below) = stands(&mut gateway);
    let noise = "\u{1}".repeat(2000);
    for spoilt in [
        "noise without an end",
        "ID posted 3000000000\r\nxxx",
        "ID posted 9\r\nx\r\n",
        &noise,
        "",
    ] {
        let (id, mut below) = stands(&mut gateway);
        assert_eq!(below.post().0, id);
        below.reply(&spoilt.replace("ID", &id));
        if spoilt.is_empty() {
            drop(below);
        }
        // Well before its time is up, as nothing better can come.
        assert_eq!(code(&gateway.receive()), -32001, "{spoilt}");
    }
    assert_eq!(below.post().0, good);
    // What comes ahead under another name, and a second copy behind it, belong to nobody.
    below.reply(&format!(
        "0123456789abcdef posted 1\r\n0\r\n{good} posted 1\r\n1\r\n{good} posted 1\r\n2\r\n"
    ));
    assert_eq!(
        processor.command(),
        (
            vec!["answer".into(), good.clone(), "1".into()],
            b"1".to_vec()
        )
    );
    processor.notice("ask", &good, b"next");
    assert_eq!(
        LedgerConnection::accept(&ledger).post(),
        (good, b"next".to_vec())
    );
    drop(node);
}

#[test]
fn a_drain_answers_what_was_read_and_ends_in_time() {
    let (mut node, mut processor, mut gateway) = pair(json!({}));
    gateway.send("swap-confirm", request_params(10000, Some("key"), b""));
    let (id, _) = processor.begin();
    let mut idle = node.gateway();
    idle.send("alive", json!({}));
    idle.receive();
    let start = Instant::now();
    node.signal("-TERM");
    for party in [&mut gateway, &mut idle] {
        assert_eq!(party.receive()["method"], "goaway");
    }
    // The signal closes the listening socket once all that was accepted is in.
    while TcpStream::connect(node.gateway_address).is_ok() {
        assert!(start.elapsed() < TEST_TIMEOUT);
    }
    processor.complete(&id, "fine", b"last");
    assert_eq!(gateway.receive()["result"]["doc"], base64(b"last"));
    let counters = node.wait_for_line("counters: ");
    assert_eq!(Node::counter(&counters, "served"), 1);
    assert!(node.wait().success());
    assert!(
        start.elapsed() < Duration::from_millis(4900),
        "{:?}",
        start.elapsed()
    );
}

/// A first request may take two seconds to arrive, while connections without number come in that
/// say half a word. At half limits it was the oldest that had said nothing whole, and so the first
/// to be closed for the others.
#[test]
fn a_request_that_arrives_in_pieces_is_served_among_a_crowd() {
    let (node, mut processor, _gateway) =
        pair(json!({"limits": {"sockets": 160, "memory_mb": 24}}));
    let params = request_params(6000, None, b"in pieces");
    let text = format!(
        "{}\n",
        json!({"jsonrpc": "2.0", "id": 1, "method": "rota-view", "params": params})
    );
    let mut slow = node.gateway();
    let mut crowd = Vec::new();
    let pieces: Vec<&[u8]> = text.as_bytes().chunks(text.len().div_ceil(21)).collect();
    for piece in pieces {
        slow.send_bytes(piece);
        for _ in 0..12 {
            let mut half = TcpStream::connect(node.gateway_address).unwrap();
            let _ = half.write_all(&text.as_bytes()[..20]);
            crowd.push(half);
        }
        // Real time is what this is about: 21 pieces within 2.1 s.
        std::thread::sleep(Duration::from_millis(105));
    }
    let (id, body) = processor.begin();
    assert_eq!(body, b"in pieces");
    processor.complete(&id, "fine", b"served");
    assert_eq!(slow.receive()["result"]["doc"], base64(b"served"));
}

/// Callers hear of a drain late: a node that shut its door at once had its whole traffic refused
/// for seconds.
#[test]
fn a_drain_serves_who_comes_within_its_grace() {
    let (node, mut processor, _gateway) = pair(json!({}));
    node.signal("-TERM");
    node.wait_for_line("draining: ");
    let mut late = node.gateway();
    late.send("alive", json!({}));
    assert_eq!(late.receive()["result"]["healthy"], false);
    late.send("swap-confirm", request_params(2000, Some("late"), b"body"));
    let (id, _) = processor.begin();
    processor.complete(&id, "fine", b"served");
    let answer = late.receive();
    assert_eq!(answer["result"]["doc"], base64(b"served"));
    // Nor are those sent away who go by the level.
    assert_ne!(answer["result"]["pressure"], 1.0, "{answer}");
    assert_eq!(late.receive()["method"], "goaway");
    late.send("alive", json!({}));
    assert_eq!(late.receive()["result"]["pressure"], 1.0);
}

#[test]
fn a_drain_fails_what_runs_too_long_before_the_kill() {
    let (mut node, mut processor, mut gateway) = pair(json!({"stop_ms": 1000}));
    gateway.send("rota-view", request_params(10000, None, b""));
    processor.begin();
    let start = Instant::now();
    node.signal("-TERM");
    assert_eq!(gateway.receive()["method"], "goaway");
    assert!(code(&gateway.receive()) < -32000);
    assert!(node.wait().success());
    assert!(
        start.elapsed() < Duration::from_millis(1000),
        "{:?}",
        start.elapsed()
    );
}

#[test]
fn bad_input_gets_its_error_and_harms_nobody() {
    let (node, mut processor, mut good) = pair(json!({}));
    let change = |field: &str, value: Value| {
        let mut params = request_params(5000, Some("bad"), b"");
        params[field] = value;
        json!({"jsonrpc": "2.0", "id": 9, "method": "swap-confirm", "params": params}).to_string()
    };
    let cases = [
        ("{".to_owned(), -32700),
        ("[]".to_owned(), -32600),
        (
            r#"{"jsonrpc":"1.0","id":9,"method":"alive"}"#.to_owned(),
            -32600,
        ),
        (
            r#"{"jsonrpc":"2.0","id":"9","method":"alive"}"#.to_owned(),
            -32600,
        ),
        (
            r#"{"jsonrpc":"2.0","id":0,"method":"alive"}"#.to_owned(),
            -32600,
        ),
        (
            r#"{"jsonrpc":"2.0","id":9,"method":"rota-view"}"#.to_owned(),
            -32602,
        ),
        (
            change("method", json!(1)).replace("swap-confirm", "no-such"),
            -32601,
        ),
        (change("ref", json!("9B1F03AA5C7E2D41")), -32602),
        (change("ref", json!(7)), -32602),
        (change("since", json!("now")), -32602),
        (change("since", json!(-1)), -32602),
        (change("allow", json!(1e300)), -32602),
        (change("room", json!(0)), -32602),
        (change("class_rank", json!(1)), -32602),
        (change("dup", json!([])), -32602),
        (change("replay", json!("")), -32602),
        (change("replay", Value::Null), -32602),
        (change("doc", json!("not base64")), -32602),
        (change("doc", json!(base64(&[0; 2049]))), -32602),
        ("x".repeat(9000), -32600),
    ];
    for (line, expected) in cases {
        let mut gateway = node.gateway();
        gateway.send_bytes(format!("{line}\n").as_bytes());
        let answer = gateway.receive();
        assert_eq!(code(&answer), expected, "{line} -> {answer}");
    }
    // None of them ran, and a good request does.
    good.send("rota-view", request_params(5000, None, b"good"));
    let (id, body) = processor.begin();
    assert_eq!(body, b"good");
    processor.complete(&id, "fine", b"fine");
    assert_eq!(good.receive()["result"]["doc"], base64(b"fine"));
}

/// At the limit accepting once stopped, so clients that said nothing shut out those that had
/// something to say.
#[test]
fn those_that_say_nothing_shut_nobody_out() {
    // 74 descriptors are kept back, so 8 connections are taken.
    let (node, mut processor, mut gateway) = pair(json!({"limits": {"sockets": 82}}));
    gateway.send("rota-view", request_params(15000, None, b""));
    let (id, _) = processor.begin();
    let start = Instant::now();
    let silent = |_| TcpStream::connect(node.gateway_address).unwrap();
    let mut strangers: Vec<TcpStream> = (0..14).map(silent).collect();
    strangers[13].write_all(b"{\"jsonrpc\":").unwrap();
    let mut last = node.gateway();
    last.send("alive", json!({}));
    assert_eq!(last.receive()["result"]["healthy"], true);
    // Each of them is closed within 3 s, crowded or not; the one that has a request open stays.
    for stranger in &mut strangers {
        stranger.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        assert_eq!(stranger.read(&mut [0; 64]).unwrap_or(0), 0);
    }
    assert!(
        start.elapsed() < Duration::from_secs(3),
        "{:?}",
        start.elapsed()
    );
    processor.complete(&id, "fine", b"late");
    assert_eq!(gateway.receive()["result"]["doc"], base64(b"late"));
    node.signal("-USR1");
    let counters = node.wait_for_line("counters: ");
    let count = |name: &str| Node::counter(&counters, name);
    assert!(
        count("accepted") == 16 && count("crowded_out") >= 7,
        "{counters}"
    );
}

/// A place was once wanted as soon as the last one was taken, and its new holder was the first to
/// be closed: with its request, whose run went on for nobody.
#[test]
fn a_newcomer_among_idle_ones_is_served() {
    let (node, mut processor, first) = pair(json!({"limits": {"sockets": 82}}));
    let idle = |_| {
        let mut gateway = node.gateway();
        gateway.send("alive", json!({}));
        gateway.receive();
        gateway
    };
    let mut places: Vec<Gateway> = (0..20).map(idle).collect();
    places.push(first);
    for n in 0..10 {
        let mut newcomer = node.gateway();
        newcomer.send("rota-view", request_params(9000, None, &[n]));
        let (id, _) = processor.begin();
        processor.complete(&id, "fine", &[n]);
        assert_eq!(newcomer.receive()["result"]["doc"], base64(&[n]));
        places.push(newcomer);
    }
}

/// Each was once answered for as long as it went on, and a notification not at all.
#[test]
fn errors_without_an_end_end_in_a_close() {
    let (node, mut processor, mut good) = pair(json!({}));
    for line in ["{", r#"{"jsonrpc":"2.0","method":"rota-view"}"#] {
        let mut bad = node.gateway();
        bad.send_bytes(format!("{line}\n").repeat(100).as_bytes());
        let answers = std::iter::from_fn(|| Some(bad.receive()).filter(|a| !a.is_null()));
        assert_eq!(
            answers
                .inspect(|a| assert!(code(a) < -32000, "{a}"))
                .count(),
            8,
            "{line}"
        );
    }
    // What is taken back is confirmed, or a client that only does that would never hear a word.
    let number = good.send("rota-view", request_params(9000, None, b""));
    let (id, _) = processor.begin();
    good.notify("cancelRequest", json!({"id": number}));
    assert_eq!(code(&good.receive()), -32800);
    processor.complete(&id, "fine", b"nobody's");
    good.send("alive", json!({}));
    assert_eq!(good.receive()["result"]["healthy"], true);
}

#[test]
fn a_connection_has_32_requests_open_and_its_end_lets_go_of_them() {
    let (mut node, mut processor, mut gateway) = pair(json!({}));
    // Repeats of one key: one runs, the others wait for it, and none can be served early.
    let numbers: Vec<u64> = (0..33)
        .map(|_| gateway.send("swap-confirm", request_params(9000, Some("k"), b"")))
        .collect();
    let answer = gateway.receive();
    assert_eq!(
        (&answer["id"], code(&answer)),
        (&json!(numbers[32]), -32600)
    );
    let (id, _) = processor.begin();
    drop(gateway);
    // Another connection is read after the end of the first one is seen, or the key is still held:
    // either way the run that began is the only one, and its result serves the next try.
    let mut other = node.gateway();
    other.send("swap-confirm", request_params(9000, Some("k"), b""));
    processor.complete(&id, "fine", b"once");
    assert_eq!(other.receive()["result"]["doc"], base64(b"once"));
    node.signal("-TERM");
    let counters = node.wait_for_line("counters: ");
    assert!(node.wait().success());
    let count = |name: &str| Node::counter(&counters, name);
    assert_eq!(
        (count("requests"), count("runs"), count("malformed")),
        (33, 1, 1),
        "{counters}"
    );
    assert_eq!(count("gone") + count("served"), 33, "{counters}");
}
