//! The link to the processor breaks now and then. Each run has to be given the ledger's reply to
//! its own call, unchanged.

use crate::gateway::{Gateway, Outcome, Request, Tries};
use crate::node::{control, free_address, settings, Class, Folder, Node};
use crate::platform::{start_ledger, Endpoint, LinkOptions, Platform};
use crate::util::{sleep_ms, Record};
use crate::Verdict;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Length of the load in milliseconds.
const LOAD_MS: u64 = 80_000;
/// Time between two requests in milliseconds.
const REQUEST_INTERVAL_MS: u64 = 40;
/// Range of the time between two breaks of the link in milliseconds.
const BREAK_INTERVAL_MS: (u64, u64) = (2000, 4000);
/// Range of the pause between two pieces of the notices in milliseconds.
const PIECE_PAUSE_MS: (u64, u64) = (5, 16);
/// How long the ledger takes for a call, in milliseconds.
const CALL_MS: u64 = 8;
/// Fewer breaks or requests than these test too little.
const MIN_BREAKS: u64 = 15;
const MIN_REQUESTS: usize = 1000;

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let platform = Platform::new(record.clone());
    let options = LinkOptions { piece_pause_ms: Some(PIECE_PAUSE_MS), ..LinkOptions::default() };
    let processor = Endpoint::start(&platform, "processor", options);
    let ledger = start_ledger(&platform, CALL_MS);
    let (listen, door) = (free_address(), free_address());
    let classes = [Class::rota_view(), Class::swap_confirm()];
    let config = format!(
        r#"{{"name":"n1","listen":"{listen}","processor":"{}","ledger":"{ledger}","control":"{door}",
"seed":"8c1f30d27a5be964","stop_ms":5000,"limits":{{"cores":1.0,"memory_mb":192,"sockets":512}},"settings":{}}}"#,
        processor.address,
        settings(&classes, false)
    );
    let folder = Folder::new();
    let mut node = Node::start(record, &folder.0, "node", &config, "");
    while control(door, "GET /status") != Some(200) {
        if record.ms() > 10_000 || node.ended().is_some() {
            return Verdict::CouldNotRun;
        }
        sleep_ms(20);
    }
    let tries = Tries::new(&platform);
    let is_over = Arc::new(AtomicBool::new(false));
    let breaker = has_trouble.then(|| start_breaker(&processor, &platform, &is_over));
    send_load(record, &tries, &mut node, listen);
    is_over.store(true, Ordering::SeqCst);
    let breaks = breaker.map_or(0, |breaker| breaker.join().unwrap_or(0));
    sleep_ms(2500);
    if node.ended().is_some() {
        node.record_log();
        return Verdict::CouldNotRun;
    }
    node.signal("-TERM");
    node.wait_until(record.ms() + 5000);
    node.record_log();
    record.say(&format!("breaks of the link: {breaks}"));
    record.say(&tries.summary());
    let is_too_little = has_trouble && breaks < MIN_BREAKS || tries.all().len() < MIN_REQUESTS;
    judge(record, &platform, &tries, is_too_little)
}

/// Breaks the link now and then. The thread returns the number of breaks.
fn start_breaker(
    processor: &Endpoint,
    platform: &Arc<Platform>,
    is_over: &Arc<AtomicBool>,
) -> std::thread::JoinHandle<u64> {
    let (processor, platform, is_over) = (processor.clone(), platform.clone(), is_over.clone());
    std::thread::spawn(move || {
        let mut breaks = 0;
        while !is_over.load(Ordering::SeqCst) {
            sleep_ms(platform.random.range(BREAK_INTERVAL_MS.0, BREAK_INTERVAL_MS.1));
            breaks += u64::from(processor.break_link());
        }
        breaks
    })
}

fn send_load(record: &Record, tries: &Arc<Tries>, node: &mut Node, listen: std::net::SocketAddr) {
    let gateways: Vec<_> = (0..4).map(|n| Gateway::new(n, listen, tries)).collect();
    let end_ms = record.ms() + LOAD_MS;
    let mut number = 0u64;
    while record.ms() < end_ms && node.ended().is_none() {
        number += 1;
        let is_keyed = number.is_multiple_of(3);
        gateways[(number % 4) as usize].send(&Request {
            class: if is_keyed { "swap-confirm" } else { "rota-view" }.into(),
            body: format!("work=40,25,15 request {number}").into_bytes(),
            key: is_keyed.then(|| format!("{number:032x}")),
            allow_ms: 2000,
        });
        sleep_ms(REQUEST_INTERVAL_MS);
    }
}

fn judge(record: &Record, platform: &Platform, tries: &Tries, is_too_little: bool) -> Verdict {
    let violations = platform.violations.lock().unwrap().clone();
    record.say(&format!("rules broken at the processor or a gateway: {}", violations.len()));
    for violation in violations.iter().take(5) {
        record.say(violation);
    }
    let is_wrong = |t: &&crate::gateway::Try| match &t.outcome {
        Outcome::Served(result) => {
            let body = String::from_utf8_lossy(&t.body);
            let reference = &t.reference;
            let expected = format!(
                "result of {body} + reply to call 1 of {reference} + reply to call 2 of {reference}"
            );
            *result != expected.into_bytes()
        }
        _ => false,
    };
    let wrong = tries.all().iter().filter(is_wrong).count();
    record.say(&format!("served with a result that such a reply went into: {wrong}"));
    if !violations.is_empty() {
        Verdict::Broken
    } else if is_too_little {
        Verdict::CouldNotRun
    } else {
        Verdict::Held
    }
}
