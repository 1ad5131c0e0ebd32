//! Driver of the idempotency store: passes batches from the core to the store's writer thread, one
//! at a time, and the results back to the core.

use crate::net::event_loop::SharedState;
use async_channel::Receiver;
use pipitlever_idempotency_store::disk::BatchWriter;
use std::io;

/// Runs the driver. Does not return while the node runs.
pub async fn run(state: SharedState, writer: BatchWriter, results: Receiver<io::Result<u64>>) {
    let store_work = state.borrow().store_work.clone();
    loop {
        let batch = {
            let state = &mut *state.borrow_mut();
            state.core.next_store_batch(state.clock.now())
        };
        let Some(batch) = batch else {
            store_work.wait().await;
            continue;
        };
        writer.write(batch);
        // Once the writer thread has ended, nothing is written any more. Each batch is then
        // reported as failed, and the commit queue retries with a growing backoff. Without a
        // result, the core's wakeup would stay due and the event loop would spin.
        let result = results
            .recv()
            .await
            .unwrap_or_else(|_| Err(io::Error::other("the writer thread of the store has ended")));
        state
            .borrow_mut()
            .with_core(|core, now| core.handle_store_result(now, result));
    }
}
