//! One play: a system, its servers, clients and operators, and the troubles of a schedule.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use glenfall::operator::commands::{self, ControlAddresses};
use glenfall::operator::local_system::{LocalSystem, SystemLayout};
use serde::Serialize;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, sleep_until, Instant};

use super::clients::{Clients, Edge};
use super::logs::Logs;
use super::observed::{Kind, Observed, Promise, Violation};
use super::operators::Operators;
use super::relay::{relay_machine, Network};
use super::schedule::Schedule;
use super::servers::Servers;
use super::troubles::{Machines, Troubles};
use crate::experiment::LabError;
use crate::ledger::Ledger;
use crate::origin::BEAT;
use crate::plan::Plan;

/// The system is up by then, and is whole again so long after its troubles: `recoverS`.
const START: Duration = Duration::from_secs(60);
const RECOVERY: Duration = Duration::from_secs(15);
/// After that, so long everything is served.
const CALM: Duration = Duration::from_secs(2);
/// The newest configuration is read back within this time.
const READ_BACK: Duration = Duration::from_secs(4);
/// How often states are looked at that one waits for.
const LOOK: Duration = Duration::from_millis(50);
/// Core machines whose disks may be lost at once.
const LOSSES: usize = 1;

/// What is played: two services, reads that may be kept and writes that may run once.
const PLAN: &str = r#"
seconds = 60.0
seed = 1
[system]
cores = 3
edges = 3
zones = 3
mem_mb = 160
[[services]]
name = "store"
servers = 3
slots = 16
queue = 64
work_ms = 15.0
spread = 0.6
rate_per_s = 400.0
[[services]]
name = "orders"
servers = 4
slots = 6
queue = 12
work_ms = 40.0
spread = 0.8
error_share = 0.01
[[classes]]
name = "read"
service = "store"
kind = "cacheable"
per_s = 60.0
objects = 40
bytes = 3000
aim_ms = 300
deadline_ms = 1200
worth = 1.0
late_worth = 0.1
prio = 2
tries = 2
retries = 0
max_age_s = 20.0
[[classes]]
name = "write"
service = "orders"
kind = "mutating"
per_s = 25.0
bytes = 500
aim_ms = 400
deadline_ms = 1500
worth = 2.0
late_worth = 0.2
prio = 1
tries = 2
retries = 0
"#;

/// Machines with an edge.
pub const EDGES: u8 = 3;
/// Services of the plan.
pub const SERVICES: usize = 2;

/// What came of a play.
#[derive(Debug, Serialize)]
pub struct Outcome {
    pub schedule: Schedule,
    pub violations: Vec<Violation>,
    /// Requests, orders and purges by how they ended.
    pub counts: BTreeMap<&'static str, u64>,
    /// Failed requests by the causes that edges have logged.
    pub causes: BTreeMap<String, u64>,
    /// Where the logs lie, if anything was broken.
    pub logs: Option<PathBuf>,
}

/// Plays a schedule on the addresses 127.0.`net`.x and 127.1.`net`.x.
pub async fn play(schedule: Schedule, net: u8, program: &Path) -> Result<Outcome, LabError> {
    let size = schedule.size;
    let mut plan = Plan::read(PLAN).unwrap_or_else(|wrong| unreachable!("{wrong}"));
    plan.seed = schedule.seed;
    plan.system.cores = size.cores;
    let layout = SystemLayout {
        net,
        cores: size.cores,
        seeds: 3,
        edges: size.edges,
        zones: plan.system.zones,
        beat_ms: BEAT.as_millis() as u64,
        mem_mb: plan.system.mem_mb,
        losses: LOSSES,
        relayed: true,
    };
    let local = LocalSystem::start(layout, program).await?;
    let network = Network::new();
    for (machine, pairs) in local.relayed() {
        for (announced, listens) in pairs {
            relay_machine(Rc::clone(&network), announced, listens, &local.node(machine)).await?;
        }
    }
    let controls = local.controls();
    let edges = local.edges().into_iter().zip(size.cores + 1..);
    let edges = edges.map(|(addr, machine)| Edge::new(addr, machine)).collect();
    let observed = Rc::new(Observed::new(size.cores));
    let ledger = Rc::new(Ledger::default());
    let servers = Servers::start(&plan, net, controls.clone(), &ledger).await?;
    let operators = Operators::new(&plan, controls.clone(), &observed, schedule.seed);
    let clients = Clients::new(&plan, edges, &ledger, &observed, &operators, schedule.seed);
    let machines = Machines::new(local, Rc::clone(&network), Rc::clone(&observed));
    let played = Play { schedule, plan, controls, observed, ledger, servers, operators, clients, machines };
    played.run().await
}

struct Play {
    schedule: Schedule,
    plan: Plan,
    controls: ControlAddresses,
    observed: Rc<Observed>,
    ledger: Rc<Ledger>,
    servers: Rc<Servers>,
    operators: Rc<Operators>,
    clients: Rc<Clients>,
    machines: Rc<Machines>,
}

impl Play {
    async fn run(self) -> Result<Outcome, LabError> {
        if !self.operators.begin().await || !self.is_whole_within(START).await {
            return Err(LabError::NotUp);
        }
        let (load, changes) = self.start_all();
        let troubles = Troubles {
            machines: Rc::clone(&self.machines),
            servers: Rc::clone(&self.servers),
            clients: Rc::clone(&self.clients),
            operators: Rc::clone(&self.operators),
        };
        let began = Instant::now();
        let mut under_way = Vec::new();
        for timed in self.schedule.troubles.clone() {
            under_way.push(spawn_local(troubles.clone().play(timed, began)));
        }
        sleep_until(began + Duration::from_secs_f64(self.schedule.seconds)).await;
        for trouble in under_way {
            // It ends by itself.
            let _ = trouble.await;
        }
        self.recover().await?;
        changes.into_iter().for_each(|task| task.abort());
        load.into_iter().for_each(|task| task.abort());
        self.clients.done().await;
        self.operators.read_back(READ_BACK).await;
        self.check_logs();
        self.outcome()
    }

