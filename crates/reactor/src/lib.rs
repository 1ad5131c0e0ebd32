//! Sockets and timers on one thread, for tasks on a local executor. Linux alone: it is epoll.
//!
//! It has the part of async-io's interface that the node needs. `docs/request-path.md` says with
//! figures why it is not async-io: there each wait costs five system calls, and a second thread
//! takes the poller over whenever the first is idle or busy for a while. Here a wait is one call:
//! sockets are registered once, for edges, and the next timer is the wait's own time-out.
//!
//! Everything belongs to the thread that made it. A waker may be called from any thread.
//!
//! ```
//! use pipitlever_reactor::{block_on, Timer};
//! use std::time::{Duration, Instant};
//!
//! let at = Instant::now() + Duration::from_millis(5);
//! block_on(Timer::at(at));
//! assert!(Instant::now() >= at);
//! ```

mod socket;
mod timer;

pub use socket::Async;
pub use timer::Timer;

use rustix::buffer::spare_capacity;
use rustix::event::{epoll, eventfd, EventfdFlags, Timespec};
use rustix::fd::{AsFd, OwnedFd};
use rustix::time::{
    timerfd_create, timerfd_settime, Itimerspec, TimerfdClockId, TimerfdFlags, TimerfdTimerFlags,
};
use slab::Slab;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll, Wake, Waker};
use std::thread::ThreadId;
use std::time::Instant;

/// Events taken with one wait. More are taken with the next one.
const EVENTS: usize = 256;
/// The number of the descriptor that other threads wake the poller by.
const NOTIFIER: u64 = u64::MAX;
/// That of the clock.
const CLOCK: u64 = u64::MAX - 1;
/// Nothing at all.
const ZERO: Timespec = Timespec {
    tv_sec: 0,
    tv_nsec: 0,
};

/// What a task may wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    In,
    Out,
}

/// One descriptor. It is ready until a call has said that it is not: with edges, nobody says it a
/// second time.
#[derive(Debug, Default)]
struct Source {
    ready: [bool; 2],
    /// The peer sends no more, or the socket has failed: a read has something to say, and no edge
    /// is to come.
    ended: bool,
    /// One task reads and one writes; it may be the same.
    waiting: [Option<Waker>; 2],
}

struct Reactor {
    epoll: OwnedFd,
    /// Wakes the poller to the nanosecond, where its own time-out would round up to a millisecond;
    /// and when it is set for.
    clock: OwnedFd,
    armed: Cell<Option<Instant>>,
    sources: RefCell<Slab<Source>>,
    timers: RefCell<BTreeMap<(Instant, u64), Waker>>,
    next_timer: Cell<u64>,
    events: RefCell<Vec<epoll::Event>>,
    /// Those that are woken by a wait, in order.
    woken: RefCell<Vec<Waker>>,
    main: Arc<Main>,
}

/// Wakes the future that the thread blocks on.
struct Main {
    thread: ThreadId,
    woken: AtomicBool,
    notifier: OwnedFd,
}

impl Wake for Main {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        let first = !self.woken.swap(true, Ordering::AcqRel);
        if first && std::thread::current().id() != self.thread {
            // A full counter wakes as well as one more would.
            let _ = rustix::io::write(&self.notifier, &1u64.to_ne_bytes());
        }
    }
}

thread_local! {
    static REACTOR: Reactor = Reactor::new().expect("an epoll instance and an eventfd");
}

