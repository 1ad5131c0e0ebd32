//! The configuration of a node: the platform's JSON file and the operator's TOML file.

pub mod operator;
pub mod platform;
pub mod versions;
