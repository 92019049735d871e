//! glenfall: a content delivery network in one binary. Each role is a subcommand; the settings file is named by
//! `GLENFALL_CONFIG`.

pub mod agent;
pub mod cache;
pub mod control;
mod disk;
pub mod edge;
pub mod http;
pub mod http_server;
pub mod memory_budget;
pub mod metrics;
#[allow(missing_docs)]
pub mod operator;
pub mod session;
#[allow(missing_docs)]
pub mod settings;
pub mod shield;
mod signals;
pub mod upstream;
pub mod watch_client;

use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use clap::{Parser, Subcommand};
use glenfall_control_plane::messages::ProxyRole;
use tokio::sync::watch;
use tokio::task::{spawn_local, LocalSet};

use crate::memory_budget::MemoryBudget;
use crate::operator::{commands, demo};
use crate::settings::Settings;
use crate::signals::{survive_hangup, terminated};
use crate::upstream::pool::Pool;
use crate::watch_client::WatchClient;

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
    /// Check a settings file or a configuration, and name the place of a mistake
    Check { file: PathBuf },
    /// Read or change the configuration
    #[command(subcommand)]
    Config(commands::ConfigVerb),
    /// Keep the configuration as files under version control
    #[command(subcommand)]
    Declared(commands::DeclaredVerb),
    /// Back up, restore and check the state of control
    #[command(subcommand)]
    State(commands::StateVerb),
    /// Show, add and remove the voters of the core
    #[command(subcommand)]
    Core(commands::CoreVerb),
    /// End all copies of an object, or of all objects with a label
    Purge(commands::PurgeArgs),
    /// Show members, servers, and who has applied what
    Status {
        #[command(flatten)]
        at: commands::ControlAddresses,
    },
    /// Run the whole system on loopback with stand-in servers
    Demo {
        /// End once the path has been shown
        #[arg(long)]
        once: bool,
    },
}

type Failure = Box<dyn std::error::Error>;

/// Descriptors that a process keeps for files, links and what the runtime needs.
const OTHER_DESCRIPTORS: usize = 300;
/// Part of an edge's memory for bodies of requests under way; copies, connections and answers have the rest.
const BODIES: f64 = 0.4;
/// Part of the memory for answers on their way, beside copies: bodies, answers and copies leave a quarter at least for
/// connections and all else.
const ANSWERS: f64 = 0.25;
/// Those who send connections to an edge ask it once a second and believe the second refusal; then what they
/// have sent must still be taken.
const STILL_ACCEPTING: Duration = Duration::from_millis(3200);
/// Edges hear that a shield leaves within milliseconds, and send nothing more on new connections.
const SHIELD_STILL_ACCEPTING: Duration = Duration::from_millis(1200);

/// Runs the program with the arguments of the process.
pub fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let filter = tracing_subscriber::EnvFilter::try_from_default_env();
    let filter = filter.unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).with_ansi(false).init();
    match start(arguments.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            // One line, whatever the cause was worded like.
            eprintln!("glenfall: {}", what.to_string().replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}

fn start(command: Command) -> Result<(), Failure> {
    // A fraction of one core is all that a machine has, so one thread and no locks.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let boot = || {
            survive_hangup();
            Settings::load().map(Rc::new)
        };
        match command {
            Command::Edge => edge(boot()?).await,
            Command::Agent => {
                tokio::select! {
                    ended = agent::run(boot()?) => Ok(ended?),
                    // The edge needs its feed until it has ended itself, but no news: it knows that it leaves.
                    () = terminated() => Ok(()),
                }
            }
            Command::Shield => shield(boot()?).await,
            Command::Control => control::run(boot()?).await,
            Command::Check { file } => print(commands::check(&file)),
            Command::Config(verb) => print(commands::config(&verb).await),
            Command::Declared(verb) => print(commands::declared(verb).await),
            Command::State(verb) => print(commands::state(verb).await),
            Command::Core(verb) => print(commands::core(&verb).await),
            Command::Purge(args) => print(commands::purge(&args).await),
            Command::Status { at } => print(commands::status(&at).await),
            Command::Demo { once } => Ok(demo::run(once).await?),
        }
    })
}

