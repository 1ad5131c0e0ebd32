//! Serves until told to stop, then leaves in order.

use super::capture::{self, Capturing};
use super::config::Config;
use super::reload::Reload;
use super::signals::{Signal, Signals};
use crate::core::Bounds;
use crate::log::log;
use crate::net::hub::{Hub, Shared};
use crate::net::nudge::Nudge;
use crate::net::places::Front;
use crate::net::{ahead, by, control, front, ledger, membership, processor, timers, workers};
use async_executor::LocalExecutor;
use pipitlever_reactor::{block_on, Async, Timer};
use std::cell::RefCell;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Instant;

/// Descriptors kept back from the fronts: the links, the signals, the poller, standard streams. The operators' door has
/// its own beside these.
const KEPT_BACK: usize = 64;
/// The process ends this long before it would be killed, in milliseconds.
const SPARE_MS: u64 = 150;
/// After `goaway`, requests that were already on their way are waited for this long, in milliseconds.
const CROSSING_MS: u64 = 500;

/// Runs one node to its end. `read` reads the configuration anew.
pub fn serve(config: Config, read: impl Fn() -> Result<Config, String> + 'static) -> Result<(), String> {
    let executor = Rc::new(LocalExecutor::new());
    // A task like the others: polled at each wake of any of them, it asked the signals' socket each time.
    let node = executor.spawn(run(executor.clone(), config, read));
    block_on(executor.run(node))
}

async fn run(
    executor: Rc<LocalExecutor<'static>>,
    config: Config,
    read: impl Fn() -> Result<Config, String>,
) -> Result<(), String> {
    let signals = Signals::new().map_err(|e| format!("signals: {e}"))?;
    let mut listeners = vec![(Front::Gateway, config.listen)];
    listeners.extend(config.tuning.uwsgi.listen.map(|at| (Front::Uwsgi, at)));
    let listeners = listeners.into_iter().map(|(front, at)| {
        let bound = Async::<TcpListener>::bind(at).map_err(|e| format!("cannot listen on {at}: {e}"))?;
        let at = bound.get_ref().local_addr().map_err(|e| format!("listening socket: {e}"))?;
        Ok((front, at, bound))
    });
    let listeners = listeners.collect::<Result<Vec<_>, String>>()?;
    let door = config.control.map(|at| {
        let bound = Async::<TcpListener>::bind(at).map_err(|e| format!("cannot listen on {at}: {e}"))?;
        let at = bound.get_ref().local_addr().map_err(|e| format!("listening socket: {e}"))?;
        Ok::<_, String>((at, bound))
    });
    let door = door.transpose()?;
    // Each caller's, and the listener's; those whose answer is on its way take no place among callers any more.
    let for_door = if door.is_some() { 2 * control::MOST_CALLERS } else { 0 };
    let most = config.sockets.saturating_sub(KEPT_BACK + for_door).max(8);
    let memory = config.memory_mb << 20;
    let captured = if config.capture.is_some() { capture::memory(memory) } else { 0 };
    let bounds = Bounds::within(memory - captured, most);
    let mut capturing = Capturing::new(&config.name, config.seed, memory);
    let mut reload = Reload::new(read, &config);
    let Config { tuning, seed, store, .. } = config;
    // A repeat that came within a window may be read as late as its caller waits.
    let longest =
        |of: fn(&pipitlever::Class) -> i64| tuning.settings.classes.iter().map(of).max().unwrap_or(0);
    let window = longest(|c| c.window) + longest(|c| c.deadline);
    let opened = store.map(|store| super::store::open(store, window)).transpose()?;
    let mut hub = Hub::new(tuning, seed, bounds);
    let most_result = hub.core.most_result();
    hub.bound(most);
    let hub: Shared = Rc::new(RefCell::new(hub));
    if let Some(opened) = opened {
        opened.begin(&executor, &hub, most_result)?;
    }
    // Before the module is told anything, so that a capture begins where it begins.
    capturing.set(&hub, config.capture);
    let processor = config.parties.processor.is_some();
    hub.borrow_mut().moved(config.parties);
    executor.spawn(timers(hub.clone())).detach();
    match processor {
        true => executor.spawn(processor::link(hub.clone())).detach(),
        // Without a processor all work goes to workers, and the node is up at once.
        false => hub.borrow_mut().tell(|core, now| core.up_without_processor(now)),
    }
    executor.spawn(ledger::calls(executor.clone(), hub.clone())).detach();
    executor.spawn(membership::reports(hub.clone(), config.name.clone())).detach();
    executor.spawn(workers::runs(executor.clone(), hub.clone())).detach();
    let mut leave = Vec::new();
    for (front, at, listener) in listeners {
        let nudge = Nudge::new();
        leave.push(nudge.clone());
        let accepting = front::listen(executor.clone(), hub.clone(), front, listener, nudge);
        executor.spawn(accepting).detach();
        let protocol = if front == Front::Gateway { "json-rpc" } else { "uwsgi" };
        log(&format!("serving: name={} protocol={protocol} listen={at}", config.name));
    }

    if let Some((at, listener)) = door {
        executor.spawn(control::listen(executor.clone(), hub.clone(), listener)).detach();
        log(&format!("serving: name={} protocol=control address={at}", config.name));
    }

    loop {
        match signals.next().await {
            Signal::Count => print_counters(&hub),
            Signal::Reload => reload.reload(&hub, &mut capturing),
            Signal::Leave => break,
        }
    }
    drain(&hub, &leave, config.stop_ms).await;
    print_counters(&hub);
    capturing.end(&hub);
    Ok(())
}

fn print_counters(hub: &Shared) {
    let hub = hub.borrow();
    let (requests, running, keys) = hub.core.sizes();
    let connections = hub.places.taken();
    log(&format!("counters: {}", hub.core.counters));
    log(&format!("now: requests={requests} running={running} keys={keys} connections={connections}"));
    hub.pools.report(hub.clock.now()).iter().for_each(|line| log(line));
    if let Some((used, reserved, waiting)) = hub.core.store_room() {
        log(&format!("store: used={used} reserved={reserved} waiting={waiting}"));
    }
}

/// Leaves: nothing new is let in, all that was read is answered, and the end comes before the kill.
async fn drain(hub: &Shared, leave: &[Nudge], stop_ms: u64) {
    let stop = ahead(stop_ms.saturating_sub(SPARE_MS));
    let crossed = ahead(CROSSING_MS).min(stop);
    log(&format!("draining: stop_ms={stop_ms} owed={}", hub.borrow().core.owed()));
    leave.iter().for_each(Nudge::give);
    // The module keeps two ticks back from this for its last answers.
    hub.borrow_mut().drain((stop_ms.saturating_sub(SPARE_MS) * 1000) as i64);
    Timer::at(crossed).await;
    let settled = async {
        while !hub.borrow().settled() {
            Timer::at(ahead(10)).await;
        }
    };
    if by(stop.max(Instant::now()), settled).await.is_none() {
        log(&format!("draining: stopped with owed={}", hub.borrow().core.owed()));
    }
}
