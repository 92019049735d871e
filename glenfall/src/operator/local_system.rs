//! A whole system on loopback: each machine an address of its own, each role a process. For the demo and for
//! experiments.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus};

use glenfall_control_plane::invariant::BROKEN;
use tokio::net::TcpListener;

use crate::operator::commands::ControlAddresses;
use crate::settings::VARIABLE;

/// Ports that a machine needs, next to each other.
const PORTS: u16 = 6;
const CONTROL: u16 = 3;
const HTTP: u16 = 4;
const READY: u16 = 5;

/// What is started.
#[derive(Clone, Copy, Debug)]
pub struct SystemLayout {
    /// Third byte of the machines' addresses, 127.0.N.x: several systems may run beside each other.
    pub net: u8,
    /// Machines with control and a shield; those with an edge and its agent.
    pub cores: u8,
    /// Core machines that the settings name: they vote at the first start.
    pub seeds: u8,
    pub edges: u8,
    pub zones: u8,
    pub beat_ms: u64,
    pub mem_mb: u64,
    /// Core machines that may be lost at once with their disks; all may vote then.
    pub losses: usize,
    /// Core processes listen at hidden addresses, so that relays can stand at those that they announce.
    pub relayed: bool,
}

struct Process {
    node: String,
    role: &'static str,
    child: Child,
}

/// The processes end, and their folder goes, when this is dropped; unless it is to be kept.
pub struct LocalSystem {
    layout: SystemLayout,
    program: PathBuf,
    base: u16,
    pub folder: PathBuf,
    processes: Vec<Process>,
    keeps_folder: bool,
    /// Machines that have lost their disks, and do not start for the first time.
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

/// Free ports, next to each other.
async fn free_ports() -> std::io::Result<u16> {
    loop {
        let port = TcpListener::bind("127.0.0.1:0").await?.local_addr()?.port();
        let mut held = Vec::new();
        for offset in 0..PORTS {
            let Some(port) = port.checked_add(offset) else { break };
            match TcpListener::bind((Ipv4Addr::UNSPECIFIED, port)).await {
                Ok(listener) => held.push(listener),
                Err(_) => break,
            }
        }
        if held.len() == usize::from(PORTS) {
            return Ok(port);
        }
    }
}

impl LocalSystem {
    /// Starts all processes; they find each other by themselves.
    pub async fn start(layout: SystemLayout, program: &Path) -> std::io::Result<LocalSystem> {
        let base = free_ports().await?;
        let folder = std::env::temp_dir().join(format!("glenfall-local-{}-{base}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let program = program.to_owned();
        let mut local = LocalSystem {
            layout,
            program,
            base,
            folder,
            processes: Vec::new(),
            keeps_folder: false,
            wiped: BTreeSet::new(),
        };
        for number in 1..=layout.cores + layout.edges {
            let (node, roles) = (local.node(number), local.roles(number));
            std::fs::write(local.settings_file(&node), local.settings(&node, number))?;
            for role in roles {
                let child = local.spawn(&node, role)?;
                local.processes.push(Process { node: node.clone(), role, child });
            }
        }
        Ok(local)
    }

    /// What the logs tell of invariants that were broken, of processes that have ended as well.
    pub fn broken_invariants(&self) -> Vec<String> {
        let entries =
            std::fs::read_dir(&self.folder).into_iter().flatten().flatten().map(|entry| entry.path());
        let logs = entries.filter(|path| path.extension().is_some_and(|extension| extension == "log"));
        let texts = logs.filter_map(|path| std::fs::read_to_string(path).ok());
        let broken =
            |text: String| text.lines().filter(|l| l.contains(BROKEN)).map(str::to_owned).collect::<Vec<_>>();
        texts.flat_map(broken).collect()
    }

    /// Leaves the folder with its logs and state where it is, for whoever looks into what went wrong.
    pub fn keep_folder(&mut self) -> &Path {
        self.keeps_folder = true;
        &self.folder
    }

    /// The name of a machine.
    pub fn node(&self, number: u8) -> String {
        match number.checked_sub(self.layout.cores + 1) {
            None => format!("core-{number}"),
            Some(edge) => format!("edge-{}", edge + 1),
        }
    }

    fn roles(&self, number: u8) -> [&'static str; 2] {
        if number <= self.layout.cores {
            ["shield", "control"]
        } else {
            ["edge", "agent"]
        }
    }

    /// The address of a machine; those beyond the last are free for servers.
    pub fn machine(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, 0, self.layout.net, number)
    }

    /// Where the processes of a machine listen.
    fn listens(&self, number: u8) -> Ipv4Addr {
        match self.layout.relayed && number <= self.layout.cores {
            true => Ipv4Addr::new(127, 1, self.layout.net, number),
            false => self.machine(number),
        }
    }

    /// For each core machine, the addresses that it announces with those where it listens: links, reads, calls.
    pub fn relayed(&self) -> Vec<(u8, [(SocketAddrV4, SocketAddrV4); 3])> {
        let pair = |number, offset| {
            let port = self.base + offset;
            let announced = SocketAddrV4::new(self.machine(number), port);
            (announced, SocketAddrV4::new(self.listens(number), port))
        };
        let cores = 1..=self.layout.cores;
        cores.map(|number| (number, [0, 1, CONTROL].map(|offset| pair(number, offset)))).collect()
    }

    /// The zone of a machine.
    pub fn zone(&self, number: u8) -> String {
        format!("zone-{}", number % self.layout.zones.max(1) + 1)
    }

    fn settings_file(&self, node: &str) -> PathBuf {
        self.folder.join(format!("{node}.toml"))
    }

    fn settings(&self, node: &str, number: u8) -> String {
        let (ip, base) = (self.machine(number), self.base);
        let listens = self.listens(number);
        let bootstrap = !self.wiped.contains(node);
        let voter = self.layout.losses > 0 && number <= self.layout.cores;
        let seeds: Vec<String> = self.seeds().iter().map(|control| format!("\"{control}\"")).collect();
        format!(
            "node = \"{node}\"\nzone = \"{}\"\nbindIp = \"{ip}\"\nlistenIp = \"{listens}\"\nfeedIp = \"{listens}\"\n\
             portRange = [{base}, {}]\nseedNodes = [{}]\nbootstrap = {bootstrap}\nvoter = {voter}\nstateDir = \"{}\"\n\
             beatMs = {}\n[survive]\nhosts = {}\n\
             [listeners]\ncontrolAddr = \"{listens}:{}\"\nhttp = \"{ip}:{}\"\nreadyAddr = \"{ip}:{}\"\n\
             [reqLimits]\nmemMb = {}\nmaxFds = 4096\n",
            self.zone(number),
            base + CONTROL - 1,
            seeds.join(", "),
            self.folder.join(node).display(),
            self.layout.beat_ms,
            self.layout.losses,
            base + CONTROL,
            base + HTTP,
            base + READY,
            self.layout.mem_mb,
        )
    }

    fn spawn(&self, node: &str, role: &str) -> std::io::Result<Child> {
        let log = self.folder.join(format!("{node}-{role}.log"));
        let log = std::fs::File::options().create(true).append(true).open(log)?;
        Command::new(&self.program)
            .arg(role)
            .env(VARIABLE, self.settings_file(node))
            .stdin(std::process::Stdio::null())
            .stderr(log)
            .spawn()
    }

    /// Where control is called.
    pub fn controls(&self) -> ControlAddresses {
        ControlAddresses { controls: (1..=self.layout.cores).map(|number| self.control(number)).collect() }
    }

    fn control(&self, number: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.machine(number), self.base + CONTROL)
    }

