//! All orders of a small fleet: joins, crashes, restarts, a partition, false suspicions, two
//! processes of one name, and messages that are late, lost or come again. From every state that can
//! be reached, once faults stop, all views become equal and right.

use pipitlever_membership::local_member::LocalMember;
use pipitlever_membership::record::{Record, State};
use pipitlever_membership::update_rules::{evaluate_update, UpdateEffect};
use stateright::{Checker, Model, Property};
use std::collections::BTreeMap;

/// Messages on their way at one time: each may be heard by anybody, any number of times.
const NET: usize = 2;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Place {
    /// The process, while it lives.
    own: Option<LocalMember>,
    /// What it holds of each name.
    table: BTreeMap<usize, Record>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Membership {
    places: Vec<Place>,
    net: Vec<(usize, usize, Record)>,
    cut: bool,
    starts: u64,
    crashes: usize,
    cuts: usize,
    misses: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Act {
    Start(usize),
    Crash(usize),
    Leave(usize),
    Cut(bool),
    /// A place says what it holds of a name.
    Say(usize, usize),
    Hear(usize, usize),
    Lose(usize),
    /// It has no answer of a name.
    Miss(usize, usize),
    /// A suspicion's time is over.
    Expire(usize, usize),
}

/// What may happen, and how often.
#[derive(Clone)]
struct Bounds {
    /// The name of each place.
    names: Vec<usize>,
    starts: u64,
    crashes: usize,
    cuts: usize,
    misses: usize,
    /// Later processes have lower tokens: they are random.
    falling: bool,
    leaves: bool,
}

impl Bounds {
    fn start(&self, fleet: &mut Membership, place: usize) {
        fleet.starts += 1;
        let token = if self.falling {
            100 - fleet.starts
        } else {
            fleet.starts
        };
        let own = LocalMember::new(token, ([127, 0, 0, 1], place as u16 + 1).into(), "");
        fleet.places[place] = Place {
            table: [(self.names[place], own.record.clone())].into(),
            own: Some(own),
        };
    }

    fn apart(&self, fleet: &Membership, a: usize, b: usize) -> bool {
        fleet.cut && (a == 0) != (b == 0)
    }

    fn hear(&self, fleet: &mut Membership, place: usize, name: usize, said: &Record, now: i64) {
        let of_itself = self.names[place] == name;
        let Place { own, table } = &mut fleet.places[place];
        let Some(own) = own else { return };
        if of_itself {
            own.handle_update(now, said);
            table.insert(name, own.effective_record().clone());
            return;
        }
        let Some(held) = table.get_mut(&name) else {
            table.insert(name, said.clone());
            return;
        };
        match evaluate_update(held, false, said) {
            UpdateEffect::Ignored => {}
            UpdateEffect::Suspicion => drop(held.merge(said)),
            UpdateEffect::UnconfirmedFailure(record) => drop(held.merge(&record)),
            UpdateEffect::Replaced(record) => *held = record,
        }
    }

    /// What becomes of it when nothing goes wrong any more; what is wrong with that, if anything.
    fn settles(&self, fleet: &Membership) -> Result<(), String> {
        let mut fleet = fleet.clone();
        fleet.cut = false;
        // What was late comes now.
        for (_, name, said) in std::mem::take(&mut fleet.net) {
            (0..fleet.places.len()).for_each(|i| self.hear(&mut fleet, i, name, &said, 0));
        }
        let living: Vec<usize> = (0..fleet.places.len())
            .filter(|i| fleet.places[*i].own.is_some())
            .collect();
        for round in 0.. {
            if round > 40 {
                return Err("it does not come to rest".into());
            }
            let before = fleet.clone();
            for &from in &living {
                for (name, said) in fleet.places[from].table.clone() {
                    living
                        .iter()
                        .for_each(|to| self.hear(&mut fleet, *to, name, &said, round));
                }
                // Its own word goes with each of its messages.
                let own = fleet.places[from].own.as_ref().map(|o| o.record.clone());
                if let Some(said) = own {
                    living
                        .iter()
                        .for_each(|to| self.hear(&mut fleet, *to, self.names[from], &said, round));
                }
            }
            for &at in &living {
                let tokens: Vec<u64> = living
                    .iter()
                    .filter_map(|i| fleet.places[*i].own.as_ref().map(|o| o.record.token))
                    .collect();
                let Place { own, table } = &mut fleet.places[at];
                for (name, held) in table.iter_mut().filter(|(n, _)| **n != self.names[at]) {
                    let lives = living.iter().any(|i| self.names[*i] == *name);
                    if held.state.is_active() && (!lives || !tokens.contains(&held.token)) {
                        held.state = if held.state == State::Alive {
                            State::Suspect
                        } else {
                            State::Down
                        };
                    }
                }
                if let Some(own) = own {
                    tokens
                        .iter()
                        .for_each(|t| own.record_rival_contact(*t, i64::MAX));
                    own.expire_rivals(i64::MAX);
                    table.insert(self.names[at], own.effective_record().clone());
                }
            }
            if fleet == before {
                break;
            }
        }
        let Some(first) = living.first() else {
            return Ok(());
        };
        for &at in &living {
            if fleet.places[at].table != fleet.places[*first].table {
                return Err(format!(
                    "{:?} and {:?}",
                    fleet.places[at].table, fleet.places[*first].table
                ));
            }
        }
        for (name, held) in &fleet.places[*first].table {
            let of: Vec<&LocalMember> = living
                .iter()
                .filter(|i| self.names[**i] == *name)
                .filter_map(|i| fleet.places[*i].own.as_ref())
                .collect();
            let mut tokens: Vec<u64> = of.iter().map(|o| o.record.token).collect();
            let left = of.iter().all(|o| o.is_leaving());
            tokens.sort();
            let mut named: Vec<u64> = held
                .details
                .rivals
                .iter()
                .map(|r| r.token)
                .chain([held.token])
                .collect();
            named.sort();
            let right = match of.len() {
                0 => !held.state.is_active(),
                _ if left => held.state == State::Left,
                // One that leaves is not asked any more.
                _ if of.iter().any(|o| o.is_leaving()) => true,
                _ => held.state == State::Alive && named == tokens,
            };
            if !right {
                return Err(format!("{name}: {held:?}, and {tokens:?} live"));
            }
        }
        Ok(())
    }
}

impl Model for Bounds {
    type State = Membership;
    type Action = Act;

    fn init_states(&self) -> Vec<Membership> {
        let places = vec![
            Place {
                own: None,
                table: BTreeMap::new()
            };
            self.names.len()
        ];
        let mut fleet = Membership {
            places,
            net: Vec::new(),
            cut: false,
            starts: 0,
            crashes: 0,
            cuts: 0,
            misses: 0,
        };
        // All but the last one are there and know each other; the last one is to join.
        let count = self.names.len();
        (0..count - 1).for_each(|i| self.start(&mut fleet, i));
        for from in 0..count - 1 {
            for (name, said) in fleet.places[from].table.clone() {
                (0..count - 1).for_each(|to| self.hear(&mut fleet, to, name, &said, 0));
            }
        }
        vec![fleet]
    }

    fn actions(&self, fleet: &Membership, acts: &mut Vec<Act>) {
        for (i, place) in fleet.places.iter().enumerate() {
            let Some(own) = &place.own else {
                if fleet.starts < self.starts {
                    acts.push(Act::Start(i));
                }
                continue;
            };
            if fleet.crashes < self.crashes {
                acts.push(Act::Crash(i));
            }
            if self.leaves && !own.is_leaving() {
                acts.push(Act::Leave(i));
            }
            for (&name, held) in &place.table {
                if fleet.net.len() < NET && !fleet.net.contains(&(i, name, held.clone())) {
                    acts.push(Act::Say(i, name));
                }
                if name != self.names[i] && held.state == State::Alive && fleet.misses < self.misses
                {
                    acts.push(Act::Miss(i, name));
                }
                if name != self.names[i] && held.state == State::Suspect {
                    acts.push(Act::Expire(i, name));
                }
            }
            for (at, (from, ..)) in fleet.net.iter().enumerate() {
                if *from != i && !self.apart(fleet, *from, i) {
                    acts.push(Act::Hear(i, at));
                }
            }
        }
        (0..fleet.net.len()).for_each(|at| acts.push(Act::Lose(at)));
        if fleet.cut {
            acts.push(Act::Cut(false));
        } else if fleet.cuts < self.cuts {
            acts.push(Act::Cut(true));
        }
    }

    fn next_state(&self, last: &Membership, act: Act) -> Option<Membership> {
        let mut fleet = last.clone();
        match act {
            Act::Start(i) => self.start(&mut fleet, i),
            Act::Crash(i) => {
                fleet.crashes += 1;
                fleet.places[i] = Place {
                    own: None,
                    table: BTreeMap::new(),
                };
            }
            Act::Leave(i) => {
                let Place { own, table } = &mut fleet.places[i];
                let own = own.as_mut()?;
                own.leave();
                table.insert(self.names[i], own.effective_record().clone());
            }
            Act::Cut(cut) => {
                fleet.cuts += usize::from(cut);
                fleet.cut = cut;
            }
            Act::Say(i, name) => {
                let said = fleet.places[i].table.get(&name)?.clone();
                fleet.net.push((i, name, said));
                fleet.net.sort_by_key(|m| format!("{m:?}"));
            }
            Act::Hear(i, at) => {
                let (_, name, said) = fleet.net[at].clone();
                self.hear(&mut fleet, i, name, &said, 0);
            }
            Act::Lose(at) => drop(fleet.net.remove(at)),
            Act::Miss(i, name) => {
                fleet.misses += 1;
                fleet.places[i].table.get_mut(&name)?.state = State::Suspect;
            }
            Act::Expire(i, name) => fleet.places[i].table.get_mut(&name)?.state = State::Down,
        }
        (fleet != *last).then_some(fleet)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "once faults stop, views become equal and right",
                |model: &Bounds, fleet| model.settles(fleet).is_ok(),
            ),
            Property::sometimes(
                "somebody is held down that lives",
                |model: &Bounds, fleet: &Membership| {
                    fleet.places.iter().any(|p| {
                        p.table.iter().any(|(name, held)| {
                            held.state == State::Down
                                && fleet
                                    .places
                                    .iter()
                                    .enumerate()
                                    .any(|(i, p)| model.names[i] == *name && p.own.is_some())
                        })
                    })
                },
            ),
        ]
    }
}

