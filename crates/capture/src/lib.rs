//! Keeps what a [`Controller`](pipitlever_admission::Controller) was told and what it said, and
//! plays it again.
//!
//! A capture is a run of segments. Each begins with the controller's whole state, so each can be
//! played without those before it. `docs/capture.md` has the format and the options that it was
//! chosen from.
//!
//! | module | what | I/O |
//! | --- | --- | --- |
//! | [`frame`] | frames with checksums: what is whole, cut off or damaged | none |
//! | [`record`] | what a capture says, and its bytes | none |
//! | [`segment`] | one file from opening to end, read and written | none |
//! | [`tap`] | the loop's side: a bounded queue that is never waited for | none |
//! | [`keeper`] | the writer's side: segments, bounds, gaps, faults of the disk | by way of [`keeper::Folder`] |
//! | [`disk`] | a folder on a file system, and the writer's thread | all |
//! | [`replay`] | feeds a capture to this build's controller | none |

pub mod disk;
pub mod frame;
pub mod keeper;
pub mod record;
pub mod replay;
pub mod segment;
pub mod tap;
