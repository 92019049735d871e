//! Runs an experiment from start to end. The system runs as separate processes; servers and clients run in this one.

mod faults;
mod setup;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use glenfall::operator::commands::ControlAddresses;
use glenfall::operator::local_system::{LocalSystem, SystemLayout};
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

use crate::error::LabError;
use crate::execution_log::ExecutionLog;
use crate::load::LoadGenerator;
use crate::origin::{Origin, HEARTBEAT_INTERVAL};
use crate::plan::Plan;
use crate::report::{Measurements, Report, ServiceReport};
use crate::status::{control_nodes, sessions};
pub use setup::{put_config, start_servers, wait_until_ready};

/// The third octet of the IP addresses of the machines.
const MACHINE_NET: u8 = 9;
/// How long to wait until control has the final counters, which processes report at intervals.
const COUNTERS_DELAY: Duration = Duration::from_secs(11);

/// Runs a plan with the system's processes started from `program`.
///
/// # Errors
///
/// Returns an error if the system can't be started, a call to control fails, or a process has logged the violation of an
/// invariant.
pub async fn run(plan: &Plan, program: &Path) -> Result<Report, LabError> {
    let local = LocalSystem::start(layout(plan), program).await?;
    let controls = local.controls();
    let execution_log = Rc::new(ExecutionLog::default());
    let origins = start_servers(plan, &local, &execution_log).await?;
    put_config(plan.configuration().to_string(), &controls, HEARTBEAT_INTERVAL).await?;
    wait_until_ready(plan, &controls, origins.len()).await?;
    let measurements = Rc::new(RefCell::new(Measurements::new(plan)?));
    let load = LoadGenerator::new(plan, local.edges(), &execution_log, &measurements);
    let changes = spawn_local(Rc::clone(&load).change_objects(controls.clone()));
    let local = Rc::new(RefCell::new(local));
    let began_at = Instant::now();
    for fault in &plan.faults {
        spawn_local(faults::inject(fault.clone(), began_at, Rc::clone(&local), origins.clone()));
    }
    load.run().await;
    changes.abort();
    sleep(COUNTERS_DELAY).await;
    let counters = sum_counters(&controls).await?;
    check_invariants(&local.borrow())?;
    let services = service_reports(&origins);
    let measurements = measurements.borrow();
    Ok(Report::new(plan, &measurements, services, counters, &execution_log.violations()))
}

fn layout(plan: &Plan) -> SystemLayout {
    let system = plan.system;
    SystemLayout {
        zones: system.zones,
        heartbeat_interval_ms: HEARTBEAT_INTERVAL.as_millis() as u64,
        mem_mb: system.mem_mb,
        ..SystemLayout::new(MACHINE_NET, system.cores, system.edges)
    }
}

fn check_invariants(local: &LocalSystem) -> Result<(), LabError> {
    let violations = local.invariant_violations();
    match violations.first() {
        Some(first) => Err(LabError::InvariantViolated { count: violations.len(), first: first.clone() }),
        None => Ok(()),
    }
}

fn service_reports(origins: &[Rc<Origin>]) -> BTreeMap<String, ServiceReport> {
    let mut services: BTreeMap<String, ServiceReport> = BTreeMap::new();
    for origin in origins {
        let service = services.entry(origin.plan.name.clone()).or_default();
        service.arrivals += origin.arrivals();
        service.rejections += origin.rejections();
    }
    services
}

/// Sums the counters of all sessions. Skips quantiles (`_us`), which can't be summed.
async fn sum_counters(controls: &ControlAddresses) -> Result<BTreeMap<String, u64>, LabError> {
    let mut sums = BTreeMap::new();
    for session in sessions(&control_nodes(controls).await?) {
        for (name, value) in session["counters"].as_object().into_iter().flatten() {
            if !name.ends_with("_us") {
                *sums.entry(name.clone()).or_insert(0) += value.as_u64().unwrap_or(0);
            }
        }
    }
    Ok(sums)
}
