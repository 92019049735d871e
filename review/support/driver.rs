//! Driver of the scripted review cases: starts the programs of the deploy file on loopback, plays clients, servers and
//! the operator, and judges one rule by what these have seen. Uses the standard library only.
//!
//!     driver CASE PROGRAM RECORD
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

type Failure = String;

/// The longest time that a case may take, with a margin below the limit of 120 s.
const CASE_LIMIT: Duration = Duration::from_secs(110);
/// Figures of the site `przelewik-edge-grown`.
const BEAT_MS: u64 = 1500;
const CONTACT_MS: u64 = 5000;
const DRAIN_MS: u64 = 4000;
const PURGE_MS: u64 = 2000;
const LEAD: Duration = Duration::from_secs(10);
const HOST: &str = "ficu95.example";

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

// ---- record ----

#[derive(Clone)]
struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    fn create(path: &str) -> std::io::Result<Record> {
        Ok(Record { file: Arc::new(Mutex::new(File::create(path)?)), started: Instant::now() })
    }

    fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64()
    }

    fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.seconds(Instant::now()));
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// A line that is also printed.
    fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

// ---- HTTP ----

struct Message {
    /// The request line or the status line.
    first: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| &value[..])
    }

    fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn read_line(stream: &mut impl Read) -> std::io::Result<String> {
    let mut line = Vec::new();
    let mut byte = [0];
    loop {
        stream.read_exact(&mut byte)?;
        match byte[0] {
            b'\n' => return Ok(String::from_utf8_lossy(&line).trim_end().to_owned()),
            other => line.push(other),
        }
        if line.len() > 65_536 {
            return Err(std::io::ErrorKind::InvalidData.into());
        }
    }
}

/// Reads a message whose body has a length or comes in chunks.
fn read_message(stream: &mut impl Read) -> std::io::Result<Message> {
    let first = read_line(stream)?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(stream)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or(std::io::ErrorKind::InvalidData)?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
    let mut message = Message { first, headers, body: Vec::new() };
    if message.status() == 304 {
        return Ok(message);
    }
    if message.header("transfer-encoding").is_some() {
        loop {
            let line = read_line(stream)?;
            let length = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
                .map_err(|_| std::io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; length];
            stream.read_exact(&mut chunk)?;
            message.body.extend(chunk);
            read_line(stream)?;
            if length == 0 {
                return Ok(message);
            }
        }
    }
    let length = message.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    stream.read_exact(&mut message.body)?;
    Ok(message)
}

/// Sends one request on a new connection and reads the answer.
fn call(
    addr: SocketAddrV4,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    limit: Duration,
) -> std::io::Result<Message> {
    let deadline = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&SocketAddr::V4(addr), limit)?;
    stream.set_nodelay(true)?;
    let left = deadline.saturating_duration_since(Instant::now()).max(ms(1));
    stream.set_read_timeout(Some(left))?;
    stream.set_write_timeout(Some(left))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method != "GET" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    read_message(&mut std::io::BufReader::new(stream))
}

// ---- the system ----

struct Process {
    machine: usize,
    role: &'static str,
    child: Child,
}

struct System {
    record: Record,
    program: PathBuf,
    folder: PathBuf,
    network: u8,
    first_port: u16,
    cores: usize,
    edges: usize,
    survive: usize,
    processes: Vec<Process>,
}

impl Drop for System {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            println!("kept: {}", self.folder.display());
        }
    }
}

/// The first of 24 ports that are free on loopback.
fn free_ports() -> Result<u16, Failure> {
    for attempt in 0..200u32 {
        let first = 20_000 + ((std::process::id() * 31 + attempt * 97) % 400) as u16 * 25;
        let listeners: Vec<_> =
            (0..24).map(|offset| TcpListener::bind((Ipv4Addr::LOCALHOST, first + offset))).collect();
        if listeners.iter().all(Result::is_ok) {
            return Ok(first);
        }
    }
    Err("no free ports".into())
}

const ZONES: [&str; 4] = ["wola-hall", "mokotow-hall", "praga-hall", "ursus-hall"];

impl System {
    fn start(
        record: &Record,
        program: &str,
        cores: usize,
        edges: usize,
        survive: usize,
    ) -> Result<System, Failure> {
        let first_port = free_ports()?;
        let folder =
            std::env::temp_dir().join(format!("glenfall-review-{}-{first_port}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let mut system = System {
            record: record.clone(),
            program: Path::new(program).canonicalize().map_err(|error| format!("{program}: {error}"))?,
            folder,
            network: 20 + (std::process::id() % 200) as u8,
            first_port,
            cores,
            edges,
            survive,
            processes: Vec::new(),
        };
        for machine in 1..=cores + edges {
            system.write_settings(machine)?;
            for role in system.roles(machine) {
                let child = system.spawn(machine, role)?;
                system.processes.push(Process { machine, role, child });
            }
        }
        record.line(&format!("system: {cores} core machines, {edges} edges, survive {survive}"));
        Ok(system)
    }

    fn roles(&self, machine: usize) -> [&'static str; 2] {
        if machine <= self.cores {
            ["shield", "control"]
        } else {
            ["edge", "agent"]
        }
    }

    fn ip(&self, machine: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, 0, self.network, machine as u8)
    }

