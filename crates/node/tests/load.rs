//! Many requests at once: how a burst, a slow peer or a flood affects other connections.

#[path = "../../benchmarks/tests/standin/mod.rs"]
mod standin;

mod common;

use common::{base64, configuration, Node, TEST_TIMEOUT};
use serde_json::json;
use standin::{parse_response, Gateway};
use std::io::Read;
use std::time::{Duration, Instant};

/// Starts a node configured for many concurrent runs, with a processor whose results have this
/// size.
fn start_with_many_cores(result_size: usize) -> Node {
    let mut settings = configuration(&json!({}))["settings"].clone();
    settings["familyInfo"]["cpus"] = json!(256);
    settings["familyInfo"]["heapKb"] = json!(1e7);
    let processor = standin::start_processor(Some(result_size));
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
        gateway.append_request(&mut out, "rota-view", None, doc);
    }
    out
}

#[test]
fn requests_split_over_segments_or_joined_in_one_are_served() {
    let node = start_with_many_cores(200);
    let mut gateway = Gateway::new(node.gateway_address, 1);
    let doc = base64(&[7; 60]);
    let mut line = String::new();
    // Some chunks contain the end of one request and the beginning of the next.
    for length in [1, 2, 7, 100, 331, 4096] {
        let text = requests(&mut gateway, 6, &doc);
        text.chunks(length).for_each(|chunk| gateway.send(chunk));
        let mut served: Vec<u64> = (0..6)
            .map(|_| {
                gateway.read_line(&mut line);
                assert!(parse_response(&line).1, "{line}");
                parse_response(&line).0
            })
            .collect();
        served.sort_unstable();
        assert!(served.windows(2).all(|w| w[0] + 1 == w[1]), "{served:?}");
    }
}

/// The buffered answers of a peer that does not read are bounded, and other connections do not wait
/// for it.
#[test]
fn a_peer_that_does_not_read_is_disconnected_and_delays_no_others() {
    let node = start_with_many_cores(4096);
    let mut not_reading = Gateway::new(node.gateway_address, 1);
    let mut good = Gateway::new(node.gateway_address, 2);
    let (doc, mut line) = (base64(&[7; 8]), String::new());
    let start = Instant::now();
    // Socket buffers hold megabytes before the node's own buffers fill. 32 requests per connection
    // may be open; the others get errors, which are buffered as well.
    let (mut writer, mut reader) = not_reading.split();
    let text = requests(&mut not_reading, 32, &doc);
    let mut rounds = 0;
    while std::io::Write::write_all(&mut writer, &text).is_ok() {
        rounds += 1;
        let request = requests(&mut good, 1, &doc);
        let sent = Instant::now();
        good.send(&request);
        good.read_line(&mut line);
        assert!(
            parse_response(&line).1 && sent.elapsed() < Duration::from_secs(1),
            "{line}"
        );
        assert!(
            start.elapsed() < TEST_TIMEOUT,
            "still connected after {rounds} rounds"
        );
        // The repeated requests must not be run: their ids were used before, which is an error.
    }
    // When the peer reads at last, it gets complete answers up to the end of the connection.
    let mut all = Vec::new();
    let _ = reader.read_to_end(&mut all);
    assert!(all.iter().filter(|&&b| b == b'\n').count() > 0);
}

