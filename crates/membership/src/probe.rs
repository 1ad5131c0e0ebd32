//! One probe: a ping, its retry, then ping-reqs to other members, and failure at the end of the
//! protocol period (SWIM, section 3.1).

use crate::Micros;
use std::net::SocketAddr;

/// A fraction of the protocol period, in integer arithmetic.
#[derive(Clone, Copy)]
struct Fraction {
    numerator: Micros,
    denominator: Micros,
}

impl Fraction {
    const fn tenths(numerator: Micros) -> Fraction {
        Fraction {
            numerator,
            denominator: 10,
        }
    }

    fn of(self, period: Micros) -> Micros {
        period * self.numerator / self.denominator
    }
}

/// When the ping is sent again.
const RETRY_AFTER: Fraction = Fraction::tenths(3);
/// When ping-reqs are sent.
const PING_REQ_AFTER: Fraction = Fraction::tenths(5);
/// When a member that relays an indirect probe sends a nack (Lifeguard).
const NACK_AFTER: Fraction = Fraction::tenths(3);
/// Number of periods for which a relayed probe waits for an ack.
const INDIRECT_PROBE_PERIODS: Micros = 4;

/// Next step of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeStep {
    /// Nothing is due.
    Wait,
    /// Send the ping again.
    Retry,
    /// Send ping-reqs.
    PingReq,
    /// The period is over without an ack.
    Failed,
}

/// A probe that this node sends.
#[derive(Clone, Debug)]
pub struct Probe {
    /// Name of the probed member.
    pub name: String,
    /// Address of the probed member.
    pub address: SocketAddr,
    /// Sequence number.
    pub sequence: u32,
    /// Members that received a ping-req.
    pub helpers: Vec<String>,
    /// Number of nacks received from the helpers.
    pub nacks: usize,
    started: Micros,
    period: Micros,
    steps_taken: u32,
    is_acknowledged: bool,
}

impl Probe {
    /// Creates a probe whose ping is sent now and which fails after `period`.
    pub fn new(
        now: Micros,
        period: Micros,
        sequence: u32,
        name: String,
        address: SocketAddr,
    ) -> Probe {
        Probe {
            name,
            address,
            sequence,
            helpers: Vec::new(),
            nacks: 0,
            started: now,
            period,
            steps_taken: 1,
            is_acknowledged: false,
        }
    }

    /// Records an ack, direct or indirect. Returns whether it is the first one.
    pub fn acknowledge(&mut self) -> bool {
        !std::mem::replace(&mut self.is_acknowledged, true)
    }

    /// Returns when the next step is due.
    pub fn next_step_at(&self) -> Micros {
        let offset = match self.steps_taken {
            _ if self.is_acknowledged => self.period,
            1 => RETRY_AFTER.of(self.period),
            2 => PING_REQ_AFTER.of(self.period),
            _ => self.period,
        };
        self.started + offset
    }

    /// Returns the step that is due now and advances to the next one.
    pub fn next_step(&mut self, now: Micros) -> ProbeStep {
        if now < self.next_step_at() || self.is_acknowledged {
            return ProbeStep::Wait;
        }
        self.steps_taken += 1;
        match self.steps_taken {
            2 => ProbeStep::Retry,
            3 => ProbeStep::PingReq,
            _ => ProbeStep::Failed,
        }
    }

    /// Returns the end of the period, when the next probe starts.
    pub fn period_end(&self) -> Micros {
        self.started + self.period
    }
}

/// Member that sent a ping-req, and the sequence number it uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeOrigin {
    /// Sequence number of the origin's probe.
    pub sequence: u32,
    /// Address of the origin.
    pub address: SocketAddr,
}

/// A probe that this node relays for another member.
#[derive(Clone, Debug)]
pub struct IndirectProbe {
    /// Sequence number of this node's ping.
    pub sequence: u32,
    /// Member that sent the ping-req.
    pub origin: ProbeOrigin,
    /// When the nack is due.
    pub nack_at: Micros,
    /// Whether the nack was sent.
    pub is_nack_sent: bool,
    /// When the probe is removed; a later ack is ignored.
    pub expires_at: Micros,
}

impl IndirectProbe {
    /// Creates a relayed probe whose ping is sent now.
    pub fn new(now: Micros, period: Micros, sequence: u32, origin: ProbeOrigin) -> IndirectProbe {
        IndirectProbe {
            sequence,
            origin,
            nack_at: now + NACK_AFTER.of(period),
            is_nack_sent: false,
            expires_at: now + INDIRECT_PROBE_PERIODS * period,
        }
    }
}
