//! Counters since the start of the process. They are logged on SIGUSR1 and at exit.

use std::fmt;

/// Counts of what the node received, sent and answered.
///
/// The keys of [`fmt::Display`] are read by tools and differ from the field names.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counters {
    /// Requests read completely, on all listeners.
    pub requests: u64,
    /// Duplicates, which are answered with the outcome of the attempt that owns their key.
    pub duplicates: u64,
    /// Answers with a result.
    pub served: u64,
    /// Answers that guarantee that the attempt did not run.
    pub rejected: u64,
    /// Answers to attempts that may have run.
    pub failed: u64,
    /// Requests whose caller disconnected or cancelled before the answer.
    pub abandoned: u64,
    /// Answers discarded because the peer does not read from its connection.
    pub undelivered: u64,
    /// Runs started.
    pub runs: u64,
    /// Runs that returned a result.
    pub runs_completed: u64,
    /// Stop commands for runs whose request was answered or abandoned.
    pub runs_stopped: u64,
    /// Calls to the downstream layer.
    pub calls: u64,
    /// Calls that returned a reply.
    pub calls_completed: u64,
    /// Commands that the processor rejected.
    pub rejected_commands: u64,
    /// Messages from any peer that violated the protocol.
    pub malformed: u64,
    /// Connections accepted.
    pub connections_accepted: u64,
    /// Failed attempts to accept a connection.
    pub accept_errors: u64,
    /// Idle connections closed in favour of new ones.
    pub connections_evicted: u64,
    /// Connections established to the processor.
    pub processor_connections: u64,
}

/// Answers and runs of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounters {
    /// Answers with a result.
    pub served: u64,
    /// Answers that guarantee that the attempt did not run.
    pub rejected: u64,
    /// Answers to attempts that may have run.
    pub failed: u64,
    /// Runs started.
    pub forwarded: u64,
}

/// Configuration files read on SIGHUP.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigFileCounters {
    /// Files that took effect.
    pub accepted: u64,
    /// Files rejected as invalid.
    pub rejected: u64,
}

impl fmt::Display for Counters {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(
            formatter,
            "requests={} repeats={} served={} refused={} failed={} gone={} undelivered={} ",
            self.requests,
            self.duplicates,
            self.served,
            self.rejected,
            self.failed,
            self.abandoned,
            self.undelivered,
        )?;
        write!(
            formatter,
            "runs={} runs_fine={} interrupted={} calls={} calls_fine={} rejected={} ",
            self.runs,
            self.runs_completed,
            self.runs_stopped,
            self.calls,
            self.calls_completed,
            self.rejected_commands,
        )?;
        write!(
            formatter,
            "malformed={} accepted={} accept_errors={} crowded_out={} links={}",
            self.malformed,
            self.connections_accepted,
            self.accept_errors,
            self.connections_evicted,
            self.processor_connections,
        )
    }
}
