//! What the scripts of this review share: a small deployment on loopback addresses, an operator, servers and clients.
//! It uses only the standard library.

use std::collections::HashMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The processes that this script has started, and the folder with their files.
static PROCESSES: Mutex<Vec<Process>> = Mutex::new(Vec::new());
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

/// Ends all processes that this script has started, and removes their files.
pub fn clean_up() {
    let mut processes = PROCESSES.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    for process in processes.iter_mut() {
        let _ = process.child.kill();
        let _ = process.child.wait();
    }
    processes.clear();
    if let Some(folder) = FOLDER.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).take() {
        let _ = std::fs::remove_dir_all(folder);
    }
}

/// Ends the script with status 2: the case could not run.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("cannot run: {reason}");
    clean_up();
    std::process::exit(2);
}

// ---- The record ----

/// The file `record.txt`, with the time since the start in front of each line.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>, Instant);

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).unwrap_or_else(|error| cannot_run(&format!("{}: {error}", path.display())));
        Record(Arc::new(Mutex::new(file)), Instant::now())
    }

    pub fn line(&self, text: &str) {
        let mut file = self.0.lock().unwrap();
        let _ = writeln!(file, "{:8.3} s  {text}", self.1.elapsed().as_secs_f64());
    }
}

// ---- HTTP ----

pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn length(&self) -> usize {
        self.get("content-length").and_then(|value| value.parse().ok()).unwrap_or(0)
    }

    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or("")
    }
}

/// A connection with the bytes that were read and not used yet.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn { stream, buffer: Vec::new() }
    }

    pub fn connect(addr: SocketAddrV4, timeout: Duration) -> std::io::Result<Conn> {
        let stream = TcpStream::connect_timeout(&SocketAddr::V4(addr), timeout)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(Conn::new(stream))
    }

    fn fill(&mut self) -> Option<usize> {
        let mut chunk = [0; 65536];
        let count = self.stream.read(&mut chunk).ok()?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Some(count)
    }

    pub fn read_head(&mut self) -> Option<Head> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first_line = lines.next()?.to_owned();
                let headers = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
                    .collect();
                return Some(Head { first_line, headers });
            }
            if self.fill()? == 0 {
                return None;
            }
        }
    }

    pub fn read_exact(&mut self, length: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return None;
            }
        }
        Some(self.buffer.drain(..length).collect())
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }
}

/// What a caller got.
pub struct Answer {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn seal(&self) -> Option<&str> {
        self.head.get("x-glenfall-seal")
    }
}

/// Sends a request and reads its answer. `None` if the connection ends or the time is over before the answer is complete.
pub fn exchange(conn: &mut Conn, head: &str, body: &[u8]) -> Option<Answer> {
    let text = if body.is_empty() && head.starts_with("GET ") {
        format!("{head}\r\n")
    } else {
        format!("{head}Content-Length: {}\r\n\r\n", body.len())
    };
    if !conn.write(text.as_bytes()) || !conn.write(body) {
        return None;
    }
    let head = conn.read_head()?;
    let status = head.word(1).parse().ok()?;
    let body = conn.read_exact(head.length())?;
    Some(Answer { status, head, body })
}

// ---- The deployment ----

pub struct Layout {
    pub cores: u8,
    pub edges: u8,
    pub core_mem_mb: u64,
    pub edge_mem_mb: u64,
}

struct Process {
    machine: u8,
    role: &'static str,
    child: Child,
}

pub struct System {
    pub layout: Layout,
    net: u8,
    port: u16,
    pub folder: PathBuf,
}

impl Drop for System {
    fn drop(&mut self) {
        clean_up();
    }
}

