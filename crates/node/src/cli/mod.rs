//! The command line: parses the arguments and runs one command.

mod arguments;
mod check;
mod fleet;
mod import;
mod import_command;
mod pools;
mod sessions;
mod store;

use crate::cli::arguments::{Arguments, Command, FleetCommand};
use crate::config::platform::Config;
use crate::lifecycle::{serve, ServeError};
use crate::EXIT_PANICKED;
use thiserror::Error;

/// The exit code of a command that failed.
const EXIT_FAILURE: u8 = 1;
/// The text of `pipitlever help`.
const HELP: &str = include_str!("help.txt");

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The message of a command.
    #[error("{0}")]
    Message(String),
    /// The node could not start, or ended after a failure.
    #[error(transparent)]
    Serve(#[from] ServeError),
}

impl From<String> for CommandError {
    fn from(message: String) -> CommandError {
        CommandError::Message(message)
    }
}

impl CommandError {
    /// The code that the process ends with.
    pub fn exit_code(&self) -> u8 {
        match self {
            CommandError::Serve(ServeError::Panicked(_)) => EXIT_PANICKED,
            CommandError::Serve(ServeError::Failed(_)) | CommandError::Message(_) => EXIT_FAILURE,
        }
    }
}

/// Runs the command that the process's arguments name; returns the exit code.
pub fn run() -> Result<u8, CommandError> {
    let arguments = Arguments::from_environment().map_err(|e| e.to_string())?;
    let Arguments {
        command,
        config,
        operator,
    } = arguments;
    let read =
        move |version: Option<&[u8]>| Config::load(config.as_deref(), operator.as_deref(), version);
    match command {
        Command::Serve => Ok(serve(read(None)?, read).map(|()| 0)?),
        Command::Check => {
            check::print_summary(&read(None)?);
            Ok(0)
        }
        Command::Import { files } => Ok(import_command::run(&files)?),
        Command::Pools => {
            for line in pools::describe_pools(&read(None)?.request_settings.uwsgi) {
                println!("{line}");
            }
            Ok(0)
        }
        Command::Store { task, folder, json } => Ok(store::run(task, &folder, json).map(|()| 0)?),
        Command::Fleet(command) => Ok(run_fleet(command)?),
        Command::Version => {
            println!("pipitlever {}", env!("CARGO_PKG_VERSION"));
            Ok(0)
        }
        Command::Help => {
            print!("{HELP}");
            Ok(0)
        }
    }
}

fn run_fleet(command: FleetCommand) -> Result<u8, String> {
    match command {
        FleetCommand::Status { at, json, watch } => fleet::print_status(&at, json, watch),
        FleetCommand::Compare { at } => fleet::print_comparison(&at),
        FleetCommand::Publish { at, file, why } => fleet::publish(&at, &file, &why),
        FleetCommand::Retire { at, number } => fleet::post_version_command(&at, "close", number),
        FleetCommand::SetMinimum { at, number } => {
            fleet::post_version_command(&at, "accept-floor", number)
        }
        FleetCommand::Sessions { at, worker, json } => sessions::run(&at, worker.as_deref(), json),
    }
}
