//! The memory budget: an exact account of queued and running requests and retained keys.

use crate::interface::{Micros, RequestId, Settings};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The share of the memory that runs and keys may reserve. Requests are read into the rest before
/// the controller can reject them.
const RESERVABLE_SHARE: f64 = 0.9;

/// Reserved memory and retained keys.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct MemoryBudget {
    /// The memory of queued and running requests, in kilobytes.
    #[serde(rename = "requests")]
    pub(crate) requests_kb: f64,
    /// Retained keys, by expiry and request.
    #[serde(rename = "keys")]
    keys_by_expiry: BTreeSet<(Micros, RequestId)>,
    /// The expiry of the key of each request.
    #[serde(rename = "expiry")]
    key_expiry: BTreeMap<RequestId, Micros>,
}

impl MemoryBudget {
    /// The reserved memory in kilobytes.
    pub(crate) fn used_kb(&self, settings: &Settings) -> f64 {
        self.requests_kb + self.keys_by_expiry.len() as f64 * settings.key_kb
    }

    /// Whether this much more memory can be reserved for a run or a key.
    pub(crate) fn has_capacity(&self, settings: &Settings, additional_kb: f64) -> bool {
        self.used_kb(settings) + additional_kb <= RESERVABLE_SHARE * settings.memory_kb
    }

    /// Retains the key of a request until this time, in place of an earlier expiry.
    pub(crate) fn retain_key(&mut self, id: RequestId, until: Micros) {
        self.release_key(id);
        self.keys_by_expiry.insert((until, id));
        self.key_expiry.insert(id, until);
    }

    /// Releases the key of a request, if it is retained.
    pub(crate) fn release_key(&mut self, id: RequestId) {
        if let Some(until) = self.key_expiry.remove(&id) {
            self.keys_by_expiry.remove(&(until, id));
        }
    }

    /// Releases all keys that expired before this time.
    pub(crate) fn release_expired(&mut self, now: Micros) {
        while let Some(&(until, id)) = self.keys_by_expiry.first().filter(|key| key.0 < now) {
            self.keys_by_expiry.remove(&(until, id));
            self.key_expiry.remove(&id);
        }
    }
}
