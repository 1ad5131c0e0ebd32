//! Graceful shutdown: requests that were read are answered, and the process ends before it would be
//! killed.

use crate::lifecycle::startup::Services;
use crate::log::log;
use crate::net::event_loop::SharedState;
use crate::net::{after_ms, timeout_at};
use crate::supervision::Subsystem;
use pipitlever_reactor::Timer;
use std::time::Instant;

/// The process ends this long before it would be killed, in milliseconds.
const KILL_MARGIN_MS: u64 = 150;
/// How long after `goaway` to wait for requests that were already on their way, in milliseconds.
const IN_TRANSIT_MS: u64 = 500;
/// The front ends close this long before the grace period ends, in milliseconds. Requests that
/// arrive after the grace period are not run, and the signal may have been handled late.
const CLOSE_MARGIN_MS: u64 = 100;
/// Time from SIGTERM until a replaced process is killed, in addition to the longest deadline of the
/// classes, in milliseconds.
const REPLACED_KILL_MS: u64 = 700;
/// Upper limit of the longest deadline in that sum, in milliseconds.
const REPLACED_MAX_DEADLINE_MS: u64 = 3000;
/// Time between two checks whether all requests are answered, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 10;

/// Prepares the shutdown of a process in which a subsystem has panicked. If the membership driver
/// is affected, it is not called any more: the other members detect the end by their probes.
pub fn prepare_after_failure(services: &Services, subsystem: Subsystem) {
    log(&format!("ending: subsystem={subsystem} panicked"));
    let membership = services.state.borrow().membership.clone();
    if let Some(membership) = membership.filter(|_| subsystem.drives_membership()) {
        membership.pause();
    }
}

/// Shuts down the node or, if another process has taken over, this process alone.
pub async fn shut_down(services: &Services) {
    let is_replaced = services
        .state
        .borrow_mut()
        .hot_restart
        .predecessor
        .begin_shutdown();
    if is_replaced {
        finish_replaced(&services.state).await;
        return;
    }
    if let Some(listener) = &services.successor_listener {
        listener.close();
    }
    if has_never_served(services) {
        return;
    }
    drain(services).await;
}

/// Whether this process is a successor that has not taken over. It ends at once, so that its
/// predecessor detects that as early as possible.
fn has_never_served(services: &Services) -> bool {
    let state = services.state.borrow();
    !state.is_accepting && state.connections.used() == 0
}

/// Drains and ends. Gateways are notified of the shutdown with a delay and send requests to this
/// node until then, so requests are served as usual for the grace period.
async fn drain(services: &Services) {
    let (state, stop_ms) = (&services.state, services.stop_ms);
    let remaining_ms = stop_ms.saturating_sub(KILL_MARGIN_MS);
    let stop = after_ms(remaining_ms);
    let grace_ms = state.borrow().core.drain_grace() as u64 / 1000;
    let close = after_ms(grace_ms.saturating_sub(CLOSE_MARGIN_MS).min(stop_ms / 2));
    let unanswered = state.borrow().core.unanswered();
    log(&format!("draining: stop_ms={stop_ms} owed={unanswered}"));
    state.borrow_mut().begin_drain((remaining_ms * 1000) as i64);
    Timer::at(close).await;
    state.borrow_mut().send_goaway();
    services.fronts.close();
    let membership = state.borrow().membership.clone();
    if let Some(membership) = membership {
        membership.leave();
    }
    Timer::at(after_ms(IN_TRANSIT_MS).min(stop)).await;
    finish(state, stop).await;
}

/// Ends this process after a hot restart. Requests that it has read are answered, and the outcomes
/// of its keys are sent to the successor.
async fn finish_replaced(state: &SharedState) {
    let longest_deadline_ms = state.borrow().core.longest_deadline() as u64 / 1000;
    let stop_ms = longest_deadline_ms.min(REPLACED_MAX_DEADLINE_MS) + REPLACED_KILL_MS;
    let remaining_ms = stop_ms - KILL_MARGIN_MS;
    let stop = after_ms(remaining_ms);
    let unanswered = state.borrow().core.unanswered();
    log(&format!(
        "leaving: stop_ms={stop_ms} owed={unanswered}, another process serves"
    ));
    state
        .borrow_mut()
        .begin_retirement((remaining_ms * 1000) as i64);
    Timer::at(after_ms(IN_TRANSIT_MS).min(stop)).await;
    finish(state, stop).await;
}

/// Waits until all requests that were read are answered and all connections are closed, or until
/// `stop`. If the process ended with unread bytes on a connection, the system would reset it, and
/// the peer could lose answers.
async fn finish(state: &SharedState, stop: Instant) {
    wait_until(stop, || state.borrow().is_settled()).await;
    state.borrow_mut().begin_close_all();
    // Requests that arrive before a connection is half-closed are answered as well.
    let is_finished = || state.borrow().connections.used() == 0 && state.borrow().is_settled();
    wait_until(stop, is_finished).await;
    if !state.borrow().is_settled() {
        let unanswered = state.borrow().core.unanswered();
        log(&format!("draining: stopped with owed={unanswered}"));
    }
}

/// Waits until a condition holds, or until `stop`.
async fn wait_until(stop: Instant, condition: impl Fn() -> bool) {
    let holds = async {
        while !condition() {
            Timer::at(after_ms(CHECK_INTERVAL_MS)).await;
        }
    };
    timeout_at(stop.max(Instant::now()), holds).await;
}
