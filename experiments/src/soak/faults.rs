//! Fault injection: applies the faults of a schedule to processes, servers, clients and operators.

use std::rc::Rc;
use std::time::Duration;

use nix::sys::signal::Signal;
use tokio::time::{sleep, sleep_until, Instant};

use super::clients::Clients;
use super::fault_history::{FaultGuard, FaultHistory, FaultKind};
use super::machines::Machines;
use super::network::ServerNetworkFault;
use super::operators::Operators;
use super::schedule::{Fault, PartitionDirection, ProcessSet, ScheduledFault};
use super::servers::{Server, Servers};

/// Pause between SIGHUP signals.
const HANGUP_INTERVAL: Duration = Duration::from_millis(150);
/// How long a drained or deregistered server continues to serve beyond its drain time, so that late requests are seen.
const LINGER_TIME: Duration = Duration::from_secs(5);

/// Injects faults into one running system.
#[derive(Clone)]
pub struct FaultInjector {
    /// Machines, whose processes receive signals and whose connections are partitioned.
    pub machines: Rc<Machines>,
    /// Origin servers of the system.
    pub servers: Rc<Servers>,
    /// Clients, which can be made to disconnect.
    pub clients: Rc<Clients>,
    /// Operators, whose responses can be lost.
    pub operators: Rc<Operators>,
    /// History of the faults of each machine, which time-bounded checks consult.
    pub history: Rc<FaultHistory>,
}

impl FaultInjector {
    /// Waits until a fault is due, counted from `load_began_at`, injects it, and ends it after its duration.
    pub async fn inject(self, scheduled: ScheduledFault, load_began_at: Instant) {
        sleep_until(load_began_at + Duration::from_secs_f64(scheduled.at)).await;
        let ends_at = load_began_at + Duration::from_secs_f64(scheduled.at + scheduled.duration_s);
        match scheduled.fault {
            Fault::Kill { machine, processes } => self.kill(&[machine], processes, ends_at).await,
            Fault::KillCore { processes } => self.kill(&self.machines.cores(), processes, ends_at).await,
            Fault::Pause { machine, processes } => self.pause(machine, processes, ends_at).await,
            Fault::Terminate { machine, processes } => self.terminate(machine, processes, ends_at).await,
            Fault::Hangup { machine } => self.hang_up(machine, ends_at).await,
            Fault::Wipe { machine } => self.wipe(machine, ends_at).await,
            Fault::Partition { machine, direction } => {
                self.partition(machine, &self.machines.cores(), direction, ends_at).await;
            }
            Fault::PartitionPair { first, second, direction } => {
                self.partition(first, &[second], direction, ends_at).await;
            }
            Fault::ClientsDisconnect => {
                let _disconnects = self.clients.begin_disconnects();
                sleep_until(ends_at).await;
            }
            Fault::OperatorResponsesLost => {
                let _losses = self.operators.begin_response_losses();
                sleep_until(ends_at).await;
            }
            Fault::Drain { service }
            | Fault::Deregister { service }
            | Fault::Crash { service }
            | Fault::Slow { service, .. }
            | Fault::Unresponsive { service }
            | Fault::LosesResponses { service }
            | Fault::ResetsConnections { service } => {
                if let Some(server) = self.servers.any_healthy(service) {
                    self.inject_into_server(&scheduled.fault, service, &server, ends_at).await;
                }
            }
        }
    }

    fn begin_fault(&self, machine: u8, kind: FaultKind) -> FaultGuard {
        self.history.begin(machine, kind)
    }

    fn begin_faults(&self, machines: &[u8], kind: FaultKind) -> Vec<FaultGuard> {
        machines.iter().map(|machine| self.begin_fault(*machine, kind)).collect()
    }

    // ---- Machines ----

