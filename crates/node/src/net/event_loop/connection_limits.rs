//! Limits on connections and memory, alone or beside another process of the node.

use pipitlever_core::MemoryLimits;

/// Connections that are allowed however few descriptors there are.
const MIN_CONNECTIONS: usize = 8;
/// Most connections that are kept free for new clients.
const MAX_SPARE_CONNECTIONS: usize = 16;
/// Spare connections are at most the limit divided by this: closing an idle connection takes time.
const SPARE_DIVISOR: usize = 8;

/// What the process may take of the machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory, in bytes.
    pub memory: usize,
    /// Descriptors.
    pub sockets: usize,
    /// Descriptors that are reserved for everything but front-end and worker connections.
    pub reserved_sockets: usize,
}

impl ProcessLimits {
    /// Most front-end and worker connections together. Beside another process of the node
    /// (`is_shared`) this one has half of the descriptors, and its reserve comes out of that half.
    pub fn max_connections(&self, is_shared: bool) -> usize {
        (self.sockets / sharers(is_shared))
            .saturating_sub(self.reserved_sockets)
            .max(MIN_CONNECTIONS)
    }

    /// The division of the memory.
    pub fn memory_limits(&self, is_shared: bool) -> MemoryLimits {
        MemoryLimits::for_process(
            self.memory / sharers(is_shared),
            self.max_connections(is_shared),
        )
    }
}

/// How many processes share the limits.
fn sharers(is_shared: bool) -> usize {
    if is_shared {
        2
    } else {
        1
    }
}

/// The limit on connections in force.
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
    /// The limits of a process that is alone.
    pub fn new(process: ProcessLimits) -> ConnectionLimits {
        ConnectionLimits {
            process,
            max_connections: process.max_connections(false),
        }
    }

    /// Applies the limits beside another process, or alone, and returns those on memory.
    pub fn set_shared(&mut self, is_shared: bool) -> MemoryLimits {
        self.max_connections = self.process.max_connections(is_shared);
        self.process.memory_limits(is_shared)
    }

    /// Whether so many connections are more than allowed.
    pub fn is_exceeded_by(&self, connections: usize) -> bool {
        connections > self.max_connections
    }

    /// How many of so many connections have to close for the spare ones to be free.
    pub fn excess(&self, connections: usize) -> usize {
        let spare = MAX_SPARE_CONNECTIONS.min(self.max_connections / SPARE_DIVISOR);
        (connections + spare).saturating_sub(self.max_connections)
    }

    /// Most connections to workers. Front ends keep the other half: no run is of use without the
    /// client that waits for it.
    pub fn max_worker_connections(&self) -> usize {
        self.max_connections / 2
    }
}
