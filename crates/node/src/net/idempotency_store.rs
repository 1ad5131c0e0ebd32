//! Passes batches to the store's writer thread, one at a time, and their results to the core.

use crate::net::event_loop::SharedState;
use async_channel::Receiver;
use pipitlever_idempotency_store::disk::BatchWriter;
use std::io;

/// Passes batches and results on for as long as the node runs.
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
        // Without its thread nothing is ever written. That is reported as a failure, so that the
        // commit queue retries with growing pauses; without a result the core would be woken at
        // once, again and again.
        let result = results
            .recv()
            .await
            .unwrap_or_else(|_| Err(io::Error::other("the writer's thread has ended")));
        state
            .borrow_mut()
            .with_core(|core, now| core.handle_store_result(now, result));
    }
}
