//! Records and checkpoints of captures, compared with fixtures written by the build of commit
//! 5f02f56 (`PIPITLEVER_WRITE_FIXTURES=1 cargo test -p pipitlever-capture --test compatibility`).
//! Each build has to read the other's segments and to continue from its checkpoints.

use pipitlever_admission::{
    Action, BackpressureKind, CancellationMode, Class, Controller, Downstream, Event, Idempotency,
    Micros, Outcome, Request, RequestId, Safety, Settings, Tenant,
};
use pipitlever_capture::record::{
    decode, digest, encode, AnswerSource, End, Entry, LostRecords, Record, RecordedAnswer,
    RequestIdentity, SegmentHeader,
};
use pipitlever_capture::segment::{
    restore_controller, serialize_controller, RecordAt, SegmentReader, SegmentWriter,
};
use std::path::PathBuf;

fn fixture(name: &str) -> PathBuf {
    PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures")).join(name)
}

fn request(id: RequestId, class: usize) -> Request {
    Request {
        id,
        class,
        tenant: Some(1),
        has_key: true,
        timeout: Some(2_000_000),
        cost: Some(1.5),
        memory_kb: 20.0,
        priority: 0.25,
        is_retry: true,
        is_write: false,
        queue_time: 300,
        duplicate_of: None,
    }
}

fn events() -> Vec<Event> {
    let outcomes = [
        Outcome::Success,
        Outcome::Error,
        Outcome::Rejected,
        Outcome::TimedOut,
        Outcome::Unreachable,
        Outcome::Reset,
        Outcome::Cancelled,
        Outcome::NotStarted,
    ];
    let mut events = vec![
        Event::Arrived(request(300, 2)),
        Event::Arrived(Request {
            duplicate_of: Some(300),
            is_write: true,
            is_retry: false,
            ..request(301, 1)
        }),
        Event::ShutdownNotice(70_000),
        Event::Abandoned(302),
        Event::NeedsCall(303),
        Event::Timer {
            tag: 9,
            cpu_utilization: Some(0.5),
            runnable: Some(2.5),
            memory_utilization: Some(0.25),
            connections: Some(12.0),
        },
    ];
    for (i, outcome) in outcomes.into_iter().enumerate() {
        events.push(Event::Finished {
            id: 400 + i as RequestId,
            elapsed: 80_000,
            outcome,
        });
        events.push(Event::CallEnded {
            id: 500 + i as RequestId,
            elapsed: 90_000,
            outcome,
        });
    }
    events
}

fn actions() -> Vec<Action> {
    vec![
        Action::Run(600),
        Action::ReuseOutcome(601),
        Action::Reject {
            id: 602,
            retry_after: 200_000,
            no_retry: true,
        },
        Action::Fail(603),
        Action::RetainKey(604, 300_000),
        Action::ReleaseKey(605),
        Action::PlaceCall(606, 400_000),
        Action::SkipCall(607),
        Action::Cancel(608),
        Action::Backpressure(0.75),
        Action::Health(true),
        Action::CloseIdle(500_000),
        Action::Timer(20_000, 3),
    ]
}

fn records() -> Vec<Record> {
    let identity = RequestIdentity {
        id: 300,
        reference: 0x0102_0304_0506_0708,
        sender: Some(4),
        key_digest: Some(digest("k")),
    };
    let answers = [
        (
            RecordedAnswer::Served(1_000),
            AnswerSource::AdmissionController,
        ),
        (
            RecordedAnswer::Rejected {
                retry_after: 250_000,
                no_retry: true,
            },
            AnswerSource::Run,
        ),
        (
            RecordedAnswer::Failed { timed_out: true },
            AnswerSource::Duplicate,
        ),
        (
            RecordedAnswer::Failed { timed_out: false },
            AnswerSource::ProcessorRejected,
        ),
        (RecordedAnswer::Served(1), AnswerSource::ProcessorNotReady),
        (RecordedAnswer::Served(2), AnswerSource::MemoryFull),
        (RecordedAnswer::Served(3), AnswerSource::KeysFull),
        (RecordedAnswer::Served(4), AnswerSource::KeyEntryMissing),
        (RecordedAnswer::Served(5), AnswerSource::DeadlineExceeded),
        (RecordedAnswer::Served(6), AnswerSource::StoreUnavailable),
        (RecordedAnswer::Served(7), AnswerSource::StoreFull),
        (RecordedAnswer::Served(8), AnswerSource::OtherProcess),
        (RecordedAnswer::Served(9), AnswerSource::StaleSettings),
    ];
    let step = Entry::Step {
        clock_delta: 1_234,
        events: events().into(),
        actions: actions().into(),
    };
    let answer = |(answer, source)| Entry::Answer {
        clock_delta: 56,
        reference: 78,
        class: 2,
        answer,
        source,
    };
    [Entry::Identity(identity), step]
        .into_iter()
        .chain(answers.into_iter().map(answer))
        .collect()
}