impl Reactor {
    fn new() -> io::Result<Reactor> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        let notifier = eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?;
        let flags = epoll::EventFlags::IN | epoll::EventFlags::ET;
        epoll::add(
            &epoll,
            &notifier,
            epoll::EventData::new_u64(NOTIFIER),
            flags,
        )?;
        let clock = timerfd_create(
            TimerfdClockId::Monotonic,
            TimerfdFlags::CLOEXEC | TimerfdFlags::NONBLOCK,
        )?;
        epoll::add(&epoll, &clock, epoll::EventData::new_u64(CLOCK), flags)?;
        let main = Main {
            thread: std::thread::current().id(),
            woken: AtomicBool::new(false),
            notifier,
        };
        Ok(Reactor {
            epoll,
            clock,
            armed: Cell::new(None),
            sources: RefCell::new(Slab::new()),
            timers: RefCell::new(BTreeMap::new()),
            next_timer: Cell::new(0),
            events: RefCell::new(Vec::with_capacity(EVENTS)),
            woken: RefCell::new(Vec::new()),
            main: Arc::new(main),
        })
    }

    fn add(&self, fd: impl AsFd, source: Source) -> io::Result<usize> {
        let key = self.sources.borrow_mut().insert(source);
        use epoll::EventFlags as E;
        let flags = E::IN | E::OUT | E::RDHUP | E::ET;
        if let Err(error) = epoll::add(
            &self.epoll,
            fd,
            epoll::EventData::new_u64(key as u64),
            flags,
        ) {
            self.sources.borrow_mut().remove(key);
            return Err(error.into());
        }
        Ok(key)
    }

    /// No event of it is left to reach the next holder of its number: all that were taken are
    /// worked off before any task runs.
    fn remove(&self, key: usize, fd: impl AsFd) {
        let _ = epoll::delete(&self.epoll, fd);
        let source = self.sources.borrow_mut().try_remove(key);
        // Outside the borrow: the last waker of a task may take sockets of its own with it.
        drop(source);
    }

    /// Whether a source is ready; if not, this waker is called once it is.
    fn poll_ready(&self, key: usize, way: Way, waker: &Waker) -> Poll<()> {
        let mut sources = self.sources.borrow_mut();
        let source = &mut sources[key];
        if source.ready[way as usize] || (way == Way::In && source.ended) {
            return Poll::Ready(());
        }
        let place = &mut source.waiting[way as usize];
        let old = match place {
            Some(same) if same.will_wake(waker) => None,
            _ => place.replace(waker.clone()),
        };
        drop(sources);
        drop(old);
        Poll::Pending
    }

    fn not_ready(&self, key: usize, way: Way) {
        self.sources.borrow_mut()[key].ready[way as usize] = false;
    }

    /// Sets the clock for the next timer, unless it rings by then anyway. Whether that is still to
    /// come.
    fn arm(&self, next: Option<Instant>) -> bool {
        let Some(next) = next.filter(|next| self.armed.get().is_none_or(|at| *next < at)) else {
            return true;
        };
        let left = next.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return false;
        }
        let value = Timespec {
            tv_sec: left.as_secs() as _,
            tv_nsec: left.subsec_nanos().into(),
        };
        let value = Itimerspec {
            it_interval: ZERO,
            it_value: value,
        };
        // A clock that can't be set is looked at instead.
        let set = timerfd_settime(&self.clock, TimerfdTimerFlags::empty(), &value).is_ok();
        self.armed.set(set.then_some(next));
        set
    }

    /// Waits for events, at most until the next timer, or not at all; wakes those concerned.
    fn react(&self, wait: bool) {
        let next = self
            .timers
            .borrow()
            .first_key_value()
            .map(|((at, _), _)| *at);
        let wait = wait && self.arm(next);
        let mut events = self.events.borrow_mut();
        // Interrupted by a signal, or out of kernel memory: either way the loop comes again.
        let _ = epoll::wait(
            &self.epoll,
            spare_capacity(&mut events),
            (!wait).then_some(&ZERO),
        );
        let mut woken = self.woken.take();
        let mut sources = self.sources.borrow_mut();
        for event in events.drain(..) {
            let (flags, data) = (event.flags, event.data.u64());
            if data == NOTIFIER {
                let _ = rustix::io::read(&self.main.notifier, &mut [0; 8]);
                continue;
            }
            // The clock has rung: it need not be read, as each time that it rings is an edge.
            let Some(source) = sources.get_mut(data as usize) else {
                continue;
            };
            use epoll::EventFlags as E;
            source.ended |= flags.intersects(E::RDHUP | E::HUP | E::ERR);
            let ways = [E::IN | E::RDHUP | E::HUP | E::ERR, E::OUT | E::HUP | E::ERR];
            for (way, flags) in [Way::In, Way::Out]
                .into_iter()
                .zip(ways.map(|w| flags.intersects(w)))
            {
                if flags {
                    source.ready[way as usize] = true;
                    woken.extend(source.waiting[way as usize].take());
                }
            }
        }
        drop(sources);
        drop(events);
        if next.is_some() || self.armed.get().is_some() {
            let now = Instant::now();
            if self.armed.get().is_some_and(|at| at <= now) {
                self.armed.set(None);
            }
            let mut timers = self.timers.borrow_mut();
            while let Some(entry) = timers.first_entry().filter(|e| e.key().0 <= now) {
                woken.push(entry.remove());
            }
        }
        // Nothing is borrowed any more: whoever is woken may make and drop what it likes.
        woken.drain(..).for_each(Waker::wake);
        woken.shrink_to(EVENTS);
        self.woken.replace(woken);
    }
}

/// Runs a future to its end on this thread, with all sockets and timers that are waited for on it.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    REACTOR.with(|reactor| {
        let waker = Waker::from(reactor.main.clone());
        let mut context = Context::from_waker(&waker);
        let mut future = pin!(future);
        loop {
            reactor.main.woken.store(false, Ordering::Release);
            if let Poll::Ready(value) = future.as_mut().poll(&mut context) {
                return value;
            }
            // What has been woken meanwhile has its turn after a look at the sockets, which it may
            // not starve.
            reactor.react(!reactor.main.woken.load(Ordering::Acquire));
        }
    })
}
