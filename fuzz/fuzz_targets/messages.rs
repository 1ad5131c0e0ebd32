//! Arbitrary bytes as messages of other members and as files: load reports, messages about
//! configuration versions, and the files with an acceptor's state and the minimum version. Decoding
//! does not panic, and a decoded report or envelope survives another round trip unchanged.
#![no_main]

use libfuzzer_sys::fuzz_target;
use pipitlever_config_versions::acceptor::AcceptorState;
use pipitlever_config_versions::envelope::Envelope;
use pipitlever_config_versions::file_format;
use pipitlever_config_versions::message::{GossipPayload, Message};
use pipitlever_config_versions::minimum_version::StoredVersion;
use pipitlever_subsetting::load_report::{LoadReport, MAX_REPORT_BYTES};

fuzz_target!(|data: &[u8]| {
    if let Some(report) = LoadReport::decode(data) {
        assert!(report.encode().len() <= MAX_REPORT_BYTES);
        assert_eq!(LoadReport::decode(&report.encode()), Some(report));
    }
    let _ = Message::decode(data);
    let _ = GossipPayload::decode(data);
    if let Some(envelope) = Envelope::decode(data) {
        assert_eq!(Envelope::decode(&envelope.encode()), Some(envelope));
    }
    let _ = file_format::decode::<AcceptorState>(data);
    let _ = file_format::decode::<StoredVersion>(data);
});
