//! Reloads of the configuration on SIGHUP, which are applied or rejected as a whole, over TCP.

mod common;

use common::*;
use serde_json::{json, Value};

/// Starts a node with a control endpoint, a running processor and a gateway. The last value is the
/// node's configuration.
fn start_node() -> (Node, Processor, Gateway, ControlEndpoint, Value) {
    let mut processor = Processor::new();
    let entries = json!({"processor": processor.address().to_string(), "control": "127.0.0.1:0",
        "ledger": unused_address().to_string(), "limits": {"sockets": 512, "memory_mb": 48}});
    let node = Node::start(entries.clone(), None);
    let control = node.control_endpoint();
    processor.accept_running();
    let gateway = node.ready();
    (node, processor, gateway, control, configuration(&entries))
}

/// A copy of the class at this index of the configuration, with another name.
fn renamed_class(config: &Value, index: usize, name: &str) -> Value {
    let mut class = config["settings"]["categories"][index].clone();
    class["name"] = json!(name);
    class
}

/// Whether the answer is the error for an unknown method.
fn is_unknown_method(answer: &Value) -> bool {
    answer["error"]["code"] == -32601
}

#[test]
fn an_invalid_file_is_rejected_as_a_whole() {
    let (node, mut processor, mut gateway, control, mut good) = start_node();
    // Besides its error, each file has a new class and another ledger address.
    let added = renamed_class(&good, 0, "extra");
    good["settings"]["categories"]
        .as_array_mut()
        .unwrap()
        .push(added);
    good["ledger"] = json!("127.0.0.2:9");
    let text = good.to_string();
    let config_with = |pointer: &str, value: Value| {
        let mut config = good.clone();
        *config
            .pointer_mut(pointer)
            .unwrap_or_else(|| panic!("no {pointer}")) = value;
        config.to_string()
    };
    let config_without = |pointer: &str, key: &str| {
        let mut config = good.clone();
        config
            .pointer_mut(pointer)
            .unwrap()
            .as_object_mut()
            .unwrap()
            .remove(key)
            .unwrap();
        config.to_string()
    };
    let deadline = "/settings/categories/2/deadline";
    let mut invalid: Vec<String> = vec![
        "".into(),
        "{}".into(),
        "[]".into(),
        text[..text.len() / 2].into(),
        text[..text.len() - 1].into(),
        config_without("", "ledger"),
        config_without("", "processor"),
        config_without("", "settings"),
        config_without("", "limits"),
        config_without("/limits", "memory_mb"),
        config_without("/settings", "safety"),
        config_without("/settings/familyInfo", "keyKb"),
        config_without("/settings/categories/2", "deadline"),
        config_without("/settings/categories/2", "lateWorth"),
        config_with("/settings/categories", json!([])),
        config_with("/settings/categories/2/name", json!("rota-view")),
        config_with("/settings/categories/2/name", json!("two words")),
        config_with("/settings/categories/2/target", json!(0)),
        config_with("/settings/categories/1/memorySpan", json!(-1)),
        config_with("/settings/familyInfo/cpus", json!(0)),
        config_with("/stop_ms", json!(0)),
    ];
    for value in [
        json!(0),
        json!(-6700000),
        json!("6700000"),
        json!(null),
        json!(true),
        json!([1]),
        json!(1e300),
    ] {
        invalid.push(config_with(deadline, value));
    }
    for (count, text) in invalid.iter().enumerate() {
        node.reload_text(text);
        let line = node.wait_for_line("reload: ");
        assert!(
            line.starts_with("reload: not done") && line.len() < 300,
            "{line} for {text}"
        );
        assert_eq!(
            control.metric("cfg_invalid"),
            Some(count as u64 + 1),
            "{text}"
        );
        // Too many errors in a row would end the connection.
        gateway.send("alive", json!({}));
        assert_eq!(gateway.receive()["result"]["healthy"], true);
        gateway.send("extra", request_params(1000, None, b"body"));
        assert!(
            is_unknown_method(&gateway.receive()),
            "partly applied: {text}"
        );
    }
    assert_eq!(control.metric("cfg_accepted"), Some(0));
    node.reload_text(&text);
    assert_eq!(node.wait_for_line("reload: "), "reload: done");
    assert_eq!(control.metric("cfg_accepted"), Some(1));
    gateway.send("extra", request_params(5000, None, b"body"));
    let (command, _) = processor.command();
    assert_eq!(command[2], "extra");
}