fn print(told: Result<String, commands::OperatorError>) -> Result<(), Failure> {
    println!("{}", told?);
    Ok(())
}

/// Tells all who listen once the process is to stop.
fn stopping(feed: &Rc<WatchClient>) -> watch::Receiver<bool> {
    let (stop, stopping) = watch::channel(false);
    let feed = Rc::clone(feed);
    spawn_local(async move {
        terminated().await;
        tracing::info!("leaving");
        feed.leave();
        stop.send_replace(true);
        // Held until the process ends.
        std::future::pending::<()>().await;
    });
    stopping
}

async fn edge(boot: Rc<Settings>) -> Result<(), Failure> {
    let listen = boot.require_listener("http", |listeners| listeners.http)?;
    let ready = boot.require_listener("readyAddr", |listeners| listeners.ready_addr)?;
    let descriptors = boot.req_limits.max_fds.saturating_sub(OTHER_DESCRIPTORS).max(16);
    let feed = WatchClient::new(Rc::clone(&boot), ProxyRole::Edge);
    let pool =
        Pool::new(descriptors / 2, MemoryBudget::new(boot.memory_share(edge::CACHE_MEMORY_SHARE + ANSWERS)));
    let edge = edge::Edge::new(&boot, Rc::clone(&feed), Rc::clone(&pool));
    spawn_local(async move { pool.sweep().await });
    let stopping = stopping(&feed);
    let follower = Rc::clone(&edge);
    let following = Rc::clone(&feed);
    spawn_local(async move { following.run(&*follower).await });
    let readiness = http_server::ServerConfig {
        listen: ready,
        max_connections: 16,
        max_body_bytes: 0,
        drain_accept_time: boot.grace(),
        grace: boot.grace(),
    };
    let readiness =
        http_server::serve(readiness, Rc::new(edge::ReadinessHandler(Rc::clone(&feed))), stopping.clone());
    let terms = http_server::ServerConfig {
        listen,
        max_connections: descriptors / 2,
        max_body_bytes: boot.memory_share(BODIES),
        drain_accept_time: STILL_ACCEPTING.min(boot.grace()),
        grace: boot.grace(),
    };
    let serving = http_server::serve(terms, Rc::new(edge::EdgeHandler(edge)), stopping);
    tokio::select! {
        served = serving => Ok(served?),
        failed = async { readiness.await.err().ok_or(()) } => match failed {
            Ok(error) => Err(error.into()),
            Err(()) => Ok(()),
        },
    }
}

async fn shield(boot: Rc<Settings>) -> Result<(), Failure> {
    let descriptors = boot.req_limits.max_fds.saturating_sub(OTHER_DESCRIPTORS).max(16);
    let feed = WatchClient::new(Rc::clone(&boot), ProxyRole::Shield);
    let pool = Pool::new(
        descriptors / 2,
        MemoryBudget::new(boot.memory_share(shield::CACHE_MEMORY_SHARE + ANSWERS)),
    );
    let shield = shield::Shield::new(&boot, Rc::clone(&feed), Rc::clone(&pool));
    spawn_local(async move { pool.sweep().await });
    let stopping = stopping(&feed);
    let terms = http_server::ServerConfig {
        listen: boot.listen_address(boot.shield_address()),
        max_connections: descriptors / 2,
        max_body_bytes: 0,
        drain_accept_time: SHIELD_STILL_ACCEPTING.min(boot.grace()),
        grace: boot.grace(),
    };
    let follower = Rc::clone(&shield);
    spawn_local(async move { feed.run(&*follower).await });
    http_server::serve(terms, Rc::new(shield::ShieldHandler(shield)), stopping).await?;
    Ok(())
}
