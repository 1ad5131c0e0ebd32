//! Whole nodes among each other: what is published is acted on by all, and what is closed by none.

use fastrand::Rng;
use pipitlever_config_versions::elector::Kept;
use pipitlever_config_versions::floor::Unknown;
use pipitlever_config_versions::message::{Ballot, Hint, Message, Seal};
use pipitlever_config_versions::node::{Draft, Event, May, Node, Settings, Unpublished, Without};
use pipitlever_config_versions::publisher::Outcome;
use pipitlever_config_versions::version::{Digest, Version};
use std::collections::BTreeMap;
use std::rc::Rc;

const MS: i64 = 1000;
const S: i64 = 1_000_000;
/// What each node is woken after at the latest.
const STEP: i64 = 20 * MS;

struct Place {
    node: Option<Node>,
    disk: Option<Kept>,
    /// Its clock began there.
    offset: i64,
    paused: bool,
    events: Vec<Event>,
    /// What it sends as content is something else.
    lies: bool,
}

/// Nodes n0, n1 and so on, the first three of which are electors.
struct World {
    now: i64,
    places: Vec<Place>,
    cut: Vec<bool>,
    loss: f64,
    on_the_way: BTreeMap<(i64, u64), (usize, usize, Message)>,
    last: u64,
    rng: Rng,
    without: Without,
}

fn name(at: usize) -> String {
    format!("n{at}")
}

fn place(name: &str) -> usize {
    name[1..].parse().unwrap()
}

impl World {
    fn new(count: usize, seed: u64, without: Without) -> World {
        let mut rng = Rng::with_seed(seed);
        let places = (0..count)
            .map(|_| Place {
                node: None,
                disk: None,
                offset: rng.i64(0..3600 * S),
                paused: false,
                events: Vec::new(),
                lies: false,
            })
            .collect();
        let (on_the_way, cut) = (BTreeMap::new(), vec![false; count]);
        let mut world = World {
            now: 0,
            places,
            cut,
            loss: 0.0,
            on_the_way,
            last: 0,
            rng,
            without,
        };
        (0..count).for_each(|at| world.start(at));
        world.run(3 * S);
        world
    }

    fn start(&mut self, at: usize) {
        let settings = Settings {
            electors: (0..3).map(name).collect(),
            lease: 10 * S,
            without: self.without,
            unknown: Unknown::Wait,
        };
        let seed = self.rng.u64(..);
        let p = &mut self.places[at];
        let kept = (at < 3).then(|| p.disk.clone());
        p.node = Some(Node::new(
            &name(at),
            settings,
            kept,
            None,
            0,
            seed,
            p.offset + self.now,
        ));
    }

    fn node(&mut self, at: usize) -> &mut Node {
        self.places[at].node.as_mut().unwrap()
    }

    fn local(&self, at: usize) -> i64 {
        self.places[at].offset + self.now
    }

    fn reaches(&mut self, from: usize, to: usize) -> bool {
        self.cut[from] == self.cut[to] && self.rng.f64() >= self.loss
    }

    /// Carries out what a node wants.
    fn settle(&mut self, at: usize) {
        let now = self.local(at);
        let p = &mut self.places[at];
        let Some(node) = &mut p.node else { return };
        if let Some((kept, write)) = node.take_write() {
            p.disk = Some(kept);
            node.written(now, write, true);
        }
        if let Some((version, content)) = node.offer() {
            let unfit = content
                .starts_with(b"unfit")
                .then(|| "it lacks a class".to_owned());
            node.acted(version.number, unfit.map_or(Ok(()), Err));
        }
        p.events.extend(node.take_events());
        for (to, message) in node.take_out() {
            assert!(message == Message::read(&message.write()).unwrap());
            let to = place(&to);
            if self.reaches(at, to) {
                self.last += 1;
                let arrives = self.now + self.rng.i64(200..2000);
                self.on_the_way
                    .insert((arrives, self.last), (at, to, message));
            }
        }
    }

