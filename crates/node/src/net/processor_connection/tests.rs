use super::{ProcessorCommand, ProcessorConnection};
use pipitlever_admission::{Class, Downstream, Idempotency, Micros, Outcome, Settings};
use pipitlever_core::{Core, IncomingRequest, MemoryLimits, Origin, Reference};
use std::rc::Rc;

const MILLISECOND: Micros = 1000;
const SECOND: Micros = 1_000_000;
/// How long the first part of each run works.
const WORK_TIME: Micros = 100 * MILLISECOND;

/// A processor connection and its core, at a time that the test sets.
struct Node {
    now: Micros,
    core: Core,
    processor: ProcessorConnection,
}

impl Node {
    /// A node whose processor has just come up.
    fn new() -> Node {
        let class = Class {
            deadline: 60 * SECOND,
            idempotency: Idempotency::Idempotent,
            makes_calls: true,
            ..Class::default()
        };
        let settings = Settings {
            classes: vec![class],
            cores: 8.0,
            downstream: Downstream::Tier,
            ..Settings::default()
        };
        let limits = MemoryLimits::for_process(192 << 20, 960);
        let mut core = Core::new(settings, &["class".into()], 7, MILLISECOND, 4096, limits);
        core.start(SECOND, 0, false);
        let mut node = Node {
            now: SECOND,
            core,
            processor: ProcessorConnection::new(),
        };
        node.processor.handle_hello(node.now);
        node.answer_query(0.0);
        node
    }

    /// The starts and replies that the node writes now.
    fn written(&mut self) -> Vec<String> {
        let mut bytes = Vec::new();
        self.processor.write_batch(self.now, &mut bytes);
        let text = String::from_utf8(bytes).unwrap();
        let is_command = |line: &&str| line.starts_with("begin") || line.starts_with("answer");
        text.lines().filter(is_command).map(str::to_owned).collect()
    }

    /// Lets the node write commands and a query; the processor reports `runnable` runs. Returns the
    /// commands.
    fn answer_query(&mut self, runnable: f64) -> Vec<String> {
        self.processor.query_gauges();
        let commands = self.written();
        self.confirm(runnable);
        commands
    }

    /// The processor replies to the last query.
    fn confirm(&mut self, runnable: f64) {
        let query = Some(self.processor.last_query);
        self.processor
            .handle_gauge_reply(self.now, query, Some(runnable), &mut self.core);
    }

    /// Starts a run that works for [`WORK_TIME`].
    fn start_run(&mut self, reference: Reference) {
        let request = IncomingRequest {
            reference,
            tenant: None,
            sender: None,
            origin: Origin {
                connection: 1,
                request_number: reference,
            },
            class: 0,
            arrived_at: self.now,
            deadline: Some(self.now + 60 * SECOND),
            cost: None,
            memory_kb: 10.0,
            priority: 0.9,
            is_retry: false,
            idempotency_key: None,
            body: Rc::from([]),
            payload_digest: 1,
        };
        self.core.handle_request(self.now, request);
        self.processor.send(start(reference, true), Rc::from([]));
        assert_eq!(self.answer_query(1.0).len(), 1);
        self.now += WORK_TIME;
    }

    /// A run requests its next call.
    fn request_call(&mut self, reference: Reference) {
        self.processor.handle_work_ended(self.now, reference);
        self.core
            .handle_call_requested(self.now, reference, Rc::from([]));
    }

    /// The ledger's reply to a run's call is queued.
    fn reply(&mut self, reference: Reference) {
        let reply: Rc<[u8]> = Rc::from(*b"reply");
        let outcome = Outcome::Success;
        self.core
            .handle_call_finished(self.now, reference, outcome, reply.clone());
        self.processor
            .send(ProcessorCommand::CallReply(reference), reply);
    }

