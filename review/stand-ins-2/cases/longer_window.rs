//! A reload makes the window of a keyed class longer, and a client sends a keyed request again
//! within it.

use crate::gateway::{Answer, Connection, Request};
use crate::node::{free_address, Node, NodeFiles};
use crate::processor::Processor;
use crate::settings::{configuration, Class, CLASSES};
use crate::{Case, Verdict};
use std::thread::sleep;
use std::time::Duration;

const WAIT: Duration = Duration::from_secs(6);

fn classes(memory_span: u64) -> [Class; 3] {
    let mut classes = CLASSES;
    classes[2].memory_span = memory_span;
    classes
}

pub fn play(case: &Case) -> Verdict {
    let record = &case.record;
    let Ok(processor) = Processor::start("processor", Duration::from_millis(100), record) else {
        return Verdict::CouldNotRun("no processor".into());
    };
    let listen = free_address();
    let files = NodeFiles::new("n1", &case.folder, listen);
    let (short, long) = (13_023_000, 20_049_000);
    // Without the trouble the node has the longer window from the start.
    let at_start = if case.has_trouble { short } else { long };
    files.write_config(&configuration(
        listen,
        processor.address,
        &classes(at_start),
    ));
    let node = Node::start(files, record);
    if !node.wait_until_healthy() {
        return Verdict::CouldNotRun("the node did not start".into());
    }
    let Ok(mut gateway) = Connection::open("gateway", listen, record) else {
        return Verdict::CouldNotRun("no connection".into());
    };
    let first = Request {
        class: "swap-confirm",
        body: b"swap 17 with 23",
        allow_ms: 5000,
        key: Some("5c0f6e1a2b3d4c59a8b7c6d5e4f30211"),
        is_retry: false,
    };
    let id = gateway.send(first);
    if !matches!(gateway.answer(id, WAIT), Some(Answer::Served(_))) {
        return Verdict::CouldNotRun("the first try was not served".into());
    }
    sleep(Duration::from_secs(4));
    if case.has_trouble {
        node.files
            .write_config(&configuration(listen, processor.address, &classes(long)));
        if !node.reload() {
            return Verdict::CouldNotRun("the configuration was not accepted".into());
        }
    }
    sleep(Duration::from_secs(12));
    let Ok(mut gateway) = Connection::open("gateway-2", listen, record) else {
        return Verdict::CouldNotRun("no connection".into());
    };
    let id = gateway.send(Request {
        is_retry: true,
        ..first
    });
    gateway.answer(id, WAIT);
    match processor.runs_of(first.body) {
        1 => Verdict::Held,
        runs => Verdict::Broken(format!("the key ran {runs} times within the window")),
    }
}