impl System {
    /// Starts a deployment with the commands of the deploy file.
    pub fn start(layout: Layout) -> System {
        let net = 20 + (std::process::id() % 200) as u8;
        let port = free_ports(net);
        let folder = std::env::temp_dir().join(format!("glenfall-review-{}-{port}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap_or_else(|error| cannot_run(&error.to_string()));
        let system = System { layout, net, port, folder };
        *FOLDER.lock().unwrap() = Some(system.folder.clone());
        for machine in 1..=system.layout.cores + system.layout.edges {
            system.write_settings(machine, true);
            for role in system.roles(machine) {
                system.spawn(machine, role);
            }
        }
        system
    }

    fn roles(&self, machine: u8) -> [&'static str; 2] {
        if machine <= self.layout.cores { ["shield", "control"] } else { ["edge", "agent"] }
    }

    fn spawn(&self, machine: u8, role: &'static str) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{machine}-{role}.log")))
            .unwrap_or_else(|error| cannot_run(&error.to_string()));
        let child = Command::new("target/release/glenfall")
            .arg(role)
            .env("GLENFALL_CONFIG", self.settings_file(machine))
            .stdin(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| cannot_run(&format!("target/release/glenfall: {error}")));
        PROCESSES.lock().unwrap().push(Process { machine, role, child });
    }

    /// The process id of a role on a machine.
    pub fn pid(&self, machine: u8, role: &str) -> u32 {
        let processes = PROCESSES.lock().unwrap();
        let process = processes.iter().find(|process| process.machine == machine && process.role == role);
        process.map_or(0, |process| process.child.id())
    }

    /// SIGKILL to one process, which is then started again.
    pub fn kill_and_restart(&self, machine: u8, role: &'static str, pause: Duration) {
        {
            let mut processes = PROCESSES.lock().unwrap();
            if let Some(index) = processes.iter().position(|p| p.machine == machine && p.role == role) {
                let mut process = processes.remove(index);
                let _ = process.child.kill();
                let _ = process.child.wait();
            }
        }
        thread::sleep(pause);
        self.spawn(machine, role);
    }

    /// SIGKILL to all processes, which are then started again, as the whole system no longer starts for the first time.
    pub fn kill_all_and_restart(&self, pause: Duration) {
        let killed: Vec<(u8, &'static str)> = {
            let mut processes = PROCESSES.lock().unwrap();
            for process in processes.iter_mut() {
                let _ = process.child.kill();
            }
            for process in processes.iter_mut() {
                let _ = process.child.wait();
            }
            processes.drain(..).map(|process| (process.machine, process.role)).collect()
        };
        thread::sleep(pause);
        for machine in 1..=self.layout.cores + self.layout.edges {
            self.write_settings(machine, false);
        }
        for (machine, role) in killed {
            self.spawn(machine, role);
        }
    }

    /// Whether a process has ended by itself.
    pub fn ended(&self) -> Vec<String> {
        let mut processes = PROCESSES.lock().unwrap();
        let ended = processes.iter_mut().filter_map(|process| {
            let status = process.child.try_wait().ok()??;
            Some(format!("{} on machine {}: {status}", process.role, process.machine))
        });
        ended.collect()
    }

    pub fn ip(&self, machine: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, 0, self.net, machine)
    }

    pub fn controls(&self) -> Vec<SocketAddrV4> {
        (1..=self.layout.cores).map(|machine| SocketAddrV4::new(self.ip(machine), self.port + 3)).collect()
    }

    pub fn edges(&self) -> Vec<SocketAddrV4> {
        let first = self.layout.cores + 1;
        (first..first + self.layout.edges)
            .map(|machine| SocketAddrV4::new(self.ip(machine), self.port + 4))
            .collect()
    }

    /// An address for a server.
    pub fn server_addr(&self, number: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(100 + number), self.port + 8)
    }

    fn settings_file(&self, machine: u8) -> PathBuf {
        self.folder.join(format!("{machine}.toml"))
    }

