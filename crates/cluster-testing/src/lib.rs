//! Many nodes with faults between them, for tests and measurements alone: nothing of the product
//! uses it.
//!
//! - `sim`: nodes of the fleet on a simulated network under a virtual clock; one seed, one course,
//!   to the byte.
//! - `crowd`: a simulated fleet around one real process.
//! - `demand`: callers that try again, on nodes with the decision module in them, beside the
//!   simulated fleet.
//! - `relay`: what stands between every two real processes, and cuts, delays, thins, doubles or
//!   spoils what goes one way.
//! - `processes`: the built program several times over, with signals, restarts, and what its doors
//!   say.
//! - `parties`: a processor and callers for them, and the rules that hold for what was asked and
//!   answered.

pub mod crowd;
pub mod demand;
pub mod parties;
pub mod processes;
pub mod relay;
pub mod sessions;
pub mod sim;
