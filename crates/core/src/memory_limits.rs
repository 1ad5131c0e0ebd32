//! Limits on the process's own memory, beyond which new work is rejected.

/// Memory of a request beside its body, in all tables together, in bytes.
pub const REQUEST_BYTES: usize = 1024;
/// Memory of the process without connections and requests, in bytes.
pub const PROCESS_BYTES: usize = 8 << 20;
/// Memory of a connection with its buffers, in bytes.
pub const CONNECTION_BYTES: usize = 24 << 10;
/// Lower limit of the memory that is divided: a few requests fit however small the machine is.
const MIN_DIVIDED_BYTES: usize = 2 << 20;

/// Memory limits of the process's tables, in bytes.
///
/// Work beyond a limit is rejected; no entry is evicted for it. The admission controller accounts
/// for the processor's memory: these limits keep the process itself within its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Requests and their bodies.
    pub requests: usize,
    /// Idempotency keys and their cached outcomes.
    pub keys: usize,
    /// Answers that wait to be written.
    pub answers: usize,
}

impl MemoryLimits {
    /// Divides the memory of a process, in bytes, which has at most this many connections. A tenth
    /// stays unused.
    pub fn for_process(memory: usize, connections: usize) -> MemoryLimits {
        let fixed = PROCESS_BYTES + connections * CONNECTION_BYTES;
        let divided = memory.saturating_sub(fixed).max(MIN_DIVIDED_BYTES);
        MemoryLimits {
            requests: divided / 10 * 3,
            keys: divided / 10 * 4,
            answers: divided / 10 * 2,
        }
    }
}
