//! What the core is told of requests and runs, and what it has done outside.

use super::bounds::REQUEST;
use super::*;

/// Names a request to the outside: its `ref`, new with every try.
pub type Reference = u64;

/// Where the answer goes. The core only carries it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Origin {
    /// The connection that the request came on.
    pub connection: u64,
    /// The request's number on that connection.
    pub number: u64,
}

/// A request as a front read it.
#[derive(Clone, Debug)]
pub struct Incoming {
    /// Its name, new with every try.
    pub reference: Reference,
    /// The gateway that sent it, where the wire says.
    pub sender: Option<u64>,
    /// Its tenant, by position in the settings, where the wire names one that is there.
    pub tenant: Option<usize>,
    /// Where its answer goes.
    pub origin: Origin,
    /// Its class, by position in the settings.
    pub class: usize,
    /// When it came to the machine.
    pub arrived: Micros,
    /// When its caller stops waiting; the class's deadline after the arrival if it doesn't say.
    pub due: Option<Micros>,
    /// The work to expect, in microseconds on one core.
    pub cost: Option<f64>,
    /// The memory booked while it is held.
    pub memory_kb: f64,
    /// Its rank.
    pub rank: f64,
    /// A further try or a second copy.
    pub retry: bool,
    /// The same for all tries of one request, in keyed classes.
    pub key: Option<Rc<str>>,
    /// The body, as it came.
    pub body: Rc<[u8]>,
    /// Stands for class and body: the same for all tries of one request, on both fronts.
    pub payload: u64,
}

impl Incoming {
    /// What it takes of the memory.
    pub(super) fn bytes(&self) -> usize {
        REQUEST + self.body.len()
    }

    /// What a capture calls it.
    pub(super) fn name(&self, id: RequestId) -> Name {
        let key = self.key.as_deref().map(digest);
        Name {
            id,
            reference: self.reference,
            sender: self.sender,
            key,
        }
    }
}

/// The one final answer of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The result, unchanged.
    Served(Rc<[u8]>),
    /// This try never ran.
    Refused {
        /// How long the caller should keep away; 0 for no advice.
        cooldown: Micros,
        /// No other node should be tried.
        nowhere: bool,
    },
    /// It may have run.
    Failed {
        /// It failed because its time was up.
        expired: bool,
    },
    /// It may have run, before a restart, and its end is not known.
    Unknown {
        /// After so long a further try of its key may run.
        back: Micros,
    },
}

impl Answer {
    /// As a capture has it.
    pub(super) fn told(&self) -> Told {
        match self {
            Answer::Served(result) => Told::Served(result.len() as u32),
            Answer::Refused { cooldown, nowhere } => Told::Refused {
                cooldown: *cooldown,
                nowhere: *nowhere,
            },
            Answer::Failed { expired } => Told::Failed { expired: *expired },
            Answer::Unknown { .. } => Told::Failed { expired: false },
        }
    }
}

/// Something to be done outside.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Give this answer.
    Answer(Origin, Answer),
    /// Start the run of a request of this class, with its body as it came. Nobody wants its result
    /// after the time given.
    Begin(Reference, usize, Micros, Rc<[u8]>),
    /// Pass on the reply to the call that the run waits for.
    Reply(Reference, Rc<[u8]>),
    /// Stop the run of a request of this class, which nobody waits for any more.
    Interrupt(Reference, usize),
    /// Place a call, given up at this time.
    Call(Reference, Micros, Rc<[u8]>),
    /// Give up a call.
    Abandon(Reference),
    /// Ask the processor for its gauges.
    Gauges,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Well, with a result.
    Fine,
    /// It failed.
    Fault,
    /// It was stopped, or ended at a call since its request was over.
    BrokenOff,
    /// It never started.
    NeverRan,
}

/// Which command the processor did not carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejected {
    /// To start a run.
    Begin,
    /// To stop one.
    Interrupt,
    /// The reply to a call, or one that is not ours.
    Other,
}

/// The processor's gauges, as far as it has them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Gauges {
    /// Busy share of the cores.
    pub core_use: Option<f64>,
    /// All that needs a core.
    pub on_cores: Option<f64>,
    /// Share of memory in use.
    pub memory_use: Option<f64>,
    /// Open connections.
    pub connections: Option<f64>,
}
