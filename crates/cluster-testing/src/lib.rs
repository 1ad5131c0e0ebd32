//! Tests and measurements of clusters under faults. Test support only: no product package depends
//! on it.
//!
//! - [`membership_simulation`]: membership nodes on a simulated network under a virtual clock.
//! - [`session_simulation`]: session directories on a simulated network under a virtual clock.
//! - [`simulated_peers`]: simulated members around one real process, in real time.
//! - [`workload`]: clients that retry against emulated nodes, next to the simulated membership.
//! - [`process_control`]: several real processes of the program, with signals and restarts.
//! - [`network_relay`]: a relay between every two real processes that injects network faults.
//! - [`stand_ins`]: a processor and clients for the real processes, and the verification that no
//!   request ran twice.
//! - [`open_loop`]: requests at a fixed rate.
//! - [`process_usage`]: CPU time and memory of a process.

mod event_queue;
pub mod membership_simulation;
pub mod network_relay;
pub mod open_loop;
pub mod process_control;
pub mod process_usage;
pub mod session_simulation;
pub mod simulated_peers;
pub mod stand_ins;
pub mod workload;

/// The name of the cluster that real processes are members of.
const CLUSTER_NAME: &str = "rig";
