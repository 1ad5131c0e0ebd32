//! The counters and table sizes that are logged on SIGUSR1 and at the end.

use crate::log::log;
use crate::net::hub::Shared;
use pipitlever_core::TableSizes;

/// Logs the counters, the sizes of the tables, the pools of workers and the store.
pub fn log_counters(hub: &Shared) {
    let hub = hub.borrow();
    let TableSizes {
        requests,
        running,
        keys,
        ..
    } = hub.core.table_sizes();
    let connections = hub.places.taken();
    let open = hub.core.unanswered();
    log(&format!("counters: {}", hub.core.counters));
    log(&format!(
        "now: requests={requests} running={running} keys={keys} connections={connections} \
         open={open}"
    ));
    if !hub.core.is_balanced() {
        log("accounting: requests are not what was answered, has gone and is open: report this with the counters");
    }
    for line in hub.pools.report(hub.clock.now()) {
        log(&line);
    }
    if let Some(usage) = hub.core.store_usage() {
        log(&format!(
            "store: used={} reserved={} waiting={}",
            usage.used_bytes, usage.reserved_bytes, usage.waiting_records
        ));
    }
}