    fn run(&mut self, time: i64) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            while let Some(((at, _), (from, to, message))) = self.on_the_way.pop_first() {
                if at > self.now {
                    self.last += 1;
                    self.on_the_way.insert((at, self.last), (from, to, message));
                    break;
                }
                let now = self.local(to);
                let p = &mut self.places[to];
                if p.paused {
                    continue;
                }
                if let Some(node) = &mut p.node {
                    node.heard(now, &name(from), &message);
                }
                self.settle(to);
            }
            for at in 0..self.places.len() {
                if !self.places[at].paused && self.places[at].node.is_some() {
                    self.turn(at);
                }
            }
        }
    }

    /// One node's turn: its times, a ping now and then, and the pieces that it wants.
    fn turn(&mut self, at: usize) {
        let now = self.local(at);
        if self.node(at).due() <= now {
            self.node(at).wake(now);
        }
        let count = self.places.len();
        let other = (at + 1 + self.rng.usize(..count - 1)) % count;
        let there = !self.places[other].paused && self.places[other].node.is_some();
        if there && self.rng.i64(..500 * MS) < STEP && self.reaches(at, other) {
            let theirs = self.local(other);
            let hint = self.node(at).hint();
            self.node(other).heard_hint(theirs, &hint);
            let hint = self.node(other).hint();
            self.node(at).heard_hint(now, &hint);
            self.settle(other);
        }
        let others: Vec<String> = (0..count).filter(|i| *i != at).map(name).collect();
        let others: Vec<&str> = others.iter().map(String::as_str).collect();
        if let Some((digest, from_byte, of)) = self.node(at).take_fetch(now, &others) {
            let whom = place(&of);
            let there = self.places[whom].node.is_some() && !self.places[whom].paused;
            if there && self.reaches(at, whom) {
                let lies = self.places[whom].lies;
                let piece = self.node(whom).piece(digest, from_byte);
                let piece = piece.map(|(p, all)| (if lies { vec![0; p.len()] } else { p }, all));
                let piece = piece.as_ref().map(|(p, all)| (&p[..], *all));
                self.node(at)
                    .fetched(now, &name(whom), digest, from_byte, piece);
            }
        }
        self.settle(at);
    }

    fn publish(&mut self, at: usize, content: &[u8]) -> Result<u64, Unpublished> {
        let now = self.local(at);
        let base = self.node(at).newest().number;
        let draft = Draft {
            base,
            content: content.to_vec(),
            electors: None,
            withdraws: None,
            at_ms: 0,
            why: "a test".into(),
        };
        let number = self.node(at).publish(now, draft);
        self.settle(at);
        number
    }

    /// Runs until all of these act on a version; how long that took.
    fn until_all_act(&mut self, who: &[usize], number: u64) -> i64 {
        let start = self.now;
        while !who.iter().all(|at| {
            self.places[*at]
                .node
                .as_ref()
                .is_some_and(|n| n.acting() == number)
        }) {
            assert!(
                self.now < start + 60 * S,
                "not all act on {number}: {:?}",
                self.acting()
            );
            self.run(STEP);
        }
        self.now - start
    }

    fn acting(&self) -> Vec<Option<u64>> {
        self.places
            .iter()
            .map(|p| p.node.as_ref().map(Node::acting))
            .collect()
    }

    fn may(&mut self, at: usize) -> May {
        let now = self.local(at);
        self.node(at).may_act(now)
    }

    fn outcomes(&self, at: usize) -> Vec<Outcome> {
        let ended = |e: &Event| match e {
            Event::Published(outcome) => Some(outcome.clone()),
            _ => None,
        };
        self.places[at].events.iter().filter_map(ended).collect()
    }
}

fn acts(may: May) -> bool {
    matches!(may, May::Act(_))
}

