//! The machines of the system under test: signals to their processes, restarts, and a watch over processes that exit
//! unexpectedly.

use std::cell::{Ref, RefCell};
use std::collections::BTreeSet;
use std::os::unix::process::ExitStatusExt;
use std::process::ExitStatus;
use std::rc::Rc;
use std::time::Duration;

use glenfall::operator::local_system::LocalSystem;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use tokio::time::{sleep, Instant};

use super::network::{MachineDirection, MachineProcess, Partitions};
use super::oracle::{Invariant, Oracle};
use super::schedule::{PartitionDirection, ProcessSet};

/// How often exited processes are looked for.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// A process exits within this time after SIGTERM.
const TERMINATION_TIMEOUT: Duration = Duration::from_secs(9);

/// A process by its machine and role.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct ProcessRole {
    machine: String,
    role: &'static str,
}

/// The machines of a run, and which of their processes are expected to exit.
pub struct Machines {
    local: RefCell<LocalSystem>,
    partitions: Rc<Partitions>,
    oracle: Rc<Oracle>,
    /// Processes that a fault ends; they may be found exited.
    expected_exits: RefCell<BTreeSet<ProcessRole>>,
    cores: u8,
}

impl Machines {
    /// Takes over the machines of a system that runs.
    pub fn new(local: LocalSystem, partitions: Rc<Partitions>, oracle: Rc<Oracle>) -> Rc<Self> {
        let cores = local.relayed_machines().len() as u8;
        let machines = Machines {
            local: RefCell::new(local),
            partitions,
            oracle,
            expected_exits: RefCell::default(),
            cores,
        };
        machines.update_processes();
        Rc::new(machines)
    }

    /// Returns the numbers of the core machines.
    pub fn cores(&self) -> Vec<u8> {
        (1..=self.cores).collect()
    }

