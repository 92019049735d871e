//! Starts the whole system as processes on loopback: three core machines and one edge machine, each with its own
//! address.

#![allow(dead_code, reason = "each test file uses a part")]

use std::io::{BufRead, Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use glenfall_control_plane::invariant::VIOLATION_MESSAGE;

/// How long `wait_until` waits; long enough for a busy machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// Held while a system runs: one system at a time, so that ports found free stay free until they are used.
static SYSTEM_LOCK: Mutex<()> = Mutex::new(());

/// Number of the edge machine; machines with lower numbers are core machines.
pub const EDGE_MACHINE: u8 = 4;

pub struct System {
    _system_lock: MutexGuard<'static, ()>,
    /// Machine number, role and process.
    children: Vec<(u8, &'static str, Child)>,
    pub folder: PathBuf,
    /// First of six consecutive ports, which are the same at each machine's address.
    base_port: u16,
}

impl Drop for System {
    fn drop(&mut self) {
        for (_, _, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let logs =
            (1..=EDGE_MACHINE).filter_map(|machine| std::fs::read_to_string(self.log_path(machine)).ok());
        let violations: Vec<String> = logs
            .flat_map(|log| {
                log.lines()
                    .filter(|line| line.contains(VIOLATION_MESSAGE))
                    .map(str::to_owned)
                    .collect::<Vec<_>>()
            })
            .collect();
        if std::thread::panicking() {
            // Logs and state are kept for diagnosis.
            eprintln!("logs and state are left in {}", self.folder.display());
            return;
        }
        let _ = std::fs::remove_dir_all(&self.folder);
        assert!(violations.is_empty(), "invariant violations in the logs: {violations:?}");
    }
}

fn machine_ip(machine: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 8, machine)
}

fn free_port_range() -> u16 {
    loop {
        let port = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port();
        let free =
            |offset| port.checked_add(offset).is_some_and(|p| TcpListener::bind(("0.0.0.0", p)).is_ok());
        if (0..6).all(free) {
            return port;
        }
    }
}

/// Polls until the condition is true; panics after `WAIT_TIMEOUT`, naming what was expected.
pub fn wait_until(expected: &str, mut condition: impl FnMut() -> bool) {
    let began = Instant::now();
    while !condition() {
        assert!(began.elapsed() < WAIT_TIMEOUT, "timed out waiting for: {expected}");
        std::thread::sleep(Duration::from_millis(30));
    }
}

/// A request as a server receives it, without its body.
pub struct ReceivedRequest {
    /// Method, path and version.
    pub request_line: String,
    /// Names and values; names are in lower case.
    headers: Vec<(String, String)>,
}

impl ReceivedRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn try_id(&self) -> &str {
        self.header("x-glenfall-try-id").unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.request_line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads one complete request as a server does. `None` when the connection closes first.
pub fn receive_request(reader: &mut impl BufRead) -> Option<ReceivedRequest> {
    let mut next_line = || {
        let mut line = String::new();
        (reader.read_line(&mut line).unwrap_or(0) > 0).then(|| line.trim_end().to_owned())
    };
    let mut received = ReceivedRequest { request_line: next_line()?, headers: Vec::new() };
    loop {
        let line = next_line()?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        received.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let length = received.header("content-length").map_or(0, |length| length.parse().unwrap());
    reader.read_exact(&mut vec![0; length]).ok()?;
    Some(received)
}

/// Reads one complete request and returns its try id, empty if it has none. `None` when the connection closes first.
pub fn receive_try_id(reader: &mut impl BufRead) -> Option<String> {
    receive_request(reader).map(|received| received.try_id().to_owned())
}

/// Status, head (in lower case) and body of a response.
pub type Response = (u16, String, String);

/// Sends one request on a new connection. `None` when no complete response arrives.
pub fn request(addr: SocketAddrV4, line: &str, headers: &str, body: &str) -> Option<Response> {
    let mut stream = TcpStream::connect_timeout(&addr.into(), Duration::from_secs(2)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(20))).ok()?;
    let length = body.len();
    let text =
        format!("{line} HTTP/1.1\r\nConnection: close\r\nContent-Length: {length}\r\n{headers}\r\n{body}");
    stream.write_all(text.as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, head.to_ascii_lowercase(), body.to_owned()))
}

impl System {
    /// Starts the roles in `core` on each core machine and the roles in `edge` on the edge machine.
    pub fn start(core: &[&'static str], edge: &[&'static str]) -> System {
        System::start_with_settings(core, edge, "")
    }

    /// Like `start`, with lines appended to each settings file.
    pub fn start_with_settings(core: &[&'static str], edge: &[&'static str], settings: &str) -> System {
        // Longer than a test: servers need to send only one heartbeat.
        System::start_with_heartbeat_interval(core, edge, 120_000, settings)
    }

    /// Like `start_with_settings`, with the interval at which servers must send heartbeats.
    pub fn start_with_heartbeat_interval(
        core: &[&'static str],
        edge: &[&'static str],
        heartbeat_ms: u64,
        settings: &str,
    ) -> System {
        let system_lock = SYSTEM_LOCK.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let base_port = free_port_range();
        let folder = std::env::temp_dir().join(format!("glenfall-system-{}-{base_port}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let mut system = System { _system_lock: system_lock, children: Vec::new(), folder, base_port };
        let seeds: Vec<String> =
            (1..EDGE_MACHINE).map(|machine| format!("\"{}\"", system.control_addr_text(machine))).collect();
        for machine in 1..=EDGE_MACHINE {
            let ip = machine_ip(machine);
            let ports = [2, 3, 4, 5].map(|offset| base_port + offset);
            let text = format!(
                "node = \"node-{machine}\"\nzone = \"z\"\nbindIp = \"{ip}\"\nfeedIp = \"{ip}\"\nbeatMs = {heartbeat_ms}\nvoter = true\n\
                 portRange = [{base_port}, {}]\nseedNodes = [{}]\nbootstrap = true\nstateDir = \"{}\"\n\
                 [listeners]\ncontrolAddr = \"{ip}:{}\"\nhttp = \"{ip}:{}\"\nreadyAddr = \"{ip}:{}\"\n{settings}",
                ports[0],
                seeds.join(", "),
                system.state_dir(machine).display(),
                ports[1],
                ports[2],
                ports[3],
            );
            std::fs::write(system.folder.join(format!("{machine}.toml")), text).unwrap();
            for role in if machine < EDGE_MACHINE { core } else { edge } {
                let child = system.spawn(machine, role);
                system.children.push((machine, *role, child));
            }
        }
        system
    }

    /// Starts one more process on a machine.
    pub fn start_process(&mut self, machine: u8, role: &'static str) {
        let child = self.spawn(machine, role);
        self.children.push((machine, role, child));
    }

    /// Replaces texts in a machine's settings file; the file changes atomically.
    pub fn edit_settings(&self, machine: u8, replacements: &[(&str, &str)]) {
        let file = self.folder.join(format!("{machine}.toml"));
        let text = std::fs::read_to_string(&file).unwrap();
        let text = replacements.iter().fold(text, |text, (from, to)| text.replace(from, to));
        std::fs::write(file.with_extension("new"), text).unwrap();
        std::fs::rename(file.with_extension("new"), file).unwrap();
    }

    fn spawn(&self, machine: u8, role: &str) -> Child {
        let log = std::fs::File::options().create(true).append(true).open(self.log_path(machine)).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_glenfall"));
        let settings = self.folder.join(format!("{machine}.toml"));
        command.arg(role).env("GLENFALL_CONFIG", settings).stderr(log).spawn().unwrap()
    }

    fn child(&mut self, machine: u8, role: &str) -> &mut Child {
        let found = self
            .children
            .iter_mut()
            .find(|(known_machine, known_role, _)| *known_machine == machine && *known_role == role);
        &mut found.expect("a process of this machine and role").2
    }

    /// Kills all control nodes, calls `meanwhile`, and starts them again.
    pub fn restart_control_nodes(&mut self, meanwhile: impl FnOnce(&System)) {
        self.restart_role("control", meanwhile);
    }

    /// Kills all core processes of a role, calls `meanwhile`, and starts them again.
    pub fn restart_role(&mut self, role: &'static str, meanwhile: impl FnOnce(&System)) {
        for machine in 1..EDGE_MACHINE {
            self.kill(machine, role);
        }
        meanwhile(self);
        for machine in 1..EDGE_MACHINE {
            self.respawn(machine, role);
        }
    }

    /// Kills a process and waits until it has exited.
    pub fn kill(&mut self, machine: u8, role: &str) {
        let child = self.child(machine, role);
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Kills the core processes of a role except one that has exited already, and starts all of them again.
    pub fn kill_others_and_respawn_all(&mut self, except: u8, role: &'static str) {
        for machine in (1..EDGE_MACHINE).filter(|machine| *machine != except) {
            self.kill(machine, role);
        }
        for machine in 1..EDGE_MACHINE {
            self.respawn(machine, role);
        }
    }

    /// Starts a process again that has exited.
    pub fn respawn(&mut self, machine: u8, role: &str) {
        *self.child(machine, role) = self.spawn(machine, role);
    }

    pub fn pid(&mut self, machine: u8, role: &str) -> u32 {
        self.child(machine, role).id()
    }

    pub fn signal(&mut self, machine: u8, role: &str, name: &str) {
        let pid = self.child(machine, role).id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().unwrap().success());
    }

    /// Whether a process exited successfully; `None` while it runs.
    pub fn exit_success(&mut self, machine: u8, role: &str) -> Option<bool> {
        self.child(machine, role).try_wait().unwrap().map(|status| status.success())
    }

    pub fn state_dir(&self, machine: u8) -> PathBuf {
        self.folder.join(format!("state-{machine}"))
    }

    /// Runs an operator command: whether it succeeded, and its standard output, or its standard error on failure.
    pub fn run_command(&self, args: &[&str]) -> (bool, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_glenfall"));
        let output = command.args(args).current_dir(&self.folder).output().unwrap();
        let text = if output.status.success() { output.stdout } else { output.stderr };
        (output.status.success(), String::from_utf8(text).unwrap())
    }

    pub fn control_addr(&self, machine: u8) -> SocketAddrV4 {
        SocketAddrV4::new(machine_ip(machine), self.base_port + 3)
    }

    /// Where a control node accepts connections: from agents and other control nodes, and from the shield on its machine.
    pub fn session_addrs(&self, machine: u8) -> [SocketAddrV4; 2] {
        [0, 2].map(|offset| SocketAddrV4::new(machine_ip(machine), self.base_port + offset))
    }

    pub fn control_addr_text(&self, machine: u8) -> String {
        self.control_addr(machine).to_string()
    }

    /// The edge's address for client requests, and the one for readiness checks.
    pub fn edge_addrs(&self) -> [SocketAddrV4; 2] {
        [4, 5].map(|offset| SocketAddrV4::new(machine_ip(EDGE_MACHINE), self.base_port + offset))
    }

    /// Sends a server's heartbeat to the first control node.
    pub fn send_heartbeat(&self, id: &str, service: &str, addr: SocketAddrV4, status: &str, seq: u32) {
        let body = format!(
            r#"{{"backend":"{service}","addr":"{addr}","zone":"z","capacity":8,"status":"{status}","callSeq":{seq}}}"#
        );
        let line = format!("PUT /api/servers/{id}");
        let response = request(self.control_addr(1), &line, "Host: c\r\n", &body);
        assert_eq!(response.map(|response| response.0), Some(200));
    }

    /// Replaces (`put`) or changes (`patch`) the configuration through the operator's command.
    pub fn configure(&self, subcommand: &str, builds_on: u64, document: &str) {
        let file = format!("{subcommand}-{builds_on}.json");
        std::fs::write(self.folder.join(&file), document).unwrap();
        let (control, builds_on) = (self.control_addr_text(2), builds_on.to_string());
        let outcome = self.run_command(&[
            "config",
            subcommand,
            "--control",
            &control,
            "--builds-on",
            &builds_on,
            &file,
        ]);
        assert!(outcome.0, "{}", outcome.1);
    }

    /// Waits until the edge is ready, and each control node knows three ready shields that its sessions have applied.
    pub fn wait_until_ready(&self) {
        let ready = self.edge_addrs()[1];
        wait_until("the edge is ready", || {
            request(ready, "GET /api/ready", "Host: e\r\n", "").is_some_and(|response| response.0 == 200)
        });
        // The shields in a status have been pushed to the sessions. An edge that has not applied them yet chooses among
        // fewer shields, and its objects move to other shields once it does.
        let has_applied_shields = |machine| {
            let status = self.status(machine)?;
            let ready = status["shields"].as_array()?.iter().filter(|shield| shield["ready"] == true).count();
            let mut sessions = status["sessions"].as_array()?.iter();
            Some(ready == 3 && sessions.all(|session| session["applied"] == session["pushed"]))
        };
        wait_until("each control node knows three ready shields and its sessions have applied them", || {
            (1..EDGE_MACHINE).all(|machine| has_applied_shields(machine) == Some(true))
        });
    }

    /// Waits until each session holds a lease: until then a shield's cached responses are not used, and reads of its
    /// objects go to another shield.
    pub fn wait_for_leases(&self) {
        let holds_leases = |machine| {
            let status = self.status(machine)?;
            Some(status["sessions"].as_array()?.iter().all(|session| session["leased"] == true))
        };
        wait_until("each session holds a lease", || {
            (1..EDGE_MACHINE).all(|machine| holds_leases(machine) == Some(true))
        });
    }

    pub fn log_path(&self, machine: u8) -> PathBuf {
        self.folder.join(format!("{machine}.log"))
    }

    pub fn status(&self, machine: u8) -> Option<serde_json::Value> {
        let (_, _, body) = request(self.control_addr(machine), "GET /api/status", "Host: c\r\n", "")?;
        serde_json::from_str(&body).ok()
    }

    /// Waits until each given node knows a view whose chain has this many members.
    pub fn wait_for_chain(&self, nodes: &[u8], members: usize) {
        let has_chain = |machine: &u8| {
            self.status(*machine).is_some_and(|status| {
                status["view"]["chain"].as_array().is_some_and(|chain| chain.len() == members)
            })
        };
        wait_until(&format!("nodes {nodes:?} know a chain of {members} members"), || {
            nodes.iter().all(has_chain)
        });
    }

    /// Number of open sessions at a control node, of agents and of its shield; `None` when it does not respond.
    pub fn session_count(&self, machine: u8) -> Option<usize> {
        Some(self.status(machine)?["sessions"].as_array()?.len())
    }

    /// How often the control nodes have logged the loss of a link to a peer.
    pub fn disconnect_count(&self) -> usize {
        let count = |machine| {
            std::fs::read_to_string(self.log_path(machine)).unwrap().matches("peer disconnected").count()
        };
        (1..EDGE_MACHINE).map(count).sum()
    }
}
