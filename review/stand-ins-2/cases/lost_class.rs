//! Two new configurations in a row: the first removes a class, the second brings it back and changes
//! another class. Gateways then use that other class, which both configurations have.

use crate::gateway::{Answer, Connection, Request};
use crate::node::{free_address, Node, NodeFiles};
use crate::processor::Processor;
use crate::settings::{configuration, Class, CLASSES};
use crate::{Case, Verdict};
use std::thread::sleep;
use std::time::{Duration, Instant};

const OPEN_REQUESTS: usize = 4;
const LATER_REQUESTS: usize = 10;
const PAUSE: Duration = Duration::from_millis(60);
/// How long gateways wait after a new configuration until they use its classes.
const SETTLE: Duration = Duration::from_millis(1500);
/// How long the gateway waits for each try, in milliseconds.
const ALLOW_MS: u64 = 5000;
/// The slack that the rule allows after `ALLOW_MS`: 100 ms, and 50 ms more on sockets.
const SLACK: Duration = Duration::from_millis(150);

pub fn play(case: &Case) -> Verdict {
    let record = &case.record;
    let Ok(processor) = Processor::start("processor", Duration::from_millis(1500), record) else {
        return Verdict::CouldNotRun("no processor".into());
    };
    let listen = free_address();
    let files = NodeFiles::new("n1", &case.folder, listen);
    let write = |files: &NodeFiles, classes: &[Class]| {
        files.write_config(&configuration(listen, processor.address, classes));
    };
    // The order of the classes in the file: the one that changes comes first.
    let [view, cover, swap] = CLASSES;
    write(&files, &[view, swap, cover]);
    let node = Node::start(files, record);
    if !node.wait_until_healthy() {
        return Verdict::CouldNotRun("the node did not start".into());
    }
    let changed = Class { worth: 6.0, ..swap };
    let steps: &[&[Class]] = if case.has_trouble {
        &[&[view, swap], &[view, changed, cover]]
    } else {
        &[]
    };
    for classes in steps {
        write(&node.files, classes);
        if !node.reload() {
            return Verdict::CouldNotRun("a configuration was not accepted".into());
        }
        sleep(SETTLE);
    }
    let Ok(mut gateway) = Connection::open("gateway", listen, record) else {
        return Verdict::CouldNotRun("no connection".into());
    };
    let read = Request {
        class: "rota-view",
        body: b"depot 4",
        allow_ms: ALLOW_MS,
        key: None,
        is_retry: false,
    };
    let mut sent = Vec::new();
    for _ in 0..OPEN_REQUESTS {
        sent.push((gateway.send(read), Instant::now()));
        sleep(PAUSE);
    }
    for number in 0..LATER_REQUESTS {
        let key = format!("5c0f6e1a2b3d4c59a8b7c6d5e4f302{number:02x}");
        let body = format!("swap {number}");
        let swap = Request {
            class: "swap-confirm",
            body: body.as_bytes(),
            key: Some(&key),
            ..read
        };
        sent.push((gateway.send(swap), Instant::now()));
        sleep(PAUSE);
    }
    let (mut lost, mut unknown) = (Vec::new(), Vec::new());
    for (id, sent) in sent {
        let latest = Duration::from_millis(ALLOW_MS) + SLACK;
        match gateway.answer(id, latest.saturating_sub(sent.elapsed())) {
            None => lost.push(id),
            Some(Answer::Failed(code)) if code == "-32601" => unknown.push(id),
            Some(_) => {}
        }
    }
    record.line(format!("answered as of an unknown class: {unknown:?}"));
    if lost.is_empty() {
        return Verdict::Held;
    }
    Verdict::Broken(format!("requests without an answer: {lost:?}"))
}
