//! Encoding of records, and digests.

use pipitlever_idempotency_store::record::{
    decode_records, encode, Intent, Outcome, Record, Salt, INTENT_OVERHEAD_BYTES, MAX_KEY_BYTES,
    OUTCOME_OVERHEAD_BYTES,
};
use pipitlever_idempotency_store::Micros;

fn encoded_length(record: &Record) -> u64 {
    let mut bytes = Vec::new();
    encode(record, &mut bytes);
    assert_eq!(decode_records(&bytes), Ok(vec![record.clone()]));
    bytes.len() as u64
}

#[test]
fn encoded_records_stay_within_their_bounds() {
    const CLASS_BYTES: usize = 64;
    const RESULT_BYTES: usize = 4096;
    let intent = Intent {
        id: u64::MAX,
        reference: u64::MAX,
        key: "k".repeat(MAX_KEY_BYTES),
        class: "c".repeat(CLASS_BYTES),
        payload_digest: u64::MAX,
        arrived_at: Micros::MAX,
        window: Micros::MAX,
        expires_at: Micros::MIN,
        read_grace: Micros::MAX,
    };
    assert!(
        encoded_length(&Record::Intent(intent))
            <= INTENT_OVERHEAD_BYTES + MAX_KEY_BYTES as u64 + CLASS_BYTES as u64
    );
    let outcome = Record::Outcome {
        id: u64::MAX,
        expires_at: Micros::MIN,
        outcome: Outcome::Served(vec![7; RESULT_BYTES]),
    };
    assert!(encoded_length(&outcome) <= OUTCOME_OVERHEAD_BYTES + RESULT_BYTES as u64);
    let void = Record::Void {
        id: u64::MAX,
        expires_at: Micros::MIN,
    };
    assert!(encoded_length(&void) <= OUTCOME_OVERHEAD_BYTES);
}

#[test]
fn digests_differ_by_class_body_and_salt() {
    let salt = Salt([1, 2]);
    let digests = [
        salt.digest("a", b"bc"),
        salt.digest("ab", b"c"),
        salt.digest("a", b"b"),
    ];
    assert!(digests[0] != digests[1] && digests[0] != digests[2] && digests[1] != digests[2]);
    assert_eq!(digests[0], salt.digest("a", b"bc"));
    assert_ne!(digests[0], Salt([1, 3]).digest("a", b"bc"));
}
