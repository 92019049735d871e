//! A complete system on loopback, for the demo and for experiments. Each machine has its own address, and each role is a
//! process.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use glenfall_control_plane::invariant::VIOLATION_MESSAGE;
use tokio::net::TcpListener;

use crate::operator::commands::ControlAddresses;
use crate::settings::SETTINGS_VARIABLE;

/// Number of consecutive ports that a machine needs.
const PORT_COUNT: u16 = 6;
// The ports, as offsets from the first port of a machine.
const SESSION_PORT: u16 = 0;
const SHIELD_PORT: u16 = 1;
const WATCH_PORT: u16 = 2;
const CONTROL_PORT: u16 = 3;
const HTTP_PORT: u16 = 4;
const READY_PORT: u16 = 5;

/// Maximum number of open file descriptors of a process (`maxFds`).
const MAX_DESCRIPTORS: usize = 4096;

/// The machines of a local system, and their settings.
#[derive(Clone, Copy, Debug)]
pub struct SystemLayout {
    /// Third byte N of the machines' addresses 127.0.N.x. Systems that run at the same time need different ones.
    pub network_number: u8,
    /// Number of core machines, with a control node and a shield each.
    pub cores: u8,
    /// Number of core machines that `seedNodes` lists. They are the voters of the first start.
    pub seeds: u8,
    /// Number of edge machines, with an edge and its agent each.
    pub edges: u8,
    /// Number of zones that the machines are distributed over.
    pub zones: u8,
    /// Interval of servers' heartbeats, in milliseconds.
    pub heartbeat_interval_ms: u64,
    /// Memory of each process, in MiB.
    pub mem_mb: u64,
    /// Number of core machines that may be lost at once with their disks (`survive.hosts`). If it is above 0, all core
    /// machines may vote.
    pub tolerated_losses: usize,
    /// Whether core processes listen on other addresses than they announce, so that relays that simulate network faults
    /// can listen on the announced ones.
    pub relayed: bool,
}

impl SystemLayout {
    /// A layout in three zones whose core machines all vote, without relays, with 256 MiB of memory for each process and
    /// heartbeats every 500 ms.
    pub fn new(network_number: u8, cores: u8, edges: u8) -> Self {
        SystemLayout {
            network_number,
            cores,
            seeds: cores,
            edges,
            zones: 3,
            heartbeat_interval_ms: 500,
            mem_mb: 256,
            tolerated_losses: 0,
            relayed: false,
        }
    }

    fn machine_count(&self) -> u8 {
        self.cores + self.edges
    }

    fn is_core(&self, number: u8) -> bool {
        number <= self.cores
    }
}

struct Process {
    node: String,
    role: &'static str,
    child: Child,
}

/// A running local system. When it is dropped, its processes are killed and its folder is removed, unless
/// [`LocalSystem::retain_folder`] was called.
pub struct LocalSystem {
    layout: SystemLayout,
    program: PathBuf,
    /// The first port, which is the same on all machines.
    first_port: u16,
    /// The folder of settings, logs and state.
    pub folder: PathBuf,
    processes: Vec<Process>,
    keeps_folder: bool,
    /// Machines whose state was removed. They start without `bootstrap`, as their next start is not the first start of
    /// the system.
    wiped: BTreeSet<String>,
}

