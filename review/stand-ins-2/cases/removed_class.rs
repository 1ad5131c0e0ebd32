//! A reload removes a class while a gateway has requests of it open and sends more of them.

use crate::gateway::{Connection, Request};
use crate::node::{free_address, Node, NodeFiles};
use crate::processor::Processor;
use crate::settings::{configuration, CLASSES};
use crate::{Case, Verdict};
use std::thread::sleep;
use std::time::{Duration, Instant};

const OPEN_REQUESTS: usize = 6;
const LATER_REQUESTS: usize = 12;
const PAUSE: Duration = Duration::from_millis(60);
/// How long the gateway waits for each try, in milliseconds.
const ALLOW_MS: u64 = 5000;
/// The slack that the rule allows after `ALLOW_MS`: 100 ms, and 50 ms more on sockets.
const SLACK: Duration = Duration::from_millis(150);

pub fn play(case: &Case) -> Verdict {
    let record = &case.record;
    let Ok(processor) = Processor::start("processor", Duration::from_millis(2500), record) else {
        return Verdict::CouldNotRun("no processor".into());
    };
    let listen = free_address();
    let files = NodeFiles::new("n1", &case.folder, listen);
    files.write_config(&configuration(listen, processor.address, &CLASSES));
    let node = Node::start(files, record);
    if !node.wait_until_healthy() {
        return Verdict::CouldNotRun("the node did not start".into());
    }
    let Ok(mut gateway) = Connection::open("gateway", listen, record) else {
        return Verdict::CouldNotRun("no connection".into());
    };
    let request = Request {
        class: "cover-check",
        body: b"depot 4",
        allow_ms: ALLOW_MS,
        key: None,
        is_retry: false,
    };
    let mut open = Vec::new();
    for _ in 0..OPEN_REQUESTS {
        open.push((gateway.send(request), Instant::now()));
        sleep(PAUSE);
    }
    if case.has_trouble {
        let kept = [CLASSES[0], CLASSES[2]];
        node.files
            .write_config(&configuration(listen, processor.address, &kept));
        if !node.reload() {
            return Verdict::CouldNotRun("the configuration was not accepted".into());
        }
    }
    for _ in 0..LATER_REQUESTS {
        gateway.send(request);
        sleep(PAUSE);
    }
    let mut lost = Vec::new();
    for (id, sent) in open {
        let latest = Duration::from_millis(ALLOW_MS) + SLACK;
        if gateway
            .answer(id, latest.saturating_sub(sent.elapsed()))
            .is_none()
        {
            lost.push(id);
        }
    }
    if lost.is_empty() {
        return Verdict::Held;
    }
    Verdict::Broken(format!(
        "requests without an answer, sent and read before the reload: {lost:?}"
    ))
}
