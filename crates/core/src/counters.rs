//! What the node has taken in, sent and answered; printed on request (SIGUSR1) and at exit.

/// Plain counts since the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counters {
    /// Requests read whole from either front.
    pub requests: u64,
    /// Repeats of a key that joined or reused another try.
    pub repeats: u64,
    /// Answers with a result.
    pub served: u64,
    /// Answers that promise that the try never ran.
    pub refused: u64,
    /// Answers without that promise.
    pub failed: u64,
    /// Requests whose caller left before its answer.
    pub gone: u64,
    /// Answers that were given up, as their connection's peer does not read.
    pub undelivered: u64,
    /// Runs begun.
    pub runs: u64,
    /// Runs that ended well.
    pub runs_fine: u64,
    /// Runs that nobody waited for any more and that were told to stop.
    pub interrupted: u64,
    /// Calls placed with the layer below.
    pub calls: u64,
    /// Calls that went well.
    pub calls_fine: u64,
    /// Commands that the processor rejected.
    pub rejected: u64,
    /// Messages that broke the protocol, all parties together.
    pub malformed: u64,
    /// Connections accepted.
    pub accepted: u64,
    /// Times that accepting a connection failed.
    pub accept_errors: u64,
    /// Connections closed to make room for others.
    pub crowded_out: u64,
    /// Links to the processor that were set up.
    pub links: u64,
}

/// What became of the requests of one class, counted where it is decided.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ByClass {
    /// Served.
    pub fulfilled: u64,
    /// Refused.
    pub throttled: u64,
    /// Failed.
    pub faulted: u64,
    /// Runs handed on.
    pub relayed: u64,
}

/// Configuration files that came with SIGHUP.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Files {
    /// Taken.
    pub accepted: u64,
    /// Turned down.
    pub invalid: u64,
}

impl std::fmt::Display for Counters {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let c = self;
        write!(
            f,
            "requests={} repeats={} served={} refused={} failed={} gone={} undelivered={} runs={} runs_fine={} interrupted={} \
             calls={} calls_fine={} rejected={} malformed={} accepted={} accept_errors={} crowded_out={} links={}",
            c.requests,
            c.repeats,
            c.served,
            c.refused,
            c.failed,
            c.gone,
            c.undelivered,
            c.runs,
            c.runs_fine,
            c.interrupted,
            c.calls,
            c.calls_fine,
            c.rejected,
            c.malformed,
            c.accepted,
            c.accept_errors,
            c.crowded_out,
            c.links
        )
    }
}
