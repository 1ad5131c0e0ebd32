//! Outlier detection of a single member.

use pipitlever_load_balancing::outlier_detection::{
    EjectionReason, HealthStatus, OutlierDetectionConfig, OutlierDetector,
};
use pipitlever_load_balancing::{Micros, SECOND};

fn detector() -> OutlierDetector {
    OutlierDetector::new(OutlierDetectionConfig::default(), 0)
}

#[test]
fn deferred_probation_doubles_the_ejection_and_a_remote_recovery_halves_it() {
    let mut detector = detector();
    detector.eject(0, EjectionReason::ConsecutiveFailures(5));
    let ejection = OutlierDetectionConfig::default().base_ejection;
    assert!(
        !detector.defer_probation(ejection - 1) && detector.defer_probation(ejection),
        "only at the end of the ejection"
    );
    assert!(
        !detector.tick(ejection)
            && !detector.defer_probation(2 * ejection)
            && detector.tick(2 * ejection),
        "only once"
    );
    detector.eject(10 * ejection, EjectionReason::ProbationFailed);
    assert!(detector.shorten_ejection(10 * ejection));
    assert!(
        !detector.tick(11 * ejection - 1)
            && !detector.defer_probation(11 * ejection)
            && detector.tick(11 * ejection)
    );
    assert!(!detector.shorten_ejection(11 * ejection));
}

#[test]
fn a_slow_member_is_not_reported_as_failing() {
    let later: Micros = 1 << 40;
    let mut detector = detector();
    detector.eject(0, EjectionReason::HighLatency(5.0));
    assert!(!detector.is_ejected_for_failures());
    detector.eject(0, EjectionReason::ProbationFailed);
    assert!(!detector.is_ejected_for_failures());
    detector.eject(0, EjectionReason::ConsecutiveFailures(5));
    detector.eject(0, EjectionReason::ProbationFailed);
    assert!(
        detector.is_ejected_for_failures()
            && detector.tick(later)
            && detector.is_ejected_for_failures()
    );
    assert!(detector.record_success(later) && !detector.is_ejected_for_failures());
}

#[test]
fn consecutive_failures_or_a_high_failure_ratio_eject() {
    let mut consecutive = detector();
    assert_eq!((0..4).find_map(|_| consecutive.record_failure()), None);
    assert_eq!(
        consecutive.record_failure(),
        Some(EjectionReason::ConsecutiveFailures(5))
    );
    let mut alternating = detector();
    let pattern = [true, true, false].into_iter().cycle().take(60);
    let ejection = pattern.enumerate().find_map(|(run, fails)| {
        if fails {
            alternating.record_failure().map(|reason| (run, reason))
        } else {
            alternating
                .record_success(0)
                .then_some((run, EjectionReason::ProbationFailed))
        }
    });
    let Some((run, EjectionReason::FailureRatio(ratio))) = ejection else {
        panic!("{ejection:?}")
    };
    assert!(run >= 9 && ratio >= 0.5);
    // One failure in ten runs is below the ratio.
    let mut mostly_successful = detector();
    for run in 0..200 {
        if run % 10 == 0 {
            assert_eq!(mostly_successful.record_failure(), None);
        } else {
            mostly_successful.record_success(0);
        }
    }
}

#[test]
fn ejections_back_off_and_end_with_probation_and_slow_start() {
    let mut detector = detector();
    let (mut now, mut durations) = (0, Vec::new());
    for _ in 0..8 {
        detector.eject(now, EjectionReason::ProbationFailed);
        let HealthStatus::Ejected { until, .. } = detector.status() else {
            panic!("ejected")
        };
        durations.push((until - now) / SECOND);
        assert!(!detector.tick(until - 1) && detector.traffic_share(until - 1) == 0.0);
        assert!(detector.tick(until));
        now = until;
        // One idempotent run at a time.
        assert!(detector.accepts_probe(now, true, 0) && !detector.accepts_probe(now, true, 1));
        // Any run after the wait.
        assert!(
            !detector.accepts_probe(now, false, 0)
                && detector.accepts_probe(now + 2 * SECOND, false, 0)
        );
        assert_eq!(
            detector.record_failure(),
            Some(EjectionReason::ProbationFailed)
        );
    }
    assert_eq!(durations, [2, 4, 8, 16, 32, 60, 60, 60]);
    assert!(detector.record_success(now));
    assert!(detector.traffic_share(now) < 0.2 && detector.traffic_share(now + 4 * SECOND) > 0.7);
    assert!(detector.tick(now + 5 * SECOND) && detector.status() == HealthStatus::Healthy);
    // The duration starts again after a long time without ejection.
    now += 500 * SECOND;
    detector.eject(now, EjectionReason::ProbationFailed);
    let first_ejection = HealthStatus::Ejected {
        until: now + 2 * SECOND,
        reason: EjectionReason::ProbationFailed,
    };
    assert_eq!(detector.status(), first_ejection);
}

#[test]
fn latency_is_compared_with_the_pool_median() {
    let mut detector = detector();
    assert_eq!(detector.latency_outlier(1e6, 1e3), None);
    (0..20).for_each(|_| assert!(!detector.record_success(0)));
    assert_eq!(
        detector.latency_outlier(4e3, 1e3),
        Some(EjectionReason::HighLatency(4.0))
    );
    assert_eq!(detector.latency_outlier(3e3, 1e3), None);
}
