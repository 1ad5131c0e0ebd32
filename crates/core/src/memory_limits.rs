//! Limits on the process's own memory, beyond which new work is rejected.

/// Memory of a request without its body, over all tables, in bytes.
pub const REQUEST_BYTES: usize = 1024;
/// Memory of the process without connections and requests, in bytes.
pub const PROCESS_BYTES: usize = 8 << 20;
/// Memory of a connection with its buffers, in bytes.
pub const CONNECTION_BYTES: usize = 24 << 10;
/// Lower limit of the memory divided among the tables, so that a few requests fit on any machine.
const MIN_DIVIDED_BYTES: usize = 2 << 20;

/// Memory limits of the process's tables, in bytes.
///
/// Work beyond a limit is rejected; no entry is evicted for it. These limits bound the memory of
/// the process itself; the admission controller accounts for the processor's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Requests and their bodies.
    pub requests: usize,
    /// Idempotency keys and their cached outcomes.
    pub keys: usize,
    /// Answers that are queued for writing.
    pub answers: usize,
    /// Incomplete messages, beyond the memory that each connection has in any case.
    pub incomplete: usize,
}

impl MemoryLimits {
    /// Divides the memory of a process, in bytes, that has at most this many connections. A
    /// twentieth of what remains after the fixed costs stays unused.
    pub fn for_process(memory: usize, connections: usize) -> MemoryLimits {
        let fixed = PROCESS_BYTES + connections * CONNECTION_BYTES;
        let divided = memory.saturating_sub(fixed).max(MIN_DIVIDED_BYTES);
        MemoryLimits {
            requests: divided / 10 * 3,
            keys: divided / 10 * 4,
            answers: divided / 10 * 2,
            incomplete: divided / 20,
        }
    }
}
