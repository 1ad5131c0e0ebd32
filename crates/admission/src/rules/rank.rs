//! What a request is worth beside the others, and how many of them were tries that others turned
//! away.

use super::*;

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Rank {
    pub(crate) tenants: Vec<VecDeque<Micros>>,
    pub(crate) retries: f64,
}

impl Rank {
    /// Rank with what the class band does not know: tenants over quota are worth little, and a
    /// marked retry has less of its time left than a first try.
    pub(crate) fn worth(&mut self, s: &Settings, now: Micros, r: &Request, span: f64) -> f64 {
        let retry = if r.is_retry { 1.0 } else { 0.0 };
        self.retries += 0.5 * SMOOTH * (retry - self.retries);
        let mut worth = r.priority * (1.0 - 0.1 * retry);
        if let Some(t) = r.tenant.filter(|&t| t < s.tenants.len()) {
            let seen = &mut self.tenants[t];
            if !r.is_retry {
                seen.push_back(now);
            }
            while seen.front().is_some_and(|&at| (now - at) as f64 > span) {
                seen.pop_front();
            }
            let quota = s.tenants[t].quota_rps / s.replicas.max(1.0) * span / 1e6;
            // Twice the spread of a chance count is allowed, since a quota holds for the fleet, not
            // here.
            let over = seen.len() as f64 - quota - 2.0 * quota.sqrt();
            worth *= 1.0 - over.max(0.0) / seen.len().max(1) as f64 * (1.0 - s.over_quota_weight);
        }
        worth
    }
}