    /// Starts a run, and breaks the connection after the reply to its first call was written and
    /// before the processor has confirmed it. Returns what was written.
    fn break_after_reply(&mut self, reference: Reference) -> Vec<String> {
        self.start_run(reference);
        self.request_call(reference);
        self.reply(reference);
        let written = self.written();
        assert_eq!(written, [format!("answer {reference:016x} 5")]);
        self.processor.handle_disconnect();
        self.processor.handle_hello(self.now);
        written
    }
}

fn start(reference: Reference, is_idempotent: bool) -> ProcessorCommand {
    ProcessorCommand::Start {
        reference,
        is_idempotent,
        class: "class".into(),
    }
}

/// Guards against the start of a run that must not happen twice on a connection that may have
/// broken: it could not be sent again, and its request would fail.
#[test]
fn an_unrepeatable_start_is_written_only_to_a_connection_that_is_alive() {
    let mut node = Node::new();
    node.now += SECOND;
    node.processor.send(start(1, false), Rc::from([]));
    assert!(
        node.written().is_empty(),
        "a query has to be answered first"
    );
    node.confirm(0.0);
    assert_eq!(node.written().len(), 1);
    // In doubt it is not sent again, while that of an idempotent run is.
    node.processor.handle_disconnect();
    node.processor.handle_hello(node.now);
    assert!(node.answer_query(0.0).is_empty());
    assert!(node.written().is_empty());
}

/// Guards against a reply that is sent again while its run may have read it: the processor takes it
/// for the reply to the next call. It is sent again once the run has been silent for longer than
/// runs work and the gauges show that it uses no core.
#[test]
fn a_reply_in_doubt_is_sent_again_only_to_a_run_that_does_not_work() {
    // A run that uses a core, and other runs that do; silence, and whether it proves the loss.
    let cases = [
        (0.0, 0, WORK_TIME - MILLISECOND, false),
        (0.0, 0, WORK_TIME, true),
        (1.0, 0, WORK_TIME, false),
        (1.0, 1, WORK_TIME, true),
        (2.0, 1, WORK_TIME, false),
        (1.0, 0, 10 * WORK_TIME - MILLISECOND, false),
        (1.0, 0, 10 * WORK_TIME, true),
    ];
    for case in cases {
        let (runnable, others, silence, is_sent) = case;
        let mut node = Node::new();
        let reply = node.break_after_reply(1);
        assert!(node.answer_query(runnable).is_empty(), "{case:?}");
        for other in 2..2 + others {
            node.start_run(other);
            node.now -= WORK_TIME;
        }
        node.now += silence;
        node.answer_query(runnable);
        let expected = if is_sent { reply } else { Vec::new() };
        assert_eq!(node.written(), expected, "{case:?}");
    }
}

/// Guards against a repeated reply that waits in the queue while its run requests the next call.
#[test]
fn a_queued_repeated_reply_is_dropped_when_its_run_requests_a_call() {
    let mut node = Node::new();
    node.break_after_reply(1);
    node.answer_query(0.0);
    node.now += WORK_TIME;
    node.answer_query(0.0);
    node.request_call(1);
    assert!(node.written().is_empty());
    assert_eq!(node.processor.runs_in_doubt(), 0);
}

/// Guards against a reply that is lost with the second of two connections.
#[test]
fn a_repeated_reply_that_is_lost_too_is_sent_once_more() {
    let mut node = Node::new();
    let reply = node.break_after_reply(1);
    for _ in 0..3 {
        node.answer_query(0.0);
        node.now += WORK_TIME;
        node.answer_query(0.0);
        assert_eq!(node.written(), reply);
        node.processor.handle_disconnect();
        node.processor.handle_hello(node.now);
    }
}

/// Guards against a reply that is sent again although its run has reported that it read it.
#[test]
fn a_notice_of_its_run_confirms_a_reply() {
    let mut node = Node::new();
    node.start_run(1);
    node.request_call(1);
    node.reply(1);
    assert!(!node.written().is_empty());
    node.request_call(1);
    node.processor.handle_disconnect();
    node.processor.handle_hello(node.now);
    assert_eq!(node.processor.runs_in_doubt(), 0);
}
