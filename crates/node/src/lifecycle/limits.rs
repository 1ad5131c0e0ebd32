//! The file descriptors and the memory that the front ends may use.

use crate::config::platform::Config;
use crate::lifecycle::capture;
use crate::net::event_loop::ProcessLimits;
use crate::net::{control_connections, ledger_calls, membership};

/// Standard input, output and error.
const STANDARD_STREAMS: usize = 3;
/// The reactor's poller, its notifier and its timer.
const REACTOR: usize = 3;
/// A socket pair for each kind of signal, and the second end of SIGINT's.
const SIGNALS: usize = 7;
/// The processor's connection, and the one that replaces it.
const PROCESSOR: usize = 2;
/// The socket for heartbeats to the service registry.
const REGISTRY: usize = 1;
/// Two listeners, and the connection that each has just accepted.
const LISTENERS: usize = 2 * 2;
/// The hot restart's listener, connection and peer, and its passed sockets.
const HOT_RESTART: usize = 4;
/// Configuration files, which are read again on SIGHUP.
const FILES: usize = 2;
/// Descriptors that every node reserves for its own use.
const RESERVED: usize = STANDARD_STREAMS
    + REACTOR
    + SIGNALS
    + PROCESSOR
    + REGISTRY
    + ledger_calls::MAX_CONNECTIONS
    + LISTENERS
    + HOT_RESTART
    + FILES;

/// The limits of a process with this configuration.
pub fn for_config(config: &Config) -> ProcessLimits {
    let memory = config.memory_mb << 20;
    let capture_memory = match config.capture {
        Some(_) => capture::max_memory(memory),
        None => 0,
    };
    // One descriptor for each waiting connection and one for each that is being answered.
    let control = match config.control {
        Some(_) => 2 * control_connections::MAX_CONNECTIONS,
        None => 0,
    };
    let membership = match config.fleet {
        Some(_) => membership::DESCRIPTORS,
        None => 0,
    };
    ProcessLimits {
        memory: memory - capture_memory,
        sockets: config.sockets,
        reserved_sockets: RESERVED + control + membership,
    }
}