    fn zone(&self, machine: usize) -> &'static str {
        ZONES[machine % ZONES.len()]
    }

    fn control(&self, machine: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(machine), self.first_port + 16)
    }

    fn controls(&self) -> Vec<SocketAddrV4> {
        (1..=self.cores).map(|machine| self.control(machine)).collect()
    }

    /// The `http` address of an edge, numbered from 0.
    fn edge(&self, number: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(self.cores + 1 + number), self.first_port + 17)
    }

    fn name(&self, machine: usize) -> String {
        let class = if machine <= self.cores { "shield" } else { "edge" };
        format!("{class}-{}-{machine}", self.zone(machine))
    }

    fn settings_file(&self, machine: usize) -> PathBuf {
        self.folder.join(format!("{}.toml", self.name(machine)))
    }

    fn write_settings(&self, machine: usize) -> Result<(), Failure> {
        let is_core = machine <= self.cores;
        let (class, serves) = if is_core { ("shield", "control") } else { ("edge", "edge") };
        let seeds: Vec<String> =
            (1..=self.cores.min(3)).map(|core| format!("\"{}\"", self.control(core))).collect();
        let (ip, port) = (self.ip(machine), self.first_port);
        let state = self.folder.join(format!("state-{machine}"));
        let state = if is_core { format!("stateDir = \"{}\"\n", state.display()) } else { String::new() };
        let listeners = match is_core {
            true => format!("controlAddr = \"{ip}:{}\"\n", port + 16),
            false => format!("http = \"{ip}:{}\"\nreadyAddr = \"{ip}:{}\"\n", port + 17, port + 18),
        };
        let (memory, disk) = if is_core { (256, 256) } else { (160, 0) };
        // `feedIp` is needed as all machines share one loopback interface.
        let text = format!(
            "node = \"{}\"\nrole = \"my-{class}\"\nmachineClass = \"{class}\"\nserves = [\"{serves}\"]\n\
             bindIp = \"{ip}\"\nfeedIp = \"{ip}\"\nzone = \"{}\"\nregion = \"warszawa\"\nportRange = [{port},{}]\n\
             seedNodes = [{}]\nbootstrap = true\nvoter = {is_core}\n{state}discovery = \"self_register\"\n\
             entry = \"vip\"\nbeatMs = {BEAT_MS}\nguarantees = [\"base\",\"drain\",\"config\",\"cost\",\"cache\"]\n\
             [zoneMap]\nwola-hall = \"warszawa\"\nmokotow-hall = \"warszawa\"\npraga-hall = \"warszawa\"\n\
             ursus-hall = \"warszawa\"\n[listeners]\n{listeners}[reqLimits]\ncpuShare = 0.6\ncpuCores = 1\n\
             memMb = {memory}\nmaxFds = 4096\nlinkMbps = 1000.0\ndiskMb = {disk}\n[survive]\nhosts = {}\nzoneMap = 0\n\
             regions = 0\n[timing]\nseedLagS = 3\nreuseS = 2\ncontactMs = {CONTACT_MS}\nackMs = 6000\nsyncS = 6\n\
             drainMs = {DRAIN_MS}\ngraceS = 6\nlossSlackMs = 200\napplyMs = 4000\nrevertMs = 250\nstretchMs = 15000\n\
             retryRatio = 0.2\nretryWindowS = 10\nretrySlack = 220\npurgeMs = {PURGE_MS}\nstaleS = 2\n\
             ceilingWindowS = 5\nceilingOver = 1.1\nrecoverS = 15\n",
            self.name(machine),
            self.zone(machine),
            port + 15,
            seeds.join(","),
            self.survive,
        );
        std::fs::write(self.settings_file(machine), text).map_err(|error| error.to_string())
    }

    fn spawn(&self, machine: usize, role: &str) -> Result<Child, Failure> {
        let log = self.folder.join(format!("{}-{role}.log", self.name(machine)));
        let log = File::options().create(true).append(true).open(log).map_err(|error| error.to_string())?;
        let out = log.try_clone().map_err(|error| error.to_string())?;
        Command::new(&self.program)
            .arg(role)
            .env("GLENFALL_CONFIG", self.settings_file(machine))
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(log)
            .spawn()
            .map_err(|error| format!("{role}: {error}"))
    }

    /// Kills all processes of the core machines with SIGKILL.
    fn kill_core(&mut self) {
        let cores = self.cores;
        for process in self.processes.iter_mut().filter(|process| process.machine <= cores) {
            let _ = process.child.kill();
        }
        for process in self.processes.iter_mut().filter(|process| process.machine <= cores) {
            let _ = process.child.wait();
        }
        self.record.line("SIGKILL to all processes of the core; disks are kept");
    }

    /// Sends a signal (`STOP` or `CONT`) to both processes of a machine.
    fn signal(&self, machine: usize, name: &str) -> Result<(), Failure> {
        for process in self.processes.iter().filter(|process| process.machine == machine) {
            let id = process.child.id().to_string();
            let status = Command::new("kill").args([&format!("-{name}"), &id]).status();
            if !status.is_ok_and(|status| status.success()) {
                return Err(format!("kill -{name} failed"));
            }
        }
        self.record.line(&format!("SIG{name} to both processes of machine {machine}"));
        Ok(())
    }

    /// Starts the processes that have ended.
    fn restart(&mut self) -> Result<(), Failure> {
        for index in 0..self.processes.len() {
            let (machine, role) = (self.processes[index].machine, self.processes[index].role);
            if self.processes[index].child.try_wait().map_err(|error| error.to_string())?.is_some() {
                self.processes[index].child = self.spawn(machine, role)?;
            }
        }
        self.record.line("all processes run again");
        Ok(())
    }

    /// Fails if a process has ended by itself.
    fn check_running(&mut self) -> Result<(), Failure> {
        for process in &mut self.processes {
            if let Ok(Some(status)) = process.child.try_wait() {
                return Err(format!("{} of machine {} ended: {status}", process.role, process.machine));
            }
        }
        Ok(())
    }

    /// Waits until all edges say that they are ready.
    fn wait_until_ready(&self, limit: Duration) -> Result<(), Failure> {
        let deadline = Instant::now() + limit;
        for number in 0..self.edges {
            let ready = SocketAddrV4::new(*self.edge(number).ip(), self.first_port + 18);
            loop {
                let host = [("Host", "platform".to_owned())];
                if call(ready, "GET", "/api/ready", &host, b"", ms(500))
                    .is_ok_and(|answer| answer.status() == 200)
                {
                    break;
                }
                if Instant::now() > deadline {
                    return Err(format!("edge {number} is not ready"));
                }
                sleep(ms(100));
            }
        }
        self.record.line("all edges are ready");
        Ok(())
    }
}

