//! Simulation of a node with a store, on a machine with disk failures, crashes and clock changes.

use crate::common::{Directory, Faults};
use pipitlever_idempotency_store::commit_queue::{
    CommitEvent, CommitQueue, CommitQueueConfig, RejectionReason,
};
use pipitlever_idempotency_store::log::{Batch, Limits, Log, SegmentFiles};
use pipitlever_idempotency_store::record::{Clocks, Intent, Outcome};
use std::collections::HashMap;

const SECOND: i64 = 1_000_000;
const WINDOW: i64 = 20 * SECOND;
/// Upper bound of the time from a request's arrival until it is read.
const READ_GRACE: i64 = 7 * SECOND;
const LIMITS: Limits = Limits {
    capacity: 48 << 10,
    segment_size: 4 << 10,
};
const CONFIG: CommitQueueConfig = CommitQueueConfig {
    capacity: LIMITS.capacity,
    compaction_reserve: LIMITS.segment_size,
    max_result_bytes: 300,
    sync_each_record: false,
};

#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// An attempt with this key arrives.
    Request(u8),
    /// The oldest run ends. Contains whether the run succeeds.
    EndRun(bool),
    /// The writer takes a batch and completes it.
    Write,
    /// The writer takes a batch, and completes it with the next step of this kind or of `Write`.
    WriteSlowly,
    /// Time advances by this many milliseconds.
    Advance(u16),
    /// Sets the faults of the disk by kind; 0 clears them.
    SetFault(u8),
    /// The process is killed and starts again.
    Kill,
    /// The power fails and the machine boots again. Contains the seed that selects the lost data.
    PowerCut(u64),
    /// The wall clock is set by this many seconds, and the process restarts.
    JumpWallClock(i32),
}

fn fault(kind: u8) -> Faults {
    let none = Faults::default();
    match kind {
        0 => none,
        1 => Faults {
            append_limit: Some(60),
            ..none
        },
        2 => Faults {
            fail_syncs: true,
            ..none
        },
        3 => Faults {
            read_only: true,
            ..none
        },
        _ => Faults {
            fail_removals: true,
            ..none
        },
    }
}

/// A node's entry of a key.
#[derive(Clone, Debug)]
struct KnownKey {
    reference: u64,
    /// End of the window of the attempt that ran, by the time since boot.
    window_end: i64,
    outcome: Option<Outcome>,
}

/// A run in progress.
#[derive(Clone, Debug)]
struct Run {
    key: u8,
    reference: u64,
}

/// An attempt, with its arrival by a clock that is never set.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    key: u8,
    arrived_at: i64,
}

/// A process of the node.
struct Node {
    queue: CommitQueue,
    log: Log<Directory>,
    keys: HashMap<u8, KnownKey>,
    runs: Vec<Run>,
    /// The batch that is being written.
    batch: Option<Batch>,
}

impl Node {
    /// Starts a process. `first_id` has to differ on each start.
    fn start(directory: &Directory, first_id: u64) -> Node {
        let (log, report) =
            Log::open(directory.clone(), LIMITS, WINDOW).expect("the log can be read");
        assert_eq!(report.damage, [], "a crash causes no damage");
        let Clocks {
            wall, since_boot, ..
        } = directory.clone().clocks();
        let mut queue = CommitQueue::new(CONFIG, log.used_bytes(), None, first_id);
        let mut keys = HashMap::new();
        for recovered in report.keys {
            let intent = recovered.intent;
            let window_end = since_boot + (recovered.window_end - wall);
            if recovered.outcome.is_none() {
                queue.adopt_intent(intent.reference, intent.id, window_end + READ_GRACE);
            }
            let known = KnownKey {
                reference: intent.reference,
                window_end,
                outcome: recovered.outcome,
            };
            keys.insert(intent.key.parse().expect("keys are numbers"), known);
        }
        Node {
            queue,
            log,
            keys,
            runs: Vec::new(),
            batch: None,
        }
    }

