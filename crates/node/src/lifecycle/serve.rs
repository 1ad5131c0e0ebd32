//! Serves until told to stop, then leaves in order.

use crate::config::platform::Config;
use crate::lifecycle::capture::{self, Capturing};
use crate::lifecycle::reload::Reload;
use crate::lifecycle::signals::{Signal, Signals};
use crate::log::log;
use crate::net::config_versions::Act;
use crate::net::connections::Front;
use crate::net::front::Fronts;
use crate::net::hot_restart::{self, Offer, Trouble};
use crate::net::hub::{Hub, Limits, Shared};
use crate::net::{ahead, by, control, ledger, membership, processor, registry, timers, workers};
use async_executor::LocalExecutor;
use futures_lite::future;
use pipitlever_core::TableSizes;
use pipitlever_idempotency_store::record::Salt;
use pipitlever_reactor::{block_on, Async, Timer};
use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::rc::Rc;
use std::time::Instant;

/// Descriptors kept back from the fronts, so that the node reaches all that it needs whatever its
/// clients do: standard streams; the poller, its notifier and its clock; a socket pair for each
/// kind of signal, and the second end of SIGINT's; a link to the processor that ends and the next
/// one; the socket for reports; a connection for each call; listening sockets and what they have
/// just accepted; the handover's; files that are read again. The operators' door and the fleet have
/// their own beside these.
const KEPT_BACK: usize = 3 + 3 + 7 + 2 + 1 + ledger::calls::MOST_CALLS + 2 * 2 + 4 + 2;
/// The process ends this long before it would be killed, in milliseconds.
const SPARE_MS: u64 = 150;
/// After `goaway`, requests that were already on their way are waited for this long, in
/// milliseconds.
const CROSSING_MS: u64 = 500;
/// The fronts close this long before what arrives may no longer be run, in milliseconds: the notice
/// may have been heard late.
const LATE_MS: u64 = 100;
/// A process that another one has replaced is killed so long after SIGTERM, beside the longest
/// deadline, and of that no more than this counts, in milliseconds (DAYS, "Replacing the process").
const SUPERSEDED_MS: u64 = 700;
const SUPERSEDED_MOST_MS: u64 = 3000;

/// A process on its way out listens until the grace of its drain is over; its address is waited for
/// so long, in milliseconds.
const LEAVING_MS: u64 = 5000;
/// Between two looks at whether all is answered, in milliseconds.
const LOOK_MS: u64 = 10;

/// What the node is to do.
enum Wanted {
    /// What a signal asks for.
    Signal(Signal),
    /// To act on a version that the fleet has decided.
    Act(Act),
}

/// Runs one node to its end. `read` reads the configuration anew.
pub fn serve(
    config: Config,
    read: impl Fn(Option<&[u8]>) -> Result<Config, String> + 'static,
) -> Result<(), String> {
    let executor = Rc::new(LocalExecutor::new());
    // A task like the others: polled at each wake of any of them, it asked the signals' socket each
    // time.
    let node = executor.spawn(run(executor.clone(), config, read));
    block_on(executor.run(node))
}

