//! Choices of many nodes that add up: which workers each node uses, how much of a worker's bound it
//! has, and whose turn it is to try one that several have left out. There is no talk about it: all
//! of it is worked out from the view of the fleet, by functions that give the same on all nodes
//! that see the same.
//!
//! Nothing here does I/O or reads a clock.
//!
//! - [`subset`]: who uses whom.
//! - [`flow`]: how often each of a node's workers is to get a run, so that all workers bear what
//!   their weights say.
//! - [`apportion`]: whole units by weights.
//! - [`demand`]: what a node tells of its own load, and how often.
//! - [`grant`]: a part of a bound that grows only once all others have let go of it.
//! - [`turn`]: whose turn it is.
//! - [`told`]: what travels with the view.
//! - [`plan`]: all of it for one pool, [`node`]: for one node.
//!
//! `docs/share.md` has the design, what was compared, and the figures.

pub mod apportion;
pub mod demand;
pub mod flow;
pub mod grant;
pub mod node;
pub mod plan;
pub mod subset;
pub mod told;
pub mod turn;

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// A reading of a clock, or a span of it, in microseconds.
pub type Micros = i64;

/// Stands for some names, in an order: the same in all builds and processes, as nodes choose by it
/// alone.
pub fn hash(names: &[&str]) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0x7069_7069_746c_6576, 0x6572_7368_6172_6531);
    for name in names {
        hasher.write(name.as_bytes());
        hasher.write_u8(0xff);
    }
    hasher.finish()
}