    fn known_key(&self, key: u8, reference: u64) -> Option<&KnownKey> {
        let known = self.keys.get(&key);
        known.filter(|known| known.reference == reference)
    }
}

/// A node, its machine, and the observed runs and outcomes by which the invariants are checked.
pub struct Simulation {
    directory: Directory,
    node: Node,
    /// Time since the start that no clock change affects, in microseconds.
    time: i64,
    last_reference: u64,
    starts: u64,
    /// Arrivals of the attempts that ran, by key.
    started_runs: HashMap<u8, Vec<i64>>,
    /// Outcomes that were reported as durable, with the arrival of the attempt, by key.
    durable_outcomes: HashMap<u8, (i64, Outcome)>,
    /// Attempts by reference.
    attempts: HashMap<u64, Attempt>,
}

impl Simulation {
    pub fn new() -> Simulation {
        let directory = Directory::default();
        directory.machine().wall = 1_000_000 * SECOND;
        directory.machine().since_boot = 500 * SECOND;
        let node = Node::start(&directory, 0);
        Simulation {
            directory,
            node,
            time: 0,
            last_reference: 0,
            starts: 0,
            started_runs: HashMap::new(),
            durable_outcomes: HashMap::new(),
            attempts: HashMap::new(),
        }
    }

    fn since_boot(&self) -> i64 {
        self.directory.machine().since_boot
    }

    pub fn apply(&mut self, step: Step) {
        match step {
            Step::Request(key) => self.request(key),
            Step::EndRun(succeeds) => self.end_run(succeeds),
            Step::Write => self.write(false),
            Step::WriteSlowly => self.write(true),
            Step::Advance(milliseconds) => self.advance(i64::from(milliseconds) * 1000),
            Step::SetFault(kind) => self.directory.machine().faults = fault(kind),
            Step::Kill => {
                self.directory.kill();
                self.restart();
            }
            Step::PowerCut(seed) => {
                self.cut_power(seed);
                self.restart();
            }
            Step::JumpWallClock(seconds) => {
                self.directory.machine().wall += i64::from(seconds) * SECOND;
                self.directory.kill();
                self.restart();
            }
        }
    }

    pub fn apply_all(&mut self, steps: &[Step]) {
        for step in steps {
            self.apply(*step);
        }
    }

    fn request(&mut self, key: u8) {
        let since_boot = self.since_boot();
        let known = self.node.keys.get(&key);
        let known = known.filter(|known| since_boot <= known.window_end);
        let durable = self.durable_outcomes.get(&key);
        if let Some((arrived_at, outcome)) = durable.filter(|d| self.time <= d.0 + WINDOW) {
            // Invariant: each duplicate within the window gets the durable outcome.
            assert_eq!(
                known.and_then(|known| known.outcome.as_ref()),
                Some(outcome),
                "key {key}, arrived at {arrived_at}, now {}",
                self.time
            );
        }
        if known.is_some() || self.node.queue.rejection_reason(since_boot).is_some() {
            return;
        }
        self.last_reference += 1;
        self.admit(key, self.last_reference);
    }

    fn admit(&mut self, key: u8, reference: u64) {
        let since_boot = self.since_boot();
        let intent = Intent {
            id: 0,
            reference,
            key: key.to_string(),
            class: "swap".to_owned(),
            payload_digest: 1,
            arrived_at: self.directory.machine().wall,
            window: WINDOW,
            expires_at: since_boot + WINDOW + READ_GRACE,
            read_grace: READ_GRACE,
        };
        let known = KnownKey {
            reference,
            window_end: since_boot + WINDOW,
            outcome: None,
        };
        self.node.keys.insert(key, known);
        let arrived_at = self.time;
        self.attempts.insert(reference, Attempt { key, arrived_at });
        let mut events = Vec::new();
        self.node
            .queue
            .enqueue_intent(since_boot, intent, &mut events);
        self.handle_events(events);
    }