    fn seeds(&self) -> Vec<SocketAddrV4> {
        (1..=self.layout.seeds.min(self.layout.cores)).map(|number| self.control(number)).collect()
    }

    /// Where the control nodes that the settings name take sessions, and the port that all take them at.
    pub fn links(&self) -> (Vec<Ipv4Addr>, u16) {
        (self.seeds().iter().map(|seed| *seed.ip()).collect(), self.base)
    }

    /// Where edges take clients.
    pub fn edges(&self) -> Vec<SocketAddrV4> {
        let last = self.layout.cores + self.layout.edges;
        let addr = |number| SocketAddrV4::new(self.machine(number), self.base + HTTP);
        (self.layout.cores + 1..=last).map(addr).collect()
    }

    /// The ids of the processes of a machine, of one role or of all.
    pub fn pids(&self, node: &str, role: Option<&str>) -> Vec<u32> {
        let named = |process: &&Process| process.node == node && role.is_none_or(|role| role == process.role);
        self.processes.iter().filter(named).map(|process| process.child.id()).collect()
    }

    /// The ids of all processes, with the names of their machines.
    pub fn all_pids(&self) -> Vec<(u32, &str)> {
        self.processes.iter().map(|process| (process.child.id(), &process.node[..])).collect()
    }

    /// Processes that have ended: machine, role, and how.
    pub fn ended(&mut self) -> std::io::Result<Vec<(String, &'static str, ExitStatus)>> {
        let mut ended = Vec::new();
        for process in &mut self.processes {
            if let Some(status) = process.child.try_wait()? {
                ended.push((process.node.clone(), process.role, status));
            }
        }
        Ok(ended)
    }

    /// Removes what the processes of a machine have on disk; they must have ended.
    pub fn wipe(&mut self, node: &str) -> std::io::Result<()> {
        self.wiped.insert(node.to_owned());
        let last = self.layout.cores + self.layout.edges;
        if let Some(number) = (1..=last).find(|number| self.node(*number) == node) {
            std::fs::write(self.settings_file(node), self.settings(node, number))?;
        }
        match std::fs::remove_dir_all(self.folder.join(node)) {
            Err(error) if error.kind() != std::io::ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        }
    }

    /// Starts the processes of a machine again that have ended.
    pub fn start_again(&mut self, node: &str) -> std::io::Result<()> {
        for at in 0..self.processes.len() {
            if self.processes[at].node == node && self.processes[at].child.try_wait()?.is_some() {
                self.processes[at].child = self.spawn(node, self.processes[at].role)?;
            }
        }
        Ok(())
    }
}
