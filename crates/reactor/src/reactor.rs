//! The reactor of a thread: registered descriptors, timers and the poller.

use crate::thread_waker::ThreadWaker;
use rustix::buffer::spare_capacity;
use rustix::event::epoll::{self, EventData, EventFlags};
use rustix::event::Timespec;
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
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::Instant;

/// Events fetched with one wait. Further events are fetched with the next one.
const MAX_EVENTS: usize = 256;
/// The event data of the eventfd for wake-ups from other threads.
const EVENTFD_KEY: u64 = u64::MAX;
/// The event data of the timer descriptor.
const TIMERFD_KEY: u64 = u64::MAX - 1;
/// As a time-out: don't block. As a timer's interval: don't repeat.
const ZERO: Timespec = Timespec {
    tv_sec: 0,
    tv_nsec: 0,
};

/// The direction of an operation on a descriptor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Direction {
    Read,
    Write,
}

impl Direction {
    const ALL: [Direction; 2] = [Direction::Read, Direction::Write];

    /// The events that make a descriptor ready in this direction.
    fn event_flags(self) -> EventFlags {
        match self {
            Direction::Read => {
                EventFlags::IN | EventFlags::RDHUP | EventFlags::HUP | EventFlags::ERR
            }
            Direction::Write => EventFlags::OUT | EventFlags::HUP | EventFlags::ERR,
        }
    }
}

/// The readiness of one direction of a descriptor, and the task that waits for it.
#[derive(Debug, Default)]
struct Readiness {
    /// Stays set until an operation would have blocked: an edge-triggered event is reported once.
    is_ready: bool,
    waker: Option<Waker>,
}

/// A registered descriptor.
#[derive(Debug, Default)]
struct Source {
    read: Readiness,
    write: Readiness,
    /// The peer has closed its sending side, or the socket has failed. Reads are ready from then
    /// on, as no further event will be reported.
    is_read_closed: bool,
}

impl Source {
    fn readiness(&mut self, direction: Direction) -> &mut Readiness {
        match direction {
            Direction::Read => &mut self.read,
            Direction::Write => &mut self.write,
        }
    }

    fn is_ready(&self, direction: Direction) -> bool {
        match direction {
            Direction::Read => self.read.is_ready || self.is_read_closed,
            Direction::Write => self.write.is_ready,
        }
    }

    /// Marks the directions that an event concerns as ready, and adds their wakers to `wakers`.
    fn handle_event(&mut self, flags: EventFlags, wakers: &mut Vec<Waker>) {
        self.is_read_closed |=
            flags.intersects(EventFlags::RDHUP | EventFlags::HUP | EventFlags::ERR);
        for direction in Direction::ALL {
            if flags.intersects(direction.event_flags()) {
                let readiness = self.readiness(direction);
                readiness.is_ready = true;
                wakers.extend(readiness.waker.take());
            }
        }
    }
}

/// The reactor of one thread.
pub(crate) struct Reactor {
    epoll: OwnedFd,
    /// Ends a wait at the next timer's deadline with nanosecond resolution; epoll's own time-out is
    /// rounded up to a millisecond.
    timerfd: OwnedFd,
    /// The deadline that `timerfd` is set to.
    armed_deadline: Cell<Option<Instant>>,
    sources: RefCell<Slab<Source>>,
    /// By deadline, then by identifier.
    timers: RefCell<BTreeMap<(Instant, u64), Waker>>,
    next_timer_id: Cell<u64>,
    /// Tasks that wait for the end of the next poll.
    poll_waiters: RefCell<Vec<Waker>>,
    /// The number of polls so far.
    polls: Cell<u64>,
    /// The buffer of a wait, empty between waits.
    events: RefCell<Vec<epoll::Event>>,
    /// The wakers that a wait collects in order, empty between waits.
    ready_wakers: RefCell<Vec<Waker>>,
    thread_waker: Arc<ThreadWaker>,
}

thread_local! {
    pub(crate) static REACTOR: Reactor =
        Reactor::new().expect("the reactor needs an epoll instance, a timerfd and an eventfd");
}

