use super::{ControlConnections, MAX_CONNECTIONS, RECENT_ARRIVAL};
use std::time::Instant;

#[test]
fn the_oldest_connection_is_evicted_but_no_recent_one() {
    let start = Instant::now();
    let mut control = ControlConnections::default();
    for i in 0..MAX_CONNECTIONS as u32 {
        assert_eq!(control.reserve(start), Ok(()));
        control.add(start + i * RECENT_ARRIVAL);
    }
    let first = control.connections[&1].evicted.clone();
    // The table is full, and the oldest connection is too recent to be evicted.
    assert_eq!(control.reserve(start), Err(start + RECENT_ARRIVAL));
    assert_eq!(
        (control.connections.len(), control.evictions),
        (MAX_CONNECTIONS, 0)
    );
    assert_eq!(control.reserve(start + RECENT_ARRIVAL), Ok(()));
    assert_eq!(
        (control.connections.len(), control.evictions),
        (MAX_CONNECTIONS - 1, 1)
    );
    pipitlever_reactor::block_on(first.wait());
    assert!(!control.connections.contains_key(&1));
}
