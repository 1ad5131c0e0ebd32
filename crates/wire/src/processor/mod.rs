//! The connection to the platform's processor: it sends commands and receives numbered notices.

mod commands;
mod notices;

pub use commands::{write_call_reply, write_gauge_query, write_interrupt, write_start};
pub use notices::{CommandKind, GaugeValues, Notice, NoticeReader, RunOutcome};
