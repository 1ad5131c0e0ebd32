//! What is said to a pool, and what it says.

use crate::health::{self, Why};
use crate::{limit, retry, Micros, SECOND};
use std::fmt;

/// Whether a member gets runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Use {
    /// It does.
    #[default]
    On,
    /// It finishes what it has, and gets nothing new but what belongs to it by its key.
    Draining,
    /// It gets nothing.
    Disabled,
}

/// What the operator says of a member.
#[derive(Clone, Debug, PartialEq)]
pub struct Member<A> {
    /// Where it is, which also names it.
    pub address: A,
    /// Its share, beside the others' of its tier; above 0.
    pub weight: f64,
    /// A lower tier comes first; the next one is used when nobody of it is usable.
    pub tier: u32,
    /// It is used only when no other member is usable.
    pub spare: bool,
    /// Whether it gets runs.
    pub usage: Use,
    /// Runs that it may have at once.
    pub most_runs: usize,
}

impl<A> Member<A> {
    /// One of weight 1, with a bound far off.
    pub fn at(address: A) -> Member<A> {
        Member {
            address,
            weight: 1.0,
            tier: 0,
            spare: false,
            usage: Use::On,
            most_runs: 1024,
        }
    }
}

/// What a pool keeps to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// Of each member's health.
    pub health: health::Rules,
    /// Of each member's limit.
    pub limit: limit::Rules,
    /// Of repeated tries.
    pub retry: retry::Rules,
    /// So large a share of the members may be out at once. Beyond it the signal is distrusted: if
    /// most look bad, it is more likely what they all depend on.
    pub most_out: f64,
    /// It is distrusted for so long, in microseconds.
    pub distrust: Micros,
    /// Spares are used for so long after another member is usable again, in microseconds.
    pub spares_stay: Micros,
    /// A member with a key's run gets no more than so many times the mean of runs.
    pub crowd: f64,
    /// Latencies fade in so long, in microseconds.
    pub fade: Micros,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            health: health::Rules::default(),
            limit: limit::Rules::default(),
            retry: retry::Rules::default(),
            most_out: 0.5,
            distrust: 10 * SECOND,
            spares_stay: 5 * SECOND,
            crowd: 1.5,
            fade: 10 * SECOND,
        }
    }
}

/// A run that needs a place.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ask<'a> {
    /// It may happen twice.
    pub safe: bool,
    /// Tries with the same key go to the same member where they can.
    pub key: Option<u64>,
    /// Members that this request has tried.
    pub tried: &'a [u32],
}

/// One run in a member's hands.
pub type Run = u64;

/// Where a run goes.
#[derive(Clone, Debug, PartialEq)]
pub enum Place<A> {
    /// There. The member's number is for [`Ask::tried`].
    At {
        /// The run.
        run: Run,
        /// The member's number.
        member: u32,
        /// The member.
        address: A,
    },
    /// Each member that is usable has as much as it may have.
    NoRoom,
    /// No member is usable, or all that are have been tried.
    Nobody,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// With a response.
    Well,
    /// Nobody accepted it.
    Unreachable,
    /// It broke off, said what can't be read, or took too long.
    Failed,
    /// Its time was up. That says something of the member only if it had far more than a run
    /// usually takes.
    TimedOut,
}

/// A change worth a line in the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Note<A> {
    /// A member is out.
    Out(A, Why, Micros),
    /// A member is on trial.
    OnTrial(A),
    /// A member gets runs again.
    Back(A),
    /// Too many look bad: nobody is left out for a while.
    Distrusted,
    /// Members are left out again by what happens to their runs.
    Trusted,
    /// Spares are used.
    SparesOn,
    /// Spares are no longer used.
    SparesOff,
}

impl<A: fmt::Display> fmt::Display for Note<A> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Note::Out(member, why, out) => {
                write!(f, "member={member} out for_ms={} why: {why}", out / 1000)
            }
            Note::OnTrial(member) => write!(f, "member={member} on trial"),
            Note::Back(member) => write!(f, "member={member} back"),
            Note::Distrusted => write!(f, "most members look bad: none is left out for a while"),
            Note::Trusted => write!(f, "members are left out again"),
            Note::SparesOn => write!(f, "spares are used: no other member is usable"),
            Note::SparesOff => write!(f, "spares are no longer used"),
        }
    }
}
