//! Carries batches to the store's writer, one at a time, and what comes of them back.

use crate::net::event_loop::SharedState;
use async_channel::Receiver;
use pipitlever_idempotency_store::disk::WriterThread;

/// For as long as the node runs.
pub async fn batches(
    state: SharedState,
    writer: WriterThread,
    done: Receiver<Result<u64, String>>,
) {
    let notify = state.borrow().store_work.clone();
    loop {
        let batch = {
            let state = &mut *state.borrow_mut();
            state.core.next_store_batch(state.clock.now())
        };
        let Some(batch) = batch else {
            notify.wait().await;
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
        state
            .borrow_mut()
            .with_core(|core, now| core.handle_store_result(now, result));
    }
}
