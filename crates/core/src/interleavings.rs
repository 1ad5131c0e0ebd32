//! Two processes of one node and the tries of one key, in every order at small size: steps of the
//! handover, ends of runs, callers that leave, and the death of either process or the end of their
//! connection at any point. The key is run once at most, no further try of it is turned away after
//! that, and each try that a process has read is answered once while that process lives.

use super::tests::{busy, core, incoming};
use super::*;
use pipitlever_hot_restart::message::Message;
use pipitlever_hot_restart::predecessor::{self, Predecessor};
use pipitlever_hot_restart::successor::{self, ConnectionLoss, Successor};

const SECOND: Micros = 1_000_000;
/// Tries of the key, one after the other; the first has no mark.
const TRIES: u64 = 3;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    /// The next try comes, to the old process or the new one.
    TryOld,
    TryNew,
    /// The oldest run ends well.
    EndOld,
    EndNew,
    /// The caller of the oldest try at the old process leaves.
    Gone,
    /// The new process is ready.
    Ready,
    /// The old one says the next thing, or hears it; the new one hears it.
    Say,
    HearOld,
    HearNew,
    DieOld,
    DieNew,
    /// One drops the connection, and both live.
    DropOld,
    DropNew,
}

const ALL: [Step; 13] = [
    Step::TryOld,
    Step::TryNew,
    Step::EndOld,
    Step::EndNew,
    Step::Gone,
    Step::Ready,
    Step::Say,
    Step::HearOld,
    Step::HearNew,
    Step::DieOld,
    Step::DieNew,
    Step::DropOld,
    Step::DropNew,
];

/// One process, with what came of it.
struct Process {
    core: Core,
    alive: bool,
    running: Vec<Reference>,
    /// Tries that it has read, with the answers that they got.
    read: Vec<(Reference, Vec<Answer>)>,
    gone: Vec<Reference>,
}

impl Process {
    fn new(core: Core) -> Process {
        Process {
            core,
            alive: true,
            running: Vec::new(),
            read: Vec::new(),
            gone: Vec::new(),
        }
    }
}

struct World {
    now: Micros,
    old: Process,
    new: Process,
    predecessor: Predecessor,
    successor: Successor,
    to_old: VecDeque<Message>,
    to_new: VecDeque<Message>,
    ended: bool,
    /// The old process has seen the end of the connection, and the new one.
    parted: bool,
    alone: bool,
    /// The old process has yielded once.
    yielded: bool,
    /// Who has dropped it.
    dropped: Option<Step>,
    tries: u64,
    begun: u64,
    /// Tries that came after the run had begun.
    late: Vec<Reference>,
}

impl World {
    /// The new process has been welcomed. With `held` the old one's cores are taken up, so that the
    /// key waits there.
    fn new(held: bool) -> World {
        let mut old = core();
        old.retries_are_marked = true;
        if held {
            busy(&mut old);
        }
        let mut new = core();
        new.retries_are_marked = true;
        let (mut predecessor, mut successor) = (Predecessor::default(), Successor::connecting());
        assert!(predecessor.handle_connect());
        let welcome = pipitlever_hot_restart::message::Welcome {
            node_name: "n".into(),
            sockets: vec![],
            salt: [0; 2],
        };
        successor
            .handle_message(Message::Welcome(welcome))
            .expect("the first message");
        World {
            now: SECOND,
            old: Process::new(old),
            new: Process::new(new),
            predecessor,
            successor,
            to_old: VecDeque::new(),
            to_new: VecDeque::new(),
            ended: false,
            parted: false,
            alone: false,
            yielded: false,
            dropped: None,
            tries: 0,
            begun: 0,
            late: Vec::new(),
        }
    }

    fn serves(&self) -> bool {
        matches!(
            self.successor.phase(),
            successor::Phase::Mirror | successor::Phase::Standalone
        )
    }

    fn possible(&self, step: Step) -> bool {
        let both = self.old.alive && self.new.alive;
        let carried = both && self.dropped.is_none();
        match step {
            Step::TryOld => self.old.alive && self.tries < TRIES,
            Step::TryNew => self.new.alive && self.serves() && self.tries < TRIES,
            Step::EndOld => self.old.alive && !self.old.running.is_empty(),
            Step::EndNew => self.new.alive && !self.new.running.is_empty(),
            Step::Gone => self.old.alive && self.old.gone.is_empty() && !self.old.read.is_empty(),
            Step::Ready => {
                self.new.alive && !self.alone && self.successor.phase() == successor::Phase::Prepare
            }
            Step::Say => {
                let asked = matches!(
                    self.predecessor.phase(),
                    predecessor::Phase::Freeze | predecessor::Phase::Mirror
                );
                carried && asked && (self.old.core.has_key_updates() || !self.ended)
            }
            // What was said before a death is heard after it, and then the death.
            Step::HearOld => {
                let heard = self.dropped != Some(Step::DropOld) && !self.to_old.is_empty();
                // Where it has yielded it waits for the other one's death.
                let over =
                    !self.new.alive || (self.dropped.is_some() && !self.predecessor.has_yielded());
                self.old.alive && !self.parted && (heard || over)
            }
            Step::HearNew => {
                let heard = self.dropped != Some(Step::DropNew) && !self.to_new.is_empty();
                self.new.alive
                    && !self.alone
                    && (heard || !self.old.alive || self.dropped.is_some())
            }
            // A third process is another story.
            Step::DieOld | Step::DieNew => both,
            Step::DropOld => carried,
            // It drops only a predecessor that it has taken over from; before, it ends instead.
            Step::DropNew => carried && self.successor.phase() == successor::Phase::Mirror,
        }
    }

