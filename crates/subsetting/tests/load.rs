//! Measurement of the load, and the rate limit of its reports.

use pipitlever_subsetting::load::{LoadMeter, ReportLimiter, MAX_TRAFFIC, REPORT_BYTES};
use pipitlever_subsetting::Micros;

const SECOND: Micros = 1_000_000;
const TENTH: Micros = SECOND / 10;

/// Runs a meter under a constant demand, from one second to another, and returns when it reported.
fn report_times(meter: &mut LoadMeter, from: Micros, to: Micros, rate: u64) -> Vec<Micros> {
    let mut reported_at = Vec::new();
    for step in from * 10..to * 10 {
        let now = step * TENTH;
        meter.record(rate / 10);
        meter.tick(now);
        if let Some(level) = meter.level_to_report() {
            meter.set_reported_level(level);
            reported_at.push(now);
        }
    }
    reported_at
}

#[test]
fn a_large_change_of_load_is_reported_within_a_second() {
    let mut meter = LoadMeter::new(0);
    let times = report_times(&mut meter, 0, 20, 100);
    assert!(
        times[0] <= SECOND && times.len() <= 4 && times.iter().all(|t| *t < 5 * SECOND),
        "{times:?}"
    );
    let times = report_times(&mut meter, 20, 40, 90);
    assert!(times.is_empty(), "a change of a tenth is not reported");
    let times = report_times(&mut meter, 40, 50, 0);
    assert!(
        times[0] <= 41 * SECOND && times.iter().all(|t| *t < 46 * SECOND),
        "{times:?}"
    );
}

#[test]
fn nodes_of_a_larger_fleet_report_less_often() {
    for nodes in [10, 100, 1_000] {
        let mut limiter = ReportLimiter::new(0);
        // Takes the tokens of the initial burst first.
        let burst = (0..9).filter(|_| limiter.try_acquire(0, nodes)).count();
        assert!(burst < 9);
        let reports = (0..60_000)
            .filter(|step| limiter.try_acquire(step * TENTH, nodes))
            .count();
        let reports_per_second = reports as f64 / 6_000.0 * nodes as f64;
        // Each node retransmits each report 4 x log10(nodes) times.
        let transmissions = 4.0 * (nodes as f64).log10().max(1.0);
        let traffic = reports_per_second * REPORT_BYTES * transmissions;
        assert!(traffic < 1.2 * MAX_TRAFFIC, "{nodes}: {traffic} B/s");
    }
    let mut limiter = ReportLimiter::new(0);
    assert_eq!(
        (0..10).filter(|_| limiter.try_acquire(0, 1_000)).count(),
        4,
        "a burst of four reports is allowed"
    );
}
