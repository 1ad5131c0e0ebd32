//! Carries batches to the store's writer, one at a time, and what comes of them back.

use crate::net::hub::Shared;
use async_channel::Receiver;
use pipitlever_idempotency_store::disk::BatchWriter;
use std::io;

/// For as long as the node runs.
pub async fn batches(hub: Shared, writer: BatchWriter, done: Receiver<io::Result<u64>>) {
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
        // Without its thread nothing is ever written. That is reported as a failure, so that the
        // commit queue retries with growing pauses; without a result the core would be woken at
        // once, again and again.
        let result = done
            .recv()
            .await
            .unwrap_or_else(|_| Err(io::Error::other("the writer's thread has ended")));
        hub.borrow_mut()
            .tell(|core, now| core.handle_store_result(now, result));
    }
}