async fn run(
    executor: Rc<LocalExecutor<'static>>,
    config: Config,
    read: impl Fn(Option<&[u8]>) -> Result<Config, String>,
) -> Result<(), String> {
    let (config, saved) = crate::config::versions::begin(config, &read)?;
    let signals = Signals::new().map_err(|e| format!("signals: {e}"))?;
    // A store is of one process at a time, and a port that the system picks has nobody before.
    let place = hot_restart::place(config.listen).filter(|_| config.store.is_none());
    let opened = async { Some(Opened::open(&config, place.as_deref()).await) };
    let told_to_leave = async {
        signals.leave().await;
        None
    };
    // Others may have to leave an address first: a process that is told to end meanwhile has
    // nothing to drain.
    let Some(opened) = future::or(opened, told_to_leave).await else {
        log("ending: told to leave before it served");
        return Ok(());
    };
    let Opened {
        met,
        sockets,
        fleet: fleet_sockets,
    } = opened?;
    let door = config.control.map(|at| {
        let bound =
            Async::<TcpListener>::bind(at).map_err(|e| format!("cannot listen on {at}: {e}"))?;
        let at = bound
            .get_ref()
            .local_addr()
            .map_err(|e| format!("listening socket: {e}"))?;
        Ok::<_, String>((at, bound))
    });
    let door = door.transpose()?;
    // Each caller's, and the listener's; those whose answer is on its way take no place among
    // callers any more.
    let for_door = if door.is_some() {
        2 * control::connections::MOST_CALLERS
    } else {
        0
    };
    let memory = config.memory_mb << 20;
    let captured = if config.capture.is_some() {
        capture::memory(memory)
    } else {
        0
    };
    let for_fleet = if config.fleet.is_some() {
        membership::DESCRIPTORS
    } else {
        0
    };
    let kept_back = KEPT_BACK + for_door + for_fleet;
    let limits = Limits {
        memory: memory - captured,
        sockets: config.sockets,
        kept_back,
    };
    let mut capturing = Capturing::new(&config.name, config.seed, memory);
    let mut reload = Reload::new(read, &config);
    let Config {
        tuning,
        seed,
        store,
        ..
    } = config;
    // A repeat that came within a window may be read as late as its caller waits.
    let longest = |of: fn(&pipitlever_admission::Class) -> i64| {
        tuning.settings.classes.iter().map(of).max().unwrap_or(0)
    };
    let window = longest(|c| c.idempotency_window) + longest(|c| c.deadline);
    let opened = store
        .map(|store| crate::lifecycle::store::open(store, window))
        .transpose()?;
    let salt = Salt::random().map_err(|e| format!("random numbers: {e}"))?;
    let salt = met.as_ref().map_or(salt, |met| met.salt);
    let mut hub = Hub::new(tuning, seed, salt, limits.bounds(false));
    let most_result = hub.core.max_result_bytes();
    hub.bound(limits);
    if met.is_some() {
        hub.share(Some(0.5));
    }
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
        false => hub
            .borrow_mut()
            .tell(|core, now| core.start_without_processor(now)),
    }
    executor
        .spawn(ledger::calls(executor.clone(), hub.clone()))
        .detach();
    executor
        .spawn(registry::reports(hub.clone(), config.name.clone()))
        .detach();
    executor
        .spawn(workers::runs(executor.clone(), hub.clone()))
        .detach();
    let name = config.name.clone();
    let at = sockets[0].1;
    for (front, at, _) in &sockets {
        log(&format!(
            "serving: name={name} protocol={} listen={at}",
            front.word()
        ));
    }
    let fronts = Fronts::new(executor.clone(), hub.clone(), sockets);
    // Under the address that the system has picked, if it has.
    let place = place.and_then(|_| hot_restart::place(at));
    let offer = place.map(|place| {
        Offer::new(
            executor.clone(),
            hub.clone(),
            fronts.clone(),
            name.clone(),
            place,
        )
    });
    let (acts, to_act) = async_channel::unbounded();
    if config.fleet.as_ref().is_some_and(|f| f.versions.is_some()) {
        // Until it is known that the disk's version is not one that this node has left.
        hub.borrow_mut().core.set_configuration_expiry(None);
    }
    let member = RefCell::new(config.fleet.zip(fleet_sockets));
    let versioned = RefCell::new(Some(membership::Versioned {
        saved,
        acts: Some(acts),
    }));
    let join = {
        let (executor, hub, name) = (executor.clone(), hub.clone(), name.clone());
        // Once this process serves: until then the one before it is the member.
        move |passed: Option<Vec<u8>>| {
            let Some((settings, sockets)) = member.take() else {
                return;
            };
            let versioned = versioned.take().unwrap_or_default();
            let begun = membership::Part::begin(
                executor.clone(),
                hub.clone(),
                &name,
                settings,
                sockets,
                passed,
                versioned,
            );
            match begun {
                Ok(part) => hub.borrow_mut().callers.fleet = Some(part),
                // Its callers are served all the same.
                Err(why) => log(&format!("fleet: off: {why}")),
            }
        }
    };
    let serve = {
        let (fronts, offer) = (fronts.clone(), offer.clone());
        move |passed: Option<Vec<u8>>| {
            // To be found before it serves: a process that yields to this one is found no longer.
            offer.iter().for_each(Offer::open);
            fronts.open();
            join(passed);
        }
    };
    let trouble = Trouble::default();
    match met {
        None => serve(None),
        Some(met) => {
            let (hub, trouble) = (hub.clone(), trouble.clone());
            let taking = async move {
                if let Err(what) = met.take_over(&hub, serve).await {
                    trouble.found(what);
                }
            };
            executor.spawn(taking).detach();
        }
    }

    if let Some((at, listener)) = door {
        executor
            .spawn(control::listen(executor.clone(), hub.clone(), listener))
            .detach();
        log(&format!(
            "serving: name={} protocol=control address={at}",
            config.name
        ));
    }

    loop {
        let signal = async { Ok(Wanted::Signal(signals.next().await)) };
        let signal = future::or(signal, async { Err(trouble.wait().await) });
        let act = async {
            match to_act.recv().await {
                Ok(act) => Ok(Wanted::Act(act)),
                Err(_) => future::pending().await,
            }
        };
        match future::or(signal, act).await? {
            Wanted::Act(act) => reload.act(&hub, &mut capturing, act).await,
            Wanted::Signal(Signal::Count) => print_counters(&hub),
            Wanted::Signal(Signal::Reload) => reload.reload(&hub, &mut capturing),
            Wanted::Signal(Signal::Leave) => break,
        }
    }
    let superseded = hub.borrow_mut().predecessor.begin_shutdown();
    match superseded {
        true => hand_over(&hub).await,
        false => {
            offer.iter().for_each(|offer| offer.close());
            drain(&hub, &fronts, config.stop_ms).await;
        }
    }
    print_counters(&hub);
    capturing.end(&hub);
    Ok(())
}

