//! What one deployment's settings ask for and another's don't: tenants, and runs that can be
//! stopped.

mod common;

use common::*;
use serde_json::{json, Value};
use std::time::Duration;

/// The usual settings, with runs that can be stopped in this way.
fn stopping(mode: &str) -> Value {
    let mut config = configuration(&json!({}));
    config["settings"]["familyInfo"]["stopMode"] = json!(mode);
    config["settings"].clone()
}

fn reference(params: &Value) -> String {
    params["ref"].as_str().unwrap().to_owned()
}

/// On the second deployment runs can be stopped. The node answered their requests and let them go
/// on: the cores worked for nobody while others waited for them.
#[test]
fn a_run_that_nobody_waits_for_is_stopped() {
    for mode in ["abort", "suspend"] {
        let mut processor = Processor::new();
        let node = Node::start(
            json!({"processor": processor.address(), "settings": stopping(mode)}),
            None,
        );
        processor.accept_running();
        let mut gateway = node.ready();
        let params = request_params(5000, None, b"one");
        let id = gateway.send("rota-view", params.clone());
        assert_eq!(processor.begin().0, reference(&params));
        gateway.notify("cancelRequest", json!({"id": id}));
        let (words, _) = processor.command();
        assert_eq!(words, ["interrupt", &reference(&params)]);
        processor.complete(&reference(&params), "broken_off", b"");
        // It stands in nobody's way: what comes next is run and served.
        assert!(gateway.receive()["error"]["code"].is_number());
        let params = request_params(5000, None, b"two");
        gateway.send("rota-view", params.clone());
        assert_eq!(processor.begin(), (reference(&params), b"two".to_vec()));
        processor.complete(&reference(&params), "fine", b"done");
        assert_eq!(gateway.receive()["result"]["doc"], base64(b"done"));
    }
}

/// The stop crosses the run's own end, which the processor answers with a rejection or not at all.
#[test]
fn a_stop_that_comes_too_late_means_nothing() {
    let mut processor = Processor::new();
    let node = Node::start(
        json!({"processor": processor.address(), "settings": stopping("abort")}),
        None,
    );
    processor.accept_running();
    let mut gateway = node.ready();
    let (gone, kept) = (
        request_params(5000, None, b"gone"),
        request_params(5000, None, b"kept"),
    );
    let id = gateway.send("rota-view", gone.clone());
    processor.begin();
    gateway.send("rota-view", kept.clone());
    processor.begin();
    gateway.notify("cancelRequest", json!({"id": id}));
    assert_eq!(processor.command().0[0], "interrupt");
    processor.complete(&reference(&gone), "fine", b"late");
    // Rejected after its end, and once for a request that still runs: neither answers anybody.
    for request in [&gone, &kept] {
        processor.send(format!("reject interrupt {}\r\n", reference(request)).as_bytes());
    }
    processor.complete(&reference(&kept), "fine", b"served");
    assert_eq!(gateway.receive()["id"], id);
    let answer = gateway.receive();
    assert_eq!(
        (&answer["id"], &answer["result"]["doc"]),
        (&json!(id + 1), &json!(base64(b"served")))
    );
}

/// A link that broke may have swallowed the stop unread: it goes out again on the next one, if the
/// run still goes on.
#[test]
fn a_stop_lost_with_the_link_is_said_again() {
    let mut processor = Processor::new();
    let node = Node::start(
        json!({"processor": processor.address(), "settings": stopping("abort")}),
        None,
    );
    processor.accept_running();
    let mut gateway = node.ready();
    let params = request_params(5000, None, b"one");
    let id = gateway.send("rota-view", params.clone());
    processor.begin();
    gateway.notify("cancelRequest", json!({"id": id}));
    assert_eq!(processor.command().0[0], "interrupt");
    // Its question is not answered, so the node can't know that it was read.
    processor.disconnect();
    processor.accept_running();
    let (words, _) = processor.command();
    assert_eq!(words, ["interrupt", &reference(&params)]);
    processor.complete(&reference(&params), "broken_off", b"");
    gateway.receive();
    let params = request_params(5000, None, b"two");
    gateway.send("rota-view", params.clone());
    assert_eq!(processor.begin().0, reference(&params));
}

