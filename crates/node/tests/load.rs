//! Many at once: what a crowd of requests, a slow peer or a flood does to the others.

#[path = "../../benchmarks/tests/standin/mod.rs"]
mod standin;

mod common;

use common::{base64, configuration, Node, TEST_TIMEOUT};
use serde_json::json;
use standin::{answered, Gateway};
use std::io::Read;
use std::time::{Duration, Instant};

/// A node with cores for many at once, and a processor whose results are so long.
fn wide(result: usize) -> Node {
    let mut settings = configuration(&json!({}))["settings"].clone();
    settings["familyInfo"]["cpus"] = json!(256);
    settings["familyInfo"]["heapKb"] = json!(1e7);
    let processor = standin::processor(Some(result));
    let node = Node::start(
        json!({"processor": processor.to_string(), "settings": settings}),
        None,
    );
    node.ready();
    node
}

fn requests(gateway: &mut Gateway, count: usize, doc: &str) -> Vec<u8> {
    let mut out = Vec::new();
    for _ in 0..count {
        gateway.request(&mut out, "rota-view", None, doc);
    }
    out
}

#[test]
fn one_request_over_many_segments_and_many_in_one_are_the_same() {
    let node = wide(200);
    let mut gateway = Gateway::new(node.gateway_address, 1);
    let doc = base64(&[7; 60]);
    let mut line = String::new();
    // In pieces of every length, with the end of one and the beginning of the next in a piece, too.
    for length in [1, 2, 7, 100, 331, 4096] {
        let text = requests(&mut gateway, 6, &doc);
        text.chunks(length).for_each(|piece| gateway.say(piece));
        let mut served: Vec<u64> = (0..6)
            .map(|_| {
                gateway.line(&mut line);
                assert!(answered(&line).1, "{line}");
                answered(&line).0
            })
            .collect();
        served.sort_unstable();
        assert!(served.windows(2).all(|w| w[0] + 1 == w[1]), "{served:?}");
    }
}

/// Answers gather for a peer that does not read: they are bounded, and nobody else waits for it.
#[test]
fn a_peer_that_does_not_read_is_given_up_and_delays_nobody() {
    let node = wide(4096);
    let mut deaf = Gateway::new(node.gateway_address, 1);
    let mut good = Gateway::new(node.gateway_address, 2);
    let (doc, mut line) = (base64(&[7; 8]), String::new());
    let start = Instant::now();
    // The system's own buffers take megabytes before the node's begin to fill. 32 at a time may be
    // open; the others are errors, and gather as well.
    let (mut to, mut from) = deaf.split();
    let text = requests(&mut deaf, 32, &doc);
    let mut rounds = 0;
    while std::io::Write::write_all(&mut to, &text).is_ok() {
        rounds += 1;
        let request = requests(&mut good, 1, &doc);
        let sent = Instant::now();
        good.say(&request);
        good.line(&mut line);
        assert!(
            answered(&line).1 && sent.elapsed() < Duration::from_secs(1),
            "{line}"
        );
        assert!(
            start.elapsed() < TEST_TIMEOUT,
            "{rounds} rounds, and it is still heard"
        );
        // What it said must not have been read as new requests: its numbers are old, and count as
        // errors.
    }
    // It reads at last: whole answers, and then the end.
    let mut all = Vec::new();
    let _ = from.read_to_end(&mut all);
    assert!(all.iter().filter(|&&b| b == b'\n').count() > 0);
}