/// What a process has before it serves: its sockets, and the process that it takes over from, if
/// there is one.
struct Opened {
    met: Option<hot_restart::Met>,
    sockets: Vec<(Front, SocketAddr, Async<TcpListener>)>,
    fleet: Option<membership::Sockets>,
}

impl Opened {
    /// Meets the process before this one at its place, if there is one, and opens what that one
    /// does not pass on.
    async fn open(config: &Config, place: Option<&Path>) -> Result<Opened, String> {
        let mut met = match place {
            Some(place) if config.listen.port() != 0 => {
                hot_restart::meet(place, &config.name, config.listen).await?
            }
            _ => None,
        };
        let passed = met
            .as_mut()
            .map(|met| std::mem::take(&mut met.sockets))
            .unwrap_or_default();
        let sockets = Opened::listeners(config, passed).await?;
        let fleet = match (&config.fleet, met.as_mut().and_then(|met| met.fleet.take())) {
            // Of another address than this process is given, they are of no use to it.
            (Some(f), Some(passed)) if f.bind.port() == 0 || passed.at() == Some(f.bind) => {
                Some(passed)
            }
            (Some(f), _) => {
                let bound = bind(|| membership::Sockets::bind(f.bind)).await;
                Some(bound.map_err(|e| format!("fleet: cannot listen on {}: {e}", f.bind))?)
            }
            (None, _) => None,
        };
        Ok(Opened {
            met,
            sockets,
            fleet,
        })
    }

    /// The fronts' sockets, passed on or bound.
    async fn listeners(
        config: &Config,
        mut passed: Vec<(Front, SocketAddr, Async<TcpListener>)>,
    ) -> Result<Vec<(Front, SocketAddr, Async<TcpListener>)>, String> {
        let mut wanted = vec![(Front::Gateway, config.listen)];
        wanted.extend(config.tuning.uwsgi.listen.map(|at| (Front::Uwsgi, at)));
        let mut sockets = Vec::new();
        for (front, at) in wanted {
            if let Some(at) = passed
                .iter()
                .position(|(passed, address, _)| (*passed, *address) == (front, at))
            {
                sockets.push(passed.swap_remove(at));
                continue;
            }
            let bound = bind(|| Async::<TcpListener>::bind(at)).await;
            let bound = bound.map_err(|e| format!("cannot listen on {at}: {e}"))?;
            let at = bound
                .get_ref()
                .local_addr()
                .map_err(|e| format!("listening socket: {e}"))?;
            sockets.push((front, at, bound));
        }
        Ok(sockets)
    }
}

