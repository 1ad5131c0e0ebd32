//! The arguments of the command line.

use crate::cli::store::Task;
use lexopt::prelude::*;
use std::ffi::OsString;

/// A command with its arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    Serve,
    Check,
    Import {
        files: Vec<String>,
    },
    Pools,
    Store {
        task: Task,
        folder: String,
        json: bool,
    },
    Fleet(FleetCommand),
    Version,
    Help,
}

/// A `fleet` command. `at` has the addresses of the control endpoints that it sends requests to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetCommand {
    Status {
        at: String,
        json: bool,
        watch: bool,
    },
    Compare {
        at: Vec<String>,
    },
    Publish {
        at: String,
        file: String,
        why: String,
    },
    Retire {
        at: String,
        number: u64,
    },
    SetMinimum {
        at: String,
        number: u64,
    },
    Sessions {
        at: String,
        worker: Option<String>,
        json: bool,
    },
}

/// All arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arguments {
    /// What to do.
    pub command: Command,
    /// The platform configuration's file.
    pub config: Option<String>,
    /// The operator file.
    pub operator: Option<String>,
}

/// Why the arguments are invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ArgumentError {
    /// An argument that is unknown, or not valid for this command.
    #[error("{0}; see 'pipitlever help'")]
    Unexpected(String),
    /// An option without its value, or a value that is not UTF-8.
    #[error("{0}")]
    Value(String),
    /// No command has this name.
    #[error("no command '{0}'; see 'pipitlever help'")]
    UnknownCommand(String),
    /// An option that an earlier version had.
    #[error("--uwsgi was removed: put its settings under [uwsgi] into a file for --operator")]
    UwsgiOption,
    /// `import` without a file.
    #[error("import: no file named")]
    NoImportFile,
    /// `store` with operands other than a task and a folder.
    #[error("store: expected check, list or compact, and a folder")]
    StoreUsage,
    /// `fleet` with operands or `--at` options that none of its commands takes.
    #[error(
        "fleet: expected publish FILE --why WHY --at CONTROL; close N, accept-floor N, status or \
         sessions with --at CONTROL; or compare with --at CONTROL for two nodes or more"
    )]
    FleetUsage,
    /// A config version that is not a number.
    #[error("{command}: not a version number: {argument}")]
    VersionNumber {
        /// The command.
        command: String,
        /// The invalid argument.
        argument: String,
    },
    /// `fleet publish` without `--why`.
    #[error("publish: --why is missing: the reason, which is stored with the version")]
    NoReason,
}

/// The options and operands, before they are checked against the command.
#[derive(Default)]
struct Options {
    command: Option<String>,
    operands: Vec<String>,
    config: Option<String>,
    operator: Option<String>,
    at: Vec<String>,
    why: Option<String>,
    worker: Option<String>,
    json: bool,
    watch: bool,
}

impl Arguments {
    /// The process's arguments; the configuration may come from `EDGE_CONFIG` instead.
    pub fn from_environment() -> Result<Arguments, ArgumentError> {
        let options = Options {
            config: std::env::var("EDGE_CONFIG").ok(),
            ..Options::default()
        };
        Arguments::parse(lexopt::Parser::from_env(), options)
    }

    fn parse(mut parser: lexopt::Parser, mut options: Options) -> Result<Arguments, ArgumentError> {
        while let Some(argument) = parser.next().map_err(value_error)? {
            let command = options.command.clone().unwrap_or_default();
            let is_fleet = command == "fleet";
            match argument {
                Long("config") => options.config = Some(text_value(&mut parser)?),
                Long("operator") => options.operator = Some(text_value(&mut parser)?),
                Long("uwsgi") => return Err(ArgumentError::UwsgiOption),
                Long("help") | Short('h') => options.command = Some("help".to_owned()),
                Long("version") | Short('V') => options.command = Some("version".to_owned()),
                Long("json") if is_fleet || command == "store" => options.json = true,
                Long("watch") if is_fleet => options.watch = true,
                Long("why") if is_fleet => options.why = Some(text_value(&mut parser)?),
                Long("worker") if is_fleet => options.worker = Some(text_value(&mut parser)?),
                Long("at") if is_fleet => options.at.push(text_value(&mut parser)?),
                Value(name) if options.command.is_none() => options.command = Some(text(name)?),
                Value(operand) if matches!(command.as_str(), "import" | "store" | "fleet") => {
                    options.operands.push(text(operand)?);
                }
                other => return Err(ArgumentError::Unexpected(other.unexpected().to_string())),
            }
        }
        let config = options.config.take();
        let operator = options.operator.take();
        Ok(Arguments {
            command: options.into_command()?,
            config,
            operator,
        })
    }
}

impl Options {
    fn into_command(self) -> Result<Command, ArgumentError> {
        let command = match self.command.as_deref().unwrap_or("serve") {
            "serve" => Command::Serve,
            "check" => Command::Check,
            "import" if self.operands.is_empty() => return Err(ArgumentError::NoImportFile),
            "import" => Command::Import {
                files: self.operands,
            },
            "pools" => Command::Pools,
            "store" => self.into_store()?,
            "fleet" => Command::Fleet(self.into_fleet()?),
            "version" => Command::Version,
            "help" => Command::Help,
            name => return Err(ArgumentError::UnknownCommand(name.to_owned())),
        };
        Ok(command)
    }

    fn into_store(self) -> Result<Command, ArgumentError> {
        let [task, folder] = &self.operands[..] else {
            return Err(ArgumentError::StoreUsage);
        };
        Ok(Command::Store {
            task: Task::from_name(task).ok_or(ArgumentError::StoreUsage)?,
            folder: folder.clone(),
            json: self.json,
        })
    }

    fn into_fleet(self) -> Result<FleetCommand, ArgumentError> {
        let operands: Vec<&str> = self.operands.iter().map(String::as_str).collect();
        let command = match (&operands[..], &self.at[..]) {
            (["publish", file], [at]) => FleetCommand::Publish {
                at: at.clone(),
                file: (*file).to_owned(),
                why: self.why.ok_or(ArgumentError::NoReason)?,
            },
            (["close", number], [at]) => FleetCommand::Retire {
                at: at.clone(),
                number: version_number("close", number)?,
            },
            (["accept-floor", number], [at]) => FleetCommand::SetMinimum {
                at: at.clone(),
                number: version_number("accept-floor", number)?,
            },
            (["sessions"], [at]) => FleetCommand::Sessions {
                at: at.clone(),
                worker: self.worker,
                json: self.json,
            },
            (["status"], [at]) => FleetCommand::Status {
                at: at.clone(),
                json: self.json,
                watch: self.watch,
            },
            (["compare"], [_, _, ..]) => FleetCommand::Compare { at: self.at },
            _ => return Err(ArgumentError::FleetUsage),
        };
        Ok(command)
    }
}

fn version_number(command: &str, argument: &str) -> Result<u64, ArgumentError> {
    argument.parse().map_err(|_| ArgumentError::VersionNumber {
        command: command.to_owned(),
        argument: argument.to_owned(),
    })
}

fn text_value(parser: &mut lexopt::Parser) -> Result<String, ArgumentError> {
    text(parser.value().map_err(value_error)?)
}

fn text(value: OsString) -> Result<String, ArgumentError> {
    value.string().map_err(value_error)
}

fn value_error(error: impl std::fmt::Display) -> ArgumentError {
    ArgumentError::Value(error.to_string())
}
