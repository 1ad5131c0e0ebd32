//! State read by drivers and operators: health, load level, standby, sizes of tables.

use crate::core::Core;
use crate::request::Reference;
use pipitlever_admission::{Controller, Micros, Mode, RequestStatus};

/// Sizes of the core's tables.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableSizes {
    /// Open requests.
    pub requests: usize,
    /// Memory of open requests, in bytes.
    pub request_bytes: usize,
    /// References of open requests.
    pub references: usize,
    /// Timers of open requests.
    pub request_timers: usize,
    /// Open requests whose run may have been started.
    pub running: usize,
    /// Idempotency keys.
    pub keys: usize,
    /// Memory of idempotency keys with their outcomes, in bytes.
    pub key_bytes: usize,
}

impl Core {
    /// Whether the node is still starting: the controller has not been started.
    pub fn is_starting(&self) -> bool {
        !self.admission.is_started()
    }

    /// The load level sent with every answer; `None` until the controller has computed one.
    pub fn load_level(&self) -> Option<f64> {
        self.availability.load_level
    }

    /// Whether health checks of the node pass.
    pub fn is_healthy(&self) -> bool {
        self.availability.passes_health_checks(self.now)
    }

    /// Sets the time until which the active configuration is known to be valid; `None` if its
    /// validity is not known. Returns whether the change starts or ends the admission of requests.
    ///
    /// The expiry is checked with each request rather than by a timer, because a process that was
    /// suspended past the expiry may have unread requests in its sockets when it continues.
    pub fn set_configuration_expiry(&mut self, expiry: Option<Micros>) -> bool {
        let new = expiry.unwrap_or(Micros::MIN);
        let old = std::mem::replace(&mut self.availability.configuration_expiry, new);
        (old == Micros::MIN) != (new == Micros::MIN)
    }

    /// Whether the configuration may be stale, so that no request may be admitted or started.
    pub fn is_configuration_expired(&self, now: Micros) -> bool {
        self.availability.is_configuration_expired(now)
    }

    /// Sets or ends standby, in which health checks fail and requests are still served. Returns
    /// whether the state has changed.
    pub fn set_standby(&mut self, is_standby: bool) -> bool {
        std::mem::replace(&mut self.availability.is_standby, is_standby) != is_standby
    }

    /// Whether operators have set the node to standby.
    pub fn is_standby(&self) -> bool {
        self.availability.is_standby
    }

    /// Whether runs are stalled: all cores are in use, and no run ends.
    pub fn is_stalled(&self) -> bool {
        self.admission
            .controller()
            .is_some_and(Controller::is_stalled)
    }

    /// Whether the controller rejects all requests, or those of low priority.
    pub fn is_overloaded(&self) -> bool {
        self.admission
            .controller()
            .is_some_and(|controller| controller.mode() != Mode::Normal)
    }

    /// How long a connection may be idle, in microseconds.
    pub fn idle_timeout(&self) -> Micros {
        self.availability.idle_timeout
    }

    /// Limit on a result, in bytes.
    pub fn max_result_bytes(&self) -> usize {
        self.keys.max_result_bytes()
    }

    /// The number of requests that are neither answered nor abandoned.
    pub fn unanswered(&self) -> usize {
        self.requests.unanswered()
    }

    /// Whether the counters are consistent: each request is answered, abandoned or unanswered.
    pub fn has_consistent_counters(&self) -> bool {
        let counters = &self.counters;
        let answered = counters.served + counters.rejected + counters.failed;
        counters.requests == answered + counters.abandoned + self.unanswered() as u64
    }

    /// The sizes of the tables.
    pub fn table_sizes(&self) -> TableSizes {
        TableSizes {
            requests: self.requests.len(),
            request_bytes: self.requests.bytes(),
            references: self.requests.references(),
            request_timers: self.timers.request_timers(),
            running: self.requests.running(),
            keys: self.keys.len(),
            key_bytes: self.keys.bytes(),
        }
    }

    /// The controller's status of an open request.
    pub fn request_status(&self, reference: Reference) -> Option<RequestStatus> {
        let id = self.requests.id_of(reference)?;
        self.admission.controller()?.request_status(id)
    }
}
