//! One experiment from start to end: the system as processes, the servers and clients in this one.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use glenfall::operator::commands::{self, ControlAddresses, OperatorError};
use glenfall::operator::local_system::{LocalSystem, SystemLayout};
use hyper::Method;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, Instant};

use crate::ledger::Ledger;
use crate::load::Load;
use crate::origin::{Origin, BEAT};
use crate::plan::{Fault, Plan, Trouble};
use crate::report::{Report, Seen, ServiceReport};

/// The system is up by then, also on a busy machine.
const START: Duration = Duration::from_secs(60);
/// Third byte of the machines' addresses, and the first number that servers have there.
const NET: u8 = 9;
const SERVERS: u8 = 100;
/// Counters come to control this often; the last are waited for.
const REPORTED: Duration = Duration::from_secs(11);
/// A process that was told to leave has gone by then.
const LEFT: Duration = Duration::from_secs(8);

#[derive(Debug, thiserror::Error)]
pub enum LabError {
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("{0}")]
    Ops(#[from] OperatorError),
    #[error("{count} invariants broken: {first}")]
    Invariant { count: usize, first: String },
    #[error("the system is not up after {} s", START.as_secs())]
    NotUp,
    #[error("histogram: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
}

/// Plays a plan with this program.
pub async fn run(plan: &Plan, program: &Path) -> Result<Report, LabError> {
    let system = plan.system;
    let layout = SystemLayout {
        net: NET,
        cores: system.cores,
        seeds: system.cores,
        edges: system.edges,
        zones: system.zones,
        beat_ms: BEAT.as_millis() as u64,
        mem_mb: system.mem_mb,
        losses: 0,
        relayed: false,
    };
    let local = LocalSystem::start(layout, program).await?;
    let controls = local.controls();
    let ledger = Rc::new(Ledger::default());
    let origins = start_servers(plan, &local, &ledger).await?;
    configured(plan, &controls).await?;
    settled(plan, &controls, origins.len()).await?;
    let seen = Rc::new(RefCell::new(Seen::new(plan)?));
    let load = Load::new(plan, local.edges(), &ledger, &seen);
    let changing = spawn_local(Rc::clone(&load).change_objects(controls.clone()));
    let local = Rc::new(RefCell::new(local));
    let began = Instant::now();
    for fault in &plan.faults {
        spawn_local(trouble(fault.clone(), began, Rc::clone(&local), origins.clone()));
    }
    load.run().await;
    changing.abort();
    sleep(REPORTED).await;
    let counters = counters(&controls).await?;
    let mut services: BTreeMap<String, ServiceReport> = BTreeMap::new();
    for origin in &origins {
        let service = services.entry(origin.plan.name.clone()).or_default();
        service.arrivals += origin.arrivals.get();
        service.turned_away += origin.turned_away.get();
    }
    let broken = local.borrow().broken_invariants();
    if let Some(first) = broken.first() {
        return Err(LabError::Invariant { count: broken.len(), first: first.clone() });
    }
    let seen = seen.borrow();
    Ok(Report::new(plan, &seen, services, counters, &ledger.broken()))
}

pub async fn start_servers(
    plan: &Plan,
    local: &LocalSystem,
    ledger: &Rc<Ledger>,
) -> std::io::Result<Vec<Rc<Origin>>> {
    let mut origins = Vec::new();
    for service in &plan.services {
        for number in 0..service.servers {
            let place = SERVERS + origins.len() as u8;
            let ip = local.machine(place);
            let port = TcpListener::bind((ip, 0)).await?.local_addr()?.port();
            let seed = plan.seed ^ u64::from(place);
            let origin = Origin::new(number, service, &plan.classes, ledger, seed);
            let zone = local.zone(place);
            let addr = SocketAddrV4::new(ip, port);
            spawn_local(Rc::clone(&origin).run(addr, addr, zone, local.controls()));
            origins.push(origin);
        }
    }
    Ok(origins)
}

pub async fn configured(plan: &Plan, controls: &ControlAddresses) -> Result<(), LabError> {
    let body = plan.document().to_string();
    let began = Instant::now();
    loop {
        match commands::call_control(controls, Method::PUT, "/api/config", Some(0), body.clone().into()).await
        {
            Ok(_) => return Ok(()),
            Err(OperatorError::NoAnswer) if began.elapsed() < START => sleep(BEAT).await,
            Err(error) => return Err(error.into()),
        }
    }
}

