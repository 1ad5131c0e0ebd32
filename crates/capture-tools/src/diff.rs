//! `replay --diff`: what this build would have decided on a real afternoon, all the way through.
//!
//! Behind the first difference a capture no longer fits: it has the end of a run that this build
//! never began, or none for one that it did. So from a request's first difference on, its own runs
//! and calls are played out again with the times that they took in the capture, or those of the
//! latest run of its class if it had none. Arrivals, give-up notices, gauges and the notice to
//! leave come as they came: gateways that would have tried again, or not, are not part of it, nor
//! do runs slow down because this build runs more of them.

use crate::source::Trouble;
use crate::verdict::{print_summary, summary};
use crate::walk::{walk, Seen, Until, Visitor};
use hdrhistogram::Histogram;
use pipitlever_admission::{Action, Controller, Event, Micros, Outcome, Request, RequestId, Stage};
use pipitlever_capture::record::{Opening, Record};
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap};
use std::path::Path;

/// How a run went: work, a call, work, a call, ..., work, and its end.
#[derive(Clone, Debug, Default, PartialEq)]
struct Profile {
    work: Vec<Micros>,
    calls: Vec<Micros>,
    outcome: Option<Outcome>,
}

/// The profiles of all runs of a capture, by run of the node, class and request.
#[derive(Default)]
struct Profiles {
    run: usize,
    all: BTreeMap<(usize, usize, RequestId), Profile>,
    open: HashMap<RequestId, (usize, Micros, Profile)>,
    class: HashMap<RequestId, usize>,
}

impl Profiles {
    /// The profile of this request, else of the nearest one of its class before it, else after it.
    fn of(&self, run: usize, class: usize, id: RequestId) -> Profile {
        let (first, last) = ((run, class, 0), (run, class, RequestId::MAX));
        let at = (run, class, id);
        let near = self
            .all
            .range(first..=at)
            .next_back()
            .or_else(|| self.all.range(at..=last).next());
        near.map_or_else(
            // No run of this class has ended at all: one is taken to need no time, and so says
            // nothing.
            || Profile {
                work: vec![0],
                calls: vec![],
                outcome: Some(Outcome::Success),
            },
            |(_, profile)| profile.clone(),
        )
    }
}

impl Visitor for Profiles {
    fn record(&mut self, seen: &Seen) {
        let now = seen.replay.now();
        let Record::Step {
            events, actions, ..
        } = seen.record
        else {
            return;
        };
        for event in events.iter() {
            match event {
                Event::Arrived(r) => {
                    self.class.insert(r.id, r.class);
                }
                Event::NeedsCall(id) => {
                    if let Some((_, since, profile)) = self.open.get_mut(id) {
                        profile.work.push(now - *since);
                    }
                }
                Event::CallEnded {
                    id,
                    elapsed: took,
                    outcome: Outcome::Success,
                } => {
                    if let Some((_, since, profile)) = self.open.get_mut(id) {
                        profile.calls.push(*took);
                        *since = now;
                    }
                }
                Event::Finished { id, outcome, .. } => {
                    let Some((class, since, mut profile)) = self.open.remove(id) else {
                        continue;
                    };
                    // A run that ended at a call has no work behind it.
                    if profile.work.len() == profile.calls.len() {
                        profile.work.push(now - since);
                    }
                    profile.outcome = Some(*outcome);
                    if *outcome != Outcome::NotStarted {
                        self.all.insert((self.run, class, *id), profile);
                    }
                }
                _ => {}
            }
        }
        for action in actions.iter() {
            if let Action::Run(id) = action {
                if let Some(class) = self.class.remove(id) {
                    self.open.insert(*id, (class, now, Profile::default()));
                }
            }
        }
    }

    fn run_ended(&mut self) {
        self.run += 1;
        self.open.clear();
        self.class.clear();
    }
}

/// What became of a request, as far as decisions go.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
enum Fate {
    #[default]
    Open,
    Ran,
    Refused,
    Failed,
    Joined,
}

const FATES: [(Fate, &str); 5] = [
    (Fate::Open, "open"),
    (Fate::Ran, "ran"),
    (Fate::Refused, "refused"),
    (Fate::Failed, "failed"),
    (Fate::Joined, "joined"),
];

impl Fate {
    fn word(self) -> &'static str {
        FATES.iter().find(|f| f.0 == self).map_or("", |f| f.1)
    }
}