    async fn kill(&self, machines: &[u8], processes: ProcessSet, ends_at: Instant) {
        let _active_faults = self.begin_faults(machines, FaultKind::Unplanned);
        for machine in machines {
            self.clients.record_edge_restart(*machine);
            self.machines.signal(*machine, processes, Signal::SIGKILL);
        }
        sleep_until(ends_at).await;
        for machine in machines {
            self.restart_exited(*machine, processes).await;
        }
    }

    async fn restart_exited(&self, machine: u8, processes: ProcessSet) {
        self.machines.wait_for_exits(machine, processes).await;
        self.clients.record_edge_restart(machine);
        self.machines.restart(machine);
    }

    async fn pause(&self, machine: u8, processes: ProcessSet, ends_at: Instant) {
        let _active_fault = self.begin_fault(machine, FaultKind::Unplanned);
        self.machines.signal(machine, processes, Signal::SIGSTOP);
        sleep_until(ends_at).await;
        self.machines.signal(machine, processes, Signal::SIGCONT);
    }

    async fn terminate(&self, machine: u8, processes: ProcessSet, ends_at: Instant) {
        // A planned fault even for an agent alone: its edge continues to serve.
        let _active_fault = self.begin_fault(machine, FaultKind::Planned);
        self.machines.signal(machine, processes, Signal::SIGTERM);
        sleep_until(ends_at).await;
        self.restart_exited(machine, processes).await;
    }

    async fn hang_up(&self, machine: u8, ends_at: Instant) {
        let _active_fault = self.begin_fault(machine, FaultKind::Planned);
        while Instant::now() < ends_at {
            self.machines.signal(machine, ProcessSet::Both, Signal::SIGHUP);
            sleep(HANGUP_INTERVAL).await;
        }
    }

    async fn wipe(&self, machine: u8, ends_at: Instant) {
        let _active_fault = self.begin_fault(machine, FaultKind::Unplanned);
        self.machines.signal(machine, ProcessSet::Both, Signal::SIGKILL);
        self.machines.wait_for_exits(machine, ProcessSet::Both).await;
        self.machines.wipe(machine);
        sleep_until(ends_at).await;
        self.machines.restart(machine);
    }

    async fn partition(&self, machine: u8, others: &[u8], direction: PartitionDirection, ends_at: Instant) {
        let _active_faults = self.begin_faults(&[others, &[machine]].concat(), FaultKind::Unplanned);
        let blocked = self.machines.partition(machine, others, direction);
        sleep_until(ends_at).await;
        self.machines.end_partition(&blocked);
    }

    // ---- Servers ----

    async fn inject_into_server(&self, fault: &Fault, service: usize, server: &Server, ends_at: Instant) {
        match fault {
            Fault::Drain { .. } => {
                server.origin.set_linger_time(LINGER_TIME);
                server.origin.drain();
                self.replace_server(service).await;
            }
            Fault::Deregister { .. } => {
                server.origin.set_linger_time(LINGER_TIME);
                server.origin.deregister();
                self.replace_server(service).await;
            }
            Fault::Crash { .. } => {
                server.origin.crash();
                self.replace_server(service).await;
            }
            Fault::Slow { factor, .. } => {
                server.origin.set_slowdown(*factor);
                sleep_until(ends_at).await;
                server.origin.set_slowdown(1.0);
            }
            Fault::Unresponsive { .. } => {
                inject_into_network(server, ServerNetworkFault::Unresponsive, ends_at).await;
            }
            Fault::LosesResponses { .. } => {
                inject_into_network(server, ServerNetworkFault::LosesResponses, ends_at).await;
            }
            Fault::ResetsConnections { .. } => {
                inject_into_network(server, ServerNetworkFault::ResetsConnections, ends_at).await;
            }
            _ => {}
        }
    }

    async fn replace_server(&self, service: usize) {
        if let Err(error) = self.servers.add(service).await {
            eprintln!("can't start a replacement server: {error}");
        }
    }
}

async fn inject_into_network(server: &Server, fault: ServerNetworkFault, ends_at: Instant) {
    server.network.set_fault(fault);
    sleep_until(ends_at).await;
    server.network.set_fault(ServerNetworkFault::None);
}
