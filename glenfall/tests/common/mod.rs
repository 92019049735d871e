//! The system as processes on loopback: three core machines and one edge's, each an address of its own.

#![allow(dead_code, reason = "each test file uses a part")]

use std::io::{BufRead, Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use glenfall_control_plane::invariant::VIOLATION_MESSAGE;

/// Conditions are waited for so long, also on a busy machine.
pub const PATIENCE: Duration = Duration::from_mins(1);

/// One system at a time: ports that are found free stay so until they are used.
static ONE: Mutex<()> = Mutex::new(());

/// The edge's machine; those before it are the core's.
pub const EDGE: u8 = 4;

pub struct System {
    _one: MutexGuard<'static, ()>,
    /// By machine and role.
    children: Vec<(u8, &'static str, Child)>,
    pub folder: PathBuf,
    base: u16,
}

impl Drop for System {
    fn drop(&mut self) {
        for (_, _, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let logs = (1..=EDGE).filter_map(|n| std::fs::read_to_string(self.log(n)).ok());
        let broken: Vec<String> = logs
            .flat_map(|log| {
                log.lines().filter(|l| l.contains(VIOLATION_MESSAGE)).map(str::to_owned).collect::<Vec<_>>()
            })
            .collect();
        if std::thread::panicking() {
            // For whoever looks for the cause.
            eprintln!("logs and state are left in {}", self.folder.display());
            return;
        }
        let _ = std::fs::remove_dir_all(&self.folder);
        assert!(broken.is_empty(), "{broken:?}");
    }
}

fn machine(n: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 8, n)
}

fn free_ports() -> u16 {
    loop {
        let port = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port();
        let free =
            |offset| port.checked_add(offset).is_some_and(|p| TcpListener::bind(("0.0.0.0", p)).is_ok());
        if (0..6).all(free) {
            return port;
        }
    }
}

/// Waits until something holds.
pub fn await_that(what: &str, mut holds: impl FnMut() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < PATIENCE, "{what}");
        std::thread::sleep(Duration::from_millis(30));
    }
}

/// A request as a server reads it.
pub struct Received {
    /// Method, path and version.
    pub line: String,
    /// Names and values, the names in lower case.
    headers: Vec<(String, String)>,
}