/// One side's decisions on a request.
#[derive(Clone, Copy, Debug, Default)]
struct Decided {
    fate: Fate,
    /// Decided in the very step of its arrival.
    at_once: bool,
    /// When it was started, and as which one.
    started: Option<(Micros, u64)>,
}

impl Decided {
    fn take(&mut self, action: &Action, now: Micros, arrived: Micros, starts: &mut u64) {
        let fate = match action {
            Action::Run(_) => {
                *starts += 1;
                self.started = Some((now, *starts));
                Fate::Ran
            }
            Action::Reject { .. } => Fate::Refused,
            Action::Fail(_) => Fate::Failed,
            Action::ReuseOutcome(_) => Fate::Joined,
            _ => return,
        };
        // What ran stays what ran, though it may be failed afterwards.
        if self.fate == Fate::Open {
            (self.fate, self.at_once) = (fate, now == arrived);
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Pair {
    class: usize,
    arrived: Micros,
    recorded: Decided,
    replayed: Decided,
}

/// A request that this build has decided on otherwise: its run and its calls are played out here.
#[derive(Debug, Default)]
struct Own {
    profile: Profile,
    /// Which piece of its work is under way.
    piece: usize,
    since: Micros,
    begun: Micros,
}

/// What both decided, per class.
#[derive(Default)]
struct Figures {
    requests: u64,
    /// How many came out so in the capture, and so with this build.
    fates: BTreeMap<(Fate, Fate), u64>,
    /// Decided in the step of their arrival.
    at_once: [u64; 2],
    /// From the arrival to the start.
    held: [Option<Histogram<u64>>; 2],
}

impl Figures {
    fn count(&self, side: usize, fate: Fate) -> u64 {
        let of = |pair: &(Fate, Fate)| if side == RECORDED { pair.0 } else { pair.1 };
        self.fates
            .iter()
            .filter(|(pair, _)| of(pair) == fate)
            .map(|(_, n)| n)
            .sum()
    }

    fn side(&self, side: usize) -> Value {
        let held = |q: f64| {
            self.held[side]
                .as_ref()
                .map_or(0, |h| h.value_at_quantile(q))
        };
        let mut all = json!({"at_once": self.at_once[side], "held": self.requests - self.at_once[side],
            "held_p50_us": held(0.5), "held_p99_us": held(0.99)});
        for (fate, word) in FATES {
            all[word] = json!(self.count(side, fate));
        }
        all
    }
}

/// Who holds a key, and until when.
type Keys = HashMap<u64, (RequestId, Micros)>;

/// A host of this build's controller, as far as a capture can be one.
struct WhatIf<'a> {
    profiles: &'a Profiles,
    run: usize,
    controller: Option<Controller>,
    now: Micros,
    own: BTreeMap<RequestId, Own>,
    /// Events of this build's own runs, by their time.
    due: BTreeMap<(Micros, u64), Event>,
    queued: u64,
    pairs: BTreeMap<RequestId, Pair>,
    starts: [u64; 2],
    /// Digests of keys, the capture's table of them and this build's, and who waits for whom.
    key_of: HashMap<RequestId, u64>,
    keys: [Keys; 2],
    joined: BTreeMap<RequestId, Vec<RequestId>>,
    classes: Vec<String>,
    figures: BTreeMap<usize, Figures>,
    /// Pairs of requests that were started in another order, and requests that were started by
    /// both.
    inversions: u64,
    started_by_both: u64,
    different: u64,
}

const RECORDED: usize = 0;
const REPLAYED: usize = 1;

impl WhatIf<'_> {
    fn later(&mut self, at: Micros, event: Event) {
        self.queued += 1;
        self.due.insert((at, self.queued), event);
    }

    fn stage(&self, id: RequestId) -> Option<Stage> {
        self.controller
            .as_ref()?
            .request_status(id)
            .map(|s| s.stage)
    }

    /// This build's own events up to now, each a step of its own.
    fn catch_up(&mut self, now: Micros) {
        while self
            .due
            .first_key_value()
            .is_some_and(|((at, _), _)| *at <= now)
        {
            let Some(((at, _), event)) = self.due.pop_first() else {
                return;
            };
            let at = at.max(self.now);
            if let Some(event) = self.foreseen(at, event) {
                self.step(at, &[event], &[]);
            }
        }
    }

    /// What is still true of an event that was foreseen.
    fn foreseen(&mut self, at: Micros, event: Event) -> Option<Event> {
        let id = event.request()?;
        let stage = self.stage(id)?;
        let own = self.own.get_mut(&id)?;
        match (&event, stage) {
            (Event::NeedsCall(_), Stage::Running) => {}
            (Event::CallEnded { .. }, Stage::InCall) => {
                own.piece += 1;
                own.since = at;
            }
            (Event::Finished { .. }, Stage::Running | Stage::AwaitingOriginal) => {
                self.own.remove(&id);
            }
            _ => return None,
        }
        Some(event)
    }

    /// Foresees how the piece of work that is under way ends.
    fn go_on(&mut self, id: RequestId, now: Micros) {
        let Some(own) = self.own.get(&id) else { return };
        let work = own.profile.work.get(own.piece).copied().unwrap_or(0).max(0);
        let at = now.max(own.since + work);
        let event = if own.piece < own.profile.calls.len() {
            Event::NeedsCall(id)
        } else {
            let outcome = own.profile.outcome.unwrap_or(Outcome::Success);
            Event::Finished {
                id,
                elapsed: at - own.begun,
                outcome,
            }
        };
        self.later(at, event);
    }

    /// The call of a request is out: foresees its reply.
    fn call(&mut self, id: RequestId, now: Micros) {
        let Some(own) = self.own.get(&id) else { return };
        let took = own
            .profile
            .calls
            .get(own.piece)
            .or(own.profile.calls.last())
            .copied()
            .unwrap_or(0);
        self.later(
            now + took,
            Event::CallEnded {
                id,
                elapsed: took,
                outcome: Outcome::Success,
            },
        );
    }

    /// A repeat gets the outcome of the try that it repeats: at once if that is over.
    fn join(&mut self, id: RequestId, now: Micros) {
        let holder = self
            .key_of
            .get(&id)
            .and_then(|k| self.keys[REPLAYED].get(k))
            .map(|k| k.0);
        match holder.filter(|&h| self.stage(h).is_some()) {
            Some(holder) => self.joined.entry(holder).or_default().push(id),
            None => self.later(
                now,
                Event::Finished {
                    id,
                    elapsed: 0,
                    outcome: Outcome::Success,
                },
            ),
        }
    }

    /// From its first difference on a request goes its own way.
    fn part(&mut self, id: RequestId, now: Micros) {
        let Some(pair) = self.pairs.get(&id).filter(|_| !self.own.contains_key(&id)) else {
            return;
        };
        let profile = self.profiles.of(self.run, pair.class, id);
        let begun = pair.replayed.started.map_or(now, |s| s.0);
        self.own.insert(
            id,
            Own {
                profile,
                piece: 0,
                since: begun,
                begun,
            },
        );
        match self.stage(id) {
            Some(Stage::Running) => self.go_on(id, now),
            Some(Stage::InCall) => self.call(id, now),
            Some(Stage::AwaitingOriginal) => self.join(id, now),
            _ => {}
        }
    }

    /// What a request repeats follows this build's own table of keys where that differs from the
    /// capture's.
    fn arrival(&self, r: &Request, now: Micros) -> Request {
        let mut r = r.clone();
        let Some(key) = self.key_of.get(&r.id) else {
            return r;
        };
        let holder = |keys: &Keys| {
            keys.get(key)
                .filter(|k| now - r.queue_time <= k.1)
                .map(|k| k.0)
        };
        let [theirs, ours] = [holder(&self.keys[RECORDED]), holder(&self.keys[REPLAYED])];
        if theirs == r.duplicate_of && ours != theirs {
            r.duplicate_of = ours;
        }
        r
    }

    /// One step of this build's, beside what the capture has of it.
    fn step(&mut self, now: Micros, events: &[Event], recorded: &[Action]) {
        self.now = now;
        let Some(controller) = &mut self.controller else {
            return;
        };
        let mut replayed = Vec::new();
        controller.step(now, events, &mut replayed);
        if replayed != recorded {
            self.different += 1;
        }
        for (side, actions) in [(RECORDED, recorded), (REPLAYED, &replayed[..])] {
            for action in actions {
                self.decided(side, action, now);
            }
        }
        // Repeats that waited for a run of this build's own.
        for event in events {
            let Event::Finished { id, outcome, .. } = event else {
                continue;
            };
            for waiting in self.joined.remove(id).unwrap_or_default() {
                self.later(
                    now,
                    Event::Finished {
                        id: waiting,
                        elapsed: 0,
                        outcome: *outcome,
                    },
                );
            }
        }
        let mut touched: Vec<RequestId> = recorded
            .iter()
            .chain(&replayed)
            .filter_map(Action::request)
            .collect();
        touched.sort_unstable();
        touched.dedup();
        for id in touched {
            let about = |all: &[Action]| -> Vec<Action> {
                all.iter()
                    .filter(|a| a.request() == Some(id))
                    .cloned()
                    .collect()
            };
            let own = self.own.contains_key(&id);
            let said = about(&replayed);
            if !own && said != about(recorded) {
                self.part(id, now);
            } else if own {
                for action in &said {
                    match action {
                        Action::Run(_) => {
                            if let Some(own) = self.own.get_mut(&id) {
                                (own.begun, own.since) = (now, now);
                            }
                            self.go_on(id, now);
                        }
                        Action::PlaceCall(..) => self.call(id, now),
                        Action::ReuseOutcome(_) => self.join(id, now),
                        _ => {}
                    }
                }
            }
        }
        // What goes on after a call of its own.
        for event in events {
            if let Event::CallEnded { id, .. } = event {
                if self.stage(*id) == Some(Stage::Running) {
                    self.go_on(*id, now);
                }
            }
        }
    }

    fn decided(&mut self, side: usize, action: &Action, now: Micros) {
        match action {
            Action::RetainKey(id, lifetime) => {
                if let Some(key) = self.key_of.get(id) {
                    self.keys[side].insert(*key, (*id, now + lifetime));
                }
            }
            Action::ReleaseKey(id) => {
                let key = self.key_of.get(id).copied();
                if let Some(key) =
                    key.filter(|k| self.keys[side].get(k).is_some_and(|h| h.0 == *id))
                {
                    self.keys[side].remove(&key);
                }
            }
            _ => {}
        }
        let Some(pair) = action.request().and_then(|id| self.pairs.get_mut(&id)) else {
            return;
        };
        let arrived = pair.arrived;
        let decided = if side == RECORDED {
            &mut pair.recorded
        } else {
            &mut pair.replayed
        };
        decided.take(action, now, arrived, &mut self.starts[side]);
    }

    /// The figures of all requests of a run.
    fn sum_up(&mut self) {
        let mut order = Vec::new();
        for pair in std::mem::take(&mut self.pairs).into_values() {
            let figures = self.figures.entry(pair.class).or_default();
            figures.requests += 1;
            *figures
                .fates
                .entry((pair.recorded.fate, pair.replayed.fate))
                .or_default() += 1;
            for (side, decided) in [(RECORDED, pair.recorded), (REPLAYED, pair.replayed)] {
                figures.at_once[side] += u64::from(decided.at_once);
                if let Some((at, _)) = decided.started {
                    let held = figures.held[side]
                        .get_or_insert_with(|| Histogram::new(3).expect("allowed"));
                    let _ = held.record(u64::try_from(at - pair.arrived).unwrap_or(0));
                }
            }
            if let (Some(a), Some(b)) = (pair.recorded.started, pair.replayed.started) {
                order.push((a.1, b.1));
            }
        }
        order.sort_unstable();
        self.started_by_both += order.len() as u64;
        let mut starts: Vec<u64> = order.into_iter().map(|o| o.1).collect();
        self.inversions += inversions(&mut starts);
        self.own.clear();
        self.due.clear();
        self.joined.clear();
        self.key_of.clear();
        self.keys = Default::default();
    }
}

/// Pairs that stand the wrong way round, by merging: a day has millions of starts.
fn inversions(values: &mut [u64]) -> u64 {
    if values.len() < 2 {
        return 0;
    }
    let middle = values.len() / 2;
    let mut count = inversions(&mut values[..middle]) + inversions(&mut values[middle..]);
    let mut merged = Vec::with_capacity(values.len());
    let (mut a, mut b) = (0, middle);
    while a < middle || b < values.len() {
        if b == values.len() || (a < middle && values[a] <= values[b]) {
            merged.push(values[a]);
            a += 1;
        } else {
            count += (middle - a) as u64;
            merged.push(values[b]);
            b += 1;
        }
    }
    values.copy_from_slice(&merged);
    count
}

impl Visitor for WhatIf<'_> {
    fn segment(&mut self, opening: &Opening, controller: &Controller, anew: bool) {
        self.classes.clone_from(&opening.classes);
        if anew {
            self.sum_up();
            self.controller = Some(controller.clone());
            self.now = opening.now;
        }
    }

