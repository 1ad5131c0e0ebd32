//! Carries batches to the store's writer, one at a time, and what comes of them back.

use crate::net::hub::Shared;
use async_channel::Receiver;
use pipitlever_idempotency_store::disk::WriterThread;

/// For as long as the node runs.
pub async fn batches(hub: Shared, writer: WriterThread, done: Receiver<Result<u64, String>>) {
    let nudge = hub.borrow().storing.clone();
    loop {
        let batch = {
            let hub = &mut *hub.borrow_mut();
            hub.core.next_store_batch(hub.clock.now())
        };
        let Some(batch) = batch else {
            nudge.wait().await;
            continue;
        };
        writer.write(batch);
        // Without its thread nothing is ever written: that is a failure like any other, and the
        // gate asks again ever more seldom. Left alone, what waits would have the core woken
        // without end.
        let result = done
            .recv()
            .await
            .unwrap_or_else(|_| Err("the writer's thread has ended".into()));
        hub.borrow_mut()
            .tell(|core, now| core.handle_store_result(now, result));
    }
}
