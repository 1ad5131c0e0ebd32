//! A successor takes over, runs a keyed request and is killed together with its processor; its predecessor serves again and is
//! replaced once more, and the client sends the request again.

use crate::gateway::{Answer, Connection, Request};
use crate::node::{free_address, Node, NodeFiles};
use crate::processor::Processor;
use crate::settings::{configuration, CLASSES};
use crate::{Case, Verdict};
use std::thread::sleep;
use std::time::Duration;

const WAIT: Duration = Duration::from_secs(6);

pub fn play(case: &Case) -> Verdict {
    let record = &case.record;
    let listen = free_address();
    let mut processors = Vec::new();
    for name in ["processor-1", "processor-2", "processor-3"] {
        match Processor::start(name, Duration::from_millis(100), record) {
            Ok(processor) => processors.push(processor),
            Err(error) => return Verdict::CouldNotRun(format!("no processor: {error}")),
        }
    }
    let start = |name: &str, processor: &Processor| {
        let files = NodeFiles::new(name, &case.folder, listen);
        files.write_config(&configuration(listen, processor.address, &CLASSES));
        Node::start(files, record)
    };
    let first = start("process-1", &processors[0]);
    if !first.wait_until_healthy() {
        return Verdict::CouldNotRun("the node did not start".into());
    }
    let mut second = start("process-2", &processors[1]);
    if !second.wait_until_serving(Duration::from_secs(6)) {
        return Verdict::CouldNotRun("the second process did not take over".into());
    }
    let request = Request {
        class: "swap-confirm",
        body: b"swap 17 with 23",
        allow_ms: 5000,
        key: Some("5c0f6e1a2b3d4c59a8b7c6d5e4f30211"),
        is_retry: false,
    };
    let Ok(mut gateway) = Connection::open("gateway", listen, record) else {
        return Verdict::CouldNotRun("no connection".into());
    };
    let id = gateway.send(request);
    if !matches!(gateway.answer(id, WAIT), Some(Answer::Served(_))) {
        return Verdict::CouldNotRun("the first try was not served".into());
    }
    if case.has_trouble {
        second.kill();
        processors[1].kill();
        if !first.wait_until_serving(Duration::from_secs(6)) {
            return Verdict::CouldNotRun("the first process did not serve again".into());
        }
    }
    sleep(Duration::from_secs(1));
    let third = start("process-3", &processors[2]);
    if !third.wait_until_serving(Duration::from_secs(6)) {
        return Verdict::CouldNotRun("the third process did not take over".into());
    }
    let Ok(mut gateway) = Connection::open("gateway-2", listen, record) else {
        return Verdict::CouldNotRun("no connection".into());
    };
    let id = gateway.send(Request {
        is_retry: true,
        ..request
    });
    gateway.answer(id, WAIT);
    let runs: usize = processors
        .iter()
        .map(|processor| processor.runs_of(request.body))
        .sum();
    if runs == 1 {
        return Verdict::Held;
    }
    Verdict::Broken(format!("the key ran {runs} times within its window"))
}
