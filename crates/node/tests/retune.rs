//! Another configuration at SIGHUP, taken as a whole or turned down as a whole, on real sockets.

mod common;

use common::*;
use serde_json::{json, Value};

fn node() -> (Node, Processor, Gateway, ControlEndpoint, Value) {
    let mut processor = Processor::new();
    let more = json!({"processor": processor.address().to_string(), "control": "127.0.0.1:0",
        "ledger": unused_address().to_string(), "limits": {"sockets": 512, "memory_mb": 48}});
    let node = Node::start(more.clone(), None);
    let door = node.control_endpoint();
    processor.accept_running();
    let gateway = node.ready();
    (node, processor, gateway, door, configuration(&more))
}

/// A class like the one at this place of the configuration, with another name.
fn class(config: &Value, at: usize, name: &str) -> Value {
    let mut class = config["settings"]["categories"][at].clone();
    class["name"] = json!(name);
    class
}

/// The error of a method that nobody knows.
fn unknown(answer: &Value) -> bool {
    answer["error"]["code"] == -32601
}

#[test]
fn a_file_with_anything_wrong_is_turned_down_whole() {
    let (node, mut processor, mut gateway, door, mut good) = node();
    // Beside what is wrong each of them has a new class and another ledger.
    let added = class(&good, 0, "extra");
    good["settings"]["categories"]
        .as_array_mut()
        .unwrap()
        .push(added);
    good["ledger"] = json!("127.0.0.2:9");
    let text = good.to_string();
    let changed = |pointer: &str, value: Value| {
        let mut config = good.clone();
        *config
            .pointer_mut(pointer)
            .unwrap_or_else(|| panic!("no {pointer}")) = value;
        config.to_string()
    };
    let without = |pointer: &str, key: &str| {
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
    let mut wrong: Vec<String> = vec![
        "".into(),
        "{}".into(),
        "[]".into(),
        text[..text.len() / 2].into(),
        text[..text.len() - 1].into(),
        without("", "ledger"),
        without("", "processor"),
        without("", "settings"),
        without("", "limits"),
        without("/limits", "memory_mb"),
        without("/settings", "safety"),
        without("/settings/familyInfo", "keyKb"),
        without("/settings/categories/2", "deadline"),
        without("/settings/categories/2", "lateWorth"),
        changed("/settings/categories", json!([])),
        changed("/settings/categories/2/name", json!("rota-view")),
        changed("/settings/categories/2/name", json!("two words")),
        changed("/settings/categories/2/target", json!(0)),
        changed("/settings/categories/1/memorySpan", json!(-1)),
        changed("/settings/familyInfo/cpus", json!(0)),
        changed("/stop_ms", json!(0)),
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
        wrong.push(changed(deadline, value));
    }
    for (count, text) in wrong.iter().enumerate() {
        node.reload_text(text);
        let line = node.wait_for_line("reload: ");
        assert!(
            line.starts_with("reload: not done") && line.len() < 300,
            "{line} for {text}"
        );
        assert_eq!(door.metric("cfg_invalid"), Some(count as u64 + 1), "{text}");
        // Too many errors in a row would end the connection.
        gateway.send("alive", json!({}));
        assert_eq!(gateway.receive()["result"]["healthy"], true);
        gateway.send("extra", request_params(1000, None, b"body"));
        assert!(unknown(&gateway.receive()), "taken by half: {text}");
    }
    assert_eq!(door.metric("cfg_accepted"), Some(0));
    node.reload_text(&text);
    assert_eq!(node.wait_for_line("reload: "), "reload: done");
    assert_eq!(door.metric("cfg_accepted"), Some(1));
    gateway.send("extra", request_params(5000, None, b"body"));
    let (words, _) = processor.command();
    assert_eq!(words[2], "extra");
}

#[test]
fn open_requests_end_under_their_class_and_keys_keep_their_window() {
    let (node, mut processor, mut gateway, door, mut config) = node();
    gateway.send("swap-confirm", request_params(5000, Some("one"), b"swap"));
    let (swap, _) = processor.command();
    let view = gateway.send("rota-view", request_params(5000, None, b"view"));
    let (viewed, _) = processor.command();

    // rota-view goes, a class comes, and the keyed one is defined anew.
    let mut keyed = class(&config, 1, "swap-confirm");
    keyed["deadline"] = json!(9_000_000);
    config["settings"]["categories"] = json!([class(&config, 0, "crew-view"), keyed]);
    node.reload_text(&config.to_string());
    node.wait_for_line("reload: done");
    gateway.send("rota-view", request_params(5000, None, b"view"));
    assert!(unknown(&gateway.receive()));
    processor.complete(&viewed[1], "fine", b"viewed");
    let answer = gateway.receive();
    assert_eq!(
        (&answer["id"], &answer["result"]["doc"]),
        (&json!(view), &json!(base64(b"viewed")))
    );

    // A repeat of the run that goes on, and one of the run that has ended: neither is run.
    gateway.send("swap-confirm", request_params(5000, Some("one"), b"swap"));
    processor.complete(&swap[1], "fine", b"swapped");
    gateway.send("swap-confirm", request_params(5000, Some("one"), b"swap"));
    for _ in 0..3 {
        assert_eq!(gateway.receive()["result"]["doc"], base64(b"swapped"));
    }
    // Its key with another body is as wrong as ever.
    gateway.send("swap-confirm", request_params(5000, Some("one"), b"other"));
    assert_eq!(gateway.receive()["error"]["code"], -32602);
    gateway.send("crew-view", request_params(5000, None, b"crew"));
    let (crew, _) = processor.command();
    assert_eq!((&*crew[0], &*crew[2]), ("begin", "crew-view"));
    processor.complete(&crew[1], "fine", b"");
    gateway.receive();

    let figures = |class: &str, figure: &str| door.metric(&format!("operations.{class}.{figure}"));
    assert_eq!(
        figures("rota-view", "fulfilled"),
        Some(1),
        "a class that went keeps its counts"
    );
    assert_eq!(figures("swap-confirm", "fulfilled"), Some(3));
    assert_eq!(figures("swap-confirm", "relayed"), Some(1));
    assert_eq!(figures("crew-view", "fulfilled"), Some(1));
}

#[test]
fn two_files_at_once_are_each_taken_whole() {
    let (node, mut processor, mut gateway, door, mut config) = node();
    // The second replaces the first before or after that was read: what is in force in the end is
    // the second.
    for name in ["first", "second"] {
        config["settings"]["categories"].as_array_mut().unwrap()[0] = class(&config, 0, name);
        node.reload_text(&config.to_string());
    }
    node.wait_for_line("reload: done");
    // A third one closes the row, so that all that came before it is done with.
    while door.metric("cfg_accepted") < Some(1) {}
    node.reload_text(&config.to_string());
    node.wait_for_line("reload: done");
    gateway.send("first", request_params(5000, None, b"body"));
    assert!(unknown(&gateway.receive()));
    gateway.send("second", request_params(5000, None, b"body"));
    assert_eq!(processor.command().0[2], "second");
    assert_eq!(door.metric("cfg_invalid"), Some(0));
}

#[test]
fn a_file_that_comes_during_a_drain_changes_nothing() {
    let (mut node, mut processor, mut gateway, _door, mut config) = node();
    gateway.send("rota-view", request_params(5000, None, b"open"));
    let (open, _) = processor.command();
    node.signal("-TERM");
    node.wait_for_line("draining: ");
    config["settings"]["categories"].as_array_mut().unwrap()[0] = class(&config, 0, "late-view");
    node.reload_text(&config.to_string());
    processor.complete(&open[1], "fine", b"answered");
    assert_eq!(gateway.receive()["result"]["doc"], base64(b"answered"));
    gateway.send("alive", json!({}));
    assert_eq!(gateway.receive()["result"]["healthy"], false);
    assert!(node.wait().success());
}