// ---- the operator ----

/// Sends an order to one node after the other until an answer is clear. Returns the status and when it came.
fn order(
    record: &Record,
    controls: &[SocketAddrV4],
    (method, path, if_match): (&str, &str, Option<u64>),
    body: &str,
    limit: Duration,
) -> Result<Instant, Failure> {
    let deadline = Instant::now() + limit;
    let mut pause = ms(50);
    for control in controls.iter().cycle() {
        let mut headers =
            vec![("Host", control.to_string()), ("Content-Type", "application/json".to_owned())];
        if let Some(version) = if_match {
            headers.push(("If-Match", version.to_string()));
        }
        let answer = call(*control, method, path, &headers, body.as_bytes(), ms(1000));
        let status = answer.map_or(0, |answer| answer.status());
        record.line(&format!("operator: {method} {path} {body:.90} -> {status}"));
        match status {
            200..=299 => return Ok(Instant::now()),
            400..=499 if status != 408 && status != 429 => return Err(format!("{method} {path}: {status}")),
            _ => {}
        }
        if Instant::now() > deadline {
            break;
        }
        sleep(pause);
        pause = (pause * 2).min(ms(400));
    }
    Err(format!("{method} {path}: no clear answer"))
}

// ---- servers ----

/// A request that a server has run.
#[derive(Clone)]
struct Run {
    at: Instant,
    try_id: String,
    path: String,
}

struct Server {
    id: String,
    service: &'static str,
    addr: SocketAddrV4,
    zone: &'static str,
    work: Duration,
    /// How many times as long the work takes.
    slow: AtomicU64,
    /// Versions of objects by path, common to the servers of a service; 1 if missing.
    versions: Arc<Mutex<HashMap<String, u64>>>,
    tag: &'static str,
    call_seq: AtomicU64,
    beats: AtomicBool,
    /// Whether the server has ended: it answers nothing more, and nothing listens at its address.
    ended: AtomicBool,
    runs: Mutex<Vec<Run>>,
    record: Record,
}

