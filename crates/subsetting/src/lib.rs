//! Divides shared pools among the nodes of a fleet: which workers each node uses, its share of
//! each worker's concurrency limit, and which node probes an ejected worker.
//!
//! Nodes do not negotiate. Each computes the same result from its membership view, with functions
//! that are deterministic in all builds.
//!
//! - [`subset`]: which workers each node uses (deterministic subsetting).
//! - [`proportional_fitting`]: weights that spread unequal loads over the workers evenly.
//! - [`apportionment`]: divides whole units in proportion to weights.
//! - [`load`]: measures a node's load, and limits how often it is reported.
//! - [`load_report`]: the report that travels with the membership view.
//! - [`assignment`]: the division of one pool.
//! - [`share_lease`]: a share of a limit that grows only after all others have released theirs.
//! - [`probe_turn`]: which node probes an ejected worker.
//! - [`node`]: combines these for one node.
//!
//! The crate does no I/O and reads no clock. `docs/subsetting.md` describes the design, the
//! alternatives compared, and the measurements.

pub mod apportionment;
pub mod assignment;
pub mod load;
pub mod load_report;
pub mod node;
pub mod probe_turn;
pub mod proportional_fitting;
pub mod share_lease;
pub mod subset;

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// A reading of a monotonic clock, or a duration, in microseconds.
pub type Micros = i64;

/// The fixed key of the hash: "pipitlev" and "ershare1" in ASCII.
const HASH_KEY: [u64; 2] = [0x7069_7069_746c_6576, 0x6572_7368_6172_6531];
/// Terminates each name in the hashed bytes. It does not occur in UTF-8.
const NAME_END: u8 = 0xff;

/// Hashes a sequence of names. The result is the same on all nodes and in all builds, since nodes
/// derive their assignments from it.
pub fn hash(names: &[&str]) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(HASH_KEY[0], HASH_KEY[1]);
    for name in names {
        hasher.write(name.as_bytes());
        hasher.write_u8(NAME_END);
    }
    hasher.finish()
}
