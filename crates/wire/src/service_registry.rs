//! Heartbeats to the service registry: datagrams of three words.

/// What a node reports of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It accepts requests.
    Up,
    /// It is draining: gateways have to use other nodes.
    Draining,
}

/// One heartbeat datagram.
pub fn heartbeat(node: &str, availability: Availability) -> Vec<u8> {
    let word = match availability {
        Availability::Up => "UP",
        Availability::Draining => "OUT",
    };
    format!("HB {node} {word}").into_bytes()
}
