//! One process takes over from another under load, on real sockets. Together the two are one node.

mod common;

use common::*;
use pipitlever_hot_restart::message::{self, Decoder, ListeningSocket, Message, Welcome};
use rustix::fd::AsFd;
use rustix::net::{sendmsg, SendAncillaryBuffer, SendAncillaryMessage, SendFlags};
use serde_json::{json, Value};
use std::io::{IoSlice, Read, Write};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};

/// A folder that the processes of a node share, and what they are given.
struct Place {
    folder: ScratchDirectory,
    listen: Value,
}

impl Place {
    fn new(name: &str) -> Place {
        let folder = ScratchDirectory::new(name);
        std::fs::create_dir_all(&folder.0).unwrap();
        Place {
            folder,
            listen: json!("127.0.0.1:0"),
        }
    }

    /// One more process, with a processor of its own that has not answered yet.
    fn start(&mut self) -> (Node, Processor, ControlEndpoint) {
        let processor = Processor::new();
        let config = json!({"processor": processor.address().to_string(), "control": "127.0.0.1:0",
            "listen": self.listen, "stop_ms": 5000});
        let tmp = self.folder.0.to_str().unwrap().to_owned();
        let node =
            Node::start_with_environment(Path::new(PROGRAM), config, None, &[("TMPDIR", &tmp)]);
        self.listen = json!(node.gateway_address.to_string());
        let door = node.control_endpoint();
        (node, processor, door)
    }

    /// The first process, serving.
    fn first(&mut self) -> (Node, Processor, ControlEndpoint) {
        let (node, mut processor, door) = self.start();
        processor.accept_running();
        node.ready();
        (node, processor, door)
    }

    /// One that takes over.
    fn next(&mut self) -> (Node, Processor, ControlEndpoint) {
        let (node, mut processor, door) = self.start();
        assert_eq!(door.call("GET /status").0, 503, "not before it serves");
        processor.accept_running();
        node.wait_for_line("hot restart: took over");
        assert_eq!(door.call("GET /status").0, 200);
        (node, processor, door)
    }

    fn socket(&self) -> PathBuf {
        let name = self.listen.as_str().unwrap().replace(':', "-");
        self.folder.0.join(format!("pipitlever-{name}.sock"))
    }
}

fn served(answer: &Value) -> &str {
    answer["result"]["doc"]
        .as_str()
        .unwrap_or_else(|| panic!("not served: {answer}"))
}

fn code(answer: &Value) -> i64 {
    answer["error"]["code"]
        .as_i64()
        .unwrap_or_else(|| panic!("no error: {answer}"))
}

#[test]
fn a_repeat_at_either_process_gets_the_first_runs_result() {
    let mut place = Place::new("either");
    let (mut old, mut before, _) = place.first();
    let mut early = old.ready();
    early.send(
        "swap-confirm",
        request_params(9000, Some("ended"), b"ended"),
    );
    let (ended, _) = before.command();
    before.complete(&ended[1], "fine", b"result 1");
    assert_eq!(served(&early.receive()), base64(b"result 1"));
    early.send("swap-confirm", request_params(9000, Some("open"), b"open"));
    let (open, _) = before.command();

    let (new, mut after, door) = place.next();
    assert_eq!(early.receive()["method"], "goaway");
    // The node's address is the same, and nobody is turned away at it.
    assert_eq!(new.gateway_address, old.gateway_address);
    let mut late = new.gateway();
    late.send(
        "swap-confirm",
        request_params(9000, Some("ended"), b"ended"),
    );
    assert_eq!(served(&late.receive()), base64(b"result 1"));
    // Its key with another body is told apart in the new process, too.
    late.send(
        "swap-confirm",
        request_params(9000, Some("ended"), b"other"),
    );
    assert_eq!(code(&late.receive()), -32602);
    let repeat = late.send("swap-confirm", request_params(9000, Some("open"), b"open"));
    // A key of the new process alone: at the old one its first try is refused, a further one may
    // have run.
    late.send("swap-confirm", request_params(9000, Some("new"), b"new"));
    let (run, body) = after.command();
    assert_eq!(body, b"new", "the open one is not run again");
    let mut further = request_params(9000, Some("new"), b"new");
    early.send("swap-confirm", further.clone());
    assert_eq!(code(&early.receive()), -32000);
    further["ref"] = json!("00000000000000ff");
    further["dup"] = json!(1);
    early.send("swap-confirm", further);
    assert_ne!(code(&early.receive()), -32000, "it may have run");

    // SIGTERM is not the node's end: it stays healthy, and what runs comes home.
    old.signal("-TERM");
    old.wait_for_line("leaving: ");
    early.send("alive", json!({}));
    assert_eq!(early.receive()["result"]["healthy"], true);
    before.complete(&open[1], "fine", b"result 2");
    assert_eq!(served(&early.receive()), base64(b"result 2"));
    let answer = late.receive();
    assert_eq!(
        (&answer["id"], served(&answer)),
        (&json!(repeat), &*base64(b"result 2"))
    );
    after.complete(&run[1], "fine", b"result 3");
    assert_eq!(served(&late.receive()), base64(b"result 3"));
    assert_eq!(old.wait().code(), Some(0));
    new.wait_for_line("hot restart: complete, the predecessor exited");
    assert_eq!(door.metric("operations.swap-confirm.relayed"), Some(1));
}

