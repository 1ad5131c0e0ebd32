//! A world that a controller lives in: whatever it is told is something that a host may say, in any
//! order that hosts may say it, chosen by numbers that a test hands in.
#![allow(dead_code)]
#![allow(clippy::manual_is_multiple_of)]

use pipitlever_admission::*;
use pipitlever_capture::keeper::{Folder, Keeper, Limits};
use pipitlever_capture::record::{End, Name};
use pipitlever_capture::replay::{from_start, Replay};
use pipitlever_capture::segment::{Reader, Tail};
use pipitlever_capture::tap::{queue, About, Spool, Tap};
use std::collections::BTreeMap;
use std::io;

pub fn settings(kind: u8) -> Settings {
    let class = |idempotency, worth, late_worth| Class {
        latency_objective: 300_000,
        deadline: 900_000,
        idempotency,
        idempotency_window: 2_000_000,
        priority_weight: worth,
        late_weight: late_worth,
        makes_calls: true,
        skip_call_weight: if kind & 4 == 0 { 0.0 } else { 0.5 },
        ..Class::default()
    };
    Settings {
        classes: vec![
            class(Idempotency::Idempotent, 1.0, 0.0),
            class(Idempotency::Keyed, 5.0, 0.2),
            class(Idempotency::NonIdempotent, 2.0, 0.2),
        ],
        tenants: vec![Tenant { quota_rps: 20.0 }; 2],
        cores: 3.0,
        memory_kb: 4_000.0,
        run_memory_factor: 8.0,
        key_kb: 20.0,
        is_cold: kind & 1 == 1,
        downstream: if kind & 2 == 0 {
            Downstream::Tier
        } else {
            Downstream::Shared
        },
        call_share: 4.0,
        call_window: 2_000_000,
        call_linger: 100_000,
        read_cache_ttl: if kind & 8 == 0 { 0 } else { 200_000 },
        cancellation: if kind & 4 == 0 {
            CancellationMode::Unsupported
        } else {
            CancellationMode::Abort
        },
        backpressure: BackpressureKind::Threshold,
        max_retry_after: 1_000_000,
        safety: Safety {
            warmup_time: 3_000_000,
            cold_speed: 0.2,
            ..Safety::default()
        },
        ..Settings::default()
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Where {
    Held,
    Running,
    Parked,
    Calling,
    Reusing,
}

pub struct World {
    pub controller: Controller,
    pub now: Micros,
    at: BTreeMap<RequestId, (Where, Micros)>,
    kept: Vec<RequestId>,
    next: RequestId,
    leaving: bool,
    kind: u8,
}

impl World {
    pub fn new(kind: u8, seed: u64) -> World {
        let controller = Controller::new(settings(kind), seed);
        World {
            controller,
            now: 0,
            at: BTreeMap::new(),
            kept: Vec::new(),
            next: 1,
            leaving: false,
            kind,
        }
    }

    fn pick(&self, which: u32, wanted: &[Where]) -> Option<RequestId> {
        let all: Vec<_> = self
            .at
            .iter()
            .filter(|(_, w)| wanted.contains(&w.0))
            .map(|(&id, _)| id)
            .collect();
        (!all.is_empty()).then(|| all[which as usize % all.len()])
    }

    /// One event that a host may say now, by two numbers.
    fn event(&mut self, what: u8, which: u32) -> Event {
        use Where::*;
        let outcome = match which % 5 {
            0 => Outcome::Error,
            1 => Outcome::Reset,
            _ => Outcome::Success,
        };
        let tick = Event::Timer {
            tag: 0,
            cpu_utilization: (which % 3 != 0).then_some(f64::from(which % 100) / 99.0),
            runnable: (which % 4 != 0).then_some(f64::from(which % 7)),
            memory_utilization: None,
            connections: Some(f64::from(which % 300)),
        };
        match what % 16 {
            0..=6 => {
                let class = which as usize % 3;
                let id = self.next;
                self.next += 1;
                let repeat = class == 1 && which % 8 == 1 && !self.kept.is_empty();
                let same_as = repeat.then(|| self.kept[which as usize % self.kept.len()]);
                self.at
                    .insert(id, (if repeat { Reusing } else { Held }, self.now));
                Event::Arrived(Request {
                    id,
                    class,
                    tenant: (which % 3 == 0).then_some(which as usize % 2),
                    has_key: which % 2 == 0,
                    timeout: (which % 9 != 0).then_some(i64::from(which % 900) * 1000),
                    cost: (which % 5 != 0).then_some(f64::from(which % 50) * 1e3),
                    memory_kb: 8.0 + f64::from(which % 60),
                    priority: f64::from(which % 97) / 97.0,
                    is_retry: which % 6 == 0,
                    is_write: class > 0,
                    queue_time: i64::from(which % 200) * 1000,
                    duplicate_of: same_as,
                })
            }
            7..=9 => match self.pick(which, &[Running, Reusing]) {
                Some(id) => {
                    let took = self.now - self.at.remove(&id).expect("picked").1;
                    let outcome = if which % 31 == 0 {
                        Outcome::NotStarted
                    } else {
                        outcome
                    };
                    Event::Finished {
                        id,
                        elapsed: took,
                        outcome,
                    }
                }
                None => tick,
            },
            10..=11 => match self.pick(which, &[Running]) {
                Some(id) => {
                    self.at.get_mut(&id).expect("picked").0 = Parked;
                    Event::NeedsCall(id)
                }
                None => tick,
            },
            12..=13 => match self.pick(which, &[Calling]) {
                Some(id) => {
                    let done = outcome == Outcome::Success;
                    self.at.get_mut(&id).expect("picked").0 = if done { Running } else { Parked };
                    let outcome = if which % 7 == 0 && !done {
                        Outcome::Rejected
                    } else {
                        outcome
                    };
                    Event::CallEnded {
                        id,
                        elapsed: i64::from(which % 300) * 1000,
                        outcome,
                    }
                }
                None => tick,
            },
            14 if which % 3 != 0 => {
                match self.pick(which, &[Held, Running, Parked, Calling, Reusing]) {
                    Some(id) => {
                        if matches!(self.at[&id].0, Held | Reusing) {
                            self.at.remove(&id);
                        }
                        Event::Abandoned(id)
                    }
                    // A notice that comes after its request has finished.
                    None => Event::Abandoned(self.next.saturating_sub(1)),
                }
            }
            15 if which % 400 == 0 && !self.leaving => {
                self.leaving = true;
                Event::ShutdownNotice(2_000_000)
            }
            _ => tick,
        }
    }

    /// One step with some events, at a clock that may also stand still or go back.
    pub fn step(&mut self, after: i32, said: &[(u8, u32)], tap: Option<&mut Tap>) -> Vec<Action> {
        self.now += i64::from(after);
        let events: Vec<Event> = said
            .iter()
            .map(|&(what, which)| self.event(what, which))
            .collect();
        let mut actions = Vec::new();
        if let Some(tap) = tap {
            if tap.wants_checkpoint(self.now) {
                tap.checkpoint(self.now, &self.controller, &settings(self.kind), Vec::new());
            }
            for event in &events {
                if let Event::Arrived(r) = event {
                    tap.named(Name {
                        id: r.id,
                        reference: !r.id,
                        sender: Some(r.id % 7),
                        key: None,
                    });
                }
            }
            self.controller.step(self.now, &events, &mut actions);
            tap.step(self.now, &events, &actions);
        } else {
            self.controller.step(self.now, &events, &mut actions);
        }
        for action in &actions {
            self.act(action);
        }
        actions
    }

    fn act(&mut self, action: &Action) {
        match action {
            Action::Run(id) => {
                self.at.insert(*id, (Where::Running, self.now));
            }
            Action::Reject { id, .. } | Action::Fail(id) => {
                let unrun = |w: &(Where, Micros)| matches!(w.0, Where::Held | Where::Reusing);
                let over = self.at.get(id).is_some_and(unrun);
                over.then(|| self.at.remove(id));
            }
            Action::RetainKey(id, _) => self.kept.push(*id),
            Action::ReleaseKey(id) => self.kept.retain(|k| k != id),
            Action::PlaceCall(id, _) | Action::SkipCall(id) => {
                let to = if matches!(action, Action::PlaceCall(..)) {
                    Where::Calling
                } else {
                    Where::Running
                };
                if let Some(at) = self.at.get_mut(id) {
                    at.0 = to;
                }
            }
            _ => {}
        }
    }
}

pub fn about(seed: u64) -> About {
    About {
        build: "test".into(),
        node: "n1".into(),
        run: 1_764_576_000_123,
        classes: ["rota-view", "swap-confirm", "cover-check"]
            .map(String::from)
            .to_vec(),
        seed,
        fresh: true,
    }
}

/// A folder in memory that fails when it is told to.
#[derive(Debug, Default)]
pub struct Shelf {
    pub files: BTreeMap<String, Vec<u8>>,
    pub writing: Option<String>,
    /// Bytes that it has room for.
    pub room: Option<u64>,
    pub broken: Option<io::ErrorKind>,
    /// Nothing can be taken away.
    pub sticky: bool,
    /// The most bytes that it ever held.
    pub most: u64,
}

impl Shelf {
    pub fn total(&self) -> u64 {
        self.files.values().map(|f| f.len() as u64).sum()
    }

    fn works(&self) -> io::Result<()> {
        self.broken.map_or(Ok(()), |kind| Err(kind.into()))
    }
}

impl Folder for Shelf {
    fn list(&mut self) -> io::Result<Vec<(String, u64)>> {
        self.works()?;
        Ok(self
            .files
            .iter()
            .map(|(name, bytes)| (name.clone(), bytes.len() as u64))
            .collect())
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.works()?;
        assert!(
            self.files.insert(name.into(), Vec::new()).is_none(),
            "{name} twice"
        );
        self.writing = Some(name.into());
        Ok(())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.works()?;
        let room = self.room.map_or(usize::MAX, |room| {
            room.saturating_sub(self.total()) as usize
        });
        // A full disk takes what it has room for, as a file system does.
        let part = &bytes[..bytes.len().min(room)];
        let name = self.writing.as_ref().expect("a segment");
        if let Some(file) = self.files.get_mut(name) {
            file.extend_from_slice(part);
        }
        self.most = self.most.max(self.total());
        if part.len() < bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn close(&mut self) {
        self.writing = None;
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.works()?;
        if self.sticky {
            return Err(io::ErrorKind::PermissionDenied.into());
        }
        self.files
            .remove(name)
            .map(|_| ())
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn holds(&mut self, name: &str) -> bool {
        self.files.contains_key(name)
    }
}

/// Puts a capture where the laboratory's tests look for it, when they are to be made anew.
pub fn keep(name: &str, segment: &[u8]) {
    if let Some(folder) = std::env::var_os("PIPITLEVER_RECORD") {
        std::fs::write(
            std::path::Path::new(&folder).join(format!("{name}.plc")),
            segment,
        )
        .unwrap();
    }
}

/// A world with a capture of it.
pub struct Rig {
    pub world: World,
    pub tap: Option<Tap>,
    pub spool: Spool,
    pub keeper: Keeper<Shelf>,
    /// The writer's clock.
    pub clock: Micros,
    /// Records that were told to the tap.
    pub told: u64,
}

impl Rig {
    pub fn new(kind: u8, seed: u64, bytes: usize, limits: Limits) -> Rig {
        let (tap, spool) = queue(about(seed), bytes);
        let keeper = Keeper::new(Shelf::default(), limits, "n1");
        Rig {
            world: World::new(kind, seed),
            tap: Some(tap),
            spool,
            keeper,
            clock: 0,
            told: 0,
        }
    }

    pub fn step(&mut self, after: i32, said: &[(u8, u32)]) -> Vec<Action> {
        let next = self.world.next;
        let actions = self.world.step(after, said, self.tap.as_mut());
        // A name for each arrival, and the step.
        self.told += self.world.next - next + 1;
        actions
    }

    /// The writer has its turn; its notes as the log has them.
    pub fn turn(&mut self, after: Micros) -> Vec<String> {
        self.clock += after;
        self.keeper
            .turn(self.clock, &mut self.spool)
            .iter()
            .map(|n| n.to_string())
            .collect()
    }

    /// The node ends. All segments, the oldest first.
    pub fn end(mut self) -> Vec<Vec<u8>> {
        drop(self.tap.take());
        self.keeper.finish(self.clock, &mut self.spool);
        std::mem::take(&mut self.keeper.folder().files)
            .into_values()
            .collect()
    }
}

/// What a capture says when all of it is played.
#[derive(Debug, Default, PartialEq)]
pub struct Verdict {
    pub steps: u64,
    /// Records that are there, and that the segments say are not.
    pub records: u64,
    pub lost: u64,
    pub cuts: usize,
}

/// Plays all segments, each from its own state and on from the one before it.
pub fn replay(segments: &[Vec<u8>]) -> Verdict {
    let mut verdict = Verdict::default();
    let mut before: Option<Replay> = None;
    for bytes in segments {
        let mut reader = Reader::open(bytes).expect("readable");
        let Some(opening) = reader.opening().cloned() else {
            verdict.cuts += 1;
            continue;
        };
        let own = reader.controller().expect("this build's");
        let mut on = match before.take() {
            _ if opening.first => Replay::new(from_start(&opening), &opening),
            Some(before) if opening.lost.is_none() => before,
            _ => Replay::new(own.clone(), &opening),
        };
        assert_eq!(on.steps(), opening.steps);
        assert!(
            on.go_on(&opening, Some(&own)),
            "segment {}: another state",
            opening.segment
        );
        verdict.lost += opening.lost.map_or(0, |l| l.records);
        let mut fresh = Replay::new(own, reader.opening().expect("seen above"));
        while let Some((_, record)) = reader.next_record().expect("whole") {
            verdict.records += 1;
            let difference = on.compare(&record).unwrap();
            assert!(
                difference.is_none(),
                "segment {}: {difference:#?}",
                reader.opening().unwrap().segment
            );
            assert!(fresh.compare(&record).unwrap().is_none());
        }
        verdict.steps = on.steps();
        match reader.tail() {
            Some(Tail::Cut(_)) => verdict.cuts += 1,
            Some(Tail::Whole(End::Last(lost))) => verdict.lost += lost,
            _ => {}
        }
        before = Some(on);
    }
    verdict
}