impl Drop for LocalSystem {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        if !self.keeps_folder {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl LocalSystem {
    /// Starts all processes as children that run `program`. Returns without waiting until they have found each other.
    pub async fn start(layout: SystemLayout, program: &Path) -> std::io::Result<LocalSystem> {
        let first_port = free_ports().await?;
        let name = format!("glenfall-local-{}-{first_port}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder)?;
        let mut system = LocalSystem {
            layout,
            program: program.to_owned(),
            first_port,
            folder,
            processes: Vec::new(),
            keeps_folder: false,
            wiped: BTreeSet::new(),
        };
        for number in system.machine_numbers() {
            system.start_machine(number)?;
        }
        Ok(system)
    }

    fn start_machine(&mut self, number: u8) -> std::io::Result<()> {
        let node = self.machine_name(number);
        self.write_settings(&node, number)?;
        for role in self.roles(number) {
            let child = self.spawn(&node, role)?;
            self.processes.push(Process { node: node.clone(), role, child });
        }
        Ok(())
    }

    fn spawn(&self, node: &str, role: &str) -> std::io::Result<Child> {
        let log = self.folder.join(format!("{node}-{role}.log"));
        let log = std::fs::File::options().create(true).append(true).open(log)?;
        Command::new(&self.program)
            .arg(role)
            .env(SETTINGS_VARIABLE, self.settings_file(node))
            .stdin(Stdio::null())
            .stderr(log)
            .spawn()
    }

    fn machine_numbers(&self) -> std::ops::RangeInclusive<u8> {
        1..=self.layout.machine_count()
    }

    /// The name of a machine. Machines are numbered from 1, core machines first.
    pub fn machine_name(&self, number: u8) -> String {
        match number.checked_sub(self.layout.cores + 1) {
            None => format!("core-{number}"),
            Some(edge) => format!("edge-{}", edge + 1),
        }
    }

    fn roles(&self, number: u8) -> [&'static str; 2] {
        if self.layout.is_core(number) {
            ["shield", "control"]
        } else {
            ["edge", "agent"]
        }
    }

    /// The zone of a machine.
    pub fn zone(&self, number: u8) -> String {
        format!("zone-{}", number % self.layout.zones.max(1) + 1)
    }

    /// The address of a machine. Numbers above that of the last machine can be used for servers.
    pub fn machine_address(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, 0, self.layout.network_number, number)
    }

    /// The address on which the processes of a machine listen.
    fn listen_ip(&self, number: u8) -> Ipv4Addr {
        match self.layout.relayed && self.layout.is_core(number) {
            true => Ipv4Addr::new(127, 1, self.layout.network_number, number),
            false => self.machine_address(number),
        }
    }

    /// For each core machine, its number and the pairs of announced and listening address: for sessions, for reads of the
    /// shield, and for control's HTTP API.
    pub fn relayed_machines(&self) -> Vec<(u8, [(SocketAddrV4, SocketAddrV4); 3])> {
        let pair = |number, offset| {
            let port = self.first_port + offset;
            let announced = SocketAddrV4::new(self.machine_address(number), port);
            (announced, SocketAddrV4::new(self.listen_ip(number), port))
        };
        let ports = [SESSION_PORT, SHIELD_PORT, CONTROL_PORT];
        let cores = 1..=self.layout.cores;
        cores.map(|number| (number, ports.map(|offset| pair(number, offset)))).collect()
    }

    /// The addresses of the HTTP API of all control nodes.
    pub fn controls(&self) -> ControlAddresses {
        ControlAddresses { controls: (1..=self.layout.cores).map(|number| self.control(number)).collect() }
    }

    fn control(&self, number: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.machine_address(number), self.first_port + CONTROL_PORT)
    }

    fn seeds(&self) -> Vec<SocketAddrV4> {
        (1..=self.layout.seeds.min(self.layout.cores)).map(|number| self.control(number)).collect()
    }

    /// The addresses of the control nodes in `seedNodes`, and the port on which all of them accept sessions.
    pub fn session_addresses(&self) -> (Vec<Ipv4Addr>, u16) {
        (self.seeds().iter().map(|seed| *seed.ip()).collect(), self.first_port + SESSION_PORT)
    }

    /// The addresses on which edges accept clients.
    pub fn edges(&self) -> Vec<SocketAddrV4> {
        let address = |number| SocketAddrV4::new(self.machine_address(number), self.first_port + HTTP_PORT);
        self.machine_numbers().filter(|number| !self.layout.is_core(*number)).map(address).collect()
    }

    /// The process ids of a machine, of one role or of all roles.
    pub fn pids(&self, node: &str, role: Option<&str>) -> Vec<u32> {
        let is_selected =
            |process: &&Process| process.node == node && role.is_none_or(|role| role == process.role);
        self.processes.iter().filter(is_selected).map(|process| process.child.id()).collect()
    }

    /// The ids of all processes, with the names of their machines.
    pub fn all_pids(&self) -> Vec<(u32, &str)> {
        self.processes.iter().map(|process| (process.child.id(), &process.node[..])).collect()
    }

    /// The processes that have ended, with machine, role and exit status.
    pub fn exited_processes(&mut self) -> std::io::Result<Vec<(String, &'static str, ExitStatus)>> {
        let mut ended = Vec::new();
        for process in &mut self.processes {
            if let Some(status) = process.child.try_wait()? {
                ended.push((process.node.clone(), process.role, status));
            }
        }
        Ok(ended)
    }

