//! The state that the node advertises: health, load level, standby, and how long its configuration
//! is valid.

use pipitlever_admission::Micros;

/// The advertised state of a node.
#[derive(Debug)]
pub(crate) struct Availability {
    /// The load level sent with every answer; `None` until the controller has computed one.
    pub(crate) load_level: Option<f64>,
    /// The load level of a node that shuts down.
    pub(crate) final_load_level: Option<f64>,
    /// Whether clients are to be kept away because the node shuts down.
    pub(crate) is_shutdown_advertised: bool,
    /// Whether the controller considers the node healthy.
    pub(crate) is_healthy: bool,
    /// Operators have set the node to standby: health checks fail, requests are still served.
    pub(crate) is_standby: bool,
    /// From this time on the version of the settings may be stale, so no request is admitted or
    /// started.
    pub(crate) configuration_expiry: Micros,
    /// How long a connection may be idle, in microseconds.
    pub(crate) idle_timeout: Micros,
    /// This process is shutting down while its successor serves the node (phase `Retire` of a hot
    /// restart).
    pub(crate) is_retiring: bool,
}

impl Availability {
    /// The state before the controller has started.
    pub(crate) fn new(idle_timeout: Micros) -> Availability {
        Availability {
            load_level: None,
            final_load_level: None,
            is_shutdown_advertised: false,
            is_healthy: false,
            is_standby: false,
            configuration_expiry: Micros::MAX,
            idle_timeout,
            is_retiring: false,
        }
    }

    /// Whether the configuration may be stale, so that no request may be admitted or started.
    pub(crate) fn is_configuration_expired(&self, now: Micros) -> bool {
        now >= self.configuration_expiry
    }

    /// Whether health checks of the node pass.
    pub(crate) fn passes_health_checks(&self, now: Micros) -> bool {
        self.is_healthy && !self.is_standby && !self.is_configuration_expired(now)
    }

    /// The retry delay sent to a rejected caller: none from a retiring process, as its successor
    /// accepts the retry at once.
    pub(crate) fn advised_delay(&self, delay: Micros) -> Micros {
        if self.is_retiring {
            0
        } else {
            delay
        }
    }
}