fn settings() -> Settings {
    let class = |idempotency, priority_weight: f64| Class {
        latency_objective: 1_000_000,
        deadline: 4_000_000,
        idempotency,
        idempotency_window: 5_000_000,
        priority_weight,
        late_weight: 0.125,
        objective_per_cost: 2.0,
        makes_calls: true,
        skip_call_weight: 0.0,
    };
    Settings {
        classes: vec![
            class(Idempotency::Idempotent, 1.0),
            class(Idempotency::Keyed, 2.0),
            class(Idempotency::NonIdempotent, 4.0),
        ],
        tenants: vec![Tenant { quota_rps: 30.0 }, Tenant { quota_rps: 40.0 }],
        replicas: 3.0,
        callers: 5.0,
        cores: 2.0,
        memory_kb: 20_000.0,
        run_memory_factor: 8.0,
        key_kb: 20.0,
        is_cold: true,
        downstream: Downstream::Shared,
        call_share: 5.0,
        call_window: 5_000_000,
        call_linger: 200_000,
        read_cache_ttl: 50_000,
        cancellation: CancellationMode::Abort,
        backpressure: BackpressureKind::Threshold,
        max_keepalive: 30_000_000,
        max_retry_after: 1_000_000,
        over_quota_weight: 0.5,
        is_weighted_by_work: true,
        safety: Safety {
            warmup_time: 3_000_000,
            cold_speed: 0.25,
            ..Safety::default()
        },
    }
}

/// A controller during a run, with queued and running requests, requests in a downstream call,
/// retained keys, and a shutdown notice.
fn controller() -> Controller {
    let mut controller = Controller::new(settings(), 7);
    let (mut running, mut calling) = (Vec::new(), Vec::new());
    let mut step = |now: Micros, events: &[Event]| {
        let mut actions = Vec::new();
        controller.step(now, events, &mut actions);
        actions
    };
    for id in 0..40 {
        let now = 10_000 * id as Micros;
        let mut events = vec![Event::Arrived(Request {
            is_retry: id % 5 == 0,
            ..request(id, id as usize % 3)
        })];
        match (id % 4, running.pop(), calling.pop()) {
            (1, Some(run), _) => events.push(Event::NeedsCall(run)),
            (2, Some(run), _) => events.push(Event::Finished {
                id: run,
                elapsed: 25_000,
                outcome: Outcome::Success,
            }),
            (3, run, Some(call)) => {
                events.push(Event::CallEnded {
                    id: call,
                    elapsed: 5_000,
                    outcome: Outcome::Success,
                });
                running.extend(run);
                running.push(call);
            }
            (_, run, call) => {
                running.extend(run);
                calling.extend(call);
            }
        }
        events.push(Event::Timer {
            tag: 0,
            cpu_utilization: Some(0.75),
            runnable: Some(3.0),
            memory_utilization: Some(0.5),
            connections: Some(9.0),
        });
        for action in step(now, &events) {
            match action {
                Action::Run(id) => running.push(id),
                Action::PlaceCall(id, _) => calling.push(id),
                _ => {}
            }
        }
    }
    step(
        405_000,
        &[Event::ShutdownNotice(900_000), Event::Abandoned(39)],
    );
    controller
}

fn header() -> SegmentHeader {
    SegmentHeader {
        build: "build-1".into(),
        node: "n1".into(),
        run: 1_700_000_000_123,
        segment: 3,
        steps: 900,
        is_initial: false,
        now: 1_700_000_000_123_456,
        classes: vec!["view".into(), "swap".into(), "post".into()],
        settings: settings(),
        seed: 7,
        identities: vec![RequestIdentity {
            id: 17,
            reference: 18,
            sender: None,
            key_digest: Some(19),
        }],
        lost: Some(LostRecords {
            records: 20,
            queue_full: 21,
            disk_error: Some("full".into()),
        }),
    }
}

/// A whole segment: header, checkpoint, records and end.
fn segment() -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut writer = SegmentWriter::open(&header(), &controller(), &mut bytes);
    let mut payload = Vec::new();
    records()
        .iter()
        .for_each(|record| encode(record, &mut payload));
    writer.append_records(&payload, &mut bytes);
    writer.append_end(End::Last(5), &mut bytes);
    bytes
}

#[test]
fn records_equal_those_of_the_earlier_build() {
    let mut samples = Vec::new();
    for record in records() {
        let mut bytes = Vec::new();
        encode(&record, &mut bytes);
        assert_eq!(decode(&bytes), Ok((record, &[][..])));
        samples.push(("record", bytes));
    }
    samples.push(("key-digest", digest("k").to_be_bytes().to_vec()));
    pipitlever_test_fixtures::assert_bytes(fixture("records.txt"), &samples);
}

#[test]
fn a_segment_with_a_checkpoint_during_a_run_equals_that_of_the_earlier_build() {
    let path = fixture("segment.plc");
    if std::env::var_os("PIPITLEVER_WRITE_FIXTURES").is_some() {
        std::fs::write(&path, segment()).unwrap();
    }
    let expected = std::fs::read(path).unwrap();
    let mut reader = SegmentReader::open(&expected).unwrap();
    assert_eq!(reader.header(), Some(&header()));
    let read =
        restore_controller(reader.state()).expect("this build reads the earlier build's state");
    assert!(
        serialize_controller(&read) == reader.state(),
        "the state is serialized as it was read"
    );
    let mut found = Vec::new();
    while let Some(RecordAt { record, .. }) = reader.next_record().unwrap() {
        found.push(record);
    }
    assert_eq!(found, records());
    assert!(
        segment() == expected,
        "the same events give the same segment"
    );
}
