//! Connects hollow nodes to real control processes: nodes with real sessions and frames, but without client traffic. For
//! each number of nodes, the report shows what the control plane costs at control processes and at a node. It also shows
//! how long a change or a purge takes to reach all nodes, and how long nodes take to reconnect after a control process is
//! killed.

mod measurement;
mod nodes;
mod observations;
mod phases;
mod report;
mod usage;
mod waiting;
mod workload;

use std::cell::Cell;
use std::net::SocketAddrV4;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use clap::Args;
use glenfall::operator::local_system::{LocalSystem, SystemLayout};
use serde::Serialize;
use tokio::time::sleep;

use crate::error::LabError;
use crate::experiment::put_config;
use nodes::{ControlAccess, NodeThreads, MAX_MOVE_DELAY};
use observations::Observations;
use phases::{HollowRun, KILLED_MACHINE};
pub use report::HollowReport;
use report::SizeReport;
use waiting::{wait_until, READY_TIMEOUT};
use workload::HEARTBEAT_INTERVAL;

/// The third octet of the IP addresses of the machines.
const MACHINE_NET: u8 = 11;
/// The machine number that all servers share; they receive no requests.
const SERVER_MACHINE: u8 = 200;
/// The port of the first server; the others follow it.
const FIRST_SERVER_PORT: u16 = 20_000;
/// The number of zones of machines and hollow nodes.
const ZONE_COUNT: u8 = 3;
/// The memory limit of each process, in MB.
const PROCESS_MEMORY_MB: u64 = 256;
/// Real edges, each with its agent, in addition to the hollow nodes; their usage is measured too.
const REAL_EDGES: u8 = 1;
/// All control nodes know a server after this many of its heartbeats.
const HEARTBEATS_UNTIL_KNOWN: u32 = 5;
/// The version that the initial configuration gets.
const INITIAL_VERSION: u64 = 1;

/// Options of the `hollow` command.
#[derive(Args, Clone, Debug, Serialize)]
pub struct HollowOptions {
    /// Numbers of hollow nodes; each is run separately
    #[arg(long, value_delimiter = ',', default_value = "300,1000,2200")]
    sessions: Vec<u32>,
    /// Control nodes, each with a co-located shield
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u8).range(1..=60))]
    controls: u8,
    /// Control nodes that are seed nodes and voters
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u8).range(1..=15))]
    seeds: u8,
    /// Emulated servers, which send a heartbeat every 1.5 s
    #[arg(long, default_value_t = 780, value_parser = clap::value_parser!(u32).range(0..=4000))]
    servers: u32,
    /// Routes in the configuration
    #[arg(long, default_value_t = 700, value_parser = clap::value_parser!(u32).range(1..=4000))]
    routes: u32,
    /// Duration of each phase, in seconds
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=600))]
    seconds: u64,
    /// Configuration changes per second in their phase; the capacity plan expects 0.037
    #[arg(long, default_value_t = 1.0, value_parser = parse_rate)]
    changes: f64,
    /// Purges per second in their phases
    #[arg(long, default_value_t = 26.0, value_parser = parse_rate)]
    purges: f64,
    /// Node restarts per second in their phase
    #[arg(long, default_value_t = 2.0, value_parser = parse_rate)]
    restarts: f64,
    /// Let nodes distribute themselves over all control nodes, which real agents do not do yet
    #[arg(long = "spread")]
    #[serde(rename = "spread")]
    distributed: bool,
}

/// Why an option is not a valid rate.
#[derive(Clone, Copy, Debug, thiserror::Error)]
enum InvalidRate {
    #[error("expected a number")]
    NotANumber,
    #[error("expected 0.01 to 1000")]
    OutOfRange,
}

fn parse_rate(text: &str) -> Result<f64, InvalidRate> {
    let rate: f64 = text.parse().map_err(|_| InvalidRate::NotANumber)?;
    match (0.01..=1000.0).contains(&rate) {
        true => Ok(rate),
        false => Err(InvalidRate::OutOfRange),
    }
}

/// Runs all sizes one after the other.
///
/// # Errors
///
/// Returns an error if the system can't be started or the initial configuration is not acknowledged.
pub async fn run(options: &HollowOptions, program: &Path) -> Result<HollowReport, LabError> {
    let mut sizes = Vec::new();
    for nodes in &options.sessions {
        sizes.push(run_size(options, *nodes, program).await?);
    }
    Ok(HollowReport { options: options.clone(), sizes })
}

fn layout(options: &HollowOptions) -> SystemLayout {
    SystemLayout {
        seeds: options.seeds,
        zones: ZONE_COUNT,
        heartbeat_interval_ms: HEARTBEAT_INTERVAL.as_millis() as u64,
        mem_mb: PROCESS_MEMORY_MB,
        ..SystemLayout::new(MACHINE_NET, options.controls, REAL_EDGES)
    }
}

async fn run_size(options: &HollowOptions, nodes: u32, program: &Path) -> Result<SizeReport, LabError> {
    let local = LocalSystem::start(layout(options), program).await?;
    let controls = local.controls();
    let document = workload::document(options.routes).to_string();
    let document_bytes = document.len();
    put_config(document, &controls, HEARTBEAT_INTERVAL).await?;
    let observations = Observations::new(options.servers, nodes, nodes + u32::from(REAL_EDGES));
    let failed_heartbeats = Rc::new(Cell::new(0));
    let first_server = SocketAddrV4::new(local.machine_address(SERVER_MACHINE), FIRST_SERVER_PORT);
    let servers = workload::start_servers(options.servers, &controls, first_server, &failed_heartbeats);
    sleep(HEARTBEAT_INTERVAL * HEARTBEATS_UNTIL_KNOWN).await;
    let mut run = HollowRun { local, controls, observations, nodes, failed_heartbeats };
    let report = run_phases(&mut run, options, document_bytes).await;
    servers.iter().for_each(tokio::task::JoinHandle::abort);
    report
}

async fn run_phases(
    run: &mut HollowRun,
    options: &HollowOptions,
    document_bytes: usize,
) -> Result<SizeReport, LabError> {
    let duration = Duration::from_secs(options.seconds);
    let (seeds, port) = run.local.session_addresses();
    let access = ControlAccess { seeds, port, zones: ZONE_COUNT, distributed: options.distributed };
    let threads = NodeThreads::new(&access, &run.observations, run.nodes);
    let mut phases = vec![run.start(&threads).await];
    if options.distributed {
        sleep(MAX_MOVE_DELAY * 2).await;
        wait_until(READY_TIMEOUT, || run.all_have_full_fleet()).await;
    }
    let sessions = run.session_distribution().await;
    let next_purge = Cell::new(0);
    phases.push(run.measure("rest", run.idle(duration)).await);
    phases.push(run.measure("changes", run.change(INITIAL_VERSION, options.changes, duration)).await);
    phases.push(run.measure("purges", run.purge(&next_purge, options.purges, duration)).await);
    phases.push(run.measure("restarts", run.restart(&threads, options.restarts, duration)).await);
    phases.push(
        run.measure("loss", run.kill_control_during_purges(&next_purge, options.purges, duration)).await,
    );
    run.local.restart_node(KILLED_MACHINE)?;
    let all_connected = wait_until(READY_TIMEOUT, || run.all_connected()).await.is_some();
    Ok(SizeReport {
        nodes: run.nodes,
        document_bytes,
        max_sessions: sessions.max,
        min_sessions: sessions.min,
        all_connected,
        phases,
    })
}
