//! Where a session would live that is placed now: weighted rendezvous (Thaler and Ravishankar 1998,
//! with weights after Schindelhauer and Schomaker 2005). It follows from the session and the
//! workers alone, so that all nodes would place it alike, and those that have to leave a worker
//! spread over the others by weight.

use crate::{mix, Session, WorkerId};

/// A worker of a pool, as the version in force has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Worker {
    /// What it is called.
    pub id: WorkerId,
    /// Its share of new sessions; above 0.
    pub weight: f64,
    /// It takes new sessions.
    pub accepts_sessions: bool,
    /// It keeps those that it has; a draining one does, for a while.
    pub retains_sessions: bool,
}

/// The worker of a new session, of those that are not to be had; none if nobody takes any.
pub fn select_worker(
    session: Session,
    workers: &[Worker],
    not: impl Fn(WorkerId) -> bool,
) -> Option<WorkerId> {
    let worth = |w: &&Worker| {
        // Within 0 and 1, and neither.
        let drawn = ((mix(session, u64::from(w.id)) >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
        -w.weight / drawn.ln()
    };
    let there = workers.iter().filter(|w| w.accepts_sessions && !not(w.id));
    there
        .max_by(|a, b| worth(a).total_cmp(&worth(b)).then(a.id.cmp(&b.id)))
        .map(|w| w.id)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn workers(weights: &[f64]) -> Vec<Worker> {
        let worker = |(i, w): (usize, &f64)| Worker {
            id: i as u32 + 1,
            weight: *w,
            accepts_sessions: true,
            retains_sessions: true,
        };
        weights.iter().enumerate().map(worker).collect()
    }

    #[test]
    fn sessions_spread_by_weight_and_those_of_one_over_all() {
        let all = workers(&[1.0, 1.0, 2.0, 4.0]);
        let mut counts = [0; 4];
        let mut after = [0; 4];
        for session in 0..80_000 {
            let at = select_worker(mix(session, 9), &all, |_| false).unwrap();
            counts[at as usize - 1] += 1;
            let next = select_worker(mix(session, 9), &all, |w| w == 4).unwrap();
            assert!(at == 4 || at == next, "nobody else moves");
            after[next as usize - 1] += 1;
        }
        for (count, ideal) in counts.into_iter().zip([10_000, 10_000, 20_000, 40_000]) {
            assert!(
                (ideal * 97 / 100..ideal * 103 / 100).contains(&count),
                "{counts:?}"
            );
        }
        for (count, ideal) in after.into_iter().zip([20_000, 20_000, 40_000]) {
            assert!(
                (ideal * 97 / 100..ideal * 103 / 100).contains(&count),
                "{after:?}"
            );
        }
        assert_eq!(select_worker(1, &all, |_| true), None);
        assert_eq!(select_worker(1, &[], |_| false), None);
    }
}