    fn record(&mut self, seen: &Seen) {
        if let Record::Identity(name) = seen.record {
            name.key_digest.map(|key| self.key_of.insert(name.id, key));
        }
        let Record::Step {
            events, actions, ..
        } = seen.record
        else {
            return;
        };
        let now = seen.replay.now();
        self.catch_up(now);
        let mut told = Vec::new();
        for event in events.iter() {
            let own = event.request().is_some_and(|id| self.own.contains_key(&id));
            match event {
                Event::Arrived(r) => {
                    let r = self.arrival(r, now);
                    let (class, decided) = (r.class, Decided::default());
                    let pair = Pair {
                        class,
                        arrived: now,
                        recorded: decided,
                        replayed: decided,
                    };
                    self.pairs.insert(r.id, pair);
                    told.push(Event::Arrived(r));
                }
                Event::Finished { .. } | Event::NeedsCall(_) | Event::CallEnded { .. } if own => {}
                _ => told.push(event.clone()),
            }
        }
        self.step(now, &told, actions);
    }

    fn run_ended(&mut self) {
        self.sum_up();
        self.run += 1;
    }
}

/// Plays a capture through, and says in how far this build decides otherwise. Whether it does
/// nowhere.
pub fn diff(path: &Path, as_json: bool) -> Result<bool, Trouble> {
    let mut profiles = Profiles::default();
    walk(path, Until::End, &mut profiles)?;
    let mut whatif = WhatIf {
        profiles: &profiles,
        run: 0,
        controller: None,
        now: 0,
        own: BTreeMap::new(),
        due: BTreeMap::new(),
        queued: 0,
        pairs: BTreeMap::new(),
        starts: [0; 2],
        key_of: HashMap::new(),
        keys: Default::default(),
        joined: BTreeMap::new(),
        classes: Vec::new(),
        figures: BTreeMap::new(),
        inversions: 0,
        started_by_both: 0,
        different: 0,
    };
    let walk = walk(path, Until::End, &mut whatif)?;
    let pairs = whatif.started_by_both.saturating_sub(1) * whatif.started_by_both / 2;
    let out_of_order = whatif.inversions as f64 / (pairs.max(1)) as f64;
    let name = |class: &usize| whatif.classes.get(*class).cloned().unwrap_or_default();
    if as_json {
        let classes: BTreeMap<String, Value> = whatif
            .figures
            .iter()
            .map(|(class, f)| {
                let changed = |(&(a, b), n): (&(Fate, Fate), &u64)| {
                    json!({"capture": a.word(), "this_build": b.word(), "requests": n})
                };
                let fates: Vec<Value> = f.fates.iter().map(changed).collect();
                (
                    name(class),
                    json!({"requests": f.requests, "capture": f.side(RECORDED), "this_build": f.side(REPLAYED),
                        "fates": fates}),
                )
            })
            .collect();
        let all = json!({"capture": summary(&walk), "different_steps": whatif.different, "classes": classes,
            "started_by_both": whatif.started_by_both, "started_in_another_order": out_of_order});
        println!("{all}");
        return Ok(whatif.different == 0);
    }
    match whatif.different {
        0 => println!("identical: all {} steps", walk.steps),
        n => println!("different: {n} steps"),
    }
    println!("class            side        requests     ran refused  failed  joined    open at once  held p50   p99 ms");
    for (class, f) in &whatif.figures {
        for (side, what) in [(RECORDED, "capture"), (REPLAYED, "this build")] {
            let ms = |q| f.held[side].as_ref().map_or(0, |h| h.value_at_quantile(q)) as f64 / 1e3;
            println!(
                "{:<16} {what:<11} {:>8} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>9.1} {:>8.1}",
                name(class),
                f.requests,
                f.count(side, Fate::Ran),
                f.count(side, Fate::Refused),
                f.count(side, Fate::Failed),
                f.count(side, Fate::Joined),
                f.count(side, Fate::Open),
                f.at_once[side],
                ms(0.5),
                ms(0.99)
            );
        }
        for ((a, b), n) in f.fates.iter().filter(|((a, b), _)| a != b) {
            println!(
                "  {n} {} in the capture, {} with this build",
                a.word(),
                b.word()
            );
        }
    }
    println!(
        "order: {} requests started by both, {:.2}% of their pairs the other way round",
        whatif.started_by_both,
        100.0 * out_of_order
    );
    print_summary(&walk);
    Ok(whatif.different == 0)
}
