//! Tools for operators and maintainers: what a node decided, why, and what this build would decide.

mod command;
mod diff;
mod explain;
mod export;
mod rows;
mod source;
mod stats;
mod verdict;
mod walk;
mod words;

fn main() -> std::process::ExitCode {
    std::process::ExitCode::from(command::run())
}
