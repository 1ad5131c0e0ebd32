//! One test for each failure that an incident showed.

mod common;
use common::*;
use pipitlever::*;

/// i44e1ba: weak servers left requests unread for seconds while their line to start read low, so callers
/// were told nothing. What stands unread counts: the level rises.
#[test]
fn long_waits_to_be_read_raise_the_level() {
    let level = |queued: Micros| {
        let s = Settings { below: Below::Nothing, cores: 1.0, ..settings() };
        let mut c = Controller::new(s, 1);
        let mut top: f64 = 0.0;
        for i in 0..200 {
            let r = Request { queued, ..request(i, (i % 3) as usize) };
            let now = 2_000_000 + i as Micros * 40_000;
            let mut out = step(&mut c, now, &[Event::Arrived(r), ticks(0)]);
            if out.contains(&Action::Run(i)) {
                out.extend(step(&mut c, now + 30_000, &[done(i, 100_000)]));
            }
            for action in &out {
                if let Action::Level(l) = action {
                    top = top.max(*l);
                }
            }
        }
        top
    };
    assert!(level(0) == 0.0 && level(800_000) > 0.0, "{} {}", level(0), level(800_000));
}

/// Call times spread widely: the best time must not be a chance low that makes ordinary times look slow.
#[test]
fn ordinary_spread_of_call_times_does_not_shrink_the_bound() {
    let mut c = Controller::new(Settings { cores: 40.0, memory_kb: 1e6, ..settings() }, 1);
    let (mut now, mut id) = (0, 1);
    for i in 0..300 {
        step(&mut c, now, &[Event::Arrived(request(id, 2))]);
        let out = step(&mut c, now + 1000, &[Event::NeedsCall(id)]);
        assert!(out.iter().any(|a| matches!(a, Action::Call(..))), "call {i} had to wait");
        let took = [10_000, 20_000, 60_000, 90_000, 150_000, 300_000][i % 6];
        now += took + 1000;
        step(&mut c, now, &[Event::CallEnded { id, took, outcome: Outcome::Done }]);
        step(&mut c, now, &[done(id, took + 1000)]);
        now += 200_000;
        id += 1;
    }
}
