//! The counters and table sizes that are logged on SIGUSR1 and at shutdown.

use crate::log::log;
use crate::net::event_loop::SharedState;
use pipitlever_core::TableSizes;

/// Logs the counters, the sizes of the tables, the pools of workers and the store.
pub fn log_counters(state: &SharedState) {
    let state = state.borrow();
    let TableSizes {
        requests,
        running,
        keys,
        ..
    } = state.core.table_sizes();
    let connections = state.connections.used();
    let open = state.core.unanswered();
    log(&format!("counters: {}", state.core.counters));
    log(&format!(
        "now: requests={requests} running={running} keys={keys} connections={connections} \
         open={open}"
    ));
    if !state.core.has_consistent_counters() {
        log(
            "accounting: requests != served + rejected + failed + abandoned + open: report this \
             with the counters",
        );
    }
    for line in state.pools.report(state.clock.now()) {
        log(&line);
    }
    if let Some(usage) = state.core.store_usage() {
        log(&format!(
            "store: used={} reserved={} waiting={}",
            usage.used_bytes, usage.reserved_bytes, usage.waiting_records
        ));
    }
}
