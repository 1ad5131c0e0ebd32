//! Reports to the membership service: one datagram of three words each.

/// The report of a node that takes requests, or of one on its way out.
pub fn report(name: &str, up: bool) -> Vec<u8> {
    format!("HB {name} {}", if up { "UP" } else { "OUT" }).into_bytes()
}
