//! Calls to the layer below.

mod common;
use common::*;
use pipitlever_admission::*;

fn at_call(s: Settings) -> Controller {
    let mut c = Controller::new(s, 1);
    step(&mut c, 0, &[Event::Arrived(request(1, 2))]);
    assert_eq!(calls(&step(&mut c, 1000, &[Event::NeedsCall(1)])), 1);
    c
}

fn end(outcome: Outcome) -> Event {
    Event::CallEnded {
        id: 1,
        elapsed: 10_000,
        outcome,
    }
}

#[test]
fn a_call_is_repeated_only_when_proven_not_run() {
    for outcome in [Outcome::Rejected, Outcome::Unreachable] {
        assert_eq!(
            calls(&step(&mut at_call(settings()), 11_000, &[end(outcome)])),
            1
        );
    }
    for outcome in [Outcome::Error, Outcome::TimedOut, Outcome::Reset] {
        let out = step(&mut at_call(settings()), 11_000, &[end(outcome)]);
        assert!(
            calls(&out) == 0 && out.contains(&Action::Fail(1)),
            "{outcome:?}"
        );
    }
}

#[test]
fn a_failed_call_is_left_out_where_that_is_allowed() {
    let mut s = settings();
    s.classes[2].skip_call_weight = 0.5;
    assert!(step(&mut at_call(s), 11_000, &[end(Outcome::Error)]).contains(&Action::SkipCall(1)));
}

#[test]
fn calls_stop_with_the_time_of_the_request() {
    let mut c = Controller::new(settings(), 1);
    let r = Request {
        timeout: Some(400_000),
        ..request(1, 2)
    };
    step(&mut c, 0, &[Event::Arrived(r)]);
    assert!(step(&mut c, 100_000, &[Event::NeedsCall(1)]).contains(&Action::PlaceCall(1, 300_000)));
}

#[test]
fn a_bunch_of_calls_passes_the_bound_twice_at_most() {
    let mut c = Controller::new(
        Settings {
            cores: 20.0,
            memory_kb: 1e6,
            ..settings()
        },
        1,
    );
    let batch: Vec<Event> = (1..=12).map(|i| Event::Arrived(request(i, 2))).collect();
    assert_eq!(runs(&step(&mut c, 0, &batch)), 12);
    let stall: Vec<Event> = (1..=12).map(Event::NeedsCall).collect();
    // The bound starts at four tenths of the share of five.
    assert_eq!(calls(&step(&mut c, 1000, &stall)), 4);
}

/// Incident i7b0d52: with a small share, one call at a time on each server was too many for the
/// fleet.
#[test]
fn a_share_below_one_paces_single_calls() {
    let mut c = Controller::new(
        Settings {
            call_share: 0.5,
            cores: 20.0,
            memory_kb: 1e6,
            ..settings()
        },
        1,
    );
    let batch: Vec<Event> = (1..=12).map(|i| Event::Arrived(request(i, 2))).collect();
    step(&mut c, 0, &batch);
    let stall: Vec<Event> = (1..=12).map(Event::NeedsCall).collect();
    let mut out = step(&mut c, 1000, &stall);
    let (mut busy, mut open) = (0, None);
    for now in (10_000..=900_000).step_by(10_000) {
        let placed = out.iter().find_map(|a| {
            if let Action::PlaceCall(id, _) = a {
                Some(*id)
            } else {
                None
            }
        });
        let events = match open {
            Some(id) => vec![Event::CallEnded {
                id,
                elapsed: 10_000,
                outcome: Outcome::Success,
            }],
            None => vec![ticks(0)],
        };
        open = placed;
        busy += u32::from(open.is_some());
        out = step(&mut c, now, if open.is_some() { &[] } else { &events });
    }
    assert!(
        busy > 0 && busy < 60,
        "the layer was in use for {busy} of 90 spans"
    );
}