    fn take(&mut self, step: Step) {
        self.now += 1000;
        let now = self.now;
        match step {
            Step::TryOld | Step::TryNew => {
                self.tries += 1;
                let reference = self.tries;
                if self.begun > 0 {
                    self.late.push(reference);
                }
                let at = if step == Step::TryOld {
                    &mut self.old
                } else {
                    &mut self.new
                };
                at.read.push((reference, Vec::new()));
                let retry = reference > 1;
                at.core.handle_request(
                    now,
                    IncomingRequest {
                        is_retry: retry,
                        ..incoming(reference, now, Some("k"))
                    },
                );
            }
            Step::EndOld | Step::EndNew => {
                let at = if step == Step::EndOld {
                    &mut self.old
                } else {
                    &mut self.new
                };
                let reference = at.running.remove(0);
                at.core.handle_run_finished(
                    now,
                    reference,
                    super::RunOutcome::Completed,
                    10,
                    Rc::from(*b"result"),
                );
            }
            Step::Gone => {
                let reference = self.old.read[0].0;
                self.old.gone.push(reference);
                self.old.core.handle_abandoned(now, reference);
            }
            Step::Ready => {
                assert!(self.successor.handle_ready());
                self.to_old.push_back(Message::Freeze);
            }
            Step::Say => match self.old.core.next_key_update(0) {
                Some(message) => self.to_new.push_back(message),
                None => {
                    self.ended = true;
                    self.to_new.push_back(Message::SnapshotComplete {
                        is_standby: false,
                        memory_share: 0.5,
                    });
                }
            },
            Step::HearOld => match self
                .to_old
                .pop_front()
                .filter(|_| self.dropped != Some(Step::DropOld))
            {
                Some(message) => match self.predecessor.handle_message(&message) {
                    predecessor::Action::FreezeKeys => self.old.core.freeze_keys(),
                    act => {
                        assert_eq!(act, predecessor::Action::Yield);
                        self.yielded = true;
                        self.to_new.push_back(Message::Yielded { membership: None });
                    }
                },
                None => {
                    self.parted = true;
                    for act in self.predecessor.handle_disconnect() {
                        match act {
                            predecessor::Action::UnfreezeKeys => self.old.core.unfreeze_keys(),
                            predecessor::Action::Resume => {
                                assert!(!self.new.alive, "it accepts beside one that serves");
                                self.old.core.distrust_unknown_keys(now);
                            }
                            _ => {}
                        }
                    }
                }
            },
            Step::HearNew => match self
                .to_new
                .pop_front()
                .filter(|_| self.dropped != Some(Step::DropNew))
            {
                Some(message) => match self.successor.handle_message(message).expect("in turn") {
                    successor::Action::ApplyKey(key) => {
                        let until = key.window_end;
                        self.new.core.apply_transferred_key(now, key, until);
                    }
                    successor::Action::ReleaseKey(key) => {
                        self.new.core.release_transferred_key(now, &key)
                    }
                    successor::Action::ConfirmSnapshot { .. } => {
                        self.to_old.push_back(Message::SnapshotReceived)
                    }
                    act => assert_eq!(act, successor::Action::Serve { membership: None }),
                },
                None => {
                    self.alone = true;
                    match self.successor.handle_disconnect(!self.old.alive) {
                        ConnectionLoss::Abort => self.new.alive = false,
                        lost => {
                            if lost != ConnectionLoss::KeysComplete {
                                self.new.core.distrust_unknown_keys(now);
                            }
                            self.new.core.resolve_orphaned_keys(now);
                        }
                    }
                }
            },
            Step::DieOld => self.old.alive = false,
            Step::DieNew => self.new.alive = false,
            Step::DropOld | Step::DropNew => self.dropped = Some(step),
        }
        self.note();
    }

    fn note(&mut self) {
        for at in [&mut self.old, &mut self.new] {
            for effect in at.core.effects() {
                match effect {
                    Effect::StartRun {
                        reference,
                        class: 1,
                        ..
                    } => {
                        self.begun += 1;
                        at.running.push(reference);
                    }
                    Effect::Answer { origin, answer } => {
                        if let Some(read) =
                            at.read.iter_mut().find(|r| r.0 == origin.request_number)
                        {
                            read.1.push(answer);
                        }
                    }
                    _ => {}
                }
            }
        }
    }

