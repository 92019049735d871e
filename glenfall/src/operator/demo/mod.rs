//! The complete system on loopback, with stand-in servers, to look at and to experiment with. It also shows that the
//! path of requests works: it ends with an error if a step does not succeed in time.

mod client;
mod set_up;
mod stand_in_server;

use std::path::Path;
use std::time::Duration;

use hyper::Method;
use serde_json::json;
use tokio::sync::watch;

use self::client::{request, retry};
use crate::operator::commands::{self, OperatorError};
use crate::operator::local_system::{LocalSystem, SystemLayout};
use crate::signals::wait_for_termination;

/// Bound on the time of each step of the demo, also on a busy machine.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);
/// The pause before a step is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// How often stand-in servers send heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Third byte of the machines' addresses.
const NETWORK_NUMBER: u8 = 7;
const CORE_MACHINES: u8 = 3;
const EDGE_MACHINES: u8 = 2;
const STAND_IN_SERVERS: u8 = 2;
/// The host of all routes.
const DEMO_HOST: &str = "demo.example";
/// The object that the demo reads and purges.
const DEMO_PATH: &str = "/pages/hello";

/// Why the demo has failed; its text is one line.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    /// A process can't be started, or an address can't be listened at.
    #[error("demo: {0}")]
    Io(#[from] std::io::Error),
    /// A step has not succeeded in time.
    #[error("demo: {what} did not come within {} s", STEP_TIMEOUT.as_secs())]
    StepTimeout {
        /// What the step waits for.
        what: &'static str,
    },
    /// An invariant is violated, by this log line.
    #[error("demo: {0}")]
    InvariantViolated(String),
    /// A call to control has failed.
    #[error("demo: {0}")]
    Operator(#[from] OperatorError),
}

/// Starts the system and shows the path of requests; then runs until a signal, or ends if `once`. The folder with
/// the logs of a demo that fails is not removed.
pub async fn run(once: bool) -> Result<(), DemoError> {
    let layout = SystemLayout {
        heartbeat_interval_ms: HEARTBEAT_INTERVAL.as_millis() as u64,
        ..SystemLayout::new(NETWORK_NUMBER, CORE_MACHINES, EDGE_MACHINES)
    };
    let program = std::env::current_exe()?;
    let mut system = LocalSystem::start(layout, &program).await?;
    let shown = show(&system, &program, once).await;
    if shown.is_err() {
        println!("logs:           {}", system.retain_folder().display());
    }
    shown
}

async fn show(system: &LocalSystem, program: &Path, once: bool) -> Result<(), DemoError> {
    let controls = system.controls();
    let (_stop, stopping) = watch::channel(false);
    for number in 0..STAND_IN_SERVERS {
        stand_in_server::start(number, system, stopping.clone()).await?;
    }
    set_up::put_config(&controls).await?;
    println!("configuration 1 is in force at {}", controls.controls[0]);
    set_up::await_published(&controls).await?;
    println!("all know {CORE_MACHINES} shields and {STAND_IN_SERVERS} servers");
    show_path(system).await?;
    if let Some(violation) = system.invariant_violations().into_iter().next() {
        return Err(DemoError::InvariantViolated(violation));
    }
    if once {
        println!("the whole path works");
        return Ok(());
    }
    println!("\ntry:    curl -H 'Host: {DEMO_HOST}' http://{}{DEMO_PATH}", system.edges()[0]);
    println!("see:    {} status --control {}", program.display(), controls.controls[0]);
    println!("logs:   {}", system.folder.display());
    println!("Ctrl-C ends it.");
    wait_for_termination().await;
    Ok(())
}

/// Reads an object at both edges, purges it, reads it again, and writes.
async fn show_path(system: &LocalSystem) -> Result<(), DemoError> {
    let edges = system.edges();
    let read_at = |edge: usize| {
        let address = edges[edge];
        move || request(address, Method::GET, DEMO_PATH)
    };
    let first = retry("a read through edge and shield", read_at(0)).await?;
    print!("read:           {}", String::from_utf8_lossy(first.body()));
    let other = retry("the same read at the other edge", read_at(1)).await?;
    print!("other edge:     {}", String::from_utf8_lossy(other.body()));
    if other.body() != first.body() {
        return Err(DemoError::StepTimeout { what: "the shield's copy at the other edge" });
    }
    let purge = json!({ "hostname": DEMO_HOST, "urlPath": DEMO_PATH }).to_string();
    commands::call_control(&system.controls(), Method::POST, "/api/purge", None, purge.into()).await?;
    let fresh = retry("the read after a purge", read_at(0)).await?;
    print!("after a purge:  {}", String::from_utf8_lossy(fresh.body()));
    if fresh.body() == first.body() {
        return Err(DemoError::StepTimeout { what: "a fresh copy after the purge" });
    }
    let write = retry("a write", || request(edges[0], Method::POST, "/orders/1")).await?;
    print!("write:          {}", String::from_utf8_lossy(write.body()));
    Ok(())
}