fn start_server(
    record: &Record,
    id: &str,
    service: &'static str,
    ip: Ipv4Addr,
    work: Duration,
    versions: &Arc<Mutex<HashMap<String, u64>>>,
    controls: &[SocketAddrV4],
) -> Result<Arc<Server>, Failure> {
    let listener = TcpListener::bind((ip, 0)).map_err(|error| error.to_string())?;
    let port = listener.local_addr().map_err(|error| error.to_string())?.port();
    let server = Arc::new(Server {
        id: id.to_owned(),
        service,
        addr: SocketAddrV4::new(ip, port),
        zone: ZONES[ip.octets()[3] as usize % ZONES.len()],
        work,
        slow: AtomicU64::new(1),
        versions: Arc::clone(versions),
        tag: "t03a9f1",
        call_seq: AtomicU64::new(0),
        beats: AtomicBool::new(true),
        ended: AtomicBool::new(false),
        runs: Mutex::default(),
        record: record.clone(),
    });
    listener.set_nonblocking(true).map_err(|error| error.to_string())?;
    let accepting = Arc::clone(&server);
    spawn(move || {
        while !accepting.ended.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let server = Arc::clone(&accepting);
                    let _ = stream.set_nonblocking(false);
                    spawn(move || server.serve(stream));
                }
                Err(_) => sleep(ms(1)),
            }
        }
    });
    let (beating, controls) = (Arc::clone(&server), controls.to_vec());
    spawn(move || {
        while beating.beats.load(Ordering::SeqCst) {
            beating.beat(&controls);
            sleep(ms(BEAT_MS));
        }
    });
    Ok(server)
}

impl Server {
    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else { return };
        let mut reading = std::io::BufReader::new(reading);
        while let Ok(request) = read_message(&mut reading) {
            let answer = self.answer(&request);
            if self.ended.load(Ordering::SeqCst) || stream.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let mut words = request.first.split(' ');
        let (method, path) = (words.next().unwrap_or("").to_owned(), words.next().unwrap_or("").to_owned());
        let try_id = request.header("x-glenfall-try-id").unwrap_or("").to_owned();
        let id = format!("X-Glenfall-Server-Id: {}\r\nX-Glenfall-Try-Id: {try_id}\r\n", self.id);
        if path == "/health" {
            return format!("HTTP/1.1 200 OK\r\n{id}Content-Length: 0\r\n\r\n").into_bytes();
        }
        if request.header("x-glenfall-want-server").is_some_and(|wanted| wanted != self.id) {
            self.record.line(&format!("{}: {path} {try_id} 421", self.id));
            return format!(
                "HTTP/1.1 421 Misdirected\r\nX-Glenfall-Not-Run: 1\r\n{id}Content-Length: 0\r\n\r\n"
            )
            .into_bytes();
        }
        self.runs.lock().unwrap().push(Run {
            at: Instant::now(),
            try_id: try_id.clone(),
            path: path.clone(),
        });
        // The version is that at the begin of the work.
        let version = self.versions.lock().unwrap().get(&path).copied().unwrap_or(1);
        let work = self.work * self.slow.load(Ordering::SeqCst) as u32;
        let deadline =
            request.header("x-glenfall-deadline").and_then(|value| value.parse().ok()).unwrap_or(60_000);
        let seal = format!("X-Glenfall-Seal: {}.{version}.{try_id}\r\n", self.id);
        if work > ms(deadline) {
            sleep(ms(deadline));
            return format!("HTTP/1.1 504 Late\r\n{id}{seal}Content-Length: 0\r\n\r\n").into_bytes();
        }
        sleep(work);
        self.record.line(&format!("{}: {method} {path} {try_id} run, version {version}", self.id));
        let etag = format!("\"{}-{version}\"", self.service);
        let object = match method == "GET" {
            true => format!("ETag: {etag}\r\nX-Glenfall-Tags: {}\r\n", self.tag),
            false => String::new(),
        };
        if method == "GET" && request.header("if-none-match") == Some(&etag) {
            return format!("HTTP/1.1 304 Not Modified\r\n{id}{object}\r\n").into_bytes();
        }
        let body = format!("version {version} of {path}\n");
        format!("HTTP/1.1 200 OK\r\n{id}{seal}{object}Content-Length: {}\r\n\r\n{body}", body.len())
            .into_bytes()
    }

