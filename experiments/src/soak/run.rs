//! One soak run: starts a system of real processes with servers, clients and operators, injects the faults of a
//! schedule, and checks that the system recovers.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use glenfall::operator::commands::ControlAddresses;
use glenfall::operator::local_system::{LocalSystem, SystemLayout};
use serde::Serialize;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, sleep_until, Instant};

use super::clients::{Clients, Edge};
use super::fault_history::FaultHistory;
use super::faults::FaultInjector;
use super::logs::Logs;
use super::machines::Machines;
use super::network::{relay_to_machine, Partitions};
use super::operators::Operators;
use super::oracle::{Invariant, Oracle, Violation};
use super::readiness::{unmet_conditions, POLL_INTERVAL};
use super::schedule::Schedule;
use super::servers::Servers;
use crate::error::LabError;
use crate::execution_log::ExecutionLog;
use crate::origin::HEARTBEAT_INTERVAL;
use crate::plan::Plan;

/// Maximum time until the system is ready after its start.
const START_TIMEOUT: Duration = Duration::from_mins(1);
/// Maximum time until the system is ready again after the last fault: `recoverS`.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);
/// After recovery, ejected servers must be back in use within this time. For the same time after that, all requests
/// must succeed.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Maximum time until each control node returns the newest configuration after the run.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(4);
/// Number of core machines whose disks may be lost at the same time.
const TOLERATED_LOSSES: usize = 1;
/// Number of core machines that are listed as seeds in the settings. These are the voters.
const SEED_COUNT: u8 = 3;

/// Plan with two services: cacheable reads, and writes that may be executed at most once.
const SOAK_PLAN: &str = include_str!("../../plans/soak.toml");
/// Number of machines with an edge.
pub const EDGE_COUNT: u8 = 3;
/// Number of services in the plan.
pub const SERVICE_COUNT: usize = 2;

/// The result of a run.
#[derive(Debug, Serialize)]
pub struct Outcome {
    /// The schedule that was executed.
    pub schedule: Schedule,
    /// The violations found, empty if all invariants held.
    pub violations: Vec<Violation>,
    /// Requests, reads, configuration changes and purges, counted by outcome.
    pub counts: BTreeMap<&'static str, u64>,
    /// Failed requests, counted by the cause in the logs of the edges.
    pub causes: BTreeMap<String, u64>,
    /// The folder with the logs of the run; `None` if no invariant was violated.
    pub logs: Option<PathBuf>,
}

/// Runs a schedule. Machines and relays use the addresses 127.0.`net`.x and 127.1.`net`.x, servers 127.2.`net`.x.
///
/// # Errors
///
/// Returns an error if the system can't be started. Violated invariants are part of the outcome.
pub async fn run(schedule: Schedule, net: u8, program: &Path) -> Result<Outcome, LabError> {
    let size = schedule.size;
    let mut plan = Plan::parse(SOAK_PLAN).unwrap_or_else(|error| unreachable!("{error}"));
    plan.seed = schedule.seed;
    plan.system.cores = size.cores;
    let layout = SystemLayout {
        network_number: net,
        cores: size.cores,
        seeds: SEED_COUNT,
        edges: size.edges,
        zones: plan.system.zones,
        heartbeat_interval_ms: HEARTBEAT_INTERVAL.as_millis() as u64,
        mem_mb: plan.system.mem_mb,
        tolerated_losses: TOLERATED_LOSSES,
        relayed: true,
    };
    let local = LocalSystem::start(layout, program).await?;
    SoakRun::prepare(schedule, plan, net, local).await?.run().await
}

struct SoakRun {
    schedule: Schedule,
    plan: Plan,
    controls: ControlAddresses,
    oracle: Rc<Oracle>,
    history: Rc<FaultHistory>,
    execution_log: Rc<ExecutionLog>,
    servers: Rc<Servers>,
    operators: Rc<Operators>,
    clients: Rc<Clients>,
    machines: Rc<Machines>,
}

/// Tasks that run until they are aborted at the end of the run.
struct BackgroundTasks {
    /// Clients and version probes.
    load: Vec<JoinHandle<()>>,
    /// Operators, and watches for unexpected exits and for requests to drained servers.
    operations: Vec<JoinHandle<()>>,
}

impl BackgroundTasks {
    fn abort(self) {
        self.operations.into_iter().for_each(|task| task.abort());
        self.load.into_iter().for_each(|task| task.abort());
    }
}

impl SoakRun {
    async fn prepare(schedule: Schedule, plan: Plan, net: u8, local: LocalSystem) -> Result<Self, LabError> {
        let partitions = Partitions::new();
        for (machine, pairs) in local.relayed_machines() {
            for (announced, target) in pairs {
                relay_to_machine(Rc::clone(&partitions), announced, target, &local.machine_name(machine))
                    .await?;
            }
        }
        let controls = local.controls();
        let edges = local.edges().into_iter().zip(schedule.size.cores + 1..);
        let edges = edges.map(|(address, machine)| Edge::new(address, machine)).collect();
        let oracle = Rc::new(Oracle::new());
        let history = FaultHistory::new(schedule.size.cores);
        let execution_log = Rc::new(ExecutionLog::default());
        let servers = Servers::start(&plan, net, controls.clone(), &execution_log).await?;
        let operators = Operators::new(&plan, controls.clone(), &oracle, schedule.seed);
        let clients =
            Clients::new(&plan, edges, &execution_log, &oracle, &history, &operators, schedule.seed);
        let machines = Machines::new(local, partitions, Rc::clone(&oracle));
        Ok(SoakRun {
            schedule,
            plan,
            controls,
            oracle,
            history,
            execution_log,
            servers,
            operators,
            clients,
            machines,
        })
    }