#[test]
fn open_requests_keep_their_class_and_keys_their_window() {
    let (node, mut processor, mut gateway, control, mut config) = start_node();
    gateway.send("swap-confirm", request_params(5000, Some("one"), b"swap"));
    let (swap, _) = processor.command();
    let view = gateway.send("rota-view", request_params(5000, None, b"view"));
    let (viewed, _) = processor.command();

    // rota-view is removed, crew-view is added, and the keyed class is redefined.
    let mut keyed = renamed_class(&config, 1, "swap-confirm");
    keyed["deadline"] = json!(9_000_000);
    config["settings"]["categories"] = json!([renamed_class(&config, 0, "crew-view"), keyed]);
    node.reload_text(&config.to_string());
    node.wait_for_line("reload: done");
    gateway.send("rota-view", request_params(5000, None, b"view"));
    assert!(is_unknown_method(&gateway.receive()));
    processor.complete(&viewed[1], "fine", b"viewed");
    let answer = gateway.receive();
    assert_eq!(
        (&answer["id"], &answer["result"]["doc"]),
        (&json!(view), &json!(base64(b"viewed")))
    );

    // A duplicate of the run in flight, and one of the run that has ended: neither is run.
    gateway.send("swap-confirm", request_params(5000, Some("one"), b"swap"));
    processor.complete(&swap[1], "fine", b"swapped");
    gateway.send("swap-confirm", request_params(5000, Some("one"), b"swap"));
    for _ in 0..3 {
        assert_eq!(gateway.receive()["result"]["doc"], base64(b"swapped"));
    }
    // The same key with another body is still an error.
    gateway.send("swap-confirm", request_params(5000, Some("one"), b"other"));
    assert_eq!(gateway.receive()["error"]["code"], -32602);
    gateway.send("crew-view", request_params(5000, None, b"crew"));
    let (crew, _) = processor.command();
    assert_eq!((&*crew[0], &*crew[2]), ("begin", "crew-view"));
    processor.complete(&crew[1], "fine", b"");
    gateway.receive();

    let metric = |class: &str, name: &str| control.metric(&format!("operations.{class}.{name}"));
    assert_eq!(
        metric("rota-view", "fulfilled"),
        Some(1),
        "the counts of a removed class"
    );
    assert_eq!(metric("swap-confirm", "fulfilled"), Some(3));
    assert_eq!(metric("swap-confirm", "relayed"), Some(1));
    assert_eq!(metric("crew-view", "fulfilled"), Some(1));
}

#[test]
fn two_files_at_once_are_each_applied_as_a_whole() {
    let (node, mut processor, mut gateway, control, mut config) = start_node();
    // The second file replaces the first before or after that was read; the second is active in the
    // end.
    for name in ["first", "second"] {
        config["settings"]["categories"].as_array_mut().unwrap()[0] =
            renamed_class(&config, 0, name);
        node.reload_text(&config.to_string());
    }
    node.wait_for_line("reload: done");
    // Once a third reload is done, the earlier ones are, too.
    while control.metric("cfg_accepted") < Some(1) {}
    node.reload_text(&config.to_string());
    node.wait_for_line("reload: done");
    gateway.send("first", request_params(5000, None, b"body"));
    assert!(is_unknown_method(&gateway.receive()));
    gateway.send("second", request_params(5000, None, b"body"));
    assert_eq!(processor.command().0[2], "second");
    assert_eq!(control.metric("cfg_invalid"), Some(0));
}

/// Guards against a class in force that is answered as unknown: two reloads in a row, of which the
/// second brings a class back and redefines one that stands before it.
#[test]
fn a_class_redefined_before_one_that_returns_stays_known_to_both_fronts() {
    let mut processor = Processor::new();
    // A route may not lead to a class that a reload removes.
    let operator_file = uwsgi_operator_file(None, "processor")
        .replace("class = \"rota-view\"", "class = \"swap-confirm\"");
    let entries = json!({"processor": processor.address().to_string()});
    let node = Node::start(entries.clone(), Some(&operator_file));
    processor.accept_running();
    let mut gateway = node.ready();
    let mut config = configuration(&entries);
    let classes = |config: &Value| config["settings"]["categories"].as_array().unwrap().clone();
    let [view, mut keyed] = <[Value; 2]>::try_from(classes(&config)).unwrap();

    config["settings"]["categories"] = json!([keyed]);
    node.reload_text(&config.to_string());
    node.wait_for_line("reload: done");
    keyed["worth"] = json!(4.0);
    config["settings"]["categories"] = json!([keyed, view]);
    node.reload_text(&config.to_string());
    node.wait_for_line("reload: done");

    for (class, key) in [("swap-confirm", Some("one")), ("rota-view", None)] {
        gateway.send(class, request_params(5000, key, b"body"));
        let (command, _) = processor.command();
        assert_eq!(command[2], class);
        processor.complete(&command[1], "fine", b"done");
        assert_eq!(gateway.receive()["result"]["doc"], base64(b"done"));
    }
    let key = [("HTTP_IDEMPOTENCY_KEY", "two")];
    let client = node.uwsgi_client(&packet("/swap", &key, b"body"));
    let (command, _) = processor.command();
    assert_eq!(command[2], "swap-confirm");
    processor.complete(&command[1], "fine", b"done");
    assert_eq!(read_response(client).0, 200);
}

#[test]
fn a_reload_during_a_drain_has_no_effect() {
    let (mut node, mut processor, mut gateway, _control, mut config) = start_node();
    gateway.send("rota-view", request_params(5000, None, b"open"));
    let (open, _) = processor.command();
    node.signal("-TERM");
    node.wait_for_line("draining: ");
    config["settings"]["categories"].as_array_mut().unwrap()[0] =
        renamed_class(&config, 0, "late-view");
    node.reload_text(&config.to_string());
    processor.complete(&open[1], "fine", b"answered");
    assert_eq!(gateway.receive()["result"]["doc"], base64(b"answered"));
    gateway.send("alive", json!({}));
    assert_eq!(gateway.receive()["result"]["healthy"], false);
    assert!(node.wait().success());
}
