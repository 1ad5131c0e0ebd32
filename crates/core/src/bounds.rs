//! Shares of the process's memory, beyond which new work is refused.

/// What a request takes beside its body, in all tables together.
pub(super) const REQUEST: usize = 1024;

/// What the process takes whatever it holds, and what each connection takes with its buffers.
pub(super) const PROCESS: usize = 8 << 20;

pub(super) const CONNECTION: usize = 24 << 10;

/// On however little memory a node is started, it holds a few requests.
const LEAST: usize = 2 << 20;

/// The memory that may be taken, in bytes. What comes beyond is refused; nothing is forgotten for
/// it. The module's books are of the processor's memory: these keep the process itself within its
/// limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// By requests and their bodies.
    pub requests: usize,
    /// By keys and their results.
    pub keys: usize,
    /// By answers that wait to be written.
    pub answers: usize,
}

impl Bounds {
    /// The shares of a process that may take so many bytes and have so many connections. A tenth is
    /// left over.
    pub fn within(memory: usize, connections: usize) -> Bounds {
        let left = memory
            .saturating_sub(PROCESS + connections * CONNECTION)
            .max(LEAST);
        Bounds {
            requests: left / 10 * 3,
            keys: left / 10 * 4,
            answers: left / 10 * 2,
        }
    }
}
