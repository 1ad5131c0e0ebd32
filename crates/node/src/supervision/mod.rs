//! Supervision of tasks and threads: a panic in any of them is logged, counted and reported, and
//! the event loop decides what follows. `docs/supervision.md` has the reasons.

mod panic_hook;
mod panic_point;
mod subsystem;

pub use panic_hook::install as install_panic_hook;
pub use panic_point::panic_point;
pub use subsystem::Subsystem;

use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use pin_project_lite::pin_project;
use std::future::{poll_fn, Future};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll};

/// Capacity of the queue of failures to the event loop. The first failure decides what follows;
/// failures that do not fit are counted nevertheless.
const MAX_PENDING_FAILURES: usize = 16;

/// The failures of this process, shared with the threads.
#[derive(Debug, Default)]
struct FailureRecord {
    count: AtomicU64,
    /// The first subsystem that failed and that the process can't go on without.
    first: OnceLock<Subsystem>,
}

/// Reports the failures of one subsystem.
#[derive(Debug)]
struct FailureReporter {
    subsystem: Subsystem,
    record: Arc<FailureRecord>,
    failures: Sender<Subsystem>,
}

impl FailureReporter {
    fn report(&self) {
        self.record.count.fetch_add(1, Ordering::Relaxed);
        if !self.subsystem.is_optional() {
            self.record.first.get_or_init(|| self.subsystem);
        }
        // Fails if the event loop has ended, or the queue is full.
        let _ = self.failures.try_send(self.subsystem);
    }
}

/// Reports a failure of the thread's subsystem if the thread panics: the thread's closure owns the
/// sentinel, which is dropped during unwinding.
#[derive(Debug)]
pub struct ThreadSentinel(FailureReporter);

impl ThreadSentinel {
    /// Panics here if a test has requested it; see [`panic_point()`].
    pub fn panic_point(&self) {
        panic_point(self.0.subsystem);
    }
}

impl Drop for ThreadSentinel {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.0.report();
        }
    }
}

/// The failures so far, for health, readiness and metrics.
#[derive(Clone, Debug, Default)]
pub struct FailureStatus(Arc<FailureRecord>);

impl FailureStatus {
    /// The first subsystem that failed and that the process can't go on without.
    pub fn failed_subsystem(&self) -> Option<Subsystem> {
        self.0.first.get().copied()
    }

    /// Panics since the start of the process.
    pub fn count(&self) -> u64 {
        self.0.count.load(Ordering::Relaxed)
    }
}

/// Spawns the tasks of a node on its event loop, and reports those that panic.
///
/// The executor catches a panic of a task and passes it to the code that awaits the task. Most
/// tasks are detached, so their panics would be lost.
pub struct Supervisor {
    executor: LocalExecutor<'static>,
    record: Arc<FailureRecord>,
    sender: Sender<Subsystem>,
    failures: Receiver<Subsystem>,
}

impl Supervisor {
    /// Creates a supervisor without tasks.
    pub fn new() -> Rc<Supervisor> {
        let (sender, failures) = async_channel::bounded(MAX_PENDING_FAILURES);
        Rc::new(Supervisor {
            executor: LocalExecutor::new(),
            record: Arc::default(),
            sender,
            failures,
        })
    }

    /// The executor that runs the tasks.
    pub fn executor(&self) -> &LocalExecutor<'static> {
        &self.executor
    }

    /// Spawns a task of a subsystem.
    pub fn spawn(
        &self,
        subsystem: Subsystem,
        task: impl Future<Output = ()> + 'static,
    ) -> Task<()> {
        self.executor.spawn(SupervisedTask {
            reporter: self.reporter(subsystem),
            task,
        })
    }

    /// Creates a sentinel for the thread of a subsystem. The thread has the subsystem's name.
    pub fn thread_sentinel(&self, subsystem: Subsystem) -> ThreadSentinel {
        ThreadSentinel(self.reporter(subsystem))
    }

    fn reporter(&self, subsystem: Subsystem) -> FailureReporter {
        FailureReporter {
            subsystem,
            record: self.record.clone(),
            failures: self.sender.clone(),
        }
    }

    /// The failures so far.
    pub fn status(&self) -> FailureStatus {
        FailureStatus(self.record.clone())
    }

    /// Waits for the next failure, and returns its subsystem.
    pub async fn next_failure(&self) -> Subsystem {
        let received = self.failures.recv().await;
        received.expect("the channel's sender is owned by the same supervisor")
    }
}

pin_project! {
    /// Ends and reports the task if it panics. There is one task per connection, so only the
    /// reporter is added to its size.
    struct SupervisedTask<F> {
        reporter: FailureReporter,
        #[pin]
        task: F,
    }
}

impl<F: Future<Output = ()>> Future for SupervisedTask<F> {
    type Output = ();

    fn poll(self: Pin<&mut Self>, context: &mut Context) -> Poll<()> {
        let this = self.project();
        let subsystem = this.reporter.subsystem;
        let poll = AssertUnwindSafe(|| {
            panic_hook::set_current(subsystem);
            panic_point(subsystem);
            this.task.poll(context)
        });
        catch_unwind(poll).unwrap_or_else(|_| {
            this.reporter.report();
            Poll::Ready(())
        })
    }
}

/// Polls the node's main task with its subsystem set, for the panic hook. A panic in it ends the
/// process.
pub async fn in_main<T>(task: impl Future<Output = T>) -> T {
    let mut task = Box::pin(task);
    poll_fn(|context| {
        panic_hook::set_current(Subsystem::Main);
        task.as_mut().poll(context)
    })
    .await
}