#[test]
fn what_is_published_is_acted_on_by_all() {
    for (seed, loss) in [(1, 0.0), (2, 0.1), (3, 0.3)] {
        let mut world = World::new(10, seed, Without::Refuse);
        world.loss = loss;
        let all: Vec<usize> = (0..10).collect();
        // Longer than one piece.
        let content: Vec<u8> = (0..20_000).map(|i| (i % 251) as u8).collect();
        assert_eq!(world.publish(1, &content), Ok(1));
        assert_eq!(world.publish(1, &content), Err(Unpublished::Busy));
        world.until_all_act(&all, 1);
        assert!(matches!(&world.outcomes(1)[..], [Outcome::Decided(v)] if v.number == 1));
        world.run(20 * S);
        assert!(all.iter().all(|at| acts(world.may(*at))), "seed {seed}");
        // Only an elector publishes, on top of the newest, and not without a reason.
        assert!(matches!(
            world.publish(5, b"x"),
            Err(Unpublished::NoElector(_))
        ));
        let now = world.local(0);
        let draft = Draft {
            base: 0,
            content: vec![],
            electors: None,
            withdraws: None,
            at_ms: 0,
            why: "x".into(),
        };
        let stale = world.node(0).publish(now, draft.clone());
        assert!(matches!(stale, Err(Unpublished::Newest(v)) if v.number == 1));
        let unfit = world.node(0).publish(
            now,
            Draft {
                base: 1,
                why: String::new(),
                ..draft
            },
        );
        assert!(matches!(unfit, Err(Unpublished::Unfit(_))));
    }
}

#[test]
fn of_two_publishers_on_two_sides_the_one_with_the_majority_is_decided() {
    let mut world = World::new(6, 4, Without::Refuse);
    for at in [0, 3] {
        world.cut[at] = true;
    }
    assert_eq!(
        (world.publish(0, b"few"), world.publish(1, b"many")),
        (Ok(1), Ok(1))
    );
    world.until_all_act(&[1, 2, 4, 5], 1);
    world.run(15 * S);
    assert!(
        matches!(&world.outcomes(0)[..], [Outcome::Open(who)] if who.len() <= 1),
        "{:?}",
        world.outcomes(0)
    );
    assert_eq!(world.acting()[3], Some(0));
    world.cut.fill(false);
    world.until_all_act(&[0, 1, 2, 3, 4, 5], 1);
    let digest = world.node(0).newest().digest;
    assert_eq!(digest, Digest::of(b"many"));
}

#[test]
fn a_straggler_stops_before_the_promise_and_is_brought_to_the_newest_at_once() {
    for stopped in [false, true] {
        let mut world = World::new(6, 5, Without::Refuse);
        world.publish(0, b"one").unwrap();
        world.until_all_act(&[0, 1, 2, 3, 4, 5], 1);
        // One is cut off, or stopped.
        world.cut[5] = !stopped;
        world.places[5].paused = stopped;
        for content in [&b"two"[..], b"three"] {
            let number = world.publish(0, content).unwrap();
            world.until_all_act(&[0, 1, 2, 3, 4], number);
        }
        let now = world.local(2);
        assert!(world.node(2).close(now, 4).is_err() && world.node(2).close(now, 0).is_err());
        world.node(2).close(now, 3).unwrap();
        let closed = |w: &World| w.places[2].events.contains(&Event::Closed(3));
        let start = world.now;
        while !closed(&world) {
            world.run(STEP);
            assert!(world.now < start + 30 * S);
        }
        assert!(world.now - start > 10 * S, "the leases had not run out yet");
        assert!(!acts(world.may(5)), "it acts on a closed version");
        assert!((0..5).all(|at| acts(world.may(at))));
        // What it hears first may be old; it acts on nothing until it has the newest.
        world.cut[5] = false;
        world.places[5].paused = false;
        assert!(!acts(world.may(5)));
        world.until_all_act(&[5], 3);
        let taken: Vec<_> = world.places[5]
            .events
            .iter()
            .filter(|e| matches!(e, Event::Acting(_)))
            .collect();
        assert_eq!(taken, [&Event::Acting(1), &Event::Acting(3)]);
        world.run(5 * S);
        assert!(acts(world.may(5)));
    }
}

#[test]
fn without_a_majority_of_electors_nodes_do_as_they_are_told() {
    for (without, serves) in [(Without::Serve, true), (Without::Refuse, false)] {
        let mut world = World::new(5, 6, without);
        world.publish(0, b"one").unwrap();
        world.until_all_act(&[0, 1, 2, 3, 4], 1);
        (world.places[0].node, world.places[1].node) = (None, None);
        world.run(15 * S);
        assert_eq!(acts(world.may(4)), serves);
        assert!(world.publish(2, b"two").is_ok());
        world.run(15 * S);
        assert!(matches!(&world.outcomes(2)[..], [Outcome::Open(_)]));
        assert_eq!(world.acting()[2..], [Some(1); 3]);
        // One that comes back, with its disk, makes a majority again.
        world.start(0);
        world.run(3 * S);
        world.publish(2, b"two").unwrap();
        world.until_all_act(&[0, 2, 3, 4], 2);
        world.run(5 * S);
        assert!(acts(world.may(4)));
    }
}