impl Received {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn try_id(&self) -> &str {
        self.header("x-glenfall-try-id").unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads one request whole, as a server. `None` where the connection ends.
pub fn receive(reader: &mut impl BufRead) -> Option<Received> {
    let mut next_line = || {
        let mut line = String::new();
        (reader.read_line(&mut line).unwrap_or(0) > 0).then(|| line.trim_end().to_owned())
    };
    let mut received = Received { line: next_line()?, headers: Vec::new() };
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

/// Reads one request whole, as a server: its try's id. `None` where the connection ends.
pub fn read_request(reader: &mut impl BufRead) -> Option<String> {
    receive(reader).map(|received| received.try_id().to_owned())
}

/// An answer: its status, its head and its body.
pub type Heard = (u16, String, String);

/// Sends one request on a connection of its own. `None` where no whole answer comes.
pub fn request(addr: SocketAddrV4, line: &str, headers: &str, body: &str) -> Option<Heard> {
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
    /// Starts these roles on each core machine and on the edge's.
    pub fn start(core: &[&'static str], edge: &[&'static str]) -> System {
        System::start_with(core, edge, "")
    }

    /// The same, with more lines of settings.
    pub fn start_with(core: &[&'static str], edge: &[&'static str], settings: &str) -> System {
        // Servers are not heard of again within a test.
        System::start_beating(core, edge, 120_000, settings)
    }

    /// The same, where servers call this often.
    pub fn start_beating(
        core: &[&'static str],
        edge: &[&'static str],
        beat_ms: u64,
        settings: &str,
    ) -> System {
        let one = ONE.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let base = free_ports();
        let folder = std::env::temp_dir().join(format!("glenfall-system-{}-{base}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let mut system = System { _one: one, children: Vec::new(), folder, base };
        let seeds: Vec<String> = (1..EDGE).map(|n| format!("\"{}\"", system.control(n))).collect();
        for n in 1..=EDGE {
            let ip = machine(n);
            let ports = [2, 3, 4, 5].map(|offset| base + offset);
            let text = format!(
                "node = \"node-{n}\"\nzone = \"z\"\nbindIp = \"{ip}\"\nfeedIp = \"{ip}\"\nbeatMs = {beat_ms}\nvoter = true\n\
                 portRange = [{base}, {}]\nseedNodes = [{}]\nbootstrap = true\nstateDir = \"{}\"\n\
                 [listeners]\ncontrolAddr = \"{ip}:{}\"\nhttp = \"{ip}:{}\"\nreadyAddr = \"{ip}:{}\"\n{settings}",
                ports[0],
                seeds.join(", "),
                system.state_dir(n).display(),
                ports[1],
                ports[2],
                ports[3],
            );
            std::fs::write(system.folder.join(format!("{n}.toml")), text).unwrap();
            for role in if n < EDGE { core } else { edge } {
                let child = system.spawn(n, role);
                system.children.push((n, *role, child));
            }
        }
        system
    }

    /// Starts one more process.
    pub fn add(&mut self, n: u8, role: &'static str) {
        let child = self.spawn(n, role);
        self.children.push((n, role, child));
    }

    /// Replaces words in a machine's settings file, all at once.
    pub fn edit_settings(&self, n: u8, words: &[(&str, &str)]) {
        let file = self.folder.join(format!("{n}.toml"));
        let text = std::fs::read_to_string(&file).unwrap();
        let text = words.iter().fold(text, |text, (from, to)| text.replace(from, to));
        std::fs::write(file.with_extension("new"), text).unwrap();
        std::fs::rename(file.with_extension("new"), file).unwrap();
    }

    fn spawn(&self, n: u8, role: &str) -> Child {
        let log = std::fs::File::options().create(true).append(true).open(self.log(n)).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_glenfall"));
        let settings = self.folder.join(format!("{n}.toml"));
        command.arg(role).env("GLENFALL_CONFIG", settings).stderr(log).spawn().unwrap()
    }

    fn child(&mut self, n: u8, role: &str) -> &mut Child {
        let found = self.children.iter_mut().find(|(at, is, _)| *at == n && *is == role);
        &mut found.expect("such a process").2
    }

    /// Kills all control nodes; `meanwhile` is done before they start again.
    pub fn kill_all(&mut self, meanwhile: impl FnOnce(&System)) {
        self.kill_role("control", meanwhile);
    }

    /// Kills all core processes of a role; `meanwhile` is done before they start again.
    pub fn kill_role(&mut self, role: &'static str, meanwhile: impl FnOnce(&System)) {
        for n in 1..EDGE {
            self.kill(n, role);
        }
        meanwhile(self);
        for n in 1..EDGE {
            self.start_again(n, role);
        }
    }

    /// Ends a process at once.
    pub fn kill(&mut self, n: u8, role: &str) {
        let child = self.child(n, role);
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Kills the other core processes of a role, and starts all.
    pub fn kill_others(&mut self, but: u8, role: &'static str) {
        for n in (1..EDGE).filter(|n| *n != but) {
            self.kill(n, role);
        }
        for n in 1..EDGE {
            self.start_again(n, role);
        }
    }

    /// Starts a process again that has ended.
    pub fn start_again(&mut self, n: u8, role: &str) {
        *self.child(n, role) = self.spawn(n, role);
    }

    pub fn pid(&mut self, n: u8, role: &str) -> u32 {
        self.child(n, role).id()
    }

    pub fn signal(&mut self, n: u8, role: &str, name: &str) {
        let pid = self.child(n, role).id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().unwrap().success());
    }

    /// Whether a process has ended, and in order.
    pub fn ended(&mut self, n: u8, role: &str) -> Option<bool> {
        self.child(n, role).try_wait().unwrap().map(|status| status.success())
    }

    pub fn state_dir(&self, n: u8) -> PathBuf {
        self.folder.join(format!("state-{n}"))
    }

    /// What a verb says, and whether it succeeded.
    pub fn verb(&self, words: &[&str]) -> (bool, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_glenfall"));
        let output = command.args(words).current_dir(&self.folder).output().unwrap();
        let said = if output.status.success() { output.stdout } else { output.stderr };
        (output.status.success(), String::from_utf8(said).unwrap())
    }

    pub fn control_addr(&self, n: u8) -> SocketAddrV4 {
        SocketAddrV4::new(machine(n), self.base + 3)
    }

    /// Where sessions open at a core machine: agents, and the shield beside.
    pub fn session_addrs(&self, n: u8) -> [SocketAddrV4; 2] {
        [0, 2].map(|offset| SocketAddrV4::new(machine(n), self.base + offset))
    }

    pub fn control(&self, n: u8) -> String {
        self.control_addr(n).to_string()
    }

    /// Where the edge takes clients, and tells whether it is ready.
    pub fn edge_addrs(&self) -> [SocketAddrV4; 2] {
        [4, 5].map(|offset| SocketAddrV4::new(machine(EDGE), self.base + offset))
    }

    /// Says a server's word to the first control node.
    pub fn beat(&self, id: &str, service: &str, addr: SocketAddrV4, status: &str, seq: u32) {
        let body = format!(
            r#"{{"backend":"{service}","addr":"{addr}","zone":"z","capacity":8,"status":"{status}","callSeq":{seq}}}"#
        );
        let line = format!("PUT /api/servers/{id}");
        let heard = request(self.control_addr(1), &line, "Host: c\r\n", &body);
        assert_eq!(heard.map(|heard| heard.0), Some(200));
    }

    /// Puts (`put`) or changes (`patch`) the configuration, as an operator's verb does.
    pub fn configure(&self, verb: &str, builds_on: u64, document: &str) {
        let file = format!("{verb}-{builds_on}.json");
        std::fs::write(self.folder.join(&file), document).unwrap();
        let (at, builds_on) = (self.control(2), builds_on.to_string());
        let told = self.verb(&["config", verb, "--control", &at, "--builds-on", &builds_on, &file]);
        assert!(told.0, "{}", told.1);
    }

    /// Waits until the edge is ready and control knows three shields that are.
    pub fn await_ready(&self) {
        let ready = self.edge_addrs()[1];
        await_that("the edge is ready", || {
            request(ready, "GET /api/ready", "Host: e\r\n", "").is_some_and(|heard| heard.0 == 200)
        });
        // What a status tells of the shields has been pushed; an edge that has not applied it yet chooses among fewer of
        // them, and its objects move once more.
        let settled = |n| {
            let status = self.status(n)?;
            let ready = status["shields"].as_array()?.iter().filter(|shield| shield["ready"] == true).count();
            let mut sessions = status["sessions"].as_array()?.iter();
            Some(ready == 3 && sessions.all(|session| session["applied"] == session["pushed"]))
        };
        await_that("all shields are ready, and known to be", || (1..EDGE).all(|n| settled(n) == Some(true)));
    }

    /// Waits until each session holds a lease: until then a shield's copies are not used, and reads of its objects go to
    /// another shield.
    pub fn await_leases(&self) {
        let holds_leases = |n| {
            let status = self.status(n)?;
            Some(status["sessions"].as_array()?.iter().all(|session| session["leased"] == true))
        };
        await_that("each session holds a lease", || (1..EDGE).all(|n| holds_leases(n) == Some(true)));
    }

    pub fn log(&self, n: u8) -> PathBuf {
        self.folder.join(format!("{n}.log"))
    }

    pub fn status(&self, n: u8) -> Option<serde_json::Value> {
        let (_, _, body) = request(self.control_addr(n), "GET /api/status", "Host: c\r\n", "")?;
        serde_json::from_str(&body).ok()
    }

    /// All given nodes know a view with so many members.
    pub fn await_chain(&self, nodes: &[u8], members: usize) {
        let stands = |n: &u8| {
            self.status(*n).is_some_and(|s| s["view"]["chain"].as_array().is_some_and(|c| c.len() == members))
        };
        await_that(&format!("a chain of {members} at {nodes:?}"), || nodes.iter().all(stands));
    }

    pub fn agents_at(&self, n: u8) -> Option<usize> {
        Some(self.status(n)?["sessions"].as_array()?.len())
    }

    pub fn losses(&self) -> usize {
        let lost = |n| std::fs::read_to_string(self.log(n)).unwrap().matches("peer disconnected").count();
        (1..EDGE).map(lost).sum()
    }
}
