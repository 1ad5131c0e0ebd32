//! What rests on a disk: votes wait for their write, and an elector whose disk is not the one that
//! others remember does not vote.

use pipitlever_config_versions::closer::{Closer, Stage};
use pipitlever_config_versions::elector::{Elector, Kept, Said, Voting};
use pipitlever_config_versions::lease::Rates;
use pipitlever_config_versions::message::{Ballot, Message};
use pipitlever_config_versions::publisher::{Outcome, Publisher};
use pipitlever_config_versions::saved;
use pipitlever_config_versions::version::{may_follow, Digest, Version};
use std::collections::{BTreeMap, VecDeque};

fn names(all: &str) -> Vec<String> {
    all.chars().map(String::from).collect()
}

/// Electors that hear all that is said to them, one word after the other.
#[derive(Default)]
struct Room {
    electors: BTreeMap<String, Elector>,
    on_the_way: VecDeque<(String, String, Message)>,
    /// What was said to those who are no electors here.
    outside: Vec<(String, String, Message)>,
}

impl Room {
    /// All start with nothing on their disks.
    fn new(all: &str, present: &str) -> Room {
        let mut room = Room::default();
        present
            .chars()
            .for_each(|name| room.start(&name.to_string(), None, all, 1000 + name as u64));
        room.ask();
        room
    }

    fn start(&mut self, name: &str, kept: Option<Kept>, all: &str, token: u64) {
        self.electors
            .insert(name.into(), Elector::start(name, kept, &names(all), token));
    }

    /// Those that don't know yet whether they may vote ask the others.
    fn ask(&mut self) {
        let asks: Vec<(String, Vec<Said>)> = self
            .electors
            .iter()
            .map(|(n, e)| (n.clone(), e.asks()))
            .collect();
        for (from, said) in asks {
            said.into_iter()
                .for_each(|s| self.say(&from, &s.to, s.message));
        }
        self.settle();
    }

    fn say(&mut self, from: &str, to: &str, message: Message) {
        self.on_the_way.push_back((from.into(), to.into(), message));
    }

    fn settle(&mut self) {
        while let Some((from, to, message)) = self.on_the_way.pop_front() {
            match self.electors.get_mut(&to) {
                Some(elector) => {
                    for said in elector.hear(&from, &message, |_| true) {
                        self.say(&to, &said.to, said.message);
                    }
                }
                None => self.outside.push((from, to, message)),
            }
        }
    }

    fn kept(&self, name: &str) -> Kept {
        self.electors[name].kept().0.clone()
    }

    fn votes(&self, name: &str) -> bool {
        *self.electors[name].voting() == Voting::Yes
    }

    /// A publisher that is no elector itself, to its end or until nobody says anything more.
    fn publish(&mut self, base: &Version, own: Version, round: u64) -> Option<Outcome> {
        let mut publisher =
            Publisher::new(base.clone(), Some(own), ballot(round), 0, 1_000_000_000);
        let mut out = Vec::new();
        for turn in 0..10 {
            publisher.wake(turn * 1_000_000, &mut out);
            out.drain(..)
                .for_each(|(to, message)| self.say("p", &to, message));
            self.settle();
            for (from, _, message) in std::mem::take(&mut self.outside) {
                let outcome = publisher.hear(turn * 1_000_000, &from, &message, 0.0, &mut out);
                if outcome.is_some() {
                    out.drain(..)
                        .for_each(|(to, message)| self.say("p", &to, message));
                    self.settle();
                    return outcome;
                }
            }
        }
        None
    }
}

fn ballot(round: u64) -> Ballot {
    Ballot {
        round,
        by: "p".into(),
        start: 1,
    }
}

fn next(base: &Version, electors: &str) -> Version {
    let number = base.number + 1;
    Version {
        number,
        digest: Digest::of(&[number as u8]),
        electors: names(electors),
        electors_since: if names(electors) == base.electors {
            base.electors_since
        } else {
            number
        },
        by: "p".into(),
        ..base.clone()
    }
}

#[test]
fn a_vote_waits_for_its_write() {
    let mut room = Room::new("abc", "abc");
    let elector = room.electors.get_mut("a").unwrap();
    let (_, before) = elector.kept();
    let (base, ballot) = (Version::genesis(&names("abc")), ballot(1));
    let promised = elector.hear(
        "p",
        &Message::Prepare {
            ballot: ballot.clone(),
            base: base.clone(),
        },
        |_| true,
    );
    let to_p = |said: &[Said]| said.iter().find(|s| s.to == "p").cloned().unwrap();
    let after = to_p(&promised).after;
    assert!(after > before && after == elector.kept().1 && elector.kept().0.promised == ballot);
    // Said again it rests on the same write.
    let again = elector.hear(
        "p",
        &Message::Prepare {
            ballot: ballot.clone(),
            base: base.clone(),
        },
        |_| true,
    );
    assert_eq!((to_p(&again).after, elector.kept().1), (after, after));
    let accept = Message::Accept {
        ballot,
        version: next(&base, "abc"),
        base,
        floor: 0,
    };
    assert!(
        elector.hear("p", &accept, |_| false).is_empty(),
        "without the content it accepts nothing"
    );
    let accepted = elector.hear("p", &accept, |_| true);
    assert!(to_p(&accepted).after > after && elector.pending().is_some());
    // The others are to remember that the disk was written.
    assert!(accepted
        .iter()
        .any(|s| s.to == "b" && matches!(s.message, Message::Sealed(_))));
}

