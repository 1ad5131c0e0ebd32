//! Spare capacity elsewhere: whether other members are likely to admit a request that this node
//! rejects. If not, the response advises the client against a retry.
//!
//! Each member announces the priority below which it rejects requests. The estimate ignores old
//! announcements and is disabled while this node is partitioned.

use crate::members::Members;
use crate::record::State;
use crate::Micros;

/// Age in microseconds beyond which an announcement is ignored and the member counts as admitting
/// every request.
const MAX_ANNOUNCEMENT_AGE: Micros = 4_000_000;
/// Largest cluster in which load announcements arrive often enough for the estimate.
pub const MAX_MEMBERS: usize = 60;
/// Number of priority bands that are distinguished.
const BANDS: usize = 16;
/// A band is exhausted once less than this fraction of the other members admit its requests.
const EXHAUSTED_BELOW: f64 = 0.10;
/// An exhausted band has capacity again from this fraction on; the hysteresis keeps the estimate,
/// and with it the advice to clients, from alternating.
const AVAILABLE_FROM: f64 = 0.25;

/// Priority bands for which the other members have no spare capacity.
#[derive(Clone, Debug, Default)]
pub struct SpareCapacity {
    is_band_exhausted: [bool; BANDS],
}

/// Returns the highest priority of a band, in 255ths. A member with a higher cutoff may reject the
/// whole band.
fn highest_priority(band: usize) -> u8 {
    ((band + 1) * 255 / BANDS) as u8
}

impl SpareCapacity {
    /// Recomputes the estimate from the announced loads.
    pub fn update(
        &mut self,
        now: Micros,
        local_name: &str,
        members: &Members,
        is_partitioned: bool,
    ) {
        let cutoffs: Vec<u8> = members
            .iter()
            .filter(|(name, member)| *name != local_name && member.record.state == State::Alive)
            .map(|(_, member)| {
                if now - member.load_updated_at <= MAX_ANNOUNCEMENT_AGE {
                    member.record.load.priority_cutoff
                } else {
                    0
                }
            })
            .collect();
        let is_disabled =
            is_partitioned || cutoffs.is_empty() || members.active_count() > MAX_MEMBERS;
        for (band, is_exhausted) in self.is_band_exhausted.iter_mut().enumerate() {
            let admitting = cutoffs
                .iter()
                .filter(|cutoff| **cutoff < highest_priority(band))
                .count();
            let fraction = admitting as f64 / cutoffs.len().max(1) as f64;
            let threshold = if *is_exhausted {
                AVAILABLE_FROM
            } else {
                EXHAUSTED_BELOW
            };
            *is_exhausted = !is_disabled && fraction < threshold;
        }
    }

    /// Returns whether too few other members admit requests of this priority, which is from 0 to
    /// below 1.
    pub fn is_exhausted(&self, priority: f64) -> bool {
        self.is_band_exhausted[((priority * BANDS as f64) as usize).min(BANDS - 1)]
    }
}