/// Binds an address, once a process that is on its way out has left it.
async fn bind<T>(mut attempt: impl FnMut() -> std::io::Result<T>) -> std::io::Result<T> {
    let until = ahead(LEAVING_MS);
    loop {
        match attempt() {
            Err(e) if e.kind() == ErrorKind::AddrInUse && Instant::now() < until => {
                Timer::at(ahead(25)).await;
            }
            bound => return bound,
        }
    }
}

fn print_counters(hub: &Shared) {
    let hub = hub.borrow();
    let TableSizes {
        requests,
        running,
        keys,
        ..
    } = hub.core.table_sizes();
    let connections = hub.places.taken();
    log(&format!("counters: {}", hub.core.counters));
    let open = hub.core.unanswered();
    log(&format!(
        "now: requests={requests} running={running} keys={keys} connections={connections} open={open}"
    ));
    if !hub.core.is_balanced() {
        log("accounting: requests are not what was answered, has gone and is open: report this with the counters");
    }
    hub.pools
        .report(hub.clock.now())
        .iter()
        .for_each(|line| log(line));
    if let Some(usage) = hub.core.store_usage() {
        log(&format!(
            "store: used={} reserved={} waiting={}",
            usage.used_bytes, usage.reserved_bytes, usage.waiting_records
        ));
    }
}

/// Leaves: nothing new is let in, all that was read is answered, and the end comes before the kill.
async fn drain(hub: &Shared, fronts: &Fronts, stop_ms: u64) {
    let stop = ahead(stop_ms.saturating_sub(SPARE_MS));
    let grace_ms = hub.borrow().core.drain_grace() as u64 / 1000;
    let close = ahead(grace_ms.saturating_sub(LATE_MS).min(stop_ms / 2));
    log(&format!(
        "draining: stop_ms={stop_ms} owed={}",
        hub.borrow().core.unanswered()
    ));
    // The module keeps two ticks back from this for its last answers.
    hub.borrow_mut()
        .drain((stop_ms.saturating_sub(SPARE_MS) * 1000) as i64);
    // Callers learn of it late, and until then send to nobody else what is sent here: it is served
    // as usual for as long as it may be run.
    Timer::at(close).await;
    hub.borrow_mut().close();
    fronts.leave();
    let part = hub.borrow().callers.fleet.clone();
    part.iter().for_each(|part| part.leave());
    Timer::at(ahead(CROSSING_MS).min(stop)).await;
    end(hub, stop).await;
}

/// Leaves, while the node goes on in another process: what this one has read is answered, and what
/// becomes of its keys is told.
async fn hand_over(hub: &Shared) {
    let longest = hub.borrow().core.longest_deadline() / 1000;
    let stop_ms = (longest as u64).min(SUPERSEDED_MOST_MS) + SUPERSEDED_MS;
    let left = stop_ms - SPARE_MS;
    let stop = ahead(left);
    log(&format!(
        "leaving: stop_ms={stop_ms} owed={}, another process serves",
        hub.borrow().core.unanswered()
    ));
    hub.borrow_mut().superseded((left * 1000) as i64);
    Timer::at(ahead(CROSSING_MS).min(stop)).await;
    end(hub, stop).await;
}

/// Waits until all that was read is answered and every connection is closed, or the time has come.
/// A connection that the end of the process closed over unread bytes would be reset, and answers
/// lost that its peer has not read yet.
async fn end(hub: &Shared, stop: Instant) {
    until(stop, || hub.borrow().settled()).await;
    hub.borrow_mut().retire_all();
    // What comes before a connection is half-closed is answered as well.
    until(stop, || {
        hub.borrow().places.taken() == 0 && hub.borrow().settled()
    })
    .await;
    if !hub.borrow().settled() {
        log(&format!(
            "draining: stopped with owed={}",
            hub.borrow().core.unanswered()
        ));
    }
}

/// Waits until something holds, or the time has come.
async fn until(stop: Instant, holds: impl Fn() -> bool) {
    let held = async {
        while !holds() {
            Timer::at(ahead(LOOK_MS)).await;
        }
    };
    by(stop.max(Instant::now()), held).await;
}