async fn nodes(controls: &ControlAddresses) -> Result<Vec<serde_json::Value>, LabError> {
    let told = commands::status(controls).await?;
    Ok(serde_json::from_str(&told).unwrap_or_default())
}

/// Waits until all control nodes know all, and all sessions have applied it.
pub async fn settled(plan: &Plan, controls: &ControlAddresses, servers: usize) -> Result<(), LabError> {
    let machines = usize::from(plan.system.cores) + usize::from(plan.system.edges);
    let began = Instant::now();
    while began.elapsed() < START {
        let nodes = nodes(controls).await?;
        let ready = |node: &serde_json::Value, list: &str| {
            let items = node[list].as_array();
            items.map_or(0, |items| items.iter().filter(|item| item["ready"] == true).count())
        };
        let sessions = |node: &serde_json::Value| node["sessions"].as_array().cloned().unwrap_or_default();
        let all: Vec<_> = nodes.iter().flat_map(sessions).collect();
        let applied = all.iter().all(|session| session["applied"] == session["pushed"]);
        let known = nodes.iter().all(|node| {
            ready(node, "servers") == servers && ready(node, "shields") == usize::from(plan.system.cores)
        });
        if known && applied && all.len() == machines {
            return Ok(());
        }
        sleep(Duration::from_millis(50)).await;
    }
    Err(LabError::NotUp)
}

/// The counters of all sessions, summed; quantiles are no sums and stay out.
async fn counters(controls: &ControlAddresses) -> Result<BTreeMap<String, u64>, LabError> {
    let mut sums = BTreeMap::new();
    for node in nodes(controls).await? {
        for session in node["sessions"].as_array().into_iter().flatten() {
            for (name, value) in session["counters"].as_object().into_iter().flatten() {
                if !name.ends_with("_us") {
                    *sums.entry(name.clone()).or_insert(0) += value.as_u64().unwrap_or(0);
                }
            }
        }
    }
    Ok(sums)
}

/// Makes one fault of a plan, and ends it.
async fn trouble(fault: Fault, began: Instant, local: Rc<RefCell<LocalSystem>>, origins: Vec<Rc<Origin>>) {
    sleep_until(began + Duration::from_secs_f64(fault.at)).await;
    let over = began + Duration::from_secs_f64(fault.at + fault.for_s);
    let signal = |node: &str, role: &Option<String>, signal| {
        for pid in local.borrow().pids(node, role.as_deref()) {
            // One that has ended already needs no signal.
            let _ = kill(Pid::from_raw(pid as i32), signal);
        }
    };
    let well = |service: &str, count: u8| -> Vec<Rc<Origin>> {
        let well = origins.iter().filter(|origin| origin.plan.name == service && origin.is_well());
        well.take(count.into()).cloned().collect()
    };
    match &fault.what {
        Trouble::Kill { node, role } => {
            signal(node, role, Signal::SIGKILL);
            if fault.for_s > 0.0 {
                sleep_until(over).await;
                start_again(&local, node);
            }
        }
        Trouble::Leave { node, role } => {
            signal(node, role, Signal::SIGTERM);
            if fault.for_s > 0.0 {
                sleep_until(over.max(Instant::now() + LEFT)).await;
                start_again(&local, node);
            }
        }
        Trouble::Freeze { node, role } => {
            signal(node, role, Signal::SIGSTOP);
            sleep_until(over).await;
            signal(node, role, Signal::SIGCONT);
        }
        Trouble::Slow { service, count, x } => {
            let slow = well(service, *count);
            slow.iter().for_each(|origin| origin.slow.set(*x));
            sleep_until(over).await;
            slow.iter().for_each(|origin| origin.slow.set(1.0));
        }
        Trouble::Drain { service, count } => well(service, *count).iter().for_each(|origin| origin.drain()),
        Trouble::Crash { service, count } => well(service, *count).iter().for_each(|origin| origin.crash()),
    }
}

fn start_again(local: &RefCell<LocalSystem>, node: &str) {
    if let Err(error) = local.borrow_mut().start_again(node) {
        eprintln!("{node}: {error}");
    }
}
