//! Recovery of keys from records: clock changes, and the outcome for each combination of records.

use pipitlever_idempotency_store::record::{Clocks, Intent, Outcome, Record};
use pipitlever_idempotency_store::recovery::{remaining_window, RecoveryTable};
use pipitlever_idempotency_store::Micros;

const WINDOW: Micros = 20_000_000;
const READ_GRACE: Micros = 8_000_000;

fn clocks(wall: Micros, since_boot: Micros, boot_id: &str) -> Clocks {
    Clocks {
        wall,
        since_boot,
        boot_id: boot_id.into(),
    }
}

/// An intent whose attempt arrived at these times.
fn intent(id: u64, wall: Micros, since_boot: Micros) -> Intent {
    Intent {
        id,
        reference: 9,
        key: "k".to_owned(),
        class: "swap".to_owned(),
        payload_digest: 7,
        arrived_at: wall,
        window: WINDOW,
        expires_at: since_boot + WINDOW + READ_GRACE,
        read_grace: READ_GRACE,
    }
}

/// Remaining window after a restart, for an intent that arrived at wall clock time 1,000 s, 50 s
/// after boot.
#[test]
fn no_clock_change_shortens_a_window() {
    let written = clocks(1_000_000_000, 50_000_000, "a");
    let intent = intent(1, 1_000_000_000, 50_000_000);
    let cases = [
        // No clock was set: 5 s later, at the end of the window, at the end of the grace, after it.
        (clocks(1_005_000_000, 55_000_000, "a"), Some(15_000_000)),
        (clocks(1_020_000_000, 70_000_000, "a"), Some(0)),
        (clocks(1_028_000_000, 78_000_000, "a"), Some(-READ_GRACE)),
        (clocks(1_028_000_001, 78_000_001, "a"), None),
        // The wall clock was set forwards by an hour: the time since boot applies.
        (clocks(4_605_000_000, 55_000_000, "a"), Some(15_000_000)),
        (clocks(4_600_000_000, 79_000_000, "a"), None),
        // The wall clock was set back by an hour: a window from now, and no longer.
        (clocks(-2_595_000_000, 55_000_000, "a"), Some(WINDOW)),
        (clocks(990_000_000, 60_000_000, "a"), Some(WINDOW)),
        // Another boot, with any clocks: a window from now.
        (clocks(1_005_000_000, 3_000_000, "b"), Some(WINDOW)),
        (clocks(9_000_000_000, 90_000_000, "b"), Some(WINDOW)),
        // The boot is unknown, or its time since boot is less than before.
        (clocks(9_000_000_000, 90_000_000, ""), Some(WINDOW)),
        (clocks(9_000_000_000, 40_000_000, "a"), Some(WINDOW)),
    ];
    for (now, expected) in cases {
        assert_eq!(
            remaining_window(&intent, &written, &now),
            expected,
            "{now:?}"
        );
    }
    // The boot in which the intent was written is unknown.
    let written = clocks(1_000_000_000, 50_000_000, "");
    let now = clocks(9_000_000_000, 90_000_000, "a");
    assert_eq!(remaining_window(&intent, &written, &now), Some(WINDOW));
}

fn outcome_record(id: u64, outcome: Outcome) -> Record {
    Record::Outcome {
        id,
        expires_at: 0,
        outcome,
    }
}

/// `None` if the key is not recovered; otherwise its outcome, if known.
type Expected = Option<Option<Outcome>>;

fn cases() -> Vec<(&'static str, Vec<Record>, Expected)> {
    let first = || Record::Intent(intent(1, 500, 500));
    let second = || Record::Intent(intent(2, 800, 800));
    let served = |id| outcome_record(id, Outcome::Served(vec![9]));
    let failed = |id| outcome_record(id, Outcome::Failed);
    let void = |id| Record::Void { id, expires_at: 0 };
    let unknown = Some(None);
    let result = Some(Some(Outcome::Served(vec![9])));
    let failure = Some(Some(Outcome::Failed));
    vec![
        ("no record", vec![], None),
        ("an intent", vec![first()], unknown.clone()),
        ("a result", vec![first(), served(1)], result.clone()),
        ("a failure", vec![first(), failed(1)], failure.clone()),
        ("a void", vec![first(), void(1)], None),
        ("another order", vec![served(1), first()], result.clone()),
        ("void first", vec![void(1), first()], None),
        (
            "two copies of each",
            vec![first(), served(1), first(), served(1)],
            result.clone(),
        ),
        ("an outcome without an intent", vec![served(1)], None),
        (
            "a void and then a run",
            vec![first(), void(1), second()],
            unknown.clone(),
        ),
        (
            "a void and then a result",
            vec![first(), void(1), second(), served(2)],
            result.clone(),
        ),
        (
            "the result of the first attempt",
            vec![first(), served(1), second()],
            result.clone(),
        ),
        (
            "the result of the second attempt",
            vec![first(), second(), served(2)],
            result,
        ),
        (
            "one of two attempts may have run",
            vec![first(), second(), void(2)],
            unknown,
        ),
        (
            "an outcome takes precedence over a void",
            vec![first(), void(1), failed(1)],
            failure,
        ),
    ]
}

#[test]
fn each_row_of_the_recovery_table() {
    let (written, now) = (clocks(1_000, 1_000, "a"), clocks(2_000, 2_000, "a"));
    for (name, records, expected) in cases() {
        let mut table = RecoveryTable::default();
        for record in records {
            table.add(record, &written, &now);
        }
        let keys = table.into_keys(&now);
        assert!(keys.len() <= 1);
        let outcome = keys.first().map(|key| key.outcome.clone());
        assert_eq!(outcome, expected, "{name}");
        assert!(
            keys.iter().all(|key| key.window_end >= 500 + WINDOW),
            "{name}"
        );
    }
}