    fn beat_body(&self) -> String {
        let sequence = self.call_seq.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            "{{\"backend\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"rev\":\"v1\",\"capacity\":32,\
             \"status\":\"ready\",\"warmupLeftMs\":0,\"callSeq\":{sequence}}}",
            self.service, self.addr, self.zone
        )
    }

    fn path(&self) -> String {
        format!("/api/servers/{}", self.id)
    }

    /// Sends a beat to the first node that acknowledges it within a second.
    fn beat(&self, controls: &[SocketAddrV4]) -> bool {
        controls.iter().any(|control| {
            let headers = [("Host", control.to_string()), ("Content-Type", "application/json".to_owned())];
            call(*control, "PUT", &self.path(), &headers, self.beat_body().as_bytes(), ms(1000))
                .is_ok_and(|answer| (200..300).contains(&answer.status()))
        })
    }

    /// Sends `DELETE` until a node acknowledges it. Returns when the acknowledgement came.
    fn deregister(&self, controls: &[SocketAddrV4]) -> Result<Instant, Failure> {
        order(&self.record, controls, ("DELETE", &self.path(), None), "", ms(6000))
    }
}

// ---- clients ----

static TRY_NUMBER: AtomicU64 = AtomicU64::new(1);

/// One try of a client at an edge.
fn request(
    edge: SocketAddrV4,
    host: &str,
    method: &str,
    path: &str,
    deadline_ms: u64,
) -> (String, Option<Message>) {
    let number = TRY_NUMBER.fetch_add(1, Ordering::SeqCst);
    let try_id = format!("{:08x}{number:08x}", std::process::id());
    let headers = [
        ("Host", host.to_owned()),
        ("X-Glenfall-Try-Id", try_id.clone()),
        ("X-Glenfall-Deadline", deadline_ms.to_string()),
    ];
    let body: &[u8] = if method == "POST" { b"amount=1" } else { b"" };
    (try_id, call(edge, method, path, &headers, body, ms(deadline_ms)).ok())
}

/// The version of the object in a successful answer.
fn version_of(answer: &Option<Message>) -> Option<u64> {
    let answer = answer.as_ref().filter(|answer| answer.status() == 200)?;
    answer.header("x-glenfall-seal")?;
    answer.text().split(' ').nth(1)?.parse().ok()
}

fn describe(answer: &Option<Message>) -> String {
    match answer {
        Some(answer) => format!("{} {}", answer.status(), answer.text().trim_end()),
        None => "no answer".into(),
    }
}

