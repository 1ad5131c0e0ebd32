//! Records the inputs and outputs of a [`Controller`](pipitlever_admission::Controller), and
//! replays them.
//!
//! A capture is a sequence of segments. Each segment begins with the controller's whole state, so
//! it can be replayed without the segments before it. `docs/capture.md` has the format and the
//! alternatives that were measured.
//!
//! | module | contents | I/O |
//! | --- | --- | --- |
//! | [`frame`] | frames with checksums, and the file's magic number | none |
//! | [`record`] | records and their encoding | none |
//! | [`segment`] | reading and writing one segment | none |
//! | [`recorder`] | the event loop's side: a bounded queue that never blocks | none |
//! | [`writer`] | the writer's side: segments, limits, gaps and disk errors | through [`directory::Directory`] |
//! | [`directory`] | where segments are stored, and the names of their files | none |
//! | [`disk`] | a directory of a file system, and the writer thread | all |
//! | [`replay`] | feeds a capture to this build's controller | none |

pub mod directory;
pub mod disk;
pub mod frame;
pub mod record;
pub mod recorder;
pub mod replay;
mod retry_timer;
pub mod segment;
pub mod writer;
