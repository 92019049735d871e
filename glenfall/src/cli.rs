//! The command line: parses the arguments of the process and runs the role or the operator's command that they name.

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

/// The log filter where `RUST_LOG` states none.
const DEFAULT_LOG_FILTER: &str = "info";

#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Take clients' requests and forward them.
    Edge,
    /// Hold the link to control for the edge on this machine.
    Agent,
    /// Answer edges' reads from copies.
    Shield,
    /// Keep the configuration and the lists, and push them to all.
    Control,
    #[command(flatten)]
    Operator(OperatorCommand),
    /// Run the whole system on loopback with stand-in servers
    Demo {
        /// End once the path has been shown
        #[arg(long)]
        once: bool,
    },
}

#[derive(Subcommand)]
enum OperatorCommand {
    /// Check a settings file or a configuration, and name the place of a mistake
    Check { file: PathBuf },
    /// Read or change the configuration
    #[command(subcommand)]
    Config(commands::config::ConfigCommand),
    /// Keep the configuration as files under version control
    #[command(subcommand)]
    Declared(commands::declared::DeclaredCommand),
    /// Back up, restore and check the state of control
    #[command(subcommand)]
    State(commands::state::StateCommand),
    /// Show, add and remove the voters of the core
    #[command(subcommand)]
    Core(commands::core::CoreCommand),
    /// End all copies of an object, or of all objects with a label
    Purge(commands::purge::PurgeArguments),
    /// Show members, servers, and who has applied what
    Status {
        #[command(flatten)]
        at: ControlAddresses,
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
            // Always one line, so that scripts and logs can rely on it.
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

/// Runs the agent until a signal ends it. The edge needs its watch stream until it has ended itself, but no updates: it
/// knows from its own signal that it is draining.
async fn agent_until_terminated(settings: Rc<Settings>) -> std::io::Result<()> {
    tokio::select! {
        ended = agent::run(settings) => ended,
        () = wait_for_termination() => Ok(()),
    }
}

/// Runs a command of the operator; returns what it prints.
async fn run_operator_command(command: OperatorCommand) -> Result<String, OperatorError> {
    match command {
        OperatorCommand::Check { file } => commands::check(&file),
        OperatorCommand::Config(command) => commands::config::run(&command).await,
        OperatorCommand::Declared(command) => commands::declared::run(command).await,
        OperatorCommand::State(command) => commands::state::run(command).await,
        OperatorCommand::Core(command) => commands::core::run(&command).await,
        OperatorCommand::Purge(arguments) => commands::purge::run(&arguments).await,
        OperatorCommand::Status { at } => commands::status(&at).await,
    }
}
