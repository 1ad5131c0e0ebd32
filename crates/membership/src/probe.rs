//! How one probe goes: a ping, a second one, then through others, and the verdict at the end of the
//! period.

use crate::Micros;
use std::net::SocketAddr;

/// Shares of the period after which the second ping goes out, and others are asked.
const AGAIN: (Micros, Micros) = (3, 10);
const ASK: (Micros, Micros) = (5, 10);
/// A helper says after this share of a period that it has no answer yet.
const SILENT: (Micros, Micros) = (3, 10);

fn share(period: Micros, (of, all): (Micros, Micros)) -> Micros {
    period * of / all
}

/// What is to be done about a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeStep {
    /// Nothing yet.
    Wait,
    /// Ping it once more.
    Retry,
    /// Ask others to.
    PingReq,
    /// Nobody had an answer.
    Failed,
}

/// One probe on its way.
#[derive(Clone, Debug)]
pub struct Probe {
    /// Who is probed.
    pub name: String,
    /// Where.
    pub address: SocketAddr,
    /// Its number.
    pub sequence: u32,
    /// Who was asked to help.
    pub helpers: Vec<String>,
    /// How many of them said that they had no answer either.
    pub nacks: usize,
    start: Micros,
    period: Micros,
    pinged: u32,
    answered: bool,
}

impl Probe {
    /// A probe that begins with a ping now, and is over after the period.
    pub fn new(now: Micros, period: Micros, seq: u32, name: String, address: SocketAddr) -> Probe {
        let (helpers, silent) = (Vec::new(), 0);
        Probe {
            name,
            address,
            sequence: seq,
            helpers,
            nacks: silent,
            start: now,
            period,
            pinged: 1,
            answered: false,
        }
    }

    /// It answered, one way or another; whether that is new.
    pub fn acknowledge(&mut self) -> bool {
        !std::mem::replace(&mut self.answered, true)
    }

    /// When something is to be done about it, if it is not answered by then.
    pub fn next_step_at(&self) -> Micros {
        let after = match self.pinged {
            _ if self.answered => self.period,
            1 => share(self.period, AGAIN),
            2 => share(self.period, ASK),
            _ => self.period,
        };
        self.start + after
    }

    /// What is to be done now.
    pub fn next_step(&mut self, now: Micros) -> ProbeStep {
        if now < self.next_step_at() || self.answered {
            return ProbeStep::Wait;
        }
        self.pinged += 1;
        match self.pinged {
            2 => ProbeStep::Retry,
            3 => ProbeStep::PingReq,
            _ => ProbeStep::Failed,
        }
    }

    /// When the next probe begins.
    pub fn period_end(&self) -> Micros {
        self.start + self.period
    }
}

/// A probe for another member.
#[derive(Clone, Debug)]
pub struct IndirectProbe {
    /// This node's number of it.
    pub sequence: u32,
    /// The other's number, and where it is to be told.
    pub origin: (u32, SocketAddr),
    /// When it is told that there was no answer yet.
    pub nack_at: Micros,
    /// It was.
    pub nack_sent: bool,
    /// When an answer is of no use any more.
    pub expires_at: Micros,
}

impl IndirectProbe {
    /// One that begins now.
    pub fn new(now: Micros, period: Micros, seq: u32, of: (u32, SocketAddr)) -> IndirectProbe {
        IndirectProbe {
            sequence: seq,
            origin: of,
            nack_at: now + share(period, SILENT),
            nack_sent: false,
            expires_at: now + 4 * period,
        }
    }
}
