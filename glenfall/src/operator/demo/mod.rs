//! A demo: runs the complete system on loopback, with stub servers, to try it out. It first sends requests end to end,
//! and fails if one of them gets no response in time or a wrong one.

mod client;
mod set_up;
mod stub_server;

use std::path::Path;
use std::time::Duration;

use hyper::Method;
use serde_json::json;
use tokio::sync::watch;

use self::client::{request, retry};
use crate::operator::commands::{self, OperatorError};
use crate::operator::local_system::{LocalSystem, SystemLayout};
use crate::signals::wait_for_termination;

/// Timeout of each step of the demo; long enough for a busy machine.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);
/// The pause before a step is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// How often stub servers send heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Third byte of the machines' addresses.
const NETWORK_NUMBER: u8 = 7;
const CORE_MACHINES: u8 = 3;
const EDGE_MACHINES: u8 = 2;
const STUB_SERVERS: u8 = 2;
/// The host that all routes match.
const DEMO_HOST: &str = "demo.example";
/// The object that the demo reads and purges.
const DEMO_PATH: &str = "/pages/hello";

/// Why the demo has failed; the message is one line.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    /// A process could not be started, or an address could not be bound.
    #[error("demo: {0}")]
    Io(#[from] std::io::Error),
    /// A step did not succeed in time, or got a wrong response.
    #[error("demo: {step} failed, or took longer than {} s", STEP_TIMEOUT.as_secs())]
    StepFailed {
        /// What the step does.
        step: &'static str,
    },
    /// A process has logged this line about a violated invariant.
    #[error("demo: {0}")]
    InvariantViolated(String),
    /// A call to control has failed.
    #[error("demo: {0}")]
    Operator(#[from] OperatorError),
}

/// Starts the system and sends requests through it; then returns if `once`, else runs until the process receives a
/// termination signal. On failure the folder with the logs is kept.
pub async fn run(once: bool) -> Result<(), DemoError> {
    let layout = SystemLayout {
        heartbeat_interval_ms: HEARTBEAT_INTERVAL.as_millis() as u64,
        ..SystemLayout::new(NETWORK_NUMBER, CORE_MACHINES, EDGE_MACHINES)
    };
    let program = std::env::current_exe()?;
    let mut system = LocalSystem::start(layout, &program).await?;
    let result = run_steps(&system, &program, once).await;
    if result.is_err() {
        println!("logs:           {}", system.retain_folder().display());
    }
    result
}

async fn run_steps(system: &LocalSystem, program: &Path, once: bool) -> Result<(), DemoError> {
    let controls = system.controls();
    let (_stop, stopping) = watch::channel(false);
    for number in 0..STUB_SERVERS {
        stub_server::start(number, system, stopping.clone()).await?;
    }
    set_up::put_config(&controls).await?;
    println!("configuration 1 is active; control node: {}", controls.controls[0]);
    set_up::await_published(&controls).await?;
    println!("all processes know the {CORE_MACHINES} shields and {STUB_SERVERS} servers");
    exercise_requests(system).await?;
    if let Some(violation) = system.invariant_violations().into_iter().next() {
        return Err(DemoError::InvariantViolated(violation));
    }
    if once {
        println!("demo succeeded");
        return Ok(());
    }
    println!("\ntry:    curl -H 'Host: {DEMO_HOST}' http://{}{DEMO_PATH}", system.edges()[0]);
    println!("status: {} status --control {}", program.display(), controls.controls[0]);
    println!("logs:   {}", system.folder.display());
    println!("Press Ctrl-C to stop.");
    wait_for_termination().await;
    Ok(())
}

/// Reads an object at both edges, purges it, reads it again, and writes.
async fn exercise_requests(system: &LocalSystem) -> Result<(), DemoError> {
    let edges = system.edges();
    let read_at = |edge: usize| {
        let address = edges[edge];
        move || request(address, Method::GET, DEMO_PATH)
    };
    let first = retry("read through edge and shield", read_at(0)).await?;
    print!("read:           {}", String::from_utf8_lossy(first.body()));
    let other = retry("read of the same object at the other edge", read_at(1)).await?;
    print!("other edge:     {}", String::from_utf8_lossy(other.body()));
    if other.body() != first.body() {
        return Err(DemoError::StepFailed { step: "read of the stored response at the other edge" });
    }
    let purge = json!({ "hostname": DEMO_HOST, "urlPath": DEMO_PATH }).to_string();
    commands::call_control(&system.controls(), Method::POST, "/api/purge", None, purge.into()).await?;
    let fresh = retry("read after the purge", read_at(0)).await?;
    print!("after a purge:  {}", String::from_utf8_lossy(fresh.body()));
    if fresh.body() == first.body() {
        return Err(DemoError::StepFailed { step: "fetch of a new response after the purge" });
    }
    let write = retry("write", || request(edges[0], Method::POST, "/orders/1")).await?;
    print!("write:          {}", String::from_utf8_lossy(write.body()));
    Ok(())
}
