//! The first use of the view: whether a caller that is refused here has anywhere to go. If not,
//! another try only costs the fleet a further reading, and the caller is better told so.
//!
//! Each member tells the rank below which it refuses. What is older than some seconds counts for
//! nothing, and neither does anything where this node is cut off.

use crate::members::Members;
use crate::record::State;
use crate::Micros;

/// News older than this says nothing of now: the member may take anything.
const STALE: Micros = 4_000_000;
/// Beyond so many members readings can't be told often enough to be of use.
pub const MAX_MEMBERS: usize = 60;
/// Ranks are told apart in so many bands.
const BANDS: usize = 16;
/// There is nowhere to go once fewer than this share of the others would take a request, and
/// somewhere again beyond the other share: at one boundary callers would be sent back and forth.
const NOWHERE: f64 = 0.10;
const SOMEWHERE: f64 = 0.25;

/// What is seen of the others.
#[derive(Clone, Debug, Default)]
pub struct SpareCapacity {
    nowhere: [bool; BANDS],
}

/// The highest rank of a band, in 255ths: who refuses below that may refuse all of the band.
fn top(band: usize) -> u8 {
    ((band + 1) * 255 / BANDS) as u8
}

impl SpareCapacity {
    /// Looks at the others, some times a second.
    pub fn update(&mut self, now: Micros, own: &str, members: &Members, cut_off: bool) {
        let others: Vec<u8> = members
            .iter()
            .filter(|(name, m)| *name != own && m.record.state == State::Alive)
            .map(|(_, m)| {
                if now - m.load_updated_at <= STALE {
                    m.record.load.1
                } else {
                    0
                }
            })
            .collect();
        let blind = cut_off || others.is_empty() || members.active_count() > MAX_MEMBERS;
        for (band, nowhere) in self.nowhere.iter_mut().enumerate() {
            let open = others.iter().filter(|cut| **cut < top(band)).count();
            let share = open as f64 / others.len().max(1) as f64;
            *nowhere = !blind && share < if *nowhere { SOMEWHERE } else { NOWHERE };
        }
    }

    /// Whether nobody else would take a request of this rank, from 0 to under 1.
    pub fn is_exhausted(&self, rank: f64) -> bool {
        self.nowhere[((rank * BANDS as f64) as usize).min(BANDS - 1)]
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::local_member::LocalMember;

    fn members(cuts: &[u8], at: Micros) -> Members {
        let mut members = Members::default();
        for (i, cut) in cuts.iter().enumerate() {
            let mut record = LocalMember::new(1, ([127, 0, 0, 1], 1).into(), "").record;
            record.load = (1, *cut);
            members.insert(&format!("n{i}"), record, at, "n0");
        }
        members
    }

    #[test]
    fn what_the_others_refuse_has_nowhere_to_go_and_only_while_that_is_news() {
        let mut seen = SpareCapacity::default();
        let mut cuts = [128; 21];
        seen.update(0, "n0", &members(&cuts, 0), false);
        assert!(seen.is_exhausted(0.3) && !seen.is_exhausted(0.7));
        // One of the twenty others takes it: not worth a search. Three: it is.
        cuts[1] = 0;
        seen.update(0, "n0", &members(&cuts, 0), false);
        assert!(seen.is_exhausted(0.3));
        cuts[2..5].fill(0);
        seen.update(0, "n0", &members(&cuts, 0), false);
        assert!(
            seen.is_exhausted(0.3),
            "a share between the two changes nothing"
        );
        cuts[5..9].fill(0);
        seen.update(0, "n0", &members(&cuts, 0), false);
        assert!(!seen.is_exhausted(0.3));
        cuts[6..9].fill(255);
        seen.update(0, "n0", &members(&cuts, 0), false);
        assert!(!seen.is_exhausted(0.3), "nor from the other side");
        let all = [255; 21];
        seen.update(0, "n0", &members(&all, 0), false);
        assert!(seen.is_exhausted(0.99));
        seen.update(STALE + 1, "n0", &members(&all, 0), false);
        assert!(!seen.is_exhausted(0.0), "old news says nothing");
        seen.update(0, "n0", &members(&all, 0), true);
        assert!(!seen.is_exhausted(0.0), "nor does a node that is cut off");
        seen.update(0, "n0", &members(&[255], 0), false);
        assert!(!seen.is_exhausted(0.0), "nor one that is alone");
        seen.update(0, "n0", &members(&[255; MAX_MEMBERS + 1], 0), false);
        assert!(
            !seen.is_exhausted(0.0),
            "nor in a fleet too large to tell in time"
        );
    }
}
