//! The effective priority of requests: the caller's priority, reduced for retries and for tenants
//! over their quota.

use super::latency::{MICROS_PER_SECOND, SMOOTHING};
use crate::interface::{Micros, Request, Settings};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// The share by which the priority of a marked retry is reduced, as a retry has less time left than
/// a first attempt.
const RETRY_REDUCTION: f64 = 0.1;
/// The share of marked retries above which the whole fleet is considered overloaded.
const FLEET_OVERLOAD_RETRIES: f64 = 0.2;

/// The state, beyond the request itself, that effective priorities depend on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct PriorityEstimator {
    /// The times of recent first attempts of each tenant.
    #[serde(rename = "tenants")]
    tenant_arrivals: Vec<VecDeque<Micros>>,
    /// The smoothed share of requests that are marked retries.
    #[serde(rename = "retries")]
    retry_share: f64,
}

impl PriorityEstimator {
    pub(crate) fn new(tenant_count: usize) -> PriorityEstimator {
        PriorityEstimator {
            tenant_arrivals: vec![VecDeque::new(); tenant_count],
            retry_share: 0.0,
        }
    }

    /// Adapts to a changed number of tenants.
    pub(crate) fn resize(&mut self, tenant_count: usize) {
        self.tenant_arrivals.resize(tenant_count, VecDeque::new());
    }

    /// Whether the share of retries indicates that other servers are overloaded as well.
    pub(crate) fn is_fleet_overloaded(&self) -> bool {
        self.retry_share > FLEET_OVERLOAD_RETRIES
    }

    /// Records an arrival and returns its effective priority. Quotas apply to the arrivals of the
    /// last `window` microseconds.
    pub(crate) fn record_arrival(
        &mut self,
        settings: &Settings,
        now: Micros,
        request: &Request,
        window: f64,
    ) -> f64 {
        let retry = if request.is_retry { 1.0 } else { 0.0 };
        self.retry_share += 0.5 * SMOOTHING * (retry - self.retry_share);
        let mut priority = request.priority * (1.0 - RETRY_REDUCTION * retry);
        if let Some(tenant) = request.tenant.filter(|&t| t < settings.tenants.len()) {
            if !request.is_retry {
                self.tenant_arrivals[tenant].push_back(now);
            }
            let over_quota = self.over_quota_share(settings, tenant, now, window);
            priority *= 1.0 - over_quota * (1.0 - settings.over_quota_weight);
        }
        priority
    }

    /// The share of a tenant's recent arrivals that exceeds this server's part of its quota.
    fn over_quota_share(
        &mut self,
        settings: &Settings,
        tenant: usize,
        now: Micros,
        window: f64,
    ) -> f64 {
        let arrivals = &mut self.tenant_arrivals[tenant];
        while arrivals
            .front()
            .is_some_and(|&at| (now - at) as f64 > window)
        {
            arrivals.pop_front();
        }
        let quota = settings.tenants[tenant].quota_rps / settings.replicas.max(1.0) * window
            / MICROS_PER_SECOND;
        // The quota holds for the whole fleet: two standard deviations of a Poisson distributed
        // count are allowed on one server.
        let excess = arrivals.len() as f64 - quota - 2.0 * quota.sqrt();
        excess.max(0.0) / arrivals.len().max(1) as f64
    }
}
