//! glenfall: a content delivery network in one binary. Each role is a subcommand; the settings file is named by
//! `GLENFALL_CONFIG`.

#![forbid(unsafe_code)]

pub mod agent;
pub mod backlog;
pub mod boot;
pub mod cache;
pub mod control;
mod counter;
pub mod declare;
mod demo;
pub mod direct;
mod disk;
pub mod edge;
pub mod feed;
pub mod kept;
pub mod latency;
pub mod lease;
pub mod limit;
pub mod link;
pub mod local;
pub mod ops;
pub mod origins;
mod pace;
pub mod pool;
pub mod read_plan;
pub mod response;
pub mod room;
pub mod send_budget;
pub mod serve;
pub mod sessions;
pub mod shield;

use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use clap::{Parser, Subcommand};
use glenfall_plane::messages::Proxy;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::task::{spawn_local, LocalSet};

use boot::Boot;
use feed::Feed;
use pool::Pool;
use room::Room;

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
    Config(ops::ConfigVerb),
    /// Keep the configuration as files under version control
    #[command(subcommand)]
    Declared(ops::DeclaredVerb),
    /// Back up, restore and check the state of control
    #[command(subcommand)]
    State(ops::StateVerb),
    /// Show, add and remove the voters of the core
    #[command(subcommand)]
    Core(ops::CoreVerb),
    /// End all copies of an object, or of all objects with a label
    Purge(ops::PurgeArgs),
    /// Show members, servers, and who has applied what
    Status {
        #[command(flatten)]
        at: ops::Controls,
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
            Boot::load().map(Rc::new)
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
            Command::Check { file } => print(ops::check(&file)),
            Command::Config(verb) => print(ops::config(&verb).await),
            Command::Declared(verb) => print(ops::declared(verb).await),
            Command::State(verb) => print(ops::state(verb).await),
            Command::Core(verb) => print(ops::core(&verb).await),
            Command::Purge(args) => print(ops::purge(&args).await),
            Command::Status { at } => print(ops::status(&at).await),
            Command::Demo { once } => Ok(demo::run(once).await?),
        }
    })
}

fn print(told: Result<String, ops::OpsError>) -> Result<(), Failure> {
    println!("{}", told?);
    Ok(())
}

/// Takes SIGHUP for as long as the process runs: it may come before the settings are read, and would end it.
fn survive_hangup() {
    // Once there was a receiver, the signal no longer has its default effect, also after the receiver is dropped.
    if let Err(error) = signal(SignalKind::hangup()) {
        tracing::warn!(%error, "a hangup would end this process");
    }
}

/// Ends with SIGTERM or SIGINT.
pub async fn terminated() {
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return std::future::pending().await;
    };
    // Settings are read anew where they are used; the signal itself must not end the process.
    let mut hangup = signal(SignalKind::hangup()).ok();
    loop {
        tokio::select! {
            _ = terminate.recv() => return,
            _ = interrupt.recv() => return,
            _ = async {
                match &mut hangup {
                    Some(hangup) => hangup.recv().await,
                    None => std::future::pending().await,
                }
            } => tracing::info!("settings may have changed"),
        }
    }
}

/// Tells all who listen once the process is to stop.
fn stopping(feed: &Rc<Feed>) -> watch::Receiver<bool> {
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

/// Bytes of a part of the memory that this process may take.
fn memory_part(boot: &Boot, part: f64) -> usize {
    (boot.req_limits.mem_mb as f64 * part * f64::from(1 << 20)) as usize
}

async fn edge(boot: Rc<Boot>) -> Result<(), Failure> {
    let listen = boot.need("http", |listeners| listeners.http)?;
    let ready = boot.need("readyAddr", |listeners| listeners.ready_addr)?;
    let descriptors = boot.req_limits.max_fds.saturating_sub(OTHER_DESCRIPTORS).max(16);
    let feed = Feed::new(Rc::clone(&boot), Proxy::Edge);
    let pool = Pool::new(descriptors / 2, Room::new(memory_part(&boot, edge::COPIES + ANSWERS)));
    let edge = edge::Edge::new(&boot, Rc::clone(&feed), Rc::clone(&pool));
    spawn_local(async move { pool.sweep().await });
    let stopping = stopping(&feed);
    let follower = Rc::clone(&edge);
    let following = Rc::clone(&feed);
    spawn_local(async move { following.run(&*follower).await });
    let readiness = serve::Terms {
        listen: ready,
        most: 16,
        most_bodies: 0,
        still_accepting: boot.grace(),
        grace: boot.grace(),
    };
    let readiness = serve::serve(readiness, Rc::new(edge::Readiness(Rc::clone(&feed))), stopping.clone());
    let terms = serve::Terms {
        listen,
        most: descriptors / 2,
        most_bodies: memory_part(&boot, BODIES),
        still_accepting: STILL_ACCEPTING.min(boot.grace()),
        grace: boot.grace(),
    };
    let serving = serve::serve(terms, Rc::new(edge::Serving(edge)), stopping);
    tokio::select! {
        served = serving => Ok(served?),
        failed = async { readiness.await.err().ok_or(()) } => match failed {
            Ok(error) => Err(error.into()),
            Err(()) => Ok(()),
        },
    }
}

async fn shield(boot: Rc<Boot>) -> Result<(), Failure> {
    let descriptors = boot.req_limits.max_fds.saturating_sub(OTHER_DESCRIPTORS).max(16);
    let feed = Feed::new(Rc::clone(&boot), Proxy::Shield);
    let pool = Pool::new(descriptors / 2, Room::new(memory_part(&boot, shield::COPIES + ANSWERS)));
    let shield = shield::Shield::new(&boot, Rc::clone(&feed), Rc::clone(&pool));
    spawn_local(async move { pool.sweep().await });
    let stopping = stopping(&feed);
    let terms = serve::Terms {
        listen: boot.shield(),
        most: descriptors / 2,
        most_bodies: 0,
        still_accepting: SHIELD_STILL_ACCEPTING.min(boot.grace()),
        grace: boot.grace(),
    };
    let follower = Rc::clone(&shield);
    spawn_local(async move { feed.run(&*follower).await });
    serve::serve(terms, Rc::new(shield::Serving(shield)), stopping).await?;
    Ok(())
}
