//! Drivers: tasks that do the input and output on sockets, timers and threads. `pipitlever-wire`
//! decodes and encodes messages; `pipitlever-core` and other packages without input and output
//! make the decisions.

pub mod clock;
pub mod config_versions;
pub mod connections;
pub mod control;
pub mod control_connections;
pub mod event_loop;
pub mod front;
pub mod graceful_close;
pub mod hot_restart;
pub mod idempotency_store;
pub mod ledger;
pub mod ledger_calls;
pub mod membership;
pub mod notify;
pub mod processor;
pub mod processor_connection;
pub mod registry;
pub mod session_affinity;
pub mod subsetting;
pub mod worker_pools;
pub mod workers;

use futures_lite::future;
use pipitlever_reactor::Timer;
use std::future::Future;
use std::time::{Duration, Instant};

/// The instant `ms` milliseconds from now.
pub fn after_ms(ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(ms)
}

/// Waits for the output of `future`; returns none if the deadline passes first.
pub async fn timeout_at<T>(deadline: Instant, future: impl Future<Output = T>) -> Option<T> {
    future::or(async { Some(future.await) }, async {
        Timer::at(deadline).await;
        None
    })
    .await
}

/// Calls the core whenever its next wakeup is due.
pub async fn run_core_timer(state: event_loop::SharedState) {
    let wakeup_changed = state.borrow().wakeup_changed.clone();
    loop {
        let next = {
            let state = state.borrow();
            let wakeup = state.core.next_wakeup();
            wakeup.map(|at| state.clock.instant(at))
        };
        match next {
            Some(at) if at <= Instant::now() => {
                state
                    .borrow_mut()
                    .with_core(|core, now| core.handle_wakeup(now));
                // Otherwise no other task would run while a wakeup is always due.
                future::yield_now().await;
            }
            Some(at) => {
                timeout_at(at, wakeup_changed.wait()).await;
            }
            None => wakeup_changed.wait().await,
        }
    }
}