    /// Deletes the state of a machine from disk. Its processes must have ended.
    pub fn wipe(&mut self, node: &str) -> std::io::Result<()> {
        self.wiped.insert(node.to_owned());
        if let Some(number) = self.machine_numbers().find(|number| self.machine_name(*number) == node) {
            self.write_settings(node, number)?;
        }
        match std::fs::remove_dir_all(self.state_folder(node)) {
            Err(error) if error.kind() != std::io::ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        }
    }

    /// Restarts the processes of a machine that have ended.
    pub fn restart_node(&mut self, node: &str) -> std::io::Result<()> {
        for index in 0..self.processes.len() {
            let process = &mut self.processes[index];
            if process.node == node && process.child.try_wait()?.is_some() {
                let role = process.role;
                self.processes[index].child = self.spawn(node, role)?;
            }
        }
        Ok(())
    }

    /// The log lines about violated invariants, also those of processes that have ended.
    pub fn invariant_violations(&self) -> Vec<String> {
        let entries = std::fs::read_dir(&self.folder).into_iter().flatten().flatten();
        let paths = entries.map(|entry| entry.path());
        let logs = paths.filter(|path| path.extension().is_some_and(|extension| extension == "log"));
        let mut violations = Vec::new();
        for text in logs.filter_map(|path| std::fs::read_to_string(path).ok()) {
            violations
                .extend(text.lines().filter(|line| line.contains(VIOLATION_MESSAGE)).map(str::to_owned));
        }
        violations
    }

    /// Keeps the folder with logs and state when this is dropped, so that a failure can be examined. Returns the folder.
    pub fn retain_folder(&mut self) -> &Path {
        self.keeps_folder = true;
        &self.folder
    }

    fn settings_file(&self, node: &str) -> PathBuf {
        self.folder.join(format!("{node}.toml"))
    }

    fn state_folder(&self, node: &str) -> PathBuf {
        self.folder.join(node)
    }

    fn write_settings(&self, node: &str, number: u8) -> std::io::Result<()> {
        std::fs::write(self.settings_file(node), self.settings(node, number))
    }

    fn settings(&self, node: &str, number: u8) -> String {
        let layout = &self.layout;
        let (zone, ip, listen_ip) = (self.zone(number), self.machine_address(number), self.listen_ip(number));
        let (first_port, last_port) = (self.first_port, self.first_port + WATCH_PORT);
        let seeds: Vec<String> = self.seeds().iter().map(|control| format!("\"{control}\"")).collect();
        let seeds = seeds.join(", ");
        let bootstrap = !self.wiped.contains(node);
        let voter = layout.tolerated_losses > 0 && layout.is_core(number);
        let state_folder = self.state_folder(node);
        let [control, http, ready] =
            [CONTROL_PORT, HTTP_PORT, READY_PORT].map(|offset| self.first_port + offset);
        format!(
            "node = \"{node}\"\nzone = \"{zone}\"\nbindIp = \"{ip}\"\nlistenIp = \"{listen_ip}\"\n\
             feedIp = \"{listen_ip}\"\nportRange = [{first_port}, {last_port}]\nseedNodes = [{seeds}]\n\
             bootstrap = {bootstrap}\nvoter = {voter}\nstateDir = \"{}\"\nbeatMs = {}\n[survive]\nhosts = {}\n\
             [listeners]\ncontrolAddr = \"{listen_ip}:{control}\"\nhttp = \"{ip}:{http}\"\n\
             readyAddr = \"{ip}:{ready}\"\n[reqLimits]\nmemMb = {}\nmaxFds = {MAX_DESCRIPTORS}\n",
            state_folder.display(),
            layout.heartbeat_interval_ms,
            layout.tolerated_losses,
            layout.mem_mb,
        )
    }
}

/// The first of [`PORT_COUNT`] consecutive free ports.
async fn free_ports() -> std::io::Result<u16> {
    loop {
        let first = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?.local_addr()?.port();
        if are_free(first).await {
            return Ok(first);
        }
    }
}

async fn are_free(first: u16) -> bool {
    let mut listeners = Vec::new();
    for offset in 0..PORT_COUNT {
        let Some(port) = first.checked_add(offset) else { return false };
        match TcpListener::bind((Ipv4Addr::UNSPECIFIED, port)).await {
            Ok(listener) => listeners.push(listener),
            Err(_) => return false,
        }
    }
    true
}
