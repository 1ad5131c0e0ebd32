//! Records the inputs and outputs of a [`Controller`](pipitlever_admission::Controller), and
//! replays them.
//!
//! A capture is a sequence of segments. Each segment begins with the controller's whole state, so
//! that it can be replayed without the segments before it. `docs/capture.md` describes the format
//! and the alternatives that were measured.
//!
//! The segments of one recorder form a run of the capture. A node begins a new run whenever it
//! starts to capture. The run of a request is its execution by the processor.
//!
//! | module | contents | I/O |
//! | --- | --- | --- |
//! | [`frame`] | frames with checksums, and the file's magic number | none |
//! | [`record`] | records and their encoding | none |
//! | [`segment`] | reading and writing one segment | none |
//! | [`recorder`] | for the event loop: records into a bounded queue, and never blocks | none |
//! | [`writer`] | for the writer thread: segments, limits, gaps and disk errors | through [`directory::Directory`] |
//! | [`directory`] | the interface to the storage of segments, and their file names | none |
//! | [`disk`] | segments on a file system, and the writer thread | file system |
//! | [`replay`] | passes a capture to this build's controller | none |

pub mod directory;
pub mod disk;
pub mod frame;
pub mod record;
pub mod recorder;
pub mod replay;
mod retry_timer;
pub mod segment;
pub mod writer;