#[test]
fn a_run_whose_end_its_process_did_not_see_fails_its_repeats() {
    let mut place = Place::new("unknown");
    let (mut old, mut before, _) = place.first();
    let mut early = old.ready();
    early.send("swap-confirm", request_params(9000, Some("open"), b"open"));
    before.command();
    let (new, _after, _) = place.next();
    let mut late = new.gateway();
    late.send("swap-confirm", request_params(9000, Some("open"), b"open"));
    old.signal("-KILL");
    old.wait();
    assert_ne!(code(&late.receive()), -32000, "it may have run");
    late.send("swap-confirm", request_params(9000, Some("open"), b"open"));
    assert_ne!(code(&late.receive()), -32000);
}

#[test]
fn a_successor_that_dies_before_its_yes_changes_nothing() {
    let mut place = Place::new("before-yes");
    let (old, mut before, door) = place.first();
    let mut gateway = old.ready();
    let (mut new, ..) = place.start();
    old.wait_for_line("hot restart: a successor connected");
    new.signal("-KILL");
    new.wait();
    old.wait_for_line("hot restart: aborted, this process goes on serving");
    gateway.send("swap-confirm", request_params(9000, Some("k"), b"body"));
    let (words, _) = before.command();
    before.complete(&words[1], "fine", b"result");
    assert_eq!(served(&gateway.receive()), base64(b"result"));
    let mut other = old.gateway();
    other.send("swap-confirm", request_params(9000, Some("k"), b"body"));
    assert_eq!(served(&other.receive()), base64(b"result"));
    assert_eq!(door.call("GET /status").0, 200);
}

/// Guards against a node that can't be replaced any more, because a successor that was told to leave
/// before it served took the predecessor's meeting place away.
#[test]
fn a_successor_that_is_told_to_leave_before_it_serves_changes_nothing() {
    let mut place = Place::new("told-to-leave");
    let (old, _before, _) = place.first();
    old.ready();
    let (mut new, ..) = place.start();
    old.wait_for_line("hot restart: a successor connected");
    new.signal("-TERM");
    assert_eq!(new.wait().code(), Some(0));
    old.wait_for_line("hot restart: aborted, this process goes on serving");
    let (third, mut after, _) = place.next();
    let mut gateway = third.ready();
    gateway.send("rota-view", request_params(9000, None, b"view"));
    let (words, _) = after.command();
    after.complete(&words[1], "fine", b"viewed");
    assert_eq!(served(&gateway.receive()), base64(b"viewed"));
}

#[test]
fn after_its_successor_died_the_old_process_serves_but_runs_no_key_that_may_have_run() {
    let mut place = Place::new("after-yes");
    let (old, mut before, _) = place.first();
    old.ready();
    let (mut new, mut after, _) = place.next();
    let mut late = new.gateway();
    late.send("swap-confirm", request_params(9000, Some("lost"), b"body"));
    after.command();
    new.signal("-KILL");
    new.wait();
    old.wait_for_line("hot restart: the successor exited");
    let mut gateway = old.ready();
    let mut further = request_params(9000, Some("lost"), b"body");
    further["dup"] = json!(1);
    gateway.send("swap-confirm", further);
    assert_ne!(code(&gateway.receive()), -32000);
    gateway.send("rota-view", request_params(9000, None, b"view"));
    let (words, body) = before.command();
    assert_eq!(body, b"view", "no swap was run");
    before.complete(&words[1], "fine", b"viewed");
    assert_eq!(served(&gateway.receive()), base64(b"viewed"));
}

#[test]
fn a_predecessor_that_dies_in_between_leaves_a_node_that_doubts_keys() {
    let mut place = Place::new("in-between");
    let (mut old, mut before, _) = place.first();
    let mut early = old.ready();
    early.send("swap-confirm", request_params(9000, Some("lost"), b"body"));
    before.command();
    let (new, mut after, _) = place.start();
    old.wait_for_line("hot restart: a successor connected");
    old.signal("-KILL");
    old.wait();
    new.wait_for_line("hot restart: the predecessor exited before all keys were received");
    after.accept_running();
    let mut gateway = new.ready();
    let mut further = request_params(9000, Some("lost"), b"body");
    further["dup"] = json!(1);
    gateway.send("swap-confirm", further);
    assert_ne!(code(&gateway.receive()), -32000);
    gateway.send("rota-view", request_params(9000, None, b"view"));
    assert_eq!(after.command().1, b"view", "no swap was run");
}

