//! The machines of the system under test: signals, restarts, disk wipes and partitions, and detection of unexpected
//! process exits.

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

/// Interval between checks for exited processes.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum time until a process exits after SIGTERM.
const TERMINATION_TIMEOUT: Duration = Duration::from_secs(9);

/// Identifies a process by its machine and role.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct ProcessRole {
    machine: String,
    role: &'static str,
}

/// Controls the machines of a run, and tracks which of their processes are expected to exit.
pub struct Machines {
    local: RefCell<LocalSystem>,
    partitions: Rc<Partitions>,
    oracle: Rc<Oracle>,
    /// Processes that were killed or terminated by a fault, or whose unexpected exit was already reported.
    expected_exits: RefCell<BTreeSet<ProcessRole>>,
    cores: u8,
}

impl Machines {
    /// Takes control of the machines of a running system.
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

    /// Returns the numbers of the core machines, starting at 1.
    pub fn cores(&self) -> Vec<u8> {
        (1..=self.cores).collect()
    }

    /// Borrows the system that the machines belong to.
    pub fn local_system(&self) -> Ref<'_, LocalSystem> {
        self.local.borrow()
    }

    /// Keeps the logs of the run after its end, and returns their folder.
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

    /// Sends a signal to processes of a machine. SIGKILL and SIGTERM mark the exits of these processes as expected.
    pub fn signal(&self, machine: u8, processes: ProcessSet, signal: Signal) {
        let local = self.local.borrow();
        let node = local.machine_name(machine);
        for role in self.roles(machine, processes) {
            if matches!(signal, Signal::SIGKILL | Signal::SIGTERM) {
                self.expected_exits.borrow_mut().insert(ProcessRole { machine: node.clone(), role });
            }
            for pid in local.pids(&node, Some(role)) {
                // Fails if the process has already exited, which needs no signal.
                let _ = kill(Pid::from_raw(pid as i32), signal);
            }
        }
    }

    /// Waits until the processes of a machine have exited, or were restarted because of another fault. Processes that
    /// do not exit in time are reported and killed.
    pub async fn wait_for_exits(&self, machine: u8, processes: ProcessSet) {
        let began_at = Instant::now();
        let node = self.local.borrow().machine_name(machine);
        while began_at.elapsed() < TERMINATION_TIMEOUT {
            if self.have_exited(machine, &node, processes) {
                return;
            }
            sleep(EXIT_POLL_INTERVAL).await;
        }
        self.oracle.record_violation(
            Invariant::NoUnexpectedExit,
            format!("{node}: processes did not exit in time after SIGTERM or SIGKILL"),
        );
        self.signal(machine, processes, Signal::SIGKILL);
        sleep(EXIT_POLL_INTERVAL).await;
    }

    fn have_exited(&self, machine: u8, node: &str, processes: ProcessSet) -> bool {
        let exited = self.local.borrow_mut().exited_processes().unwrap_or_default();
        let expected = self.expected_exits.borrow();
        let has_exited = |role: &&'static str| {
            let is_exited =
                exited.iter().any(|(exited_node, exited_role, _)| exited_node == node && exited_role == role);
            is_exited || !expected.contains(&ProcessRole { machine: node.to_owned(), role })
        };
        self.roles(machine, processes).iter().all(has_exited)
    }

    /// Restarts the exited processes of a machine.
    pub fn restart(&self, machine: u8) {
        let node = self.local.borrow().machine_name(machine);
        if let Err(error) = self.restart_node(&node) {
            let details = format!("can't restart processes of {node}: {error}");
            self.oracle.record_violation(Invariant::NoUnexpectedExit, details);
        }
    }

    /// Restarts the exited processes of a machine. Running processes that another fault has signalled stay expected to
    /// exit.
    fn restart_node(&self, node: &str) -> std::io::Result<()> {
        let mut local = self.local.borrow_mut();
        for (machine, role, _) in
            local.exited_processes()?.into_iter().filter(|(exited_node, ..)| exited_node == node)
        {
            self.expected_exits.borrow_mut().remove(&ProcessRole { machine, role });
        }
        local.restart_node(node)?;
        drop(local);
        self.update_processes();
        Ok(())
    }

    /// Restarts the exited processes of all machines.
    ///
    /// # Errors
    ///
    /// Returns the first error of a restart.
    pub fn restart_all(&self) -> std::io::Result<()> {
        let exited = self.local.borrow_mut().exited_processes()?;
        exited.into_iter().try_for_each(|(machine_name, ..)| self.restart_node(&machine_name))
    }

    /// Erases the disk of a machine. Its processes must have exited.
    pub fn wipe(&self, machine: u8) {
        let node = self.local.borrow().machine_name(machine);
        let result = self.local.borrow_mut().wipe(&node);
        if let Err(error) = result {
            self.oracle.record_violation(
                Invariant::NoUnexpectedExit,
                format!("can't wipe the disk of {node}: {error}"),
            );
        }
    }

    /// Reports and restarts processes that exit unexpectedly. Runs until it is aborted.
    pub async fn watch_exits(self: Rc<Self>) {
        loop {
            sleep(EXIT_POLL_INTERVAL).await;
            let exited = self.local.borrow_mut().exited_processes().unwrap_or_default();
            for (node, role, status) in exited {
                let process = ProcessRole { machine: node, role };
                let is_new = self.expected_exits.borrow_mut().insert(process.clone());
                if is_new {
                    self.handle_unexpected_exit(&process, status);
                }
            }
        }
    }

    fn handle_unexpected_exit(&self, process: &ProcessRole, status: ExitStatus) {
        let ProcessRole { machine, role } = process;
        if status.signal() == Some(Signal::SIGHUP as i32) {
            // Until a new process has installed its signal handler, SIGHUP has its default action and terminates it.
            self.oracle.count("terminated by SIGHUP during startup");
        } else {
            let details = format!("{role} on {machine} exited unexpectedly: {status}");
            self.oracle.record_violation(Invariant::NoUnexpectedExit, details);
        }
        // In production the platform restarts exited processes.
        if let Err(error) = self.restart_node(machine) {
            self.oracle.record_violation(
                Invariant::NoUnexpectedExit,
                format!("can't restart processes of {machine}: {error}"),
            );
        }
    }

    /// Partitions a machine from others, and returns the blocked directions for [`Machines::end_partition`].
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

    /// Unblocks the directions of a partition.
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
