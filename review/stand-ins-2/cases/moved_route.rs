//! A reload moves a keyed class from uwsgi workers to the processor, and a client sends a keyed
//! request again.

use crate::gateway::{Answer, Connection, Request};
use crate::node::{free_address, Node, NodeFiles};
use crate::processor::Processor;
use crate::settings::{configuration, CLASSES};
use crate::worker::Worker;
use crate::{Case, Verdict};
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::Duration;

const WAIT: Duration = Duration::from_secs(6);

fn operator_file(uwsgi: SocketAddr, worker: SocketAddr, backend: &str) -> String {
    format!(
        "[uwsgi]\nlisten = \"{uwsgi}\"\nworkers = [\"{worker}\"]\ndeadline_ms = 5000\n\n\
         [[uwsgi.route]]\npath = \"/rota/swap\"\nclass = \"swap-confirm\"\nbackend = \"{backend}\"\n"
    )
}

pub fn play(case: &Case) -> Verdict {
    let record = &case.record;
    let (Ok(processor), Ok(worker)) = (
        Processor::start("processor", Duration::from_millis(100), record),
        Worker::start("worker", record),
    ) else {
        return Verdict::CouldNotRun("no stand-ins".into());
    };
    let (listen, uwsgi) = (free_address(), free_address());
    let mut files = NodeFiles::new("n1", &case.folder, listen);
    files.write_config(&configuration(listen, processor.address, &CLASSES));
    files.write_operator(&operator_file(uwsgi, worker.address, "workers"));
    let mut node = Node::start(files, record);
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
    let expected = Answer::Served(worker.result(1));
    if gateway.answer(id, WAIT).as_ref() != Some(&expected) {
        return Verdict::CouldNotRun("the first try was not served".into());
    }
    if case.has_trouble {
        node.files
            .write_operator(&operator_file(uwsgi, worker.address, "processor"));
        if !node.reload() {
            return Verdict::CouldNotRun("the configuration was not accepted".into());
        }
    }
    sleep(Duration::from_secs(2));
    let id = gateway.send(Request {
        is_retry: true,
        ..first
    });
    let again = gateway.answer(id, WAIT);
    let runs = worker.runs().len() + processor.runs_of(first.body);
    record.line(format!("runs of the key: {runs}"));
    match again {
        Some(Answer::Served(result)) if result != worker.result(1) => Verdict::Broken(format!(
            "served with what no run made: {:?}",
            String::from_utf8_lossy(&result)
        )),
        Some(_) if runs > 1 => Verdict::Broken(format!("the key ran {runs} times")),
        Some(_) => Verdict::Held,
        None => Verdict::Broken("the second try got no answer".into()),
    }
}
