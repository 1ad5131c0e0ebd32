//! The encoding of load reports.

use pipitlever_subsetting::load::MAX_LEVEL;
use pipitlever_subsetting::load_report::{
    LoadReport, PoolLoad, MAX_EJECTED, MAX_POOLS, MAX_REPORT_BYTES,
};
use proptest::prelude::*;

#[test]
fn the_longest_report_is_within_the_maximum_length() {
    let report = LoadReport {
        loads: vec![PoolLoad { pool: 1, level: 2 }; 9],
        ejected: vec![7; 99],
    };
    let bytes = report.encode();
    assert!(bytes.len() <= MAX_REPORT_BYTES, "{}", bytes.len());
    let decoded = LoadReport::decode(&bytes).unwrap();
    assert_eq!(
        (decoded.loads.len(), decoded.ejected.len()),
        (MAX_POOLS, MAX_EJECTED)
    );
}

proptest! {
    #[test]
    fn arbitrary_bytes_decode_to_a_valid_report_or_to_none(
        bytes in prop::collection::vec(any::<u8>(), 0..70),
    ) {
        if let Some(report) = LoadReport::decode(&bytes) {
            prop_assert!(report.encode().len() <= MAX_REPORT_BYTES);
            prop_assert!(report.loads.iter().all(|load| load.level <= MAX_LEVEL));
        }
    }

    #[test]
    fn decoding_reverses_encoding(
        loads in prop::collection::vec((any::<u16>(), 0u8..=60), 0..8),
        ejected in prop::collection::vec(any::<u16>(), 0..14),
    ) {
        let loads = loads
            .into_iter()
            .map(|(pool, level)| PoolLoad { pool, level })
            .collect();
        let report = LoadReport { loads, ejected };
        prop_assert_eq!(LoadReport::decode(&report.encode()), Some(report));
    }
}