/// Sends the first configuration until it is taken.
fn configure(record: &Record, system: &System, paths: &str, backends: &str) -> Result<(), Failure> {
    let body = format!(
        "{{\"rev\":1,\"paths\":[{paths}],\"backends\":[{backends}],\"reqLimits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    );
    order(record, &system.controls(), ("PUT", "/api/config", Some(0)), &body, ms(20_000)).map(drop)
}

fn backend(name: &str) -> String {
    // As in the site, only the content store has a limit of its rate.
    let rate = if name == "stawki" { ",\"ratePerS\":280.0" } else { "" };
    format!(
        "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":93,\"protocol\":\"h1\",\"useTls\":false{rate}}}"
    )
}

const FEE_SHEET: &str = "{\"name\":\"fee-sheet\",\"hostname\":\"ficu95.example\",\"pathPrefix\":\"/pufi791/\",\
    \"type\":\"cacheable\",\"deadlineMs\":6000,\"targetMs\":600,\"prio\":1,\"backend\":\"stawki\",\"tries\":2,\
    \"maxAgeS\":20.0}";
const PAYOUT_ORDER: &str = "{\"name\":\"payout-order\",\"hostname\":\"ficu95.example\",\"pathPrefix\":\"/pule252/\",\
    \"type\":\"mutating\",\"deadlineMs\":3000,\"targetMs\":800,\"prio\":1,\"backend\":\"przelew-core\",\"tries\":2}";

// ---- case: purge of an object that clients read with a port in `Host` ----

fn purge_host(record: &Record, program: &str, trouble: bool) -> Result<bool, Failure> {
    let started = Instant::now();
    let mut system = System::start(record, program, 3, 2, 1)?;
    let versions = Arc::new(Mutex::new(HashMap::new()));
    let mut servers = Vec::new();
    for number in 0..2 {
        let id = format!("i-stawki-{number}");
        let ip = system.ip(101 + number);
        servers.push(start_server(record, &id, "stawki", ip, ms(71), &versions, &system.controls())?);
    }
    configure(record, &system, FEE_SHEET, &backend("stawki"))?;
    system.wait_until_ready(ms(30_000))?;
    sleep((started + LEAD).saturating_duration_since(Instant::now()));
    let edges = [system.edge(0), system.edge(1)];
    let hosts = [format!("{HOST}:{}", edges[0].port()), HOST.to_owned()];
    let paths = ["/pufi791/with-port", "/pufi791/without-port"];
    for (host, path) in hosts.iter().zip(paths) {
        for edge in edges {
            let (try_id, answer) = request(edge, host, "GET", path, 6000);
            record.line(&format!(
                "client at {edge}: GET {path}, Host {host}, {try_id} -> {}",
                describe(&answer)
            ));
            if version_of(&answer) != Some(1) {
                return Err("the first reads were not served".into());
            }
        }
    }
    sleep(ms(1000));
    let mut acknowledged = Instant::now();
    let mut current = 1;
    if trouble {
        current = 2;
        for path in paths {
            versions.lock().unwrap().insert(path.to_owned(), 2);
        }
        record.line("the servers have version 2 of both objects");
        sleep(ms(100));
        for path in paths {
            let body = format!("{{\"hostname\":\"{HOST}\",\"urlPath\":\"{path}\"}}");
            acknowledged = order(record, &system.controls(), ("POST", "/api/purge", None), &body, ms(6000))?;
        }
    }
    let (mut stale, mut reads) = (BTreeMap::new(), 0);
    while acknowledged.elapsed() < ms(PURGE_MS + 12_000) {
        sleep(ms(250));
        for (host, path) in hosts.iter().zip(paths) {
            for edge in edges {
                let sent = Instant::now();
                let (try_id, answer) = request(edge, host, "GET", path, 6000);
                let late = sent.saturating_duration_since(acknowledged);
                record.line(&format!(
                    "client at {edge}: GET {path}, Host {host}, {try_id}, {:.3} s after the ack -> {}",
                    late.as_secs_f64(),
                    describe(&answer)
                ));
                if late > ms(PURGE_MS) {
                    reads += 1;
                    if version_of(&answer).is_some_and(|version| version < current) {
                        *stale.entry(host.clone()).or_insert(0) += 1;
                    }
                }
            }
        }
    }
    system.check_running()?;
    record.say(&format!(
        "{reads} reads later than purgeMs after the ack; with a replaced version, by Host: {stale:?}"
    ));
    Ok(stale.is_empty())
}

// ---- case: a late beat after a deregistration, with a kill of the core between ----

/// A relay that takes one request and delivers it to a control node only when it is released.
fn delaying_relay(
    record: &Record,
    target: SocketAddrV4,
    ip: Ipv4Addr,
    released: &Arc<AtomicBool>,
) -> Result<SocketAddrV4, Failure> {
    let listener = TcpListener::bind((ip, 0)).map_err(|error| error.to_string())?;
    let port = listener.local_addr().map_err(|error| error.to_string())?.port();
    let (record, released) = (record.clone(), Arc::clone(released));
    spawn(move || {
        let Ok((stream, _)) = listener.accept() else { return };
        let Ok(message) = read_message(&mut std::io::BufReader::new(stream)) else { return };
        let taken = Instant::now();
        while !released.load(Ordering::SeqCst) {
            sleep(ms(10));
        }
        let mut words = message.first.split(' ');
        let (method, path) = (words.next().unwrap_or("").to_owned(), words.next().unwrap_or("").to_owned());
        let headers = [("Host", target.to_string()), ("Content-Type", "application/json".to_owned())];
        let answer = call(target, &method, &path, &headers, &message.body, ms(1000));
        record.say(&format!(
            "the late beat {} arrived {:.1} s after it was sent -> {}",
            message.text(),
            taken.elapsed().as_secs_f64(),
            answer.map_or(0, |answer| answer.status())
        ));
    });
    Ok(SocketAddrV4::new(ip, port))
}

fn late_beat(record: &Record, program: &str, trouble: bool) -> Result<bool, Failure> {
    let started = Instant::now();
    let mut system = System::start(record, program, 3, 2, 1)?;
    let controls = system.controls();
    let versions = Arc::default();
    let mut servers = Vec::new();
    for number in 0..4 {
        let id = format!("i-core-{number}");
        let ip = system.ip(101 + number);
        servers.push(start_server(record, &id, "przelew-core", ip, ms(170), &versions, &controls)?);
    }
    configure(record, &system, PAYOUT_ORDER, &backend("przelew-core"))?;
    system.wait_until_ready(ms(30_000))?;
    sleep((started + LEAD).saturating_duration_since(Instant::now()));

    // Clients send a little traffic all the time.
    let stopped = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<HashMap<String, (Instant, u16)>>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..12 {
        let (edge, stopped, sent, record) =
            (system.edge(number % 2), Arc::clone(&stopped), Arc::clone(&sent), record.clone());
        clients.push(spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                let begun = Instant::now();
                let (try_id, answer) = request(edge, HOST, "POST", "/pule252/2f", 3000);
                let status = answer.map_or(0, |answer| answer.status());
                record.line(&format!("client at {edge}: POST /pule252/2f {try_id} -> {status}"));
                sent.lock().unwrap().insert(try_id, (begun, status));
                sleep(ms(30));
            }
        }));
    }
    sleep(ms(3000));
    let leaving = Arc::clone(&servers[0]);
    if leaving.runs.lock().unwrap().is_empty() {
        return Err("the server got no requests before it left".into());
    }

    // Its last beat is held up on its way. As it is not acknowledged within a second, the server calls the next node;
    // then it deregisters first, and serves on.
    leaving.beats.store(false, Ordering::SeqCst);
    sleep(ms(1600));
    let released = Arc::new(AtomicBool::new(false));
    let relay = delaying_relay(record, controls[1], system.ip(120), &released)?;
    record.line(&format!("{}: sends a beat that is held up", leaving.id));
    leaving.beat(&[relay, controls[2]]);
    let acknowledged = leaving.deregister(&controls)?;
    record.say(&format!("{}: DELETE acknowledged", leaving.id));
    sleep(ms(200));
    if trouble {
        system.kill_core();
        sleep(ms(300));
        system.restart()?;
    }
    let settled = Instant::now();
    sleep(ms(3000));
    released.store(true, Ordering::SeqCst);
    sleep(ms(5000));
    leaving.ended.store(true, Ordering::SeqCst);
    record.say(&format!(
        "{}: ends, {:.1} s after the ack of its DELETE",
        leaving.id,
        acknowledged.elapsed().as_secs_f64()
    ));
    sleep(ms(4000));
    let first = Departure { server: leaving, acknowledged, settled };

    // The second way, without a late beat: an edge machine stands still while a server deregisters and until the core
    // runs again.
    sleep(ms(2000));
    let leaving = Arc::clone(&servers[1]);
    leaving.beats.store(false, Ordering::SeqCst);
    let frozen = system.cores + 2;
    if trouble {
        system.signal(frozen, "STOP")?;
    }
    sleep(ms(1000));
    let acknowledged = leaving.deregister(&controls)?;
    record.say(&format!("{}: DELETE acknowledged", leaving.id));
    sleep(ms(500));
    if trouble {
        system.kill_core();
        sleep(ms(300));
        system.restart()?;
        system.signal(frozen, "CONT")?;
    }
    let second = Departure { server: leaving, acknowledged, settled: Instant::now() };
    sleep(ms(CONTACT_MS + 4000));
    stopped.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    system.check_running()?;
    let sent = sent.lock().unwrap();
    let held = [("late beat", first), ("frozen edge", second)]
        .map(|(way, departure)| departure.judge(record, way, &sent));
    Ok(held.iter().all(|held| *held))
}

