//! Features that only some deployments enable in their settings: tenants, and runs that can be
//! interrupted.

mod common;

use common::*;
use serde_json::{json, Value};
use std::time::Duration;

/// The default settings with this stop mode, in which runs can be interrupted.
fn settings_with_stop_mode(mode: &str) -> Value {
    let mut config = configuration(&json!({}));
    config["settings"]["familyInfo"]["stopMode"] = json!(mode);
    config["settings"].clone()
}

fn reference(params: &Value) -> String {
    params["ref"].as_str().unwrap().to_owned()
}

/// Guards against a run that goes on after its request was answered, although the deployment's runs
/// can be interrupted: queued requests could not use its cores.
#[test]
fn a_cancelled_run_is_interrupted() {
    for mode in ["abort", "suspend"] {
        let mut processor = Processor::new();
        let node = Node::start(
            json!({"processor": processor.address(), "settings": settings_with_stop_mode(mode)}),
            None,
        );
        processor.accept_running();
        let mut gateway = node.ready();
        let params = request_params(5000, None, b"one");
        let id = gateway.send("rota-view", params.clone());
        assert_eq!(processor.begin().0, reference(&params));
        gateway.notify("cancelRequest", json!({"id": id}));
        let (command, _) = processor.command();
        assert_eq!(command, ["interrupt", &reference(&params)]);
        processor.complete(&reference(&params), "broken_off", b"");
        // The interrupted run holds no capacity: the next request is run and served.
        assert!(gateway.receive()["error"]["code"].is_number());
        let params = request_params(5000, None, b"two");
        gateway.send("rota-view", params.clone());
        assert_eq!(processor.begin(), (reference(&params), b"two".to_vec()));
        processor.complete(&reference(&params), "fine", b"done");
        assert_eq!(gateway.receive()["result"]["doc"], base64(b"done"));
    }
}

/// The run ends while the `interrupt` command is on its way. The processor answers the command with
/// a rejection or not at all.
#[test]
fn an_interrupt_after_the_end_of_a_run_has_no_effect() {
    let mut processor = Processor::new();
    let node = Node::start(
        json!({"processor": processor.address(), "settings": settings_with_stop_mode("abort")}),
        None,
    );
    processor.accept_running();
    let mut gateway = node.ready();
    let (cancelled, continued) = (
        request_params(5000, None, b"cancelled"),
        request_params(5000, None, b"continued"),
    );
    let id = gateway.send("rota-view", cancelled.clone());
    processor.begin();
    gateway.send("rota-view", continued.clone());
    processor.begin();
    gateway.notify("cancelRequest", json!({"id": id}));
    assert_eq!(processor.command().0[0], "interrupt");
    processor.complete(&reference(&cancelled), "fine", b"late");
    // One rejection for a run that has ended and one for a run in flight: neither ends a request.
    for request in [&cancelled, &continued] {
        processor.send(format!("reject interrupt {}\r\n", reference(request)).as_bytes());
    }
    processor.complete(&reference(&continued), "fine", b"served");
    assert_eq!(gateway.receive()["id"], id);
    let answer = gateway.receive();
    assert_eq!(
        (&answer["id"], &answer["result"]["doc"]),
        (&json!(id + 1), &json!(base64(b"served")))
    );
}

/// An `interrupt` that may have been lost with the processor connection is sent again on the next
/// connection if the run is still in flight.
#[test]
fn an_interrupt_lost_with_the_connection_is_sent_again() {
    let mut processor = Processor::new();
    let node = Node::start(
        json!({"processor": processor.address(), "settings": settings_with_stop_mode("abort")}),
        None,
    );
    processor.accept_running();
    let mut gateway = node.ready();
    let params = request_params(5000, None, b"one");
    let id = gateway.send("rota-view", params.clone());
    processor.begin();
    gateway.notify("cancelRequest", json!({"id": id}));
    assert_eq!(processor.command().0[0], "interrupt");
    // The usage query after the command is not answered, so the node can't assume that the
    // command was read.
    processor.disconnect();
    processor.accept_running();
    let (command, _) = processor.command();
    assert_eq!(command, ["interrupt", &reference(&params)]);
    processor.complete(&reference(&params), "broken_off", b"");
    gateway.receive();
    let params = request_params(5000, None, b"two");
    gateway.send("rota-view", params.clone());
    assert_eq!(processor.begin().0, reference(&params));
}

/// `interrupt` is never sent where runs can't be interrupted: the older processor closes its
/// connection on an unknown command.
#[test]
fn no_interrupt_is_sent_where_runs_cannot_be_interrupted() {
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
        "another command was sent between the two requests"
    );
}

/// Requests name their tenant as in the settings. An unknown name is valid; a value that is not a
/// string is an error.
#[test]
fn tenants_are_identified_by_their_names() {
    let mut settings = settings_with_stop_mode("abort");
    settings["tenants"] = json!([{"name": "acme", "quotaRps": 1.0}]);
    let mut processor = Processor::new();
    let node = Node::start(
        json!({"processor": processor.address(), "settings": settings}),
        None,
    );
    processor.accept_running();
    let mut gateway = node.ready();
    for project in [json!("acme"), json!("unlisted"), Value::Null] {
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

/// A health check with `inner` reports whether runs end. Guards against a healthy answer while the
/// processor hangs and all its runs fail.
#[test]
fn an_inner_health_check_fails_while_no_run_ends() {
    let mut settings = settings_with_stop_mode("abort");
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
    // Keyed runs, which are not abandoned to recover.
    let runs: Vec<Value> = (0..2)
        .map(|i| request_params(20_000, Some(&format!("key-{i}")), b"x"))
        .collect();
    for params in &runs {
        gateway.send("swap-confirm", params.clone());
        processor.begin();
    }
    let hung_processor = std::thread::spawn(move || {
        // The processor still answers usage queries, and ends no run.
        processor.answer_usage_for(Duration::from_secs(3));
        for params in &runs {
            processor.complete(&reference(params), "fine", b"done");
        }
        processor
    });
    let mut check_gateway = node.gateway();
    let mut check = |params: Value| {
        check_gateway.send("alive", params);
        check_gateway.receive()["result"]["healthy"]
            .as_bool()
            .unwrap()
    };
    assert!(check(json!({"inner": true})));
    while check(json!({"inner": true})) {}
    assert!(
        check(json!({})),
        "unhealthy without `inner`, although the processor answers"
    );
    // The check is healthy again once the first run ends.
    while !check(json!({"inner": true})) {}
    assert_eq!(gateway.receive()["result"]["doc"], base64(b"done"));
    drop(hung_processor.join().unwrap());
}