#[test]
fn a_gateway_with_32_open_does_not_starve_one_with_one() {
    let node = wide(200);
    let mut greedy = Gateway::new(node.gateway_address, 1);
    let mut modest = Gateway::new(node.gateway_address, 2);
    let doc = base64(&[7; 200]);
    let (mut to, mut from) = greedy.split();
    let (stop, stopped) = std::sync::mpsc::channel::<()>();
    let text: Vec<Vec<u8>> = (0..400).map(|_| requests(&mut greedy, 32, &doc)).collect();
    let flood = std::thread::spawn(move || {
        let mut line = String::new();
        let mut rounds = 0;
        for batch in &text {
            if stopped.try_recv().is_ok() {
                break;
            }
            std::io::Write::write_all(&mut to, batch).unwrap();
            for _ in 0..32 {
                line.clear();
                std::io::BufRead::read_line(&mut from, &mut line).unwrap();
            }
            rounds += 1;
        }
        rounds
    });
    let mut took: Vec<Duration> = (0..50)
        .map(|_| {
            let request = requests(&mut modest, 1, &doc);
            let sent = Instant::now();
            modest.say(&request);
            let mut line = String::new();
            modest.line(&mut line);
            assert!(answered(&line).1, "{line}");
            sent.elapsed()
        })
        .collect();
    let _ = stop.send(());
    let rounds: usize = flood.join().unwrap();
    took.sort();
    // Were the greedy one's whole flood to come first, it would be a second and more.
    assert!(
        rounds > 1 && took[25] < Duration::from_millis(100),
        "{rounds} rounds, {:?}",
        took[25]
    );
}

/// Refusals are answered, all of them, while the first callers wait; now and then one is held, and
/// ends at its due time.
#[test]
fn a_flood_of_refusals_is_answered_whole() {
    let node = Node::start(
        json!({"processor": standin::processor(None).to_string()}),
        None,
    );
    node.ready();
    let doc = base64(&[7; 200]);
    let mut gateways: Vec<Gateway> = (0..6)
        .map(|n| Gateway::new(node.gateway_address, 1 + n))
        .collect();
    // The cores, then the line: whatever comes behind is turned away.
    let first = requests(&mut gateways[0], 30, &doc);
    gateways[0].say(&first);
    let mut line = String::new();
    gateways[0].line(&mut line);
    assert!(line.contains("-32000"), "{line}");
    let start = Instant::now();
    let (mut refused, mut late) = (0, 0);
    while refused < 8_000 && start.elapsed() < Duration::from_secs(1) {
        for gateway in &mut gateways[1..] {
            let text = requests(gateway, 32, &doc);
            gateway.say(&text);
        }
        for gateway in &mut gateways[1..] {
            for _ in 0..32 {
                gateway.line(&mut line);
                match line.contains("-32000") {
                    true => refused += 1,
                    false => late += 1,
                }
                assert!(line.contains("-32000") || line.contains("-32002"), "{line}");
            }
        }
    }
    assert!(
        refused + late >= 160 && refused >= 9 * late,
        "{refused} refused, {late} late"
    );
}

/// The resident memory of the node, in KB.
fn resident(node: &Node) -> u64 {
    let statm = std::fs::read_to_string(format!("/proc/{}/statm", node.pid())).unwrap();
    statm.split(' ').nth(1).unwrap().parse::<u64>().unwrap() * 4
}

/// What the process holds after a burst is back at rest (`bench/tests/cost.rs` counts it). What the
/// system's allocator keeps of the pages is bounded: later bursts take those again.
#[cfg(target_os = "linux")]
#[test]
fn bursts_of_large_bodies_do_not_add_up() {
    let node = wide(4096);
    let (doc, mut line) = (base64(&[7; 2048]), String::new());
    let mut burst = || {
        let mut crowd: Vec<Gateway> = (0..60)
            .map(|n| Gateway::new(node.gateway_address, 1 + n))
            .collect();
        // Few at once: unoptimized, the module looks all of its tables over after each event.
        let texts: Vec<Vec<u8>> = crowd.iter_mut().map(|g| requests(g, 8, &doc)).collect();
        crowd
            .iter_mut()
            .zip(&texts)
            .for_each(|(gateway, text)| gateway.say(text));
        for gateway in &mut crowd {
            for _ in 0..8 {
                gateway.line(&mut line);
                assert!(answered(&line).1, "{}", &line[..line.len().min(300)]);
            }
        }
        resident(&node)
    };
    let rest = resident(&node);
    let first = (0..2).map(|_| burst()).max().unwrap();
    let later = (0..6).map(|_| burst()).max().unwrap();
    println!("at rest {rest} KB, after two bursts {first} KB, after eight {later} KB");
    assert!(first > rest, "no burst: {rest} KB, {first} KB");
    assert!(
        later < first + (first - rest) / 2,
        "{rest} KB, {first} KB, {later} KB"
    );
}
