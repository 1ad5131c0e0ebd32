//! What a node is configured with: the platform's JSON object and the operator's TOML file.

pub mod operator;
pub mod platform;
pub mod versions;
