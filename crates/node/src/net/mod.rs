//! Thin drivers on smol's executor and the reactor: they read, write and wait; what it means is
//! decided in `wire` and `core`.

pub mod callers;
pub mod calls;
pub mod clock;
pub mod closing;
pub mod control;
pub mod fleet;
pub mod front;
pub mod handover;
pub mod hub;
pub mod ledger;
pub mod link;
pub mod membership;
pub mod nudge;
pub mod places;
pub mod pools;
pub mod processor;
pub mod routes;
pub mod sessions;
pub mod share;
pub mod store;
pub mod versions;
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
