//! Heartbeats to the service registry: datagrams of three space-separated fields.

/// The availability that a node reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// The node accepts requests.
    Up,
    /// The node is draining: gateways have to use other nodes.
    Draining,
}

/// Encodes one heartbeat datagram.
pub fn heartbeat(node: &str, availability: Availability) -> Vec<u8> {
    let state = match availability {
        Availability::Up => "UP",
        Availability::Draining => "OUT",
    };
    format!("HB {node} {state}").into_bytes()
}
