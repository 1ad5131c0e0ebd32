//! Tools for captures: what a node decided and why, and what this build would decide.

mod command;
mod cursor;
mod diff;
mod explain;
mod export;
mod progress;
mod rendering;
mod replay;
mod request_record;
mod request_records;
mod source;
mod stats;

fn main() -> std::process::ExitCode {
    std::process::ExitCode::from(command::run())
}
