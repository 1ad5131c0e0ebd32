//! Encoding of records, and the digest of idempotency keys.

use pipitlever_admission::{Action, Event, Outcome, Request};
use pipitlever_capture::record::{
    decode, digest, encode, AnswerSource, Record, RecordedAnswer, RequestIdentity,
};

/// Events with values at the limits of their types.
fn events() -> Vec<Event> {
    let request = Request {
        id: 7,
        timeout: Some(-5),
        cost: Some(f64::INFINITY),
        ..Request::default()
    };
    vec![
        Event::Arrived(request),
        Event::Finished {
            id: 3,
            elapsed: i64::MIN,
            outcome: Outcome::NotStarted,
        },
        Event::Timer {
            tag: 0,
            cpu_utilization: None,
            runnable: Some(2.5),
            memory_utilization: None,
            connections: None,
        },
    ]
}

fn actions() -> Vec<Action> {
    vec![
        Action::Run(7),
        Action::Reject {
            id: 8,
            retry_after: 200_000,
            no_retry: true,
        },
        Action::Backpressure(f64::MIN_POSITIVE),
    ]
}

/// One record of each kind.
fn records() -> [Record; 3] {
    let identity = RequestIdentity {
        id: 7,
        reference: u64::MAX,
        sender: Some(4),
        key_digest: Some(digest("k")),
    };
    let step = Record::Step {
        clock_delta: -1_000_000,
        events: events().into(),
        actions: actions().into(),
    };
    let answer = Record::Answer {
        clock_delta: 3,
        reference: 1,
        class: 2,
        answer: RecordedAnswer::Failed { timed_out: true },
        source: AnswerSource::DeadlineExceeded,
    };
    [Record::Identity(identity), step, answer]
}

fn encode_all(records: &[Record]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for record in records {
        encode(record, &mut bytes);
    }
    bytes
}

/// Decodes whole records, and returns them with the number of bytes left.
fn decode_all(mut bytes: &[u8]) -> (Vec<Record>, usize) {
    let mut records = Vec::new();
    while let Ok((record, rest)) = decode(bytes) {
        records.push(record);
        bytes = rest;
    }
    (records, bytes.len())
}

#[test]
fn decoding_an_encoded_record_returns_it() {
    let records = records();
    let bytes = encode_all(&records);
    assert_eq!(decode_all(&bytes), (records.to_vec(), 0));
    // Truncated bytes yield the whole records before the end, and no others.
    for length in 0..bytes.len() {
        let (decoded, rest) = decode_all(&bytes[..length]);
        assert!(
            decoded.len() < records.len() && decoded[..] == records[..decoded.len()],
            "{length}"
        );
        assert_eq!(encode_all(&decoded).len() + rest, length);
    }
}

#[test]
fn the_digest_of_a_key_is_the_same_in_all_builds() {
    // Existing captures contain these digests: with others they could not be searched by key.
    assert_eq!(digest("k"), 0x9c9c_c252_d58b_4571);
    assert_ne!(digest("k"), digest("l"));
}
