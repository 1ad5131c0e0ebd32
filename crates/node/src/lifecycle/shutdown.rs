//! Graceful shutdown: nothing new is admitted, all that was read is answered, and the process ends
//! before it would be killed.

use crate::lifecycle::startup::Services;
use crate::log::log;
use crate::net::hub::Shared;
use crate::net::{ahead, by};
use pipitlever_reactor::Timer;
use std::time::Instant;

/// The process ends this long before it would be killed, in milliseconds.
const KILL_MARGIN_MS: u64 = 150;
/// How long after `goaway` to wait for requests that were already on their way, in milliseconds.
const IN_TRANSIT_MS: u64 = 500;
/// The front ends close this long before arriving requests may no longer run, in milliseconds: the
/// signal may have been handled late.
const CLOSE_MARGIN_MS: u64 = 100;
/// A replaced process is killed this long after SIGTERM, in addition to the longest deadline, in
/// milliseconds.
const REPLACED_KILL_MS: u64 = 700;
/// The most that the longest deadline counts for that, in milliseconds.
const REPLACED_MAX_DEADLINE_MS: u64 = 3000;
/// Time between two checks whether all requests are answered, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 10;

/// Shuts down: as the node's end, or, if another process has taken over, as the end of this process
/// alone.
pub async fn shut_down(services: &Services) {
    let is_replaced = services.hub.borrow_mut().predecessor.begin_shutdown();
    if is_replaced {
        finish_replaced(&services.hub).await;
        return;
    }
    if let Some(offer) = &services.offer {
        offer.close();
    }
    drain(services).await;
}

/// Drains and ends. Callers learn late of the shutdown and send their requests to this node until
/// then, so requests are served as usual for the grace period.
async fn drain(services: &Services) {
    let (hub, stop_ms) = (&services.hub, services.stop_ms);
    let remaining_ms = stop_ms.saturating_sub(KILL_MARGIN_MS);
    let stop = ahead(remaining_ms);
    let grace_ms = hub.borrow().core.drain_grace() as u64 / 1000;
    let close = ahead(grace_ms.saturating_sub(CLOSE_MARGIN_MS).min(stop_ms / 2));
    let owed = hub.borrow().core.unanswered();
    log(&format!("draining: stop_ms={stop_ms} owed={owed}"));
    hub.borrow_mut().drain((remaining_ms * 1000) as i64);
    Timer::at(close).await;
    hub.borrow_mut().close();
    services.fronts.leave();
    let membership = hub.borrow().callers.fleet.clone();
    if let Some(membership) = membership {
        membership.leave();
    }
    Timer::at(ahead(IN_TRANSIT_MS).min(stop)).await;
    finish(hub, stop).await;
}

/// Ends this process while the node goes on in another one: what it has read is answered, and the
/// outcomes of its keys are passed on.
async fn finish_replaced(hub: &Shared) {
    let longest_deadline_ms = hub.borrow().core.longest_deadline() as u64 / 1000;
    let stop_ms = longest_deadline_ms.min(REPLACED_MAX_DEADLINE_MS) + REPLACED_KILL_MS;
    let remaining_ms = stop_ms - KILL_MARGIN_MS;
    let stop = ahead(remaining_ms);
    let owed = hub.borrow().core.unanswered();
    log(&format!(
        "leaving: stop_ms={stop_ms} owed={owed}, another process serves"
    ));
    hub.borrow_mut().superseded((remaining_ms * 1000) as i64);
    Timer::at(ahead(IN_TRANSIT_MS).min(stop)).await;
    finish(hub, stop).await;
}

/// Waits until all that was read is answered and every connection is closed, or until `stop`. If the
/// process ended with unread bytes on a connection, the system would reset it, and its peer could
/// lose answers.
async fn finish(hub: &Shared, stop: Instant) {
    wait_until(stop, || hub.borrow().settled()).await;
    hub.borrow_mut().retire_all();
    // Requests that arrive before a connection is half-closed are answered as well.
    let is_finished = || hub.borrow().places.taken() == 0 && hub.borrow().settled();
    wait_until(stop, is_finished).await;
    if !hub.borrow().settled() {
        let owed = hub.borrow().core.unanswered();
        log(&format!("draining: stopped with owed={owed}"));
    }
}

/// Waits until a condition holds, or until `stop`.
async fn wait_until(stop: Instant, condition: impl Fn() -> bool) {
    let holds = async {
        while !condition() {
            Timer::at(ahead(CHECK_INTERVAL_MS)).await;
        }
    };
    by(stop.max(Instant::now()), holds).await;
}
