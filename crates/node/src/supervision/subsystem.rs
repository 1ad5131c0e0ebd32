//! The subsystems of a node, which are the units of failure.

use std::fmt;

/// A part of the node that has tasks or a thread of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subsystem {
    /// Startup, signals, reload and shutdown.
    Main,
    /// The timer of the core and the admission controller.
    Core,
    /// The front ends' acceptors and connections.
    Front,
    /// The processor connection.
    Processor,
    /// Calls to the ledger.
    Ledger,
    /// Heartbeats to the service registry.
    Registry,
    /// Runs on uwsgi workers.
    Workers,
    /// The control endpoint.
    Control,
    /// The membership, with subsetting, session affinity and the decisions on config versions.
    Fleet,
    /// The thread that writes config versions, and the task that handles its results.
    Versions,
    /// The idempotency store's thread, and the task that passes batches to it.
    Store,
    /// The thread that writes the capture.
    Capture,
    /// The connections between a process and its successor.
    HotRestart,
}

impl Subsystem {
    /// The name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Subsystem::Main => "main",
            Subsystem::Core => "core",
            Subsystem::Front => "front",
            Subsystem::Processor => "processor",
            Subsystem::Ledger => "ledger",
            Subsystem::Registry => "registry",
            Subsystem::Workers => "workers",
            Subsystem::Control => "control",
            Subsystem::Fleet => "fleet",
            Subsystem::Versions => "versions",
            Subsystem::Store => "store",
            Subsystem::Capture => "capture",
            Subsystem::HotRestart => "hot-restart",
        }
    }

    /// Whether the process goes on without it: no request, key or peer depends on a capture.
    pub fn is_optional(self) -> bool {
        self == Subsystem::Capture
    }

    /// Whether its failure leaves the membership driver unusable.
    pub fn drives_membership(self) -> bool {
        matches!(self, Subsystem::Fleet | Subsystem::Versions)
    }
}

impl fmt::Display for Subsystem {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(self.name())
    }
}
