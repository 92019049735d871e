//! The command line: parses the arguments of the process and runs the role or operator command that they name.

use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;

use clap::{Parser, Subcommand};

use crate::operator::commands::{self, ControlAddresses, OperatorError};
use crate::operator::demo::{self, DemoError};
use crate::roles::{self, RoleError};
use crate::runtime::block_on_local;
use crate::settings::{Settings, SettingsError};
use crate::signals::{ignore_hangup, wait_for_termination};
use crate::{agent, control};

/// The log filter if `RUST_LOG` is not set or invalid.
const DEFAULT_LOG_FILTER: &str = "info";

#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run an edge: accept client requests, and answer them from the cache or forward them
    Edge,
    /// Run the agent of an edge: relay updates from control to the edge on this machine
    Agent,
    /// Run a shield: answer read requests of edges from its cache, or fetch the objects from servers
    Shield,
    /// Run a control node: store the configuration, track servers, and publish both to edges and shields
    Control,
    #[command(flatten)]
    Operator(OperatorCommand),
    /// Run a complete system on loopback, with stub servers
    Demo {
        /// Exit after the requests of the demo have succeeded
        #[arg(long)]
        once: bool,
    },
}

#[derive(Subcommand)]
enum OperatorCommand {
    /// Validate a settings file (TOML) or a configuration (JSON), and report where an error is
    Check {
        /// Path of the settings file or configuration
        file: PathBuf,
    },
    /// Read or change the configuration
    #[command(subcommand)]
    Config(commands::config::ConfigCommand),
    /// Manage the configuration as files under version control
    #[command(subcommand)]
    Declared(commands::declared::DeclaredCommand),
    /// Export, import and verify the state of control
    #[command(subcommand)]
    State(commands::state::StateCommand),
    /// List, add and remove the voters of the core
    #[command(subcommand)]
    Core(commands::core::CoreCommand),
    /// Purge the stored responses of one object, or of all objects with a label
    Purge(commands::purge::PurgeArguments),
    /// Show members, servers, and the versions that each member has applied
    Status {
        #[command(flatten)]
        addresses: ControlAddresses,
    },
}

/// Why a role or a command has failed.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error(transparent)]
    Role(#[from] RoleError),
    #[error(transparent)]
    Control(Box<dyn std::error::Error>),
    #[error(transparent)]
    Operator(#[from] OperatorError),
    #[error(transparent)]
    Demo(#[from] DemoError),
}

impl CommandError {
    fn control(error: impl Into<Box<dyn std::error::Error>>) -> Self {
        CommandError::Control(error.into())
    }
}

/// Runs the program with the arguments of the process.
pub fn main() -> ExitCode {
    let arguments = Arguments::parse();
    init_logging();
    match run(arguments.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // Always one line, which scripts and logs rely on.
            eprintln!("glenfall: {}", error.to_string().replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}

fn init_logging() {
    let filter = tracing_subscriber::EnvFilter::try_from_default_env();
    let filter = filter.unwrap_or_else(|_| tracing_subscriber::EnvFilter::new(DEFAULT_LOG_FILTER));
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).with_ansi(false).init();
}

fn run(command: Command) -> Result<(), CommandError> {
    block_on_local(async {
        match command {
            Command::Edge => Ok(roles::edge::run(load_settings()?).await?),
            Command::Shield => Ok(roles::shield::run(load_settings()?).await?),
            Command::Agent => Ok(agent_until_terminated(load_settings()?).await?),
            Command::Control => control::run(load_settings()?).await.map_err(CommandError::control),
            Command::Demo { once } => Ok(demo::run(once).await?),
            Command::Operator(command) => {
                println!("{}", run_operator_command(command).await?);
                Ok(())
            }
        }
    })?
}

fn load_settings() -> Result<Rc<Settings>, SettingsError> {
    ignore_hangup();
    Settings::load().map(Rc::new)
}

/// Runs the agent until the process receives a termination signal, which ends it at once. The edge on this machine
/// receives a signal of its own, and drains with the configuration and the fleet that it has.
async fn agent_until_terminated(settings: Rc<Settings>) -> std::io::Result<()> {
    tokio::select! {
        ended = agent::run(settings) => ended,
        () = wait_for_termination() => Ok(()),
    }
}

/// Runs an operator command; returns its output.
async fn run_operator_command(command: OperatorCommand) -> Result<String, OperatorError> {
    match command {
        OperatorCommand::Check { file } => commands::check(&file),
        OperatorCommand::Config(command) => commands::config::run(&command).await,
        OperatorCommand::Declared(command) => commands::declared::run(command).await,
        OperatorCommand::State(command) => commands::state::run(command).await,
        OperatorCommand::Core(command) => commands::core::run(&command).await,
        OperatorCommand::Purge(arguments) => commands::purge::run(&arguments).await,
        OperatorCommand::Status { addresses } => commands::status(&addresses).await,
    }
}