#[test]
fn one_replacement_follows_another() {
    let mut place = Place::new("twice");
    let (mut first, mut processor, _) = place.first();
    let mut gateway = first.ready();
    gateway.send("swap-confirm", request_params(9000, Some("k"), b"body"));
    let (words, _) = processor.command();
    processor.complete(&words[1], "fine", b"result");
    gateway.receive();
    let (mut second, _processor, _) = place.next();
    first.signal("-TERM");
    let (third, _processor, _) = place.next();
    second.signal("-TERM");
    assert_eq!(first.wait().code(), Some(0));
    assert_eq!(second.wait().code(), Some(0));
    let mut gateway = third.ready();
    gateway.send("swap-confirm", request_params(9000, Some("k"), b"body"));
    assert_eq!(
        served(&gateway.receive()),
        base64(b"result"),
        "over two replacements"
    );
}

#[test]
fn what_a_crash_leaves_and_who_speaks_otherwise_stop_nobody() {
    let mut place = Place::new("strangers");
    let (mut old, _before, _) = place.first();
    let mut gateway = old.ready();
    for words in [
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        b"plhand\x07\x00",
        b"plhand\x03\x00\xff\xff\xff\xff",
        b"",
    ] {
        let mut stream = UnixStream::connect(place.socket()).unwrap();
        stream.write_all(words).unwrap();
        stream.shutdown(std::net::Shutdown::Write).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).unwrap();
        assert!(answer.starts_with(b"plhand\x03\x00"), "{answer:?}");
        gateway.send("alive", json!({}));
        assert_eq!(gateway.receive()["result"]["healthy"], true);
    }
    // Killed, it leaves its socket behind, where nobody listens.
    old.signal("-KILL");
    old.wait();
    assert!(place.socket().exists());
    let (node, _processor, _) = place.first();
    drop(node);
    // Somebody who is no node of this version: it can't be taken over from, and is not harmed.
    std::fs::remove_file(place.socket()).unwrap();
    let stranger = UnixListener::bind(place.socket()).unwrap();
    std::thread::spawn(move || {
        let mut stream = stranger.accept().unwrap().0;
        stream.write_all(b"plhand\x09\x00").unwrap();
        let _ = stream.read(&mut [0; 64]);
    });
    let config = json!({"listen": place.listen, "processor": unused_address().to_string()});
    let (code, log) = Node::run_to_exit(config, &[("TMPDIR", place.folder.0.to_str().unwrap())]);
    assert!(
        code == Some(1) && log.contains("the peer speaks version 9, this process version 3"),
        "{code:?} {log}"
    );
}

/// What a peer says next, until it says what is waited for.
fn hear(stream: &mut UnixStream, reader: &mut Decoder, wanted: impl Fn(&Message) -> bool) {
    let mut bytes = [0; 4096];
    loop {
        while let Some(message) = reader.next_message().expect("a message") {
            if wanted(&message) {
                return;
            }
        }
        let read = stream.read(&mut bytes).expect("more");
        assert!(read > 0, "the connection ended");
        reader.feed(&bytes[..read]);
    }
}

fn say(stream: &mut UnixStream, message: &Message) {
    let mut bytes = Vec::new();
    message::encode(message, &mut bytes);
    stream.write_all(&bytes).unwrap();
}

/// The connection can end while both processes live: then the one that has yielded must not serve
/// beside the other.
#[test]
fn a_process_that_has_yielded_serves_again_only_once_the_other_is_dead() {
    let mut place = Place::new("yielded");
    let (mut old, _before, door) = place.first();
    let mut stream = UnixStream::connect(place.socket()).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream.write_all(&message::greeting()).unwrap();
    let mut reader = Decoder::default();
    hear(&mut stream, &mut reader, |m| {
        matches!(m, Message::Welcome(_))
    });
    say(&mut stream, &Message::Freeze);
    hear(&mut stream, &mut reader, |m| {
        matches!(m, Message::SnapshotComplete { .. })
    });
    say(&mut stream, &Message::SnapshotReceived);
    hear(&mut stream, &mut reader, |m| {
        matches!(m, Message::Yielded { .. })
    });
    // This test lives on. Each call lets the node come round to what it has noticed.
    drop(stream);
    for _ in 0..20 {
        assert_eq!(door.call("GET /status").0, 503);
    }
    old.signal("-TERM");
    old.wait_for_line("leaving: ");
    assert_eq!(old.wait().code(), Some(0));
}