#[test]
fn a_gateway_with_32_open_requests_does_not_starve_one_with_a_single_request() {
    let node = start_with_many_cores(200);
    let mut heavy = Gateway::new(node.gateway_address, 1);
    let mut light = Gateway::new(node.gateway_address, 2);
    let doc = base64(&[7; 200]);
    let (mut writer, mut reader) = heavy.split();
    let (stop, stopped) = std::sync::mpsc::channel::<()>();
    let text: Vec<Vec<u8>> = (0..400).map(|_| requests(&mut heavy, 32, &doc)).collect();
    let flood = std::thread::spawn(move || {
        let mut line = String::new();
        let mut rounds = 0;
        for batch in &text {
            if stopped.try_recv().is_ok() {
                break;
            }
            std::io::Write::write_all(&mut writer, batch).unwrap();
            for _ in 0..32 {
                line.clear();
                std::io::BufRead::read_line(&mut reader, &mut line).unwrap();
            }
            rounds += 1;
        }
        rounds
    });
    let mut latencies: Vec<Duration> = (0..50)
        .map(|_| {
            let request = requests(&mut light, 1, &doc);
            let sent = Instant::now();
            light.send(&request);
            let mut line = String::new();
            light.read_line(&mut line);
            assert!(parse_response(&line).1, "{line}");
            sent.elapsed()
        })
        .collect();
    let _ = stop.send(());
    let rounds: usize = flood.join().unwrap();
    latencies.sort();
    // If the whole flood were served first, the median would exceed one second.
    assert!(
        rounds > 1 && latencies[25] < Duration::from_millis(100),
        "{rounds} rounds, {:?}",
        latencies[25]
    );
}

/// Every request of a flood is answered while the first ones wait: most are rejected; a few are
/// queued and time out.
#[test]
fn every_rejected_request_of_a_flood_is_answered() {
    let node = Node::start(
        json!({"processor": standin::start_processor(None).to_string()}),
        None,
    );
    node.ready();
    let doc = base64(&[7; 200]);
    let mut gateways: Vec<Gateway> = (0..6)
        .map(|n| Gateway::new(node.gateway_address, 1 + n))
        .collect();
    // These fill the cores, then the queue: later requests are rejected.
    let first = requests(&mut gateways[0], 30, &doc);
    gateways[0].send(&first);
    let mut line = String::new();
    gateways[0].read_line(&mut line);
    assert!(line.contains("-32000"), "{line}");
    let start = Instant::now();
    let (mut rejected, mut timed_out) = (0, 0);
    while rejected < 8_000 && start.elapsed() < Duration::from_secs(1) {
        for gateway in &mut gateways[1..] {
            let text = requests(gateway, 32, &doc);
            gateway.send(&text);
        }
        for gateway in &mut gateways[1..] {
            for _ in 0..32 {
                gateway.read_line(&mut line);
                match line.contains("-32000") {
                    true => rejected += 1,
                    false => timed_out += 1,
                }
                assert!(line.contains("-32000") || line.contains("-32002"), "{line}");
            }
        }
    }
    assert!(
        rejected + timed_out >= 160 && rejected >= 9 * timed_out,
        "{rejected} rejected, {timed_out} timed out"
    );
}

/// Memory used by a burst is freed after it (`benchmarks/tests/cost.rs` counts the bytes). The
/// pages that the system allocator retains are bounded, as later bursts reuse them.
#[cfg(target_os = "linux")]
#[test]
fn memory_does_not_grow_from_burst_to_burst() {
    let node = start_with_many_cores(4096);
    let (doc, mut line) = (base64(&[7; 2048]), String::new());
    let mut burst = || {
        let mut gateways: Vec<Gateway> = (0..60)
            .map(|n| Gateway::new(node.gateway_address, 1 + n))
            .collect();
        // Few requests per gateway: an unoptimized build checks all tables of the admission
        // controller after each event.
        let texts: Vec<Vec<u8>> = gateways.iter_mut().map(|g| requests(g, 8, &doc)).collect();
        gateways
            .iter_mut()
            .zip(&texts)
            .for_each(|(gateway, text)| gateway.send(text));
        for gateway in &mut gateways {
            for _ in 0..8 {
                gateway.read_line(&mut line);
                assert!(parse_response(&line).1, "{}", &line[..line.len().min(300)]);
            }
        }
        node.resident_kb()
    };
    let at_rest = node.resident_kb();
    let first = (0..2).map(|_| burst()).max().unwrap();
    let later = (0..6).map(|_| burst()).max().unwrap();
    println!("at rest {at_rest} KB, after two bursts {first} KB, after eight {later} KB");
    assert!(
        first > at_rest,
        "the bursts used no memory: {at_rest} KB at rest, {first} KB after them"
    );
    assert!(
        later < first + (first - at_rest) / 2,
        "{at_rest} KB at rest, {first} KB after two bursts, {later} KB after eight"
    );
}