#[test]
fn a_closed_version_is_not_acted_on_whatever_the_choice() {
    let mut world = World::new(5, 7, Without::Serve);
    world.publish(0, b"one").unwrap();
    world.until_all_act(&[0, 1, 2, 3, 4], 1);
    world.publish(0, b"unfit for all").unwrap();
    world.run(5 * S);
    assert!(world.places[4]
        .events
        .iter()
        .any(|e| matches!(e, Event::Unfit(2, why) if why == "it lacks a class")));
    assert_eq!(world.node(4).unfit().map(|u| u.0), Some(2));
    assert_eq!(world.acting()[4], Some(1));
    let now = world.local(0);
    world.node(0).close(now, 2).unwrap();
    world.run(20 * S);
    assert!((0..5).all(|at| world.may(at) == May::Closed));
    // What it can take comes as another number.
    world.publish(0, b"three").unwrap();
    world.until_all_act(&[0, 1, 2, 3, 4], 3);
    world.run(5 * S);
    assert!((0..5).all(|at| acts(world.may(at))));
}

#[test]
fn a_content_is_whole_or_asked_for_elsewhere() {
    let mut world = World::new(8, 8, Without::Refuse);
    // The publisher's own word is not to be had: it sends other bytes, and all others of the
    // electors die.
    world.places[0].lies = true;
    let content: Vec<u8> = (0..30_000).map(|i| (i % 13) as u8).collect();
    world.publish(0, &content).unwrap();
    world.run(3 * S);
    assert!(
        world.acting()[3..].iter().all(|a| *a == Some(0)),
        "{:?}",
        world.acting()
    );
    // Nor is a piece that brings nothing asked for again at once.
    let now = world.local(1) + 2 * S;
    let (digest, at, _) = world.node(1).take_fetch(now, &["n2"]).unwrap();
    world
        .node(1)
        .fetched(now, "n0", digest, at, Some((&[], 30_000)));
    assert_eq!(world.node(1).take_fetch(now, &["n2"]), None);
    world.places[0].lies = false;
    world.until_all_act(&(0..8).collect::<Vec<_>>(), 1);
}

#[test]
fn a_version_that_was_written_down_is_acted_on_after_a_restart() {
    let settings = Settings {
        electors: (0..3).map(name).collect(),
        lease: 10 * S,
        without: Without::Serve,
        unknown: Unknown::Wait,
    };
    let content: Rc<[u8]> = b"one".to_vec().into();
    let version = Version {
        number: 4,
        digest: Digest::of(&content),
        by: "n0".into(),
        ..Version::genesis(&settings.electors)
    };
    let mut node = Node::new("n7", settings, None, Some((version, content)), 0, 1, 0);
    assert_eq!(
        (node.acting(), node.newest().number, node.offer()),
        (4, 4, None)
    );
    // Its disk may be yesterday's, unless the process before it says the same.
    assert_eq!(node.may_act(0), May::Unknown);
    node.handed(4);
    assert!(acts(node.may_act(0)));
}

