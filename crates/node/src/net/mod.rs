//! Thin drivers on smol's executor and the reactor: they read, write and wait; what it means is
//! decided in `wire` and `core`.

pub mod clock;
pub mod config_versions;
pub mod connections;
pub mod control;
pub mod front;
pub mod graceful_close;
pub mod hot_restart;
pub mod hub;
pub mod idempotency_store;
pub mod ledger;
pub mod membership;
pub mod notify;
pub mod processor;
pub mod registry;
pub mod session_affinity;
pub mod subsetting;
pub mod workers;

use futures_lite::future;
use pipitlever_reactor::Timer;
use std::time::{Duration, Instant};

/// A moment this far ahead, for pauses between tries.
pub fn ahead(ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(ms)
}

/// What the future yields, or nothing once the moment has come.
pub async fn by<T>(at: Instant, wanted: impl std::future::Future<Output = T>) -> Option<T> {
    future::or(async { Some(wanted.await) }, async {
        Timer::at(at).await;
        None
    })
    .await
}

/// Wakes the core whenever it wants to be woken.
pub async fn timers(hub: hub::Shared) {
    let woken = hub.borrow().woken.clone();
    loop {
        let next = {
            let hub = hub.borrow();
            hub.core.next_wakeup().map(|at| hub.clock.instant(at))
        };
        match next {
            Some(at) if at <= Instant::now() => {
                hub.borrow_mut().tell(|core, now| core.handle_wakeup(now));
                // Other tasks have their turn even if the core always wants to be woken.
                future::yield_now().await;
            }
            Some(at) => {
                by(at, woken.wait()).await;
            }
            None => woken.wait().await,
        }
    }
}
