//! An exact account of memory: held and running requests and kept keys.

use super::*;

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Memory {
    pub(crate) requests: f64,
    pub(crate) keys: BTreeSet<(Micros, RequestId)>,
    pub(crate) expiry: BTreeMap<RequestId, Micros>,
}

impl Memory {
    pub(crate) fn used(&self, s: &Settings) -> f64 {
        self.requests + self.keys.len() as f64 * s.key_kb
    }

    /// Room is asked for before a run or a key; a tenth stays free, as reading takes memory
    /// unasked.
    pub(crate) fn room(&self, s: &Settings, more: f64) -> bool {
        self.used(s) + more <= 0.9 * s.memory_kb
    }

    pub(crate) fn keep(&mut self, id: RequestId, until: Micros) {
        self.forget(id);
        self.keys.insert((until, id));
        self.expiry.insert(id, until);
    }

    pub(crate) fn forget(&mut self, id: RequestId) {
        if let Some(until) = self.expiry.remove(&id) {
            self.keys.remove(&(until, id));
        }
    }

    pub(crate) fn expire(&mut self, now: Micros) {
        while let Some(&(until, id)) = self.keys.first().filter(|k| k.0 < now) {
            self.keys.remove(&(until, id));
            self.expiry.remove(&id);
        }
    }
}