/// A server that has deregistered itself, and serves on.
struct Departure {
    server: Arc<Server>,
    /// When its deregistration was acknowledged.
    acknowledged: Instant,
    /// The last event at a machine of the system.
    settled: Instant,
}

impl Departure {
    /// Whether no request reached the server later than the bounds of the rule, by the times at which clients sent it.
    fn judge(&self, record: &Record, way: &str, sent: &HashMap<String, (Instant, u16)>) -> bool {
        let bound = (self.acknowledged + ms(DRAIN_MS)).max(self.settled + ms(CONTACT_MS));
        let runs = self.server.runs.lock().unwrap();
        let is_late =
            |run: &&Run| run.at > bound && sent.get(&run.try_id).is_some_and(|(begun, _)| *begun > bound);
        let late: Vec<&Run> = runs.iter().filter(is_late).collect();
        for run in &late {
            record.line(&format!(
                "{}: request {} {} arrived {:.3} s after the ack, {:.3} s after the last event",
                self.server.id,
                run.try_id,
                run.path,
                (run.at - self.acknowledged).as_secs_f64(),
                (run.at - self.settled).as_secs_f64()
            ));
        }
        let failed = late.iter().filter(|run| sent[&run.try_id].1 != 200).count();
        let after_drain = runs.iter().filter(|run| run.at > self.acknowledged + ms(DRAIN_MS)).count();
        record.say(&format!(
            "{way}: {after_drain} requests reached {} later than drainMs after the ack of its DELETE; {} of them were \
             sent and arrived later than contactMs after the last event; {failed} of these got no success",
            self.server.id,
            late.len()
        ));
        late.is_empty()
    }
}

// ---- case: a label is purged while a slow fetch is under way ----