    /// Starts clients and probes; and operators with the watch over what should not happen.
    fn start_all(&self) -> (Vec<JoinHandle<()>>, Vec<JoinHandle<()>>) {
        let mut load = Vec::new();
        for class in 0..self.plan.classes.len() {
            load.push(spawn_local(Rc::clone(&self.clients).arrive(class)));
        }
        for edge in 0..self.clients.edges.len() {
            load.push(spawn_local(Rc::clone(&self.clients).probe(edge)));
        }
        let changes = vec![
            spawn_local(Rc::clone(&self.operators).change()),
            spawn_local(Rc::clone(&self.operators).read()),
            spawn_local(Rc::clone(&self.operators).purge(Rc::clone(&self.ledger))),
            spawn_local(Rc::clone(&self.machines).watch()),
            spawn_local(watch_late_arrivals(
                Rc::clone(&self.servers),
                Rc::clone(&self.observed),
                self.schedule.size.cores + self.schedule.size.edges,
            )),
        ];
        (load, changes)
    }

    /// Waits until all is whole again, and watches a calm time.
    async fn recover(&self) -> Result<(), LabError> {
        self.machines.start_ended()?;
        if !self.is_whole_within(RECOVERY).await {
            let told = self.what_is_missing().await;
            self.observed.broken(Promise::SystemRecovers, told);
            return Ok(());
        }
        // What rests after its troubles is asked again by then.
        sleep(CALM).await;
        self.clients.calm.set(true);
        sleep(CALM).await;
        self.clients.calm.set(false);
        Ok(())
    }

    async fn is_whole_within(&self, most: Duration) -> bool {
        let began = Instant::now();
        while !self.what_is_missing().await.is_empty() {
            if began.elapsed() > most {
                return false;
            }
            sleep(LOOK).await;
        }
        true
    }

    /// What the control nodes lack, in words; nothing where all are in touch and know all.
    async fn what_is_missing(&self) -> String {
        let told = commands::status(&self.controls).await.unwrap_or_default();
        let nodes: Vec<serde_json::Value> = serde_json::from_str(&told).unwrap_or_default();
        let size = self.schedule.size;
        let mut missing = Vec::new();
        let mut sessions = BTreeSet::new();
        for (number, node) in (1..).zip(&nodes) {
            if node["inMajority"] != true || node["outlivesLosses"] != true {
                missing.push(format!("core-{number} reaches no majority"));
            }
            let ready = |list: &str| {
                let items = node[list].as_array().into_iter().flatten();
                items.filter(|item| item["ready"] == true).count()
            };
            let servers: u8 = self.plan.services.iter().map(|service| service.servers).sum();
            if ready("shields") != usize::from(size.cores) || ready("servers") < usize::from(servers) {
                missing.push(format!(
                    "core-{number} knows {} shields and {} servers",
                    ready("shields"),
                    ready("servers")
                ));
            }
            for session in node["sessions"].as_array().into_iter().flatten() {
                if session["ready"] == true
                    && session["leased"] == true
                    && session["applied"] == session["pushed"]
                {
                    sessions.insert(session["node"].to_string());
                }
            }
        }
        if sessions.len() != usize::from(size.cores + size.edges) {
            missing.push(format!("sessions of {sessions:?} alone"));
        }
        missing.join(", ")
    }

    fn check_logs(&self) {
        let local = self.machines.local.borrow();
        for line in local.broken_invariants() {
            self.observed.broken(Promise::InvariantHolds, line);
        }
        let logs = Logs::read(&local.folder);
        self.clients.check_ends(|cut| logs.has_read(&cut.id, cut.edge));
        for line in logs.panics() {
            self.observed.broken(Promise::ProcessStays, line);
        }
        for line in logs.unexplained(&self.observed.take_failed()) {
            self.observed.broken(Promise::FailureIsLogged, line);
        }
        self.observed.set_causes(logs.causes());
    }

    fn outcome(self) -> Result<Outcome, LabError> {
        let violations = self.observed.violations();
        let mut local = self.machines.local.borrow_mut();
        let logs = (!violations.is_empty()).then(|| local.keep_folder().to_owned());
        let (counts, causes) = (self.observed.counts(), self.observed.causes());
        Ok(Outcome { schedule: self.schedule, violations, counts, causes, logs })
    }
}

/// Requests that come to servers that have left, while all machines are in touch.
async fn watch_late_arrivals(servers: Rc<Servers>, observed: Rc<Observed>, last: u8) {
    loop {
        sleep(LOOK).await;
        for late in servers.take_late_arrivals() {
            // What an edge sent before its trouble ended may be on its way still.
            if observed.all_in_touch_since(last, Instant::now()) {
                observed.broken(Promise::LeavingIsFinal, late);
            } else {
                observed.count("late at a server that left, out of touch");
            }
        }
    }
}

/// Marks a machine as troubled until it is dropped.
pub struct Marked {
    observed: Rc<Observed>,
    machine: u8,
    kind: Kind,
}

impl Marked {
    pub fn new(observed: &Rc<Observed>, machine: u8, kind: Kind) -> Self {
        observed.begins(machine, kind);
        Marked { observed: Rc::clone(observed), machine, kind }
    }
}

impl Drop for Marked {
    fn drop(&mut self) {
        self.observed.ends(self.machine, self.kind);
    }
}

/// Shared by the tasks of a play.
pub type SharedLocal = RefCell<LocalSystem>;