    async fn run(self) -> Result<Outcome, LabError> {
        if !self.operators.put_first_config().await || !self.wait_until_ready(START_TIMEOUT).await {
            return Err(LabError::NotReady(START_TIMEOUT));
        }
        let background = self.start_background_tasks();
        self.inject_faults().await;
        self.recover().await?;
        background.abort();
        self.clients.wait_until_idle().await;
        self.operators.read_back(READ_BACK_TIMEOUT).await;
        self.check_logs();
        Ok(self.outcome())
    }

    fn start_background_tasks(&self) -> BackgroundTasks {
        let mut load = Vec::new();
        for class in 0..self.plan.classes.len() {
            load.push(spawn_local(Rc::clone(&self.clients).generate_load(class)));
        }
        for edge in 0..self.clients.edge_count() {
            load.push(spawn_local(Rc::clone(&self.clients).probe_versions(edge)));
        }
        let last_machine = self.schedule.size.cores + self.schedule.size.edges;
        let operations = vec![
            spawn_local(Rc::clone(&self.operators).change_config()),
            spawn_local(Rc::clone(&self.operators).read_config()),
            spawn_local(Rc::clone(&self.operators).purge_objects(Rc::clone(&self.execution_log))),
            spawn_local(Rc::clone(&self.machines).watch_exits()),
            spawn_local(watch_arrivals_after_drain(
                Rc::clone(&self.servers),
                Rc::clone(&self.oracle),
                Rc::clone(&self.history),
                last_machine,
            )),
        ];
        BackgroundTasks { load, operations }
    }

    /// Injects all faults of the schedule, and waits until they have ended.
    async fn inject_faults(&self) {
        let injector = FaultInjector {
            machines: Rc::clone(&self.machines),
            servers: Rc::clone(&self.servers),
            clients: Rc::clone(&self.clients),
            operators: Rc::clone(&self.operators),
            history: Rc::clone(&self.history),
        };
        let load_began_at = Instant::now();
        let mut active = Vec::new();
        for scheduled in self.schedule.faults.clone() {
            active.push(spawn_local(injector.clone().inject(scheduled, load_began_at)));
        }
        sleep_until(load_began_at + Duration::from_secs_f64(self.schedule.seconds)).await;
        for fault in active {
            // The panic message of a failed task has already been printed.
            let _ = fault.await;
        }
    }

    /// Waits until the system has recovered and settled, then requires all requests to succeed for `SETTLE_TIME`.
    async fn recover(&self) -> Result<(), LabError> {
        self.machines.restart_all()?;
        if !self.wait_until_ready(RECOVERY_TIMEOUT).await {
            self.oracle.record_violation(Invariant::SystemRecovers, self.unmet_conditions().await);
            return Ok(());
        }
        sleep(SETTLE_TIME).await;
        self.clients.expect_success(true);
        sleep(SETTLE_TIME).await;
        self.clients.expect_success(false);
        Ok(())
    }

    async fn wait_until_ready(&self, timeout: Duration) -> bool {
        let began_at = Instant::now();
        while !self.unmet_conditions().await.is_empty() {
            if began_at.elapsed() > timeout {
                return false;
            }
            sleep(POLL_INTERVAL).await;
        }
        true
    }

    async fn unmet_conditions(&self) -> String {
        unmet_conditions(&self.controls, &self.plan, self.schedule.size).await
    }

    fn check_logs(&self) {
        let local = self.machines.local_system();
        for line in local.invariant_violations() {
            self.oracle.record_violation(Invariant::RuntimeAssertion, line);
        }
        let logs = Logs::read(&local.folder);
        self.clients.check_after_run(|request| logs.was_read(&request.id, request.edge));
        for line in logs.panics() {
            self.oracle.record_violation(Invariant::NoUnexpectedExit, line);
        }
        for line in logs.unlogged_failures(&self.oracle.take_failed_requests()) {
            self.oracle.record_violation(Invariant::FailureLogged, line);
        }
        self.oracle.set_logged_causes(logs.causes());
    }

    fn outcome(self) -> Outcome {
        let violations = self.oracle.violations();
        let logs = (!violations.is_empty()).then(|| self.machines.retain_logs());
        let (counts, causes) = (self.oracle.counts(), self.oracle.logged_causes());
        Outcome { schedule: self.schedule, violations, counts, causes, logs }
    }
}

/// Reports requests that reach servers after their drain time while all machines are in contact with control.
async fn watch_arrivals_after_drain(
    servers: Rc<Servers>,
    oracle: Rc<Oracle>,
    history: Rc<FaultHistory>,
    last_machine: u8,
) {
    loop {
        sleep(POLL_INTERVAL).await;
        for arrivals in servers.take_arrivals_after_drain() {
            // Requests that an edge sent before its fault ended may still be in flight.
            if history.all_in_contact_since(last_machine, Instant::now()) {
                oracle.record_violation(Invariant::NoRequestAfterDeregistration, arrivals);
            } else {
                oracle.count("request after drain, machines not in contact");
            }
        }
    }
}