fn check(bounds: Bounds) {
    let checker = bounds.clone().checker().threads(4).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    for (what, path) in checker.discoveries() {
        if what.starts_with("once") {
            let last = path.last_state().clone();
            panic!(
                "{what}: {:?}\nafter {:#?}",
                bounds.settles(&last),
                path.into_actions()
            );
        }
    }
    assert!(checker.is_done() && checker.unique_state_count() > 1000);
    assert!(
        checker
            .discovery("somebody is held down that lives")
            .is_some(),
        "the model has no faults"
    );
}

const USUAL: Bounds = Bounds {
    names: Vec::new(),
    starts: 2,
    crashes: 0,
    cuts: 0,
    misses: 0,
    falling: false,
    leaves: false,
};

#[test]
fn three_members_with_a_partition_and_a_false_suspicion() {
    check(Bounds {
        names: vec![0, 1, 2],
        starts: 3,
        cuts: 1,
        misses: 1,
        ..USUAL
    });
}

/// By hand, with `--release -- --ignored`: minutes.
#[test]
#[ignore]
fn more_of_everything() {
    for falling in [false, true] {
        check(Bounds {
            names: vec![0, 1, 2],
            starts: 3,
            cuts: 1,
            misses: 2,
            falling,
            ..USUAL
        });
        check(Bounds {
            names: vec![0, 1, 0],
            starts: 4,
            crashes: 1,
            misses: 2,
            falling,
            ..USUAL
        });
        check(Bounds {
            names: vec![0, 1],
            starts: 4,
            crashes: 2,
            cuts: 1,
            misses: 2,
            falling,
            leaves: true,
        });
    }
}

#[test]
fn three_members_with_a_crash_and_a_restart() {
    for falling in [false, true] {
        check(Bounds {
            names: vec![0, 1],
            starts: 3,
            crashes: 1,
            cuts: 1,
            misses: 2,
            falling,
            ..USUAL
        });
    }
}

#[test]
fn two_processes_of_one_name() {
    for falling in [false, true] {
        check(Bounds {
            names: vec![0, 1, 0],
            starts: 3,
            crashes: 1,
            misses: 1,
            falling,
            ..USUAL
        });
    }
}