/// The same the other way round: a predecessor that lives and breaks off serves on, so its
/// successor ends.
#[test]
fn a_successor_ends_when_a_living_predecessor_breaks_off() {
    let place = Place::new("breaks-off");
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let mut processor = Processor::new();
    let config = json!({"processor": processor.address().to_string(), "listen": at.to_string()});
    let socket = place.folder.0.join(format!(
        "pipitlever-{}.sock",
        at.to_string().replace(':', "-")
    ));
    let offer = UnixListener::bind(socket).unwrap();
    let predecessor = std::thread::spawn(move || {
        let mut stream = offer.accept().unwrap().0;
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let listening = vec![ListeningSocket {
            protocol: "json-rpc".into(),
            address: at,
        }];
        let mut bytes = message::greeting();
        message::encode(
            &Message::Welcome(Welcome {
                node_name: "n1".into(),
                sockets: listening,
                salt: [1, 2],
            }),
            &mut bytes,
        );
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        let passed = [listener.as_fd()];
        assert!(control.push(SendAncillaryMessage::ScmRights(&passed)));
        sendmsg(
            &stream,
            &[IoSlice::new(&bytes)],
            &mut control,
            SendFlags::empty(),
        )
        .unwrap();
        hear(&mut stream, &mut Decoder::default(), |m| {
            *m == Message::Freeze
        });
    });
    let starter = std::thread::spawn({
        let tmp = place.folder.0.to_str().unwrap().to_owned();
        move || Node::run_to_exit(config, &[("TMPDIR", &tmp)])
    });
    processor.accept_running();
    predecessor.join().unwrap();
    let (code, log) = starter.join().unwrap();
    assert!(
        code == Some(1) && log.contains("the predecessor closed the connection and still runs"),
        "{code:?} {log}"
    );
}

#[test]
fn after_a_failed_replacement_another_one_can_follow() {
    let mut place = Place::new("again");
    let (mut old, mut before, _) = place.first();
    old.ready();
    let (mut new, ..) = place.next();
    new.signal("-KILL");
    new.wait();
    old.wait_for_line("hot restart: the successor exited");
    let mut gateway = old.ready();
    gateway.send("rota-view", request_params(9000, None, b"view"));
    let (view, _) = before.command();
    let (third, mut after, _) = place.next();
    before.complete(&view[1], "fine", b"viewed");
    assert_eq!(gateway.receive()["method"], "goaway");
    assert_eq!(served(&gateway.receive()), base64(b"viewed"));
    old.signal("-TERM");
    assert_eq!(old.wait().code(), Some(0));
    let mut gateway = third.ready();
    gateway.send("rota-view", request_params(9000, None, b"view"));
    assert_eq!(after.command().1, b"view");
}

#[test]
fn the_longest_key_passes_on_too() {
    let mut place = Place::new("long-key");
    let (old, mut before, _) = place.first();
    let mut early = old.ready();
    let key = "k".repeat(128);
    early.send("swap-confirm", request_params(9000, Some(&key), b"body"));
    let (run, _) = before.command();
    before.complete(&run[1], "fine", b"once");
    assert_eq!(served(&early.receive()), base64(b"once"));
    let (new, _after, _) = place.next();
    let mut late = new.gateway();
    late.send("swap-confirm", request_params(9000, Some(&key), b"body"));
    assert_eq!(served(&late.receive()), base64(b"once"));
}

#[test]
fn a_new_configuration_during_a_replacement_is_taken_by_either_process() {
    let mut place = Place::new("reload");
    let (mut old, mut before, _) = place.first();
    old.ready();
    let (mut new, mut after, door) = place.start();
    old.wait_for_line("hot restart: a successor connected");
    // One before its yes, one that is about to yield.
    for node in [&mut new, &mut old] {
        node.reload(json!({"ledger": unused_address().to_string()}));
        assert_eq!(node.wait_for_line("reload: "), "reload: done");
    }
    let mut early = old.ready();
    early.send("swap-confirm", request_params(9000, Some("k"), b"body"));
    let (run, _) = before.command();
    after.accept_running();
    new.wait_for_line("hot restart: took over");
    old.reload(json!({"ledger": "127.77.0.2:9"}));
    assert_eq!(old.wait_for_line("reload: "), "reload: done");
    let mut late = new.ready();
    late.send("swap-confirm", request_params(9000, Some("k"), b"body"));
    before.complete(&run[1], "fine", b"once");
    assert_eq!(served(&late.receive()), base64(b"once"));
    assert_eq!(door.metric("cfg_accepted"), Some(1));
}
