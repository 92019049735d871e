//! glenfall-node: one load balancer node on network sockets. It serves until SIGTERM or SIGINT, then finishes
//! the requests that it has accepted, and exits.

mod client_connections;
mod clock;
mod config;
mod discovery;
mod host;
mod log;
mod open_requests;
pub mod payload;
mod peers;
pub mod protocol;
mod request;
pub mod response;
mod server;
pub mod server_list;
pub mod upstream;

use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;

use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tokio::task::LocalSet;

use config::{Config, ConfigError};
use host::{Host, HostError};
use log::log;

/// Why a node cannot start.
#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("cannot listen on {addr}: {cause}")]
    Listen { addr: SocketAddr, cause: std::io::Error },
    #[error(transparent)]
    Host(#[from] HostError),
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// The signals that the node handles.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn install() -> std::io::Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}

/// Runs a node until a signal ends it. The exit code is a failure only if the node cannot start.
pub fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log(format_args!("glenfall-node: {}", on_one_line(&error)));
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), StartError> {
    let config = Config::load()?;
    // A node has one core, so it runs on one thread and needs no locks.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run(config))
}

async fn run(config: Config) -> Result<(), StartError> {
    // Installed before anything else, because a signal without a handler ends the process.
    let Signals { mut terminate, mut interrupt, mut hangup } = Signals::install()?;
    let listener = TcpListener::bind(config.listen)
        .await
        .map_err(|cause| StartError::Listen { addr: config.listen, cause })?;
    // An error is ignored: standard output may be closed.
    let _ = writeln!(std::io::stdout(), "{} listens on {}", config.name, listener.local_addr()?);
    let (stop, stopping) = watch::channel(false);
    let host = Host::start(&config).await?;
    let serving = server::serve(listener, Rc::clone(&host), &config, stopping);
    let stopped = async {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        // Cannot fail: the receiver lives as long as `serving`, which is awaited below.
        let _ = stop.send(true);
    };
    let reloading = async {
        while hangup.recv().await.is_some() {
            reload(&host);
        }
    };
    tokio::select! {
        _ = async { tokio::join!(serving, stopped) } => {}
        // Runs as long as the node serves, also after the signal to stop.
        () = reloading => {}
    }
    Ok(())
}

/// Applies a changed configuration. Only the address of discovery may change while the node runs; a
/// configuration that cannot be read changes nothing.
fn reload(host: &Rc<Host>) {
    match config::reload_discovery_address() {
        Ok(addr) => host.move_discovery_to(addr),
        Err(error) => log(format_args!("{}", on_one_line(&error))),
    }
}

/// The text of an error on one line, as the text of its cause may contain line breaks.
fn on_one_line(error: &dyn std::error::Error) -> String {
    error.to_string().replace('\n', " ")
}
