//! The notice to drain comes before the processor is up. All that is read has to be answered before
//! the process is stopped.

use crate::gateway::{Gateway, Request, Tries};
use crate::node::{control, free_address, settings, Class, Folder, Node};
use crate::platform::{Endpoint, LinkOptions, Platform};
use crate::util::{sleep_ms, Record};
use crate::Verdict;
use std::sync::Arc;

/// SIGKILL follows SIGTERM after this time, in milliseconds.
const STOP_MS: u64 = 3200;
/// The processor comes up this long after the start of the node, in milliseconds.
const PROCESSOR_UP_MS: u64 = 3000;
/// Time between the notice and the start of the processor, in milliseconds: the notice comes before
/// it, or without the disruption after it.
const APART_MS: u64 = 100;
/// Gateways learn of the node this long after the start of the processor, in milliseconds.
const LIST_DELAY_MS: u64 = 1000;
/// Length of the load and time between two requests, in milliseconds.
const LOAD_MS: u64 = 400;
const REQUEST_INTERVAL_MS: u64 = 40;
/// The work of a request in milliseconds: 400 ms at 0.6 of the yardstick's speed and, cold, at 0.28
/// of that.
const WORK_MS: u64 = 2400;

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let platform = Platform::new(record.clone());
    let options = LinkOptions { is_down_at_first: true, is_cold: true, piece_pause_ms: None };
    let processor = Endpoint::start(&platform, "processor", options);
    let (listen, door) = (free_address(), free_address());
    let classes = [Class::rota_view(), Class::swap_confirm()];
    let config = format!(
        r#"{{"name":"n1","listen":"{listen}","processor":"{}","control":"{door}","seed":"8c1f30d27a5be964",
"stop_ms":{STOP_MS},"limits":{{"cores":1.0,"memory_mb":192,"sockets":512}},"settings":{}}}"#,
        processor.address,
        settings(&classes, true)
    );
    let folder = Folder::new();
    let mut node = Node::start(record, &folder.0, "node", &config, "");
    while control(door, "GET /status").is_none() {
        if record.ms() > PROCESSOR_UP_MS || node.ended().is_some() {
            return Verdict::CouldNotRun;
        }
        sleep_ms(20);
    }
    sleep_ms(PROCESSOR_UP_MS.saturating_sub(record.ms()));
    if has_trouble {
        node.signal("-TERM");
    } else {
        processor.come_up();
    }
    let first_ms = record.ms();
    sleep_ms(APART_MS);
    if has_trouble {
        processor.come_up();
    } else {
        node.signal("-TERM");
    }
    let notice_ms = if has_trouble { first_ms } else { record.ms() };
    sleep_ms(LIST_DELAY_MS);
    let tries = Tries::new(&platform);
    let gateways: Vec<_> = (0..4).map(|n| Gateway::new(n, listen, &tries)).collect();
    for number in 1..=LOAD_MS / REQUEST_INTERVAL_MS {
        let is_keyed = number.is_multiple_of(3);
        gateways[(number % 4) as usize].send(&Request {
            class: if is_keyed { "swap-confirm" } else { "rota-view" }.into(),
            body: format!("work={WORK_MS} request {number}").into_bytes(),
            key: is_keyed.then(|| format!("{number:032x}")),
            allow_ms: 6000,
        });
        sleep_ms(REQUEST_INTERVAL_MS);
    }
    if node.wait_until(notice_ms + STOP_MS).is_none() {
        node.signal("-KILL");
        node.wait_until(notice_ms + STOP_MS + 2000);
    }
    sleep_ms(500);
    node.record_log();
    record.say(&tries.summary());
    for missing in tries.all().iter().filter(|t| t.outcome.is_missing()) {
        record.say(&format!(
            "no answer to {}, written {} ms after the notice",
            missing.reference,
            missing.sent_ms - notice_ms
        ));
    }
    if tries.all().iter().any(|t| t.outcome.is_missing()) {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
