//! Many nodes with faults between them, for tests and measurements alone: nothing of the product uses it.
//!
//! - `sim`: nodes of the fleet on a simulated network under a virtual clock; one seed, one course, to the byte.

pub mod sim;