impl Reactor {
    fn new() -> io::Result<Reactor> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        let thread_waker = ThreadWaker::new()?;
        let flags = EventFlags::IN | EventFlags::ET;
        let eventfd_data = EventData::new_u64(EVENTFD_KEY);
        epoll::add(&epoll, thread_waker.eventfd(), eventfd_data, flags)?;
        let timerfd = timerfd_create(
            TimerfdClockId::Monotonic,
            TimerfdFlags::CLOEXEC | TimerfdFlags::NONBLOCK,
        )?;
        epoll::add(&epoll, &timerfd, EventData::new_u64(TIMERFD_KEY), flags)?;
        Ok(Reactor {
            epoll,
            timerfd,
            armed_deadline: Cell::new(None),
            sources: RefCell::new(Slab::new()),
            timers: RefCell::new(BTreeMap::new()),
            next_timer_id: Cell::new(0),
            poll_waiters: RefCell::new(Vec::new()),
            polls: Cell::new(0),
            events: RefCell::new(Vec::with_capacity(MAX_EVENTS)),
            ready_wakers: RefCell::new(Vec::new()),
            thread_waker: Arc::new(thread_waker),
        })
    }

    /// Registers a descriptor for both directions and returns its key. With `is_writable` the
    /// descriptor counts as writable from the start.
    pub(crate) fn register(&self, descriptor: impl AsFd, is_writable: bool) -> io::Result<usize> {
        let mut source = Source::default();
        source.write.is_ready = is_writable;
        let key = self.sources.borrow_mut().insert(source);
        let flags = EventFlags::IN | EventFlags::OUT | EventFlags::RDHUP | EventFlags::ET;
        let data = EventData::new_u64(key as u64);
        if let Err(error) = epoll::add(&self.epoll, descriptor, data, flags) {
            self.sources.borrow_mut().remove(key);
            return Err(error.into());
        }
        Ok(key)
    }

    /// Removes a descriptor. Its key may be reused at once: tasks run only after all events of a
    /// wait have been handled, so no event is pending for this key.
    pub(crate) fn deregister(&self, key: usize, descriptor: impl AsFd) {
        // Fails only if the descriptor is closed, and then epoll has removed it already.
        let _ = epoll::delete(&self.epoll, descriptor);
        let source = self.sources.borrow_mut().try_remove(key);
        // Dropped outside the borrow: the last waker of a task drops the task, which may drop
        // further sockets.
        drop(source);
    }

    /// Returns whether a descriptor is ready; if it isn't, registers the waker to be called once it
    /// is.
    pub(crate) fn poll_ready(&self, key: usize, direction: Direction, waker: &Waker) -> Poll<()> {
        let mut sources = self.sources.borrow_mut();
        let source = &mut sources[key];
        if source.is_ready(direction) {
            return Poll::Ready(());
        }
        let slot = &mut source.readiness(direction).waker;
        let replaced = match slot {
            Some(registered) if registered.will_wake(waker) => None,
            _ => slot.replace(waker.clone()),
        };
        drop(sources);
        // Outside the borrow, as in `deregister`.
        drop(replaced);
        Poll::Pending
    }

    /// Marks a descriptor as not ready until the next event.
    pub(crate) fn clear_ready(&self, key: usize, direction: Direction) {
        let mut sources = self.sources.borrow_mut();
        sources[key].readiness(direction).is_ready = false;
    }

    /// Whether the peer has closed its sending side, or the socket has failed.
    pub(crate) fn is_read_closed(&self, key: usize) -> bool {
        self.sources.borrow()[key].is_read_closed
    }

    /// The number of polls so far.
    pub(crate) fn polls(&self) -> u64 {
        self.polls.get()
    }

    /// Calls the waker after the next poll, which does not block.
    pub(crate) fn wake_after_poll(&self, waker: &Waker) {
        self.poll_waiters.borrow_mut().push(waker.clone());
    }

    /// Clears the mark that the peer has closed its sending side.
    pub(crate) fn clear_read_closed(&self, key: usize) {
        self.sources.borrow_mut()[key].is_read_closed = false;
    }

    /// A new identifier for a timer.
    pub(crate) fn allocate_timer_id(&self) -> u64 {
        let id = self.next_timer_id.get();
        self.next_timer_id.set(id + 1);
        id
    }

    /// Registers the waker to be called at a timer's deadline.
    pub(crate) fn set_timer(&self, deadline: Instant, id: u64, waker: &Waker) {
        let mut timers = self.timers.borrow_mut();
        let replaced = match timers.get(&(deadline, id)) {
            Some(registered) if registered.will_wake(waker) => None,
            _ => timers.insert((deadline, id), waker.clone()),
        };
        drop(timers);
        // Outside the borrow, as in `deregister`.
        drop(replaced);
    }

    /// Removes a timer.
    pub(crate) fn cancel_timer(&self, deadline: Instant, id: u64) {
        let waker = self.timers.borrow_mut().remove(&(deadline, id));
        // Outside the borrow, as in `deregister`.
        drop(waker);
    }

    /// Sets the timer descriptor to a deadline, unless it is set to an earlier one. Returns whether
    /// the poller may block: false if the deadline has passed or the descriptor can't be set.
    fn arm(&self, deadline: Option<Instant>) -> bool {
        let is_earlier = |deadline: &Instant| {
            let armed = self.armed_deadline.get();
            armed.is_none_or(|armed| *deadline < armed)
        };
        let Some(deadline) = deadline.filter(is_earlier) else {
            return true;
        };
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return false;
        }
        let expiration = Itimerspec {
            it_interval: ZERO,
            it_value: Timespec {
                tv_sec: remaining.as_secs() as _,
                tv_nsec: remaining.subsec_nanos().into(),
            },
        };
        let result = timerfd_settime(&self.timerfd, TimerfdTimerFlags::empty(), &expiration);
        self.armed_deadline.set(result.is_ok().then_some(deadline));
        result.is_ok()
    }

    /// Waits for events, at most until the next timer's deadline, or not at all without
    /// `may_block`. Calls the wakers of the tasks concerned.
    fn poll_events(&self, may_block: bool) {
        let timers = self.timers.borrow();
        let next_deadline = timers.first_key_value().map(|((deadline, _), _)| *deadline);
        drop(timers);
        let has_waiters = !self.poll_waiters.borrow().is_empty();
        let may_block = may_block && !has_waiters && self.arm(next_deadline);
        let mut wakers = self.ready_wakers.take();
        self.collect_events(may_block, &mut wakers);
        if next_deadline.is_some() || self.armed_deadline.get().is_some() {
            self.collect_expired_timers(&mut wakers);
        }
        self.polls.set(self.polls.get() + 1);
        // After the tasks with an event, which would otherwise wait behind busy ones.
        wakers.append(&mut self.poll_waiters.borrow_mut());
        // Nothing is borrowed here: a waker may create and drop sockets and timers.
        wakers.drain(..).for_each(Waker::wake);
        wakers.shrink_to(MAX_EVENTS);
        self.ready_wakers.replace(wakers);
    }

    /// Fetches events with one system call and adds the wakers that wait for them to `wakers`.
    fn collect_events(&self, may_block: bool, wakers: &mut Vec<Waker>) {
        let mut events = self.events.borrow_mut();
        let timeout = (!may_block).then_some(&ZERO);
        // An error means a signal or a lack of kernel memory; `block_on` calls again either way.
        let _ = epoll::wait(&self.epoll, spare_capacity(&mut events), timeout);
        let mut sources = self.sources.borrow_mut();
        for event in events.drain(..) {
            let key = event.data.u64();
            if key == EVENTFD_KEY {
                self.thread_waker.clear_eventfd();
            } else if let Some(source) = sources.get_mut(key as usize) {
                source.handle_event(event.flags, wakers);
            }
            // The timer descriptor has no source. It need not be read: each expiration is an edge.
        }
    }

    /// Removes the timers whose deadline has passed and adds their wakers to `wakers`.
    fn collect_expired_timers(&self, wakers: &mut Vec<Waker>) {
        let now = Instant::now();
        let armed = self.armed_deadline.get();
        if armed.is_some_and(|deadline| deadline <= now) {
            self.armed_deadline.set(None);
        }
        let mut timers = self.timers.borrow_mut();
        while let Some(timer) = timers.first_entry().filter(|timer| timer.key().0 <= now) {
            wakers.push(timer.remove());
        }
    }
}

/// Runs a future to completion on the calling thread, and drives the sockets and timers that belong
/// to this thread meanwhile.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    REACTOR.with(|reactor| {
        let waker = Waker::from(reactor.thread_waker.clone());
        let mut context = Context::from_waker(&waker);
        let mut future = pin!(future);
        loop {
            reactor.thread_waker.clear();
            if let Poll::Ready(output) = future.as_mut().poll(&mut context) {
                return output;
            }
            // Events are fetched even if the future is ready to run again, so that a busy future
            // can't starve sockets and timers.
            reactor.poll_events(!reactor.thread_waker.is_wakeup_pending());
        }
    })
}
