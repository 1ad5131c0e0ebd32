//! The members that can get the next run.

use super::{Pool, PoolEvent};
use crate::outlier_detection::HealthStatus;
use crate::Micros;
use rand::rngs::SmallRng;
use rand::Rng;

/// Positions of the members that can get runs, rebuilt after each change.
#[derive(Debug, Default)]
pub(super) struct Candidates {
    /// Members that runs are balanced over.
    pub(super) usable: Vec<usize>,
    /// Running sum of the weights of `usable`, for weighted draws.
    cumulative_weights: Vec<f64>,
    /// Members that a single run may probe.
    pub(super) on_probation: Vec<usize>,
    /// Members of `usable` in slow start.
    pub(super) in_slow_start: Vec<usize>,
}

impl Candidates {
    /// Sum of the weights of the usable members.
    pub(super) fn total_weight(&self) -> f64 {
        self.cumulative_weights.last().copied().unwrap_or_default()
    }

    /// Draws a usable member with a probability proportional to its weight. At least one member
    /// has to be usable.
    pub(super) fn draw(&self, rng: &mut SmallRng) -> usize {
        let point = rng.random_range(0.0..self.total_weight());
        let drawn = self
            .cumulative_weights
            .partition_point(|weight| *weight <= point);
        self.usable[drawn.min(self.usable.len() - 1)]
    }
}

/// Whether standby members get runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StandbyUse {
    Inactive,
    /// No other member is usable.
    Active,
    /// Another member is usable again. Standby members stay in use for
    /// [`super::PoolConfig::standby_hold`], in case it fails again.
    Holding {
        since: Micros,
    },
}

impl<A: Clone + PartialEq> Pool<A> {
    /// Rebuilds the candidates after a change of members, of their health, or of the panic mode.
    pub(super) fn rebuild_candidates(&mut self, now: Micros) {
        self.positions = (self.members.iter().enumerate())
            .map(|(position, member)| (member.id, position))
            .collect();
        let active_tier = self.active_tier(now);
        self.update_standby_use(now, active_tier.is_some());
        let usable = self.usable_members(now, active_tier);
        let in_panic = self.panic_until.is_some();
        self.candidates = Candidates {
            cumulative_weights: self.cumulative_weights(&usable),
            on_probation: if in_panic {
                Vec::new()
            } else {
                self.members_on_probation()
            },
            in_slow_start: if in_panic {
                Vec::new()
            } else {
                self.in_slow_start(&usable)
            },
            usable,
        };
        self.next_transition = self.next_transition();
    }

    /// Whether a member is healthy, or the panic mode ignores its ejection.
    fn may_get_runs(&self, now: Micros, position: usize) -> bool {
        self.panic_until.is_some() || self.members[position].is_healthy(now)
    }

    /// The lowest tier with a usable member, standby members aside.
    fn active_tier(&self, now: Micros) -> Option<u32> {
        (self.members.iter().enumerate())
            .filter(|(_, member)| member.is_enabled_primary())
            .filter(|&(position, _)| self.may_get_runs(now, position))
            .map(|(_, member)| member.settings.tier)
            .min()
    }

    fn update_standby_use(&mut self, now: Micros, has_usable_primary: bool) {
        self.standby_use = match (has_usable_primary, self.standby_use) {
            (false, StandbyUse::Inactive) => {
                if !self.members.iter().any(|m| m.is_enabled_standby()) {
                    return;
                }
                self.events.push(PoolEvent::StandbyActivated);
                StandbyUse::Active
            }
            (false, StandbyUse::Active | StandbyUse::Holding { .. }) => StandbyUse::Active,
            (true, StandbyUse::Inactive) => StandbyUse::Inactive,
            (true, StandbyUse::Active) => StandbyUse::Holding { since: now },
            (true, StandbyUse::Holding { since }) => {
                if now < since + self.config.standby_hold {
                    return;
                }
                self.events.push(PoolEvent::StandbyReleased);
                StandbyUse::Inactive
            }
        };
    }

    fn usable_members(&self, now: Micros, active_tier: Option<u32>) -> Vec<usize> {
        let is_in_use = |position: usize| {
            let settings = &self.members[position].settings;
            if settings.is_standby {
                self.standby_use != StandbyUse::Inactive
            } else {
                Some(settings.tier) == active_tier
            }
        };
        self.enabled_members()
            .filter(|&position| self.may_get_runs(now, position) && is_in_use(position))
            .collect()
    }

    fn enabled_members(&self) -> impl Iterator<Item = usize> + '_ {
        (self.members.iter().enumerate())
            .filter(|(_, member)| member.is_enabled())
            .map(|(position, _)| position)
    }

    fn members_on_probation(&self) -> Vec<usize> {
        self.enabled_members()
            .filter(|&position| self.members[position].detector.status().is_on_probation())
            .collect()
    }

    fn in_slow_start(&self, usable: &[usize]) -> Vec<usize> {
        let is_in_slow_start = |&position: &usize| {
            matches!(
                self.members[position].detector.status(),
                HealthStatus::SlowStart { .. }
            )
        };
        usable.iter().copied().filter(is_in_slow_start).collect()
    }

    fn cumulative_weights(&self, usable: &[usize]) -> Vec<f64> {
        let mut sum = 0.0;
        let add = |&position: &usize| {
            sum += self.members[position].settings.weight;
            sum
        };
        usable.iter().map(add).collect()
    }

    fn next_transition(&self) -> Micros {
        let standby_release = match self.standby_use {
            StandbyUse::Holding { since } => Some(since + self.config.standby_hold),
            StandbyUse::Inactive | StandbyUse::Active => None,
        };
        self.members
            .iter()
            .filter_map(|member| member.detector.next_transition())
            .chain(self.panic_until)
            .chain(standby_release)
            .min()
            .unwrap_or(Micros::MAX)
    }
}
