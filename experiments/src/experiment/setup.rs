//! Sets a system up: starts servers, puts the initial configuration, and waits until all processes have applied it.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use glenfall::operator::commands::{self, ControlAddresses, OperatorError};
use glenfall::operator::local_system::LocalSystem;
use hyper::Method;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

use crate::error::LabError;
use crate::execution_log::ExecutionLog;
use crate::origin::Origin;
use crate::plan::Plan;
use crate::status::{control_nodes, count_ready, has_applied_all, sessions};

/// The time limit for the system to start; generous, for busy machines.
const START_TIMEOUT: Duration = Duration::from_mins(1);
/// The machine number of the first server.
const FIRST_SERVER_MACHINE: u8 = 100;
/// The interval between checks whether the system is ready.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Starts the servers of a plan in this process.
///
/// # Errors
///
/// Returns an error if an address can't be bound.
pub async fn start_servers(
    plan: &Plan,
    local: &LocalSystem,
    execution_log: &Rc<ExecutionLog>,
) -> std::io::Result<Vec<Rc<Origin>>> {
    let mut origins = Vec::new();
    for service in &plan.services {
        for number in 0..service.servers {
            let machine = FIRST_SERVER_MACHINE + origins.len() as u8;
            let ip = local.machine_address(machine);
            let port = TcpListener::bind((ip, 0)).await?.local_addr()?.port();
            let seed = plan.seed ^ u64::from(machine);
            let origin = Origin::new(number, service, &plan.classes, execution_log, seed);
            let address = SocketAddrV4::new(ip, port);
            let zone = local.zone(machine);
            spawn_local(Rc::clone(&origin).run(address, address, zone, local.controls()));
            origins.push(origin);
        }
    }
    Ok(origins)
}

/// Puts the initial configuration, and retries every `retry_pause` until a control node responds.
///
/// # Errors
///
/// Returns an error if control rejects it, or does not respond within [`START_TIMEOUT`].
pub async fn put_config(
    document: String,
    controls: &ControlAddresses,
    retry_pause: Duration,
) -> Result<(), LabError> {
    let began_at = Instant::now();
    loop {
        let body = document.clone().into();
        match commands::call_control(controls, Method::PUT, "/api/config", Some(0), body).await {
            Ok(_) => return Ok(()),
            Err(OperatorError::NoDefiniteResponse) if began_at.elapsed() < START_TIMEOUT => {
                sleep(retry_pause).await;
            }
            Err(error) => return Err(error.into()),
        }
    }
}

/// Waits until all control nodes know all servers and shields, and all sessions have applied all pushes.
///
/// # Errors
///
/// Returns an error if a call to control fails, or the system is not ready within [`START_TIMEOUT`].
pub async fn wait_until_ready(
    plan: &Plan,
    controls: &ControlAddresses,
    servers: usize,
) -> Result<(), LabError> {
    let began_at = Instant::now();
    while began_at.elapsed() < START_TIMEOUT {
        if is_ready(&control_nodes(controls).await?, plan, servers) {
            return Ok(());
        }
        sleep(POLL_INTERVAL).await;
    }
    Err(LabError::NotReady(START_TIMEOUT))
}

fn is_ready(nodes: &[Value], plan: &Plan, servers: usize) -> bool {
    let machines = usize::from(plan.system.cores) + usize::from(plan.system.edges);
    let knows_all = |node: &Value| {
        count_ready(node, "servers") == servers
            && count_ready(node, "shields") == usize::from(plan.system.cores)
    };
    nodes.iter().all(knows_all) && sessions(nodes).all(has_applied_all) && sessions(nodes).count() == machines
}
