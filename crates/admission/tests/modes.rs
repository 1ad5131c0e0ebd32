//! The three modes at their exact counts.

mod common;
use common::*;
use pipitlever_admission::*;

/// Four cores are taken up; then requests of low rank come one by one until the mode changes.
fn full() -> (Controller, RequestId) {
    let s = Settings {
        downstream: Downstream::None,
        ..settings()
    };
    let mut c = Controller::new(s, 1);
    let batch: Vec<Event> = (1..=4).map(|i| Event::Arrived(request(i, 2))).collect();
    assert_eq!(runs(&step(&mut c, 0, &batch)), 4);
    (c, 5)
}

#[test]
fn onset_comes_at_exactly_the_count() {
    let (mut c, mut id) = full();
    let (_, onset, _) = thresholds(&c);
    while (c.status().queued as f64) < onset - 1.0 {
        step(&mut c, 1, &[Event::Arrived(request(id, 0))]);
        id += 1;
        assert_eq!(c.mode(), Mode::Normal, "at {}", c.status().queued);
    }
    step(&mut c, 1, &[Event::Arrived(request(id, 0))]);
    assert_eq!(
        (c.mode(), c.status().queued as f64),
        (Mode::Overload, onset)
    );
}

#[test]
fn a_batch_that_jumps_past_discard_is_cut_there() {
    let (mut c, id) = full();
    let (_, _, discard) = thresholds(&c);
    let batch: Vec<Event> = (id..id + 50)
        .map(|i| Event::Arrived(request(i, 2)))
        .collect();
    let out = step(&mut c, 1, &batch);
    assert_eq!(
        (c.mode(), c.status().queued as f64),
        (Mode::Discard, discard)
    );
    assert_eq!(
        out.iter()
            .filter(|a| matches!(a, Action::Reject { .. }))
            .count() as f64,
        50.0 - discard
    );
}

#[test]
fn discard_lasts_until_the_count_falls_to_onset_and_overload_until_below_abatement() {
    let (mut c, id) = full();
    let (abate, onset, _) = thresholds(&c);
    let batch: Vec<Event> = (id..id + 50)
        .map(|i| Event::Arrived(request(i, 2)))
        .collect();
    step(&mut c, 1, &batch);
    let mut running: Vec<RequestId> = (1..=4).collect();
    while let Some(ended) = running.pop() {
        let out = step(&mut c, 2, &[done(ended, 100_000)]);
        running.extend(out.iter().filter_map(|a| {
            if let Action::Run(id) = a {
                Some(*id)
            } else {
                None
            }
        }));
        let count = c.status().queued as f64;
        let mode = match count {
            n if n > onset => Mode::Discard,
            n if n >= abate => Mode::Overload,
            _ => Mode::Normal,
        };
        assert_eq!(c.mode(), mode, "at {count}");
    }
    assert_eq!(c.status().queued, 0);
}

#[test]
fn thresholds_keep_their_order_and_fall_with_the_rate_of_success() {
    let (mut c, _) = full();
    let before = thresholds(&c);
    for i in 1..=4 {
        let end = Event::Finished {
            id: i,
            elapsed: 2_000,
            outcome: Outcome::Error,
        };
        step(&mut c, i as Micros * 1000, &[end]);
    }
    for i in 10..60 {
        let now = i as Micros * 200_000;
        step(&mut c, now, &[Event::Arrived(request(i, 2))]);
        step(
            &mut c,
            now + 2_000,
            &[Event::Finished {
                id: i,
                elapsed: 900_000,
                outcome: Outcome::Error,
            }],
        );
    }
    let (abate, onset, discard) = thresholds(&c);
    assert!(1.0 <= abate && abate < onset && onset < discard);
    assert!(
        discard < before.2,
        "runs that fail must not count as work done"
    );
}

#[test]
fn overload_refuses_what_ranks_low() {
    let (mut c, mut id) = full();
    let mut low = (0, 0);
    let mut high = (0, 0);
    for i in 0..400 {
        let now = 1_000 + i * 20_000;
        let class = if i % 2 == 0 { 0 } else { 2 };
        let mut events = vec![Event::Arrived(request(id, class))];
        if i % 5 == 0 {
            events.push(ticks(0));
        }
        let out = step(&mut c, now, &events);
        let seen = if class == 0 { &mut low } else { &mut high };
        seen.0 += 1;
        seen.1 += u32::from(refused(&out, id));
        id += 1;
    }
    assert!(low.1 > 0 && low.1 >= high.1, "low {low:?} high {high:?}");
}
