//! Limits on connections and memory. During a hot restart two processes of the node share them.

use pipitlever_core::MemoryLimits;

/// Lower bound of the limit on connections, however few descriptors there are.
const MIN_CONNECTIONS: usize = 8;
/// Maximum number of connections that are kept free for new clients.
const MAX_SPARE_CONNECTIONS: usize = 16;
/// The number of spare connections is at most the limit divided by this. Spare connections are
/// needed because closing an idle connection takes time.
const SPARE_DIVISOR: usize = 8;

/// Limits on the node's resources. During a hot restart its two processes divide them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Limit on memory, in bytes.
    pub memory: usize,
    /// Limit on descriptors.
    pub sockets: usize,
    /// Descriptors that each process reserves for uses other than front-end and worker connections.
    pub reserved_sockets: usize,
}

impl ProcessLimits {
    /// Limit on front-end and worker connections together. While the node has two processes
    /// (`is_shared`), each has half of the descriptors, and its reserve comes out of that half.
    pub fn max_connections(&self, is_shared: bool) -> usize {
        (self.sockets / process_count(is_shared))
            .saturating_sub(self.reserved_sockets)
            .max(MIN_CONNECTIONS)
    }

    /// Limits on the uses of memory.
    pub fn memory_limits(&self, is_shared: bool) -> MemoryLimits {
        MemoryLimits::for_process(
            self.memory / process_count(is_shared),
            self.max_connections(is_shared),
        )
    }
}

/// Number of processes that share the limits.
fn process_count(is_shared: bool) -> usize {
    if is_shared {
        2
    } else {
        1
    }
}

/// The current limit on connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    process: ProcessLimits,
    max_connections: usize,
}

impl Default for ConnectionLimits {
    fn default() -> ConnectionLimits {
        ConnectionLimits {
            process: ProcessLimits::default(),
            max_connections: usize::MAX,
        }
    }
}

impl ConnectionLimits {
    /// The limits of a node's only process.
    pub fn new(process: ProcessLimits) -> ConnectionLimits {
        ConnectionLimits {
            process,
            max_connections: process.max_connections(false),
        }
    }

    /// Sets whether another process of the node shares the limits. Returns the limits on memory.
    pub fn set_shared(&mut self, is_shared: bool) -> MemoryLimits {
        self.max_connections = self.process.max_connections(is_shared);
        self.process.memory_limits(is_shared)
    }

    /// Whether this number of connections exceeds the limit.
    pub fn is_exceeded_by(&self, connections: usize) -> bool {
        connections > self.max_connections
    }

    /// How many connections have to close for the spare ones to be free, if this number is open.
    pub fn excess(&self, connections: usize) -> usize {
        let spare = MAX_SPARE_CONNECTIONS.min(self.max_connections / SPARE_DIVISOR);
        (connections + spare).saturating_sub(self.max_connections)
    }

    /// Limit on connections to workers. The other half is for the front ends, as each run is for a
    /// client that needs a connection as well.
    pub fn max_worker_connections(&self) -> usize {
        self.max_connections / 2
    }
}