    /// Returns the system that the machines belong to.
    pub fn local_system(&self) -> Ref<'_, LocalSystem> {
        self.local.borrow()
    }

    /// Retains the logs of the run after its end, and returns their folder.
    pub fn retain_logs(&self) -> std::path::PathBuf {
        self.local.borrow_mut().retain_folder().to_owned()
    }

    fn update_processes(&self) {
        let local = self.local.borrow();
        let processes = local.all_pids().into_iter();
        let processes = processes.map(|(pid, node)| MachineProcess { pid, machine: node.to_owned() });
        self.partitions.set_processes(processes.collect());
    }

    fn roles(&self, machine: u8, processes: ProcessSet) -> &'static [&'static str] {
        match (machine <= self.cores, processes) {
            (true, ProcessSet::Both) => &["shield", "control"],
            (true, ProcessSet::Proxy) => &["shield"],
            (true, ProcessSet::Control) => &["control"],
            (false, ProcessSet::Both) => &["edge", "agent"],
            (false, ProcessSet::Proxy) => &["edge"],
            (false, ProcessSet::Control) => &["agent"],
        }
    }

    /// Sends a signal to processes of a machine. After SIGKILL and SIGTERM their exits are expected.
    pub fn signal(&self, machine: u8, processes: ProcessSet, signal: Signal) {
        let local = self.local.borrow();
        let node = local.machine_name(machine);
        for role in self.roles(machine, processes) {
            if matches!(signal, Signal::SIGKILL | Signal::SIGTERM) {
                self.expected_exits.borrow_mut().insert(ProcessRole { machine: node.clone(), role });
            }
            for pid in local.pids(&node, Some(role)) {
                // One that has exited already needs no signal.
                let _ = kill(Pid::from_raw(pid as i32), signal);
            }
        }
    }

    /// Waits until the processes of a machine that a fault ends have exited, or another fault has restarted them. Those
    /// that do not exit in time are killed.
    pub async fn wait_for_exits(&self, machine: u8, processes: ProcessSet) {
        let began_at = Instant::now();
        let node = self.local.borrow().machine_name(machine);
        while began_at.elapsed() < TERMINATION_TIMEOUT {
            if self.have_exited(machine, &node, processes) {
                return;
            }
            sleep(EXIT_POLL_INTERVAL).await;
        }
        self.oracle.violated(Invariant::NoUnexpectedExit, format!("{node} has not ended after SIGTERM"));
        self.signal(machine, processes, Signal::SIGKILL);
        sleep(EXIT_POLL_INTERVAL).await;
    }

    fn have_exited(&self, machine: u8, node: &str, processes: ProcessSet) -> bool {
        let exited = self.local.borrow_mut().exited_processes().unwrap_or_default();
        let expected = self.expected_exits.borrow();
        let has_exited = |role: &&'static str| {
            let is_exited = exited.iter().any(|(of, exited_role, _)| of == node && exited_role == role);
            is_exited || !expected.contains(&ProcessRole { machine: node.to_owned(), role })
        };
        self.roles(machine, processes).iter().all(has_exited)
    }

    /// Restarts what has exited on a machine.
    pub fn restart(&self, machine: u8) {
        let node = self.local.borrow().machine_name(machine);
        if let Err(error) = self.restart_node(&node) {
            let details = format!("{node} can't be started: {error}");
            self.oracle.violated(Invariant::NoUnexpectedExit, details);
        }
    }

    /// Restarts what has exited on a machine. The exits of processes that another fault is about to end stay expected.
    fn restart_node(&self, node: &str) -> std::io::Result<()> {
        let mut local = self.local.borrow_mut();
        for (machine, role, _) in local.exited_processes()?.into_iter().filter(|(of, ..)| of == node) {
            self.expected_exits.borrow_mut().remove(&ProcessRole { machine, role });
        }
        local.restart_node(node)?;
        drop(local);
        self.update_processes();
        Ok(())
    }

    /// Restarts what has exited, on all machines.
    ///
    /// # Errors
    ///
    /// Returns the first error of a start.
    pub fn restart_all(&self) -> std::io::Result<()> {
        let exited = self.local.borrow_mut().exited_processes()?;
        exited.into_iter().try_for_each(|(machine_name, ..)| self.restart_node(&machine_name))
    }

    /// Erases the disk of a machine whose processes have exited.
    pub fn wipe(&self, machine: u8) {
        let node = self.local.borrow().machine_name(machine);
        let result = self.local.borrow_mut().wipe(&node);
        if let Err(error) = result {
            self.oracle.violated(Invariant::NoUnexpectedExit, format!("{node} can't be wiped: {error}"));
        }
    }

    /// Looks for processes that exit unexpectedly, and restarts them, until it is aborted.
    pub async fn watch_exits(self: Rc<Self>) {
        loop {
            sleep(EXIT_POLL_INTERVAL).await;
            let exited = self.local.borrow_mut().exited_processes().unwrap_or_default();
            for (node, role, status) in exited {
                let process = ProcessRole { machine: node, role };
                let is_new = self.expected_exits.borrow_mut().insert(process.clone());
                if is_new {
                    self.unexpected_exit(&process, status);
                }
            }
        }
    }

    fn unexpected_exit(&self, process: &ProcessRole, status: ExitStatus) {
        let ProcessRole { machine, role } = process;
        if status.signal() == Some(Signal::SIGHUP as i32) {
            // Between the start of a process and its handler the signal has its default effect.
            self.oracle.count("ended by a hangup at its start");
        } else {
            let details = format!("{role} on {machine} ended: {status}");
            self.oracle.violated(Invariant::NoUnexpectedExit, details);
        }
        // The platform restarts processes that exit.
        if let Err(error) = self.restart_node(machine) {
            self.oracle.violated(Invariant::NoUnexpectedExit, format!("{machine}: {error}"));
        }
    }

    /// Partitions a machine from others, and returns the directions that are blocked.
    pub fn partition(
        &self,
        machine: u8,
        others: &[u8],
        direction: PartitionDirection,
    ) -> Vec<MachineDirection> {
        let directions = self.directions(machine, others, direction);
        directions.iter().for_each(|direction| self.partitions.block(direction));
        directions
    }

    /// Ends a partition.
    pub fn end_partition(&self, directions: &[MachineDirection]) {
        directions.iter().for_each(|direction| self.partitions.unblock(direction));
    }

    fn directions(&self, machine: u8, others: &[u8], direction: PartitionDirection) -> Vec<MachineDirection> {
        let local = self.local.borrow();
        let mut directions = Vec::new();
        for other in others.iter().filter(|other| **other != machine) {
            let (own, other) = (local.machine_name(machine), local.machine_name(*other));
            if direction != PartitionDirection::Incoming {
                directions.push(MachineDirection { from: own.clone(), to: other.clone() });
            }
            if direction != PartitionDirection::Outgoing {
                directions.push(MachineDirection { from: other, to: own });
            }
        }
        directions
    }
}
