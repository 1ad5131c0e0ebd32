//! Asynchronous sockets and timers for tasks of a single-threaded executor, over epoll (Linux
//! only).
//!
//! The interface is the subset of async-io's that the node uses. `docs/request-path.md` has the
//! measurements that led to a separate reactor: with async-io each wait costs five system calls,
//! and a second thread takes over the poller whenever the first is idle or busy for a while. Here a
//! wait is one system call: sockets are registered once, edge-triggered, and a timer descriptor
//! wakes the poller at the next deadline.
//!
//! Sockets and timers belong to the thread that created them. Wakers may be called from any thread.
//!
//! ```
//! use pipitlever_reactor::{block_on, Timer};
//! use std::time::{Duration, Instant};
//!
//! let deadline = Instant::now() + Duration::from_millis(5);
//! block_on(Timer::at(deadline));
//! assert!(Instant::now() >= deadline);
//! ```

mod poll_turn;
mod reactor;
mod socket;
mod thread_waker;
mod timer;

pub use poll_turn::next_poll;
pub use reactor::block_on;
pub use socket::Async;
pub use timer::Timer;