/// Where runs can't be stopped the command is never written: the older processor closes its link on
/// what it doesn't know.
#[test]
fn where_runs_cannot_be_stopped_nobody_is_told_to() {
    let mut processor = Processor::new();
    let node = Node::start(json!({"processor": processor.address()}), None);
    processor.accept_running();
    let mut gateway = node.ready();
    let (first, second) = (
        request_params(5000, None, b"one"),
        request_params(5000, None, b"two"),
    );
    let id = gateway.send("rota-view", first.clone());
    processor.begin();
    gateway.notify("cancelRequest", json!({"id": id}));
    gateway.receive();
    gateway.send("rota-view", second.clone());
    assert_eq!(
        processor.begin().0,
        reference(&second),
        "no other command stands between the two"
    );
}

/// A tenant is named as in the settings. A name that these don't have is no error; what is no name
/// is one.
#[test]
fn tenants_are_read_by_their_names() {
    let mut settings = stopping("abort");
    settings["tenants"] = json!([{"name": "acme", "quotaRps": 1.0}]);
    let mut processor = Processor::new();
    let node = Node::start(
        json!({"processor": processor.address(), "settings": settings}),
        None,
    );
    processor.accept_running();
    let mut gateway = node.ready();
    for project in [json!("acme"), json!("stranger"), Value::Null] {
        let mut params = request_params(5000, None, b"body");
        params["project"] = project;
        gateway.send("rota-view", params.clone());
        assert_eq!(processor.begin().0, reference(&params));
        processor.complete(&reference(&params), "fine", b"done");
        assert_eq!(gateway.receive()["result"]["doc"], base64(b"done"));
    }
    let mut params = request_params(5000, None, b"body");
    params["project"] = json!(7);
    gateway.send("rota-view", params);
    assert_eq!(gateway.receive()["error"]["code"], -32602);
}

/// A check with `inner` asks whether work gets done. It was answered good while a server hung and
/// failed all that it was sent.
#[test]
fn a_check_of_whether_work_gets_done_is_bad_while_none_does() {
    let mut settings = stopping("abort");
    settings["familyInfo"]["cpus"] = json!(2);
    for class in settings["categories"].as_array_mut().unwrap() {
        class["target"] = json!(400_000);
    }
    let mut processor = Processor::new();
    let node = Node::start(
        json!({"processor": processor.address(), "settings": settings}),
        None,
    );
    processor.accept_running();
    let mut gateway = node.ready();
    // Keyed runs, which nobody gives up for it.
    let runs: Vec<Value> = (0..2)
        .map(|i| request_params(20_000, Some(&format!("key-{i}")), b"x"))
        .collect();
    for params in &runs {
        gateway.send("swap-confirm", params.clone());
        processor.begin();
    }
    let hung = std::thread::spawn(move || {
        // The gauges go on: the processor reads, and ends nothing.
        processor.answer_usage_for(Duration::from_secs(3));
        for params in &runs {
            processor.complete(&reference(params), "fine", b"done");
        }
        processor
    });
    let mut checks = node.gateway();
    let mut check = |params: Value| {
        checks.send("alive", params);
        checks.receive()["result"]["healthy"].as_bool().unwrap()
    };
    assert!(check(json!({"inner": true})));
    while check(json!({"inner": true})) {}
    assert!(check(json!({})), "there is somebody, who answers");
    // It is good again with the first run that ends.
    while !check(json!({"inner": true})) {}
    assert_eq!(gateway.receive()["result"]["doc"], base64(b"done"));
    drop(hung.join().unwrap());
}
