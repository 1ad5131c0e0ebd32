//! Graceful shutdown of the node, and retirement of a process that its successor has replaced.

use super::NodeState;
use pipitlever_admission::Micros;
use pipitlever_wire::jsonrpc;

/// Phase of the shutdown. Each phase includes the ones before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
enum ShutdownPhase {
    /// Requests are served.
    #[default]
    Serving,
    /// Requests that still arrive are served; the service registry has been notified.
    Draining,
    /// Gateways were sent `goaway` and send no new requests.
    Closing,
    /// All connections are being closed.
    ClosingAll,
}

/// The state of the shutdown.
#[derive(Debug, Default)]
pub struct ShutdownState {
    phase: ShutdownPhase,
    /// Whether another process of the node has replaced this one.
    is_replaced: bool,
}

impl ShutdownState {
    /// Whether gateways were sent `goaway` because this process ends.
    pub fn is_closing(&self) -> bool {
        self.phase >= ShutdownPhase::Closing
    }

    /// Whether all connections are being closed.
    pub fn is_closing_all(&self) -> bool {
        self.phase >= ShutdownPhase::ClosingAll
    }

    fn is_draining(&self) -> bool {
        self.phase >= ShutdownPhase::Draining
    }
}

impl NodeState {
    /// Begins to drain: requests that still arrive are served until [`NodeState::begin_close_all`].
    /// `remaining` is the time until the process ends, in microseconds.
    pub fn begin_drain(&mut self, remaining: Micros) {
        self.shutdown.phase = ShutdownPhase::Draining;
        self.shutdown_started.notify();
        self.with_core(|core, now| core.begin_shutdown(now, remaining));
    }

    /// Sends `goaway` to all gateways, so that they send no new requests.
    pub fn send_goaway(&mut self) {
        self.shutdown.phase = ShutdownPhase::Closing;
        // Only now are clients kept away: until here requests were served.
        self.core.advertise_shutdown();
        self.send_goaway_to_gateways();
    }

    /// Begins to retire this process after its successor has replaced it. Gateways have been sent
    /// `goaway` already. `remaining` is the time until the process ends, in microseconds.
    pub fn begin_retirement(&mut self, remaining: Micros) {
        self.shutdown.phase = ShutdownPhase::Draining;
        self.shutdown.is_replaced = true;
        self.shutdown_started.notify();
        self.with_core(|core, now| core.begin_retirement(now, remaining));
    }

    /// Closes all connections, each once no request is open on it.
    pub fn begin_close_all(&mut self) {
        self.shutdown.phase = ShutdownPhase::ClosingAll;
        self.connections.request_close_all();
    }

    /// Sets whether this process accepts connections. If it stops accepting because another process
    /// of the node accepts instead, gateways are sent `goaway`, so that they connect to that
    /// process.
    pub fn set_accepting(&mut self, is_accepting: bool) {
        self.is_accepting = is_accepting;
        if !is_accepting {
            self.send_goaway_to_gateways();
        }
    }

    fn send_goaway_to_gateways(&mut self) {
        for id in self.connections.gateways() {
            self.connections.send(id, jsonrpc::write_goaway);
        }
    }

    /// Whether another process of the node has replaced this one.
    pub fn is_replaced(&self) -> bool {
        self.shutdown.is_replaced
    }

    /// Whether this process shuts down or retires.
    pub fn is_draining(&self) -> bool {
        self.shutdown.is_draining()
    }

    /// Whether gateways were sent `goaway` because this process ends.
    pub fn is_closing(&self) -> bool {
        self.shutdown.is_closing()
    }

    /// Whether every request that was read is answered, every answer is written, and the store and
    /// the successor have every outcome.
    pub fn is_settled(&self) -> bool {
        self.core.unanswered() == 0
            && self.connections.unsent_bytes() == 0
            && self.core.is_store_idle()
            && self.is_transfer_complete()
    }

    /// Whether the successor, if there is one, has the outcome of every keyed run. Outcomes that
    /// are not transferred are lost.
    fn is_transfer_complete(&self) -> bool {
        !self.shutdown.is_replaced
            || !(self.core.has_keyed_runs()
                || self.core.has_key_updates()
                || self.hot_restart.unsent_bytes > 0)
    }
}