#[test]
fn an_elector_whose_disk_was_lost_or_put_back_does_not_vote() {
    let mut room = Room::new("abc", "abc");
    assert!("abc".chars().all(|n| room.votes(&n.to_string())));
    let base = Version::genesis(&names("abc"));
    let yesterday = room.kept("a");
    let first = next(&base, "abc");
    assert_eq!(
        room.publish(&base, first.clone(), 1),
        Some(Outcome::Decided(first.clone()))
    );
    let today = room.kept("a");
    // As it was left: it asks, and votes. Its attempts are not those of a start before, which may
    // have made the same round.
    let before = Elector::start("a", Some(today.clone()), &names("abc"), 5);
    room.start("a", Some(before.kept().0.clone()), "abc", 5);
    assert_ne!(room.electors["a"].ballot(), before.ballot());
    assert!(!room.votes("a") && room.electors["a"].beat(0).is_none());
    room.ask();
    assert!(room.votes("a") && room.electors["a"].beat(0).is_some());
    for kept in [Some(yesterday), None] {
        room.start("a", kept, "abc", 5);
        room.ask();
        assert!(
            matches!(room.electors["a"].voting(), Voting::Never(_)),
            "{:?}",
            room.electors["a"].voting()
        );
        // It promises nothing, closes nothing, and doesn't say that it lives.
        let elector = room.electors.get_mut("a").unwrap();
        let prepare = Message::Prepare {
            ballot: ballot(9),
            base: first.clone(),
        };
        assert!(elector.hear("p", &prepare, |_| true).is_empty() && elector.beat(0).is_none());
    }
    // The other two go on without it.
    let second = next(&first, "abc");
    assert_eq!(
        room.publish(&first, second.clone(), 20),
        Some(Outcome::Decided(second))
    );
}

#[test]
fn who_builds_on_an_old_version_hears_of_the_newest_and_changes_nothing() {
    let mut room = Room::new("abc", "abc");
    let base = Version::genesis(&names("abc"));
    let first = next(&base, "abc");
    assert!(matches!(
        room.publish(&base, first.clone(), 1),
        Some(Outcome::Decided(_))
    ));
    let late = Version {
        nonce: 9,
        ..next(&base, "abc")
    };
    assert_eq!(
        room.publish(&base, late, 5),
        Some(Outcome::Another(first.clone()))
    );
    assert!("abc"
        .chars()
        .all(|n| room.kept(&n.to_string()).newest == first));
    // Without a majority nothing is decided.
    room.electors.remove("a");
    room.electors.remove("b");
    assert_eq!(room.publish(&first, next(&first, "abc"), 9), None);
}

#[test]
fn what_an_old_majority_has_closed_a_new_one_has_closed_too() {
    let mut room = Room::new("abc", "abcd");
    let base = Version::genesis(&names("abc"));
    let first = next(&base, "abc");
    let second = next(&first, "abc");
    assert!(matches!(
        room.publish(&base, first.clone(), 1),
        Some(Outcome::Decided(_))
    ));
    assert!(matches!(
        room.publish(&first, second.clone(), 2),
        Some(Outcome::Decided(_))
    ));
    let mut closer = Closer::new(2, second.clone(), 0);
    let mut out = Vec::new();
    closer.wake(0, &mut out);
    // The third elector hears nothing of it.
    out.into_iter()
        .filter(|(to, _)| to != "c")
        .for_each(|(to, message)| room.say("p", &to, message));
    room.settle();
    for (from, _, message) in std::mem::take(&mut room.outside) {
        closer.hear(0, &from, &message, 10, Rates::default());
    }
    assert!(matches!(closer.stage(), Stage::Waiting(_)));
    assert_eq!(room.kept("c").floor, 0);
    let third = next(&second, "abcd");
    assert_eq!(
        room.publish(&second, third.clone(), 3),
        Some(Outcome::Decided(third))
    );
    let closed = "abcd"
        .chars()
        .filter(|n| room.kept(&n.to_string()).floor == 2)
        .count();
    assert!(closed >= 3, "{closed} of four have closed it");
}

#[test]
fn electors_change_one_at_a_time() {
    let follows = |before: &str, after: &str| may_follow(&names(before), &names(after)).is_ok();
    assert!(
        follows("abc", "abc")
            && follows("abc", "abcd")
            && follows("abcd", "bcd")
            && follows("abc", "cab")
    );
    for (before, after) in [
        ("abc", "abd"),
        ("abc", "abcde"),
        ("abc", "ab"),
        ("abc", "aabc"),
        ("abcdefg", "abcdefgh"),
    ] {
        assert!(!follows(before, after), "{before} {after}");
    }
}

#[test]
fn a_file_that_was_cut_or_damaged_anywhere_is_not_read() {
    let mut room = Room::new("abc", "abc");
    let base = Version::genesis(&names("abc"));
    room.publish(&base, next(&base, "abc"), 1);
    let kept = room.kept("b");
    let bytes = saved::write(&kept);
    assert_eq!(saved::read::<Kept>(&bytes).unwrap(), kept);
    for end in 0..bytes.len() {
        assert!(saved::read::<Kept>(&bytes[..end]).is_err(), "cut at {end}");
    }
    for at in 0..bytes.len() * 8 {
        let mut spoilt = bytes.clone();
        spoilt[at / 8] ^= 1 << (at % 8);
        assert!(saved::read::<Kept>(&spoilt).is_err(), "bit {at}");
    }
}
