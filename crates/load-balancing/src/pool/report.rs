//! The state of each member, for the log.

use super::tracked_member::TrackedMember;
use super::{MemberMode, Pool};
use crate::outlier_detection::{EjectionReason, HealthStatus};
use crate::{Micros, SECOND};
use std::fmt;

const MICROS_PER_MILLISECOND: f64 = 1000.0;

/// The administrative or health state of a member.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ReportedState {
    Removed,
    Disabled,
    Draining,
    Healthy,
    Ejected(EjectionReason),
    Probation,
    SlowStart,
}

impl fmt::Display for ReportedState {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ReportedState::Removed => write!(f, "removed"),
            ReportedState::Disabled => write!(f, "disabled"),
            ReportedState::Draining => write!(f, "draining"),
            ReportedState::Healthy => write!(f, "healthy"),
            ReportedState::Ejected(reason) => write!(f, "ejected({reason})"),
            ReportedState::Probation => write!(f, "probation"),
            ReportedState::SlowStart => write!(f, "slow_start"),
        }
    }
}

/// The state of one member. `Display` renders the log line.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberReport<A> {
    address: A,
    state: ReportedState,
    /// Time in the present health status.
    seconds_in_state: Micros,
    in_flight: usize,
    concurrency_limit: usize,
    latency_ms: f64,
    weight: f64,
    is_standby: bool,
}

impl<A: fmt::Display> fmt::Display for MemberReport<A> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "member={} state={} since_s={} runs={} limit={} latency_ms={:.1} weight={}{}",
            self.address,
            self.state,
            self.seconds_in_state,
            self.in_flight,
            self.concurrency_limit,
            self.latency_ms,
            self.weight,
            if self.is_standby { " standby" } else { "" }
        )
    }
}

impl<A: Clone> Pool<A> {
    /// Reports on each member.
    pub fn report(&self, now: Micros) -> Vec<MemberReport<A>> {
        let report = |member: &TrackedMember<A>| {
            let latency = member.latency(now, self.config.latency_decay, self.typical_latency);
            MemberReport {
                address: member.settings.address.clone(),
                state: reported_state(member),
                seconds_in_state: (now - member.detector.entered_at()).max(0) / SECOND,
                in_flight: member.runs.len(),
                concurrency_limit: member.limit.allowed_runs(),
                latency_ms: latency / MICROS_PER_MILLISECOND,
                weight: member.settings.weight,
                is_standby: member.settings.is_standby,
            }
        };
        self.members.iter().map(report).collect()
    }
}

/// The operator's settings take precedence over the health status.
fn reported_state<A>(member: &TrackedMember<A>) -> ReportedState {
    if member.is_removed {
        return ReportedState::Removed;
    }
    match member.settings.mode {
        MemberMode::Disabled => return ReportedState::Disabled,
        MemberMode::Draining => return ReportedState::Draining,
        MemberMode::Active => {}
    }
    match member.detector.status() {
        HealthStatus::Healthy => ReportedState::Healthy,
        HealthStatus::Ejected { reason, .. } => ReportedState::Ejected(reason),
        HealthStatus::Probation { .. } => ReportedState::Probation,
        HealthStatus::SlowStart { .. } => ReportedState::SlowStart,
    }
}