/// The second gate: when calls are slow, requests that need one are refused at reading, others are
/// not.
#[test]
fn a_line_at_the_calls_refuses_only_what_calls() {
    let mut s = Settings {
        cores: 16.0,
        memory_kb: 1e6,
        call_share: 1.0,
        ..settings()
    };
    s.classes[0].makes_calls = false;
    let mut c = Controller::new(s, 1);
    let (mut id, mut open) = (1, Vec::new());
    let (mut calling, mut plain) = (0, 0);
    for now in (0..6_000_000).step_by(50_000) {
        let events = [
            Event::Arrived(request(id, 2)),
            Event::Arrived(request(id + 1, 0)),
            ticks(0),
        ];
        let out = step(&mut c, now, &events);
        calling += u32::from(refused(&out, id));
        plain += u32::from(refused(&out, id + 1));
        let mut events = Vec::new();
        if out.contains(&Action::Run(id)) {
            events.push(Event::NeedsCall(id));
        }
        if out.contains(&Action::Run(id + 1)) {
            events.push(done(id + 1, 10_000));
        }
        let out = step(&mut c, now + 10_000, &events);
        let placed = |a: &Action| {
            if let Action::PlaceCall(id, _) = a {
                Some((*id, now + 600_000))
            } else {
                None
            }
        };
        open.extend(out.iter().filter_map(placed));
        let ready = |o: &(RequestId, Micros)| o.1 <= now;
        let events: Vec<Event> = open
            .iter()
            .filter(|o| ready(o))
            .map(|o| Event::CallEnded {
                id: o.0,
                elapsed: 600_000,
                outcome: Outcome::Success,
            })
            .collect();
        open.retain(|o| !ready(o));
        step(&mut c, now + 20_000, &events);
        id += 2;
    }
    assert!(
        calling > 20 && plain == 0,
        "calling {calling} plain {plain}"
    );
}

/// A controller above a tier whose runs end fast and whose calls take so long, after 300 requests
/// with one call each.
fn above_a_tier(call: Micros) -> (Controller, Micros) {
    let mut s = Settings {
        downstream: Downstream::Tier,
        memory_kb: 1e6,
        ..settings()
    };
    s.classes[2].late_weight = 0.5;
    let mut c = Controller::new(s, 1);
    let mut now = 0;
    for id in 1..=300 {
        now += 10_000;
        step(&mut c, now, &[Event::Arrived(request(id, 2))]);
        assert_eq!(calls(&step(&mut c, now + 1000, &[Event::NeedsCall(id)])), 1);
        step(
            &mut c,
            now + 2000,
            &[Event::CallEnded {
                id,
                elapsed: call,
                outcome: Outcome::Success,
            }],
        );
        step(&mut c, now + 3000, &[done(id, 3000), ticks(0)]);
    }
    (c, now + 5000)
}

/// On a calm day of the fleet test half of the refusals came while four requests waited to start
/// and cores ended one each eighth of a second: the line for calls, whose shortest discard is four,
/// counted them as if they stood at a call.
#[test]
fn a_bunch_that_waits_to_start_is_no_line_for_calls() {
    // Calls are slow, so that their line is as short as it gets.
    let (mut c, now) = above_a_tier(2_000_000);
    let abate = thresholds(&c).0;
    assert!(abate > 8.0, "{abate}");
    let mut id = 300;
    let mut refusals = || {
        id += 1;
        refused(&step(&mut c, now, &[Event::Arrived(request(id, 2))]), id)
    };
    let running = 4;
    let bunch = running + abate as u64;
    assert_eq!(
        (0..bunch).filter(|_| refusals()).count(),
        0,
        "a bunch of {bunch}"
    );
    // Beyond it the shortest line holds: four, and no more.
    assert_eq!((0..20).filter(|_| refusals()).count(), 16);
}

/// On the days of an upgrade nearly all refusals came while four to twelve requests waited to call
/// below, a few hundredths of a second at the rate at which calls ended.
#[test]
fn a_line_for_fast_calls_is_as_long_as_hurts_nobody() {
    let refusals = |call| {
        let (mut c, now) = above_a_tier(call);
        // Turned away again and again, calls are down to one a core.
        step(&mut c, now, &[Event::Arrived(request(301, 2))]);
        step(&mut c, now, &[Event::NeedsCall(301)]);
        for i in 1..=60 {
            let busy = Event::CallEnded {
                id: 301,
                elapsed: 1000,
                outcome: Outcome::Rejected,
            };
            step(&mut c, now + i * 2000, &[busy]);
        }
        let now = now + 200_000;
        let mut refusals = 0;
        for id in 302..=312 {
            match refused(&step(&mut c, now, &[Event::Arrived(request(id, 2))]), id) {
                true => refusals += 1,
                false => drop(step(&mut c, now, &[Event::NeedsCall(id)])),
            }
        }
        // Four calls are in hand; the others wait.
        assert_eq!(
            (c.status().calls_in_flight, c.status().at_call),
            (4.0, 12 - refusals)
        );
        refusals
    };
    assert_eq!(
        refusals(2_000),
        0,
        "eight wait for calls of two milliseconds"
    );
    assert_eq!(
        refusals(2_000_000),
        4,
        "four are the shortest line, for calls of two seconds"
    );
}