    fn write_settings(&self, machine: u8, bootstrap: bool) {
        let is_core = machine <= self.layout.cores;
        let (ip, port) = (self.ip(machine), self.port);
        let seeds: Vec<String> = self.controls().iter().take(3).map(|addr| format!("\"{addr}\"")).collect();
        let class = if is_core { "shield" } else { "edge" };
        let mem = if is_core { self.layout.core_mem_mb } else { self.layout.edge_mem_mb };
        let serves = if is_core { "[\"control\"]" } else { "[\"edge\"]" };
        let listeners = if is_core {
            format!("controlAddr = \"{ip}:{}\"", port + 3)
        } else {
            format!("http = \"{ip}:{}\"\nreadyAddr = \"{ip}:{}\"", port + 4, port + 5)
        };
        // An agent is reached by its edge at an address of its own machine.
        let text = format!(
            "node = \"{class}-{machine}\"\nrole = \"{class}\"\nmachineClass = \"{class}\"\nserves = {serves}\n\
             bindIp = \"{ip}\"\nfeedIp = \"{ip}\"\nzone = \"hall-{}\"\nregion = \"north\"\n\
             portRange = [{port}, {}]\nseedNodes = [{}]\nbootstrap = {bootstrap}\nvoter = {is_core}\n\
             discovery = \"self_register\"\nentry = \"vip\"\nbeatMs = 1500\nstateDir = \"{}\"\n\
             guarantees = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"cache\"]\n\
             [listeners]\n{listeners}\n\
             [reqLimits]\ncpuShare = 0.6\ncpuCores = 1\nmemMb = {mem}\nmaxFds = 4096\nlinkMbps = 1000.0\ndiskMb = 256\n\
             [survive]\nhosts = 1\nzoneMap = 0\nregions = 0\n\
             [timing]\nseedLagS = 3\nreuseS = 2\ncontactMs = 4000\nackMs = 5000\nsyncS = 4\ndrainMs = 3000\n\
             graceS = 6\nlossSlackMs = 200\napplyMs = 3000\nrevertMs = 250\nstretchMs = 12000\nretryRatio = 0.2\n\
             retryWindowS = 10\nretrySlack = 60\npurgeMs = 2000\nstaleS = 2\nceilingWindowS = 5\nceilingOver = 1.1\n\
             recoverS = 15\n",
            machine % 3 + 1,
            port + 2,
            seeds.join(", "),
            self.folder.join(format!("state-{machine}")).display(),
        );
        std::fs::write(self.settings_file(machine), text).unwrap_or_else(|error| cannot_run(&error.to_string()));
    }

    // ---- The operator ----

    /// Sends an order to the control nodes in turn until one gives a clear answer; the status.
    pub fn order(&self, request: &str, extra: &str, body: &str, limit: Duration) -> Option<u16> {
        let started = Instant::now();
        while started.elapsed() < limit {
            for control in self.controls() {
                let head = format!(
                    "{request} HTTP/1.1\r\nHost: {control}\r\nContent-Type: application/json\r\n{extra}"
                );
                let answer = Conn::connect(control, Duration::from_secs(1))
                    .ok()
                    .and_then(|mut conn| exchange(&mut conn, &head, body.as_bytes()));
                match answer {
                    Some(answer) if answer.status < 500 => return Some(answer.status),
                    _ => thread::sleep(Duration::from_millis(100)),
                }
            }
        }
        None
    }

    pub fn put_config(&self, base: u64, body: &str) {
        let extra = format!("If-Match: {base}\r\n");
        match self.order("PUT /api/config", &extra, body, Duration::from_secs(25)) {
            Some(200) => {}
            other => cannot_run(&format!("the configuration was not taken: {other:?}")),
        }
    }