    fn handle_events(&mut self, events: Vec<CommitEvent>) {
        for event in events {
            match event {
                CommitEvent::IntentDurable(reference) => self.start_run(reference),
                CommitEvent::IntentAbandoned(reference) => {
                    let key = self.attempts[&reference].key;
                    if self.node.known_key(key, reference).is_some() {
                        self.node.keys.remove(&key);
                    }
                }
                CommitEvent::OutcomeDurable(reference) => {
                    let Some(&Attempt { key, arrived_at }) = self.attempts.get(&reference) else {
                        continue;
                    };
                    let known = self.node.known_key(key, reference);
                    if let Some(outcome) = known.and_then(|known| known.outcome.clone()) {
                        self.durable_outcomes.insert(key, (arrived_at, outcome));
                    }
                }
            }
        }
    }

    fn start_run(&mut self, reference: u64) {
        let Attempt { key, arrived_at } = self.attempts[&reference];
        let earlier = self.started_runs.entry(key).or_default();
        // Invariant: an attempt that arrived within the window of one that ran does not run.
        assert!(
            earlier.iter().all(|run| arrived_at > run + WINDOW),
            "key {key} runs again: {earlier:?}"
        );
        earlier.push(arrived_at);
        self.node.runs.push(Run { key, reference });
    }

    fn end_run(&mut self, succeeds: bool) {
        if self.node.runs.is_empty() {
            return;
        }
        let Run { key, reference } = self.node.runs.remove(0);
        let outcome = if succeeds {
            Outcome::Served(vec![reference as u8 | 1; 200 + usize::from(key)])
        } else {
            Outcome::Failed
        };
        if self.node.known_key(key, reference).is_some() {
            let known = self
                .node
                .keys
                .get_mut(&key)
                .expect("the key was found above");
            known.outcome = Some(outcome.clone());
        }
        self.node.queue.enqueue_outcome(reference, outcome);
        assert!(self.attempts[&reference].arrived_at <= self.time);
    }

    fn write(&mut self, slowly: bool) {
        let since_boot = self.since_boot();
        if self.node.batch.is_none() {
            self.node.batch = self.node.queue.next_batch(since_boot);
            if slowly {
                return;
            }
        }
        let Some(batch) = self.node.batch.take() else {
            return;
        };
        let result = self.node.log.write(&batch);
        let used = self.node.log.used_bytes();
        assert!(used <= LIMITS.capacity, "{used}");
        let mut events = Vec::new();
        let result = result.map(|()| used);
        self.node
            .queue
            .complete_batch(since_boot, result, &mut events);
        self.handle_events(events);
    }

    fn advance(&mut self, micros: i64) {
        self.time += micros;
        self.directory.advance(micros);
        let since_boot = self.since_boot();
        let mut events = Vec::new();
        self.node.queue.tick(since_boot, since_boot, &mut events);
        self.handle_events(events);
        self.node
            .keys
            .retain(|_, known| since_boot <= known.window_end + READ_GRACE);
    }

    fn cut_power(&mut self, mut seed: u64) {
        self.directory.power_cut(|| {
            // A SplitMix64 generator, which makes the history the same on every machine.
            seed = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
            let mixed = (seed ^ (seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
            (mixed ^ (mixed >> 27)) & 1 == 1
        });
    }

    fn restart(&mut self) {
        self.starts += 1;
        self.node = Node::start(&self.directory, self.starts << 32);
    }

    /// Why the node rejects keyed requests, if it does.
    pub fn rejection_reason(&self) -> Option<RejectionReason> {
        self.node.queue.rejection_reason(self.since_boot())
    }

    /// Whether all records are durable.
    pub fn is_idle(&self) -> bool {
        self.node.queue.is_idle()
    }

    /// Whether the node has an entry of the key.
    pub fn has_key(&self, key: u8) -> bool {
        self.node.keys.contains_key(&key)
    }

    /// Number of keys whose outcome was reported as durable.
    pub fn durable_outcomes(&self) -> usize {
        self.durable_outcomes.len()
    }

    /// Number of runs that were started with the key.
    pub fn runs_of(&self, key: u8) -> usize {
        self.started_runs.get(&key).map_or(0, Vec::len)
    }
}