    /// What must hold at any time.
    fn check(&self) {
        assert!(self.begun <= 1, "run {} times", self.begun);
        for (reference, answers) in self.old.read.iter().chain(&self.new.read) {
            assert!(answers.len() <= 1, "{reference} was answered {answers:?}");
            for answer in answers {
                match answer {
                    Answer::Served(result) => assert!(self.begun == 1 && **result == *b"result"),
                    Answer::Rejected { .. } => {
                        assert!(
                            !self.late.contains(reference),
                            "{reference} was turned away after the run"
                        );
                    }
                    _ => {}
                }
            }
        }
    }

    /// Lets all end that may still end, without a further try or death: each try is answered then.
    fn settle(mut self) {
        while let Some(step) = [
            Step::HearOld,
            Step::HearNew,
            Step::Say,
            Step::EndOld,
            Step::EndNew,
        ]
        .into_iter()
        .find(|s| self.possible(*s))
        {
            self.take(step);
            self.check();
        }
        // Both serve only as long as one of them runs no key that the other may run.
        let authorities =
            [&self.old, &self.new].map(|at| at.alive && at.core.doubts(self.now, false).is_none());
        assert!(
            authorities != [true, true] || !self.serves(),
            "both are the authority for keys"
        );
        // What never began at the old process is run at the new one, if somebody still waits for it
        // there.
        let left = self
            .old
            .read
            .iter()
            .all(|(reference, _)| self.old.gone.contains(reference));
        if self.old.alive
            && self.new.alive
            && self.dropped.is_none()
            && left
            && !self.new.read.is_empty()
        {
            assert_eq!(self.begun, 1, "nobody runs it");
        }
        // The end of the run, wherever it was, is known at both by now.
        if self.old.alive && self.new.alive && self.dropped.is_none() && self.begun == 1 {
            let waits = self.new.read.iter().find(|(_, answers)| answers.is_empty());
            assert!(waits.is_none(), "{waits:?} was not told how the run ended");
        }
        // Where the new process never served, the old one is what it was.
        if self.old.alive
            && !self.new.alive
            && self.predecessor.phase() == predecessor::Phase::Standalone
            && !self.yielded
        {
            assert!(
                self.old.core.doubts(self.now, true).is_none(),
                "it doubts for nothing"
            );
        }
        for _ in 0..8 {
            self.now += SECOND;
            for at in [&mut self.old, &mut self.new] {
                at.core.handle_wakeup(self.now);
            }
            self.note();
        }
        self.check();
        for at in [&self.old, &self.new].into_iter().filter(|at| at.alive) {
            for (reference, answers) in &at.read {
                let owed = usize::from(!at.gone.contains(reference));
                assert!(answers.len() >= owed, "{reference} has no answer");
            }
        }
    }
}

fn play(held: bool, steps: &[Step]) -> World {
    let mut world = World::new(held);
    world.note();
    for step in steps {
        world.take(*step);
        world.check();
    }
    world
}

/// Goes on from these steps in every way; how many ways there were.
fn explore(held: bool, steps: &mut Vec<Step>, left: usize) -> u64 {
    let world = std::panic::catch_unwind(|| play(held, steps));
    let world = world.unwrap_or_else(|_| panic!("held {held}: {steps:?}"));
    let next: Vec<Step> = ALL.into_iter().filter(|s| world.possible(*s)).collect();
    if left == 0 || next.is_empty() {
        let settled = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| world.settle()));
        settled.unwrap_or_else(|_| panic!("held {held}, settled after: {steps:?}"));
        return 1;
    }
    drop(world);
    let mut ways = 0;
    for step in next {
        steps.push(step);
        ways += explore(held, steps, left - 1);
        steps.pop();
    }
    ways
}

#[test]
fn no_order_of_steps_and_deaths_runs_a_key_twice() {
    // From the start, and from the points where the authority is about to pass on.
    let asked = [Step::Ready, Step::HearOld];
    let told = [
        Step::TryOld,
        Step::Ready,
        Step::HearOld,
        Step::Say,
        Step::Say,
        Step::HearNew,
    ];
    let served = [&told[..], &[Step::HearNew, Step::HearOld, Step::HearNew]].concat();
    let ways = [
        explore(false, &mut vec![], 7),
        explore(true, &mut vec![], 7),
        explore(false, &mut asked.to_vec(), 7),
        explore(true, &mut asked.to_vec(), 7),
        explore(false, &mut told.to_vec(), 6),
        explore(true, &mut told.to_vec(), 6),
        explore(false, &mut served.to_vec(), 6),
        explore(true, &mut served.to_vec(), 6),
    ];
    assert!(ways.iter().sum::<u64>() > 20_000, "{ways:?}");
}