fn slow_fetch(record: &Record, program: &str, trouble: bool) -> Result<bool, Failure> {
    const OBJECTS: usize = 28;
    let started = Instant::now();
    let mut system = System::start(record, program, 3, 2, 1)?;
    let versions = Arc::new(Mutex::new(HashMap::new()));
    let mut servers = Vec::new();
    for number in 0..7 {
        let id = format!("i-stawki-{number}");
        let ip = system.ip(101 + number);
        servers.push(start_server(record, &id, "stawki", ip, ms(415), &versions, &system.controls())?);
    }
    let route = FEE_SHEET.replace("\"tries\":2", "\"tries\":1");
    configure(record, &system, &route, &backend("stawki"))?;
    system.wait_until_ready(ms(30_000))?;
    sleep((started + LEAD).saturating_duration_since(Instant::now()));
    let edges = [system.edge(0), system.edge(1)];
    if trouble {
        servers[3].slow.store(8, Ordering::SeqCst);
        record.line("1 of 7 servers works 8 times as long");
    }
    let paths: Vec<String> = (0..OBJECTS).map(|number| format!("/pufi791/{number}")).collect();
    let begun = Instant::now();
    let mut readers = Vec::new();
    for path in &paths {
        let (path, record) = (path.clone(), record.clone());
        readers.push(spawn(move || {
            let (try_id, answer) = request(edges[0], HOST, "GET", &path, 6000);
            record.line(&format!("client at {}: GET {path} {try_id} -> {}", edges[0], describe(&answer)));
        }));
    }
    sleep(ms(80));
    let current = 2;
    for path in &paths {
        versions.lock().unwrap().insert(path.clone(), 2);
    }
    record.line("the servers have version 2 of all objects, which have the label t03a9f1");
    sleep(ms(20));
    let body = "{\"label\":\"t03a9f1\"}";
    let acknowledged = order(record, &system.controls(), ("POST", "/api/purge", None), body, ms(6000))?;
    record.line(&format!(
        "the purge was acknowledged {:.3} s after the first reads",
        (acknowledged - begun).as_secs_f64()
    ));
    // While the slow fetches are under way, clients read at the other edge; once they have ended, at the first one.
    let results: Arc<Mutex<Vec<(usize, Duration, u64)>>> = Arc::default();
    while acknowledged.elapsed() < ms(PURGE_MS + 8000) {
        sleep(ms(200));
        if acknowledged.elapsed() <= ms(PURGE_MS) {
            continue;
        }
        let number = usize::from(acknowledged.elapsed() < ms(PURGE_MS + 1500));
        for path in &paths {
            let (path, record, results) = (path.clone(), record.clone(), Arc::clone(&results));
            readers.push(spawn(move || {
                let sent = Instant::now();
                let (try_id, answer) = request(edges[number], HOST, "GET", &path, 6000);
                let late = sent.saturating_duration_since(acknowledged);
                record.line(&format!(
                    "client at {}: GET {path} {try_id}, sent {:.3} s after the ack -> {}",
                    edges[number],
                    late.as_secs_f64(),
                    describe(&answer)
                ));
                if let Some(version) = version_of(&answer) {
                    results.lock().unwrap().push((number, late, version));
                }
            }));
        }
    }
    for reader in readers {
        let _ = reader.join();
    }
    system.check_running()?;
    let results = results.lock().unwrap();
    let late = || results.iter().filter(|(_, late, _)| *late > ms(PURGE_MS));
    let (reads, stale) = (late().count(), late().filter(|(_, _, version)| *version < current).count());
    let joined = late().filter(|(number, _, version)| *number == 1 && *version < current).count();
    if reads == 0 {
        return Err("no read was served".into());
    }
    record.say(&format!(
        "{reads} reads served that were sent later than purgeMs after the ack; {stale} with a replaced version: {joined} \
         joined a fetch from before the purge, {} got what an edge stored of one",
        stale - joined
    ));
    Ok(stale == 0)
}

// ---- main ----

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, program, record_path] = &arguments[..] else {
        eprintln!("usage: driver CASE PROGRAM RECORD");
        std::process::exit(2);
    };
    let record = match Record::create(record_path) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{record_path}: {error}");
            std::process::exit(2);
        }
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(&format!("case {case}, with the disruption: {trouble}"));
    let (case, program, watched) = (case.clone(), program.clone(), record.clone());
    // The case runs in a thread of its own, so that its system is dropped, and so ended, whatever happens in it.
    let running = spawn(move || match &case[..] {
        "purge-host" => purge_host(&record, &program, trouble),
        "late-beat" => late_beat(&record, &program, trouble),
        "slow-fetch" => slow_fetch(&record, &program, trouble),
        other => Err(format!("unknown case {other}")),
    });
    while !running.is_finished() {
        if watched.started.elapsed() > CASE_LIMIT {
            watched.say("could not run: the case took too long");
        }
        sleep(ms(50));
    }
    let code = match running.join() {
        Ok(Ok(true)) => (0, "the rule held".to_owned()),
        Ok(Ok(false)) => (1, "the rule was broken".to_owned()),
        Ok(Err(failure)) => (2, format!("could not run: {failure}")),
        Err(_) => (2, "could not run: a panic".to_owned()),
    };
    watched.say(&code.1);
    std::process::exit(code.0);
}