/// One bad datagram, or a member that lies: a number that nobody decided must not become the
/// newest, or its electors the electors, or every node would wait for it for ever.
#[test]
fn a_version_that_a_liar_has_made_up_is_nobodys() {
    let mut world = World::new(7, 11, Without::Refuse);
    assert_eq!(world.publish(0, b"one"), Ok(1));
    let all: Vec<usize> = (0..7).collect();
    world.until_all_act(&all, 1);
    let forged = Version {
        number: 1 << 63,
        by: "n5".into(),
        electors: ["n4", "n5", "n6"].map(String::from).to_vec(),
        electors_since: 1 << 62,
        ..world.node(0).newest().clone()
    };
    let ballot = Ballot {
        round: 1 << 60,
        by: "n5".into(),
        start: 1,
    };
    let lies = [
        Message::Decided(forged.clone()),
        Message::FloorIs {
            nonce: 0,
            newest: forged.clone(),
            highest: 1 << 63,
        },
        Message::Prepare {
            ballot: ballot.clone(),
            base: forged.clone(),
        },
        Message::Remembered {
            of: Seal {
                token: 1,
                count: 1 << 60,
            },
            newest: forged.clone(),
        },
        Message::Close {
            floor: 1 << 62,
            newest: forged.clone(),
        },
    ];
    for at in 0..7 {
        let now = world.local(at);
        for lie in &lies {
            // Of a member that is no elector, of nobody; and once in the name of an elector, which
            // the others don't confirm.
            world.node(at).heard(now, "n5", lie);
            world.node(at).heard(now, "n99", lie);
        }
        let elector = if at == 1 { "n2" } else { "n1" };
        world
            .node(at)
            .heard(now, elector, &Message::Decided(forged.clone()));
        let hint = Hint {
            newest: 1 << 63,
            beats: Vec::new(),
        };
        for _ in 0..1000 {
            world.node(at).heard_hint(now, &hint);
        }
        // However often it is said, the electors are asked once for a while.
        assert!(
            world.node(at).take_out().len() <= 3 + 2 * lies.len(),
            "n{at}"
        );
        let floor = world.node(at).floor().floor();
        assert!(
            world.node(at).newest().number == 1 && floor <= 1,
            "n{at}: {floor}"
        );
    }
    assert_eq!(world.publish(1, b"two"), Ok(2));
    world.until_all_act(&all, 2);
    assert!(all.iter().all(|at| acts(world.may(*at))));
}

/// An elector may have accepted one version under a number, and another one was decided under it:
/// what it hears is what counts.
#[test]
fn what_an_elector_has_accepted_is_not_taken_for_what_was_decided() {
    let mut world = World::new(3, 12, Without::Refuse);
    assert_eq!(world.publish(0, b"one"), Ok(1));
    world.until_all_act(&[0, 1, 2], 1);
    let (now, base) = (world.local(0), world.node(0).newest().clone());
    let version = |nonce| Version {
        number: 2,
        nonce,
        by: "n2".into(),
        ..base.clone()
    };
    let ballot = Ballot {
        round: 9,
        by: "n2".into(),
        start: 1,
    };
    for message in [
        Message::Prepare {
            ballot: ballot.clone(),
            base: base.clone(),
        },
        Message::Accept {
            ballot,
            base: base.clone(),
            version: version(7),
            floor: 0,
        },
    ] {
        world.node(0).heard(now, "n2", &message);
    }
    assert_eq!(
        world.node(0).elector().unwrap().pending().map(|v| v.nonce),
        Some(7)
    );
    world
        .node(0)
        .heard(now, "n1", &Message::Decided(version(8)));
    assert_eq!(
        (world.node(0).newest().number, world.node(0).newest().nonce),
        (2, 8)
    );
}

/// A process whose successor took over, voted and died goes on from what that one has written: its
/// own memory is of before that, and what it would promise by it could undo a vote.
#[test]
fn a_process_that_serves_again_goes_on_from_the_disk() {
    let mut world = World::new(5, 13, Without::Refuse);
    assert_eq!(world.publish(1, b"one"), Ok(1));
    world.until_all_act(&[0, 1, 2, 3, 4], 1);
    // n0's process is set aside, and another one of it takes part, votes, and is gone.
    let before = world.places[0].node.take().unwrap();
    world.start(0);
    world.node(0).handed(0);
    world.run(5 * S);
    assert_eq!(world.publish(0, b"two"), Ok(2));
    world.until_all_act(&[0, 1, 2, 3, 4], 2);
    world.places[0].node = Some(before);
    let (now, kept) = (world.local(0), world.places[0].disk.clone());
    world.node(0).resume(now, Some(kept.clone()), 2);
    assert_eq!(
        world.node(0).may_act(now),
        May::Unknown,
        "it acts on 1, and knows not yet that there is more"
    );
    world.run(STEP);
    assert!(world.places[0].disk.as_ref().unwrap().start > kept.unwrap().start);
    world.until_all_act(&[0, 1, 2, 3, 4], 2);
    world.run(5 * S);
    assert!(acts(world.may(0)));
    assert_eq!(world.publish(0, b"three"), Ok(3));
    world.until_all_act(&[0, 1, 2, 3, 4], 3);
}