    /// Waits until each edge answers a request with this status.
    pub fn wait_until_served(&self, host: &str, path: &str) {
        let started = Instant::now();
        for edge in self.edges() {
            loop {
                let answer = Conn::connect(edge, Duration::from_secs(2))
                    .ok()
                    .and_then(|mut conn| exchange(&mut conn, &client_head("GET", path, host, &new_id(), 1000), b""));
                if answer.is_some_and(|answer| answer.status == 200) {
                    break;
                }
                if started.elapsed() > Duration::from_secs(25) {
                    cannot_run("the system did not come up");
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
    }
}

/// The first of ten ports that are free at all addresses of a script, below those that the system gives to outgoing
/// connections.
fn free_ports(net: u8) -> u16 {
    for attempt in 0..200 {
        let first = 10_000 + ((std::process::id() * 37 + attempt * 53) % 20_000) as u16;
        let addresses = (1..=8).chain(100..=104).map(|last| Ipv4Addr::new(127, 0, net, last));
        let all: Vec<_> = addresses
            .flat_map(|ip| (first..first + 10).map(move |port| TcpListener::bind((ip, port))))
            .collect();
        if all.iter().all(Result::is_ok) {
            return first;
        }
    }
    cannot_run("no free ports")
}

// ---- Clients ----

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A new id for a try.
pub fn new_id() -> String {
    format!("{:08x}{:08x}", std::process::id(), NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

pub fn client_head(method: &str, path: &str, host: &str, id: &str, deadline_ms: u64) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Glenfall-Try-Id: {id}\r\nX-Glenfall-Deadline: {deadline_ms}\r\n"
    )
}

// ---- Servers ----

/// A request that a server works on.
pub struct ServerRequest {
    pub method: String,
    pub path: String,
    pub id: String,
    pub head: Head,
    pub number: u64,
}

/// Answers one request whose head was read; the body is still unread. False ends the connection.
pub type Behaviour = dyn Fn(&ServerRequest, &mut Conn) -> bool + Send + Sync;

pub struct Server {
    pub id: String,
    stop: Arc<AtomicBool>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// Starts a server, which registers itself.
pub fn start_server(
    id: &str,
    service: &str,
    zone: &str,
    capacity: u32,
    addr: SocketAddrV4,
    controls: Vec<SocketAddrV4>,
    behaviour: Arc<Behaviour>,
) -> Server {
    let listener = TcpListener::bind(addr).unwrap_or_else(|error| cannot_run(&format!("{addr}: {error}")));
    let stop = Arc::new(AtomicBool::new(false));
    let numbers = Arc::new(AtomicU64::new(0));
    let (own_id, stopping) = (id.to_owned(), Arc::clone(&stop));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if stopping.load(Ordering::Relaxed) {
                return;
            }
            let (own_id, behaviour, numbers) = (own_id.clone(), Arc::clone(&behaviour), Arc::clone(&numbers));
            thread::spawn(move || serve(&own_id, Conn::new(stream), &*behaviour, &numbers));
        }
    });
    let (own_id, service, zone, stopping) = (id.to_owned(), service.to_owned(), zone.to_owned(), Arc::clone(&stop));
    thread::spawn(move || {
        let mut target = 0;
        for seq in 1.. {
            if stopping.load(Ordering::Relaxed) {
                return;
            }
            let body = format!(
                "{{\"backend\":\"{service}\",\"addr\":\"{addr}\",\"zone\":\"{zone}\",\"rev\":\"v1\",\
                 \"capacity\":{capacity},\"status\":\"ready\",\"warmupLeftMs\":0,\"callSeq\":{seq}}}"
            );
            let control = controls[target % controls.len()];
            let head = format!(
                "PUT /api/servers/{own_id} HTTP/1.1\r\nHost: {control}\r\nContent-Type: application/json\r\n"
            );
            let answer = Conn::connect(control, Duration::from_secs(1))
                .ok()
                .and_then(|mut conn| exchange(&mut conn, &head, body.as_bytes()));
            if answer.is_some_and(|answer| answer.status == 200) {
                thread::sleep(Duration::from_millis(1500));
            } else {
                target += 1;
                thread::sleep(Duration::from_millis(100));
            }
        }
    });
    Server { id: id.to_owned(), stop }
}

fn serve(own_id: &str, mut conn: Conn, behaviour: &Behaviour, numbers: &AtomicU64) {
    let _ = conn.stream.set_read_timeout(Some(Duration::from_secs(30)));
    while let Some(head) = conn.read_head() {
        let id = head.get("x-glenfall-try-id").unwrap_or("").to_owned();
        let wanted = head.get("x-glenfall-want-server").unwrap_or(own_id).to_owned();
        if head.word(1) == "/health" {
            let text = format!("HTTP/1.1 200 OK\r\nX-Glenfall-Server-Id: {own_id}\r\nContent-Length: 0\r\n\r\n");
            if !conn.write(text.as_bytes()) {
                return;
            }
            continue;
        }
        if wanted != own_id {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Glenfall-Not-Run: 1\r\nX-Glenfall-Try-Id: {id}\r\n\
                 Connection: close\r\nContent-Length: 0\r\n\r\n"
            );
            conn.write(text.as_bytes());
            return;
        }
        let request = ServerRequest {
            method: head.word(0).to_owned(),
            path: head.word(1).to_owned(),
            id,
            head,
            number: numbers.fetch_add(1, Ordering::Relaxed),
        };
        if !behaviour(&request, &mut conn) {
            return;
        }
    }
}

/// The runs of requests at servers, by the id of the try.
#[derive(Default)]
pub struct Runs(pub Mutex<HashMap<String, Vec<String>>>);

impl Runs {
    pub fn add(&self, id: &str, server: &str) {
        self.0.lock().unwrap().entry(id.to_owned()).or_default().push(server.to_owned());
    }

    pub fn of(&self, id: &str) -> Vec<String> {
        self.0.lock().unwrap().get(id).cloned().unwrap_or_default()
    }
}

/// Whether the disruption takes place: not with `TROUBLE=0`.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
