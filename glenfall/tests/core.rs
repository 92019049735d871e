//! Three control nodes as processes on loopback: frozen and woken, cut off from a majority, killed, with damaged
//! and with lost disks.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Conditions are waited for so long, also on a busy machine.
const PATIENCE: Duration = Duration::from_secs(60);

/// One core at a time: ports that are found free stay so until they are used.
static ONE: Mutex<()> = Mutex::new(());

struct Core {
    _one: MutexGuard<'static, ()>,
    children: Vec<Child>,
    folder: PathBuf,
    base: u16,
}

impl Drop for Core {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
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
        if (0..4).all(free) {
            return port;
        }
    }
}

impl Core {
    fn start() -> Core {
        let one = ONE.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let base = free_ports();
        let folder = std::env::temp_dir().join(format!("glenfall-core-{}-{base}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let mut core = Core { _one: one, children: Vec::new(), folder, base };
        for n in 1..=4 {
            let ip = machine(n);
            // The fourth is an edge's machine, with its agent alone.
            let role = if n <= 3 { "control" } else { "agent" };
            let seeds: Vec<String> = (1..=3).map(|n| format!("\"{}:{}\"", machine(n), base + 3)).collect();
            let text = format!(
                "node = \"core-{n}\"\nzone = \"z\"\nbindIp = \"{ip}\"\nfeedIp = \"{ip}\"\n\
                 portRange = [{base}, {}]\nseedNodes = [{}]\nbootstrap = true\nstateDir = \"{}\"\n\
                 [listeners]\ncontrolAddr = \"{ip}:{}\"\n",
                base + 2,
                seeds.join(", "),
                core.state_dir(n).display(),
                base + 3
            );
            std::fs::write(core.folder.join(format!("{n}.toml")), text).unwrap();
            let child = core.spawn(n, role);
            core.children.push(child);
        }
        core
    }

    fn spawn(&self, n: u8, role: &str) -> Child {
        let log = std::fs::File::options().create(true).append(true).open(self.log(n)).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_glenfall"));
        let settings = self.folder.join(format!("{n}.toml"));
        command.arg(role).env("GLENFALL_CONFIG", settings).stderr(log).spawn().unwrap()
    }

    /// Kills all control nodes; `meanwhile` is done before they start again.
    fn kill_all(&mut self, meanwhile: impl FnOnce(&Core)) {
        for child in &mut self.children[..3] {
            child.kill().unwrap();
            child.wait().unwrap();
        }
        meanwhile(self);
        for n in 1..=3 {
            self.children[usize::from(n) - 1] = self.spawn(n, "control");
        }
    }

    fn state_dir(&self, n: u8) -> PathBuf {
        self.folder.join(format!("state-{n}"))
    }

    /// What a verb says, and whether it succeeded.
    fn verb(&self, words: &[&str]) -> (bool, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_glenfall"));
        let output = command.args(words).current_dir(&self.folder).output().unwrap();
        let said = if output.status.success() { output.stdout } else { output.stderr };
        (output.status.success(), String::from_utf8(said).unwrap())
    }

    fn control(&self, n: u8) -> String {
        SocketAddrV4::new(machine(n), self.base + 3).to_string()
    }

    fn log(&self, n: u8) -> PathBuf {
        self.folder.join(format!("{n}.log"))
    }

    fn status(&self, n: u8) -> Option<serde_json::Value> {
        let addr = SocketAddrV4::new(machine(n), self.base + 3);
        let mut stream = TcpStream::connect_timeout(&addr.into(), Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
        stream.write_all(b"GET /api/status HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n").ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).ok()?;
        serde_json::from_str(text.split_once("\r\n\r\n")?.1).ok()
    }

    /// All given nodes know a view with so many members.
    fn await_chain(&self, nodes: &[u8], members: usize) {
        let began = Instant::now();
        let stands = |n: &u8| {
            self.status(*n).is_some_and(|s| s["view"]["chain"].as_array().is_some_and(|c| c.len() == members))
        };
        while !nodes.iter().all(stands) {
            assert!(began.elapsed() < PATIENCE, "no chain of {members} at {nodes:?}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    fn agents_at(&self, n: u8) -> Option<usize> {
        Some(self.status(n)?["sessions"].as_array()?.len())
    }

    fn signal(&self, n: usize, name: &str) {
        let pid = self.children[n - 1].id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().unwrap().success());
    }

    fn losses(&self) -> usize {
        let lost = |n| std::fs::read_to_string(self.log(n)).unwrap().matches("peer lost").count();
        (1..=3).map(lost).sum()
    }
}

#[test]
fn a_core_machine_that_was_frozen_is_taken_into_the_chain_again_and_stays() {
    let core = Core::start();
    core.await_chain(&[1, 2, 3], 3);
    let before = core.losses();
    core.signal(2, "-STOP");
    core.await_chain(&[1, 3], 2);
    core.signal(2, "-CONT");
    core.await_chain(&[1, 2, 3], 3);
    // Each of the four ends may count the loss, and the frozen side once more when it wakes to what has come.
    let losses = core.losses() - before;
    assert!(losses <= 8, "{losses} times a link was lost");
    // Links that flap would have been lost again by now: they did within two seconds.
    std::thread::sleep(Duration::from_millis(2500));
    assert_eq!(core.losses() - before, losses);
    core.await_chain(&[1, 2, 3], 3);
}

#[test]
fn a_control_node_without_a_majority_turns_its_agents_away() {
    let core = Core::start();
    core.await_chain(&[1, 2, 3], 3);
    let began = Instant::now();
    let at = loop {
        assert!(began.elapsed() < PATIENCE, "the agent finds control");
        if let Some(n) = (1..=3).find(|n| core.agents_at(*n) == Some(1)) {
            break n;
        }
        std::thread::sleep(Duration::from_millis(50));
    };
    for other in (1..=3).filter(|n| *n != at) {
        core.signal(usize::from(other), "-STOP");
    }
    let began = Instant::now();
    while core.agents_at(at) != Some(0) {
        assert!(began.elapsed() < PATIENCE, "the agent is kept by a node that knows nothing new");
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(core.status(at).unwrap()["inMajority"], false);
    for other in (1..=3).filter(|n| *n != at) {
        core.signal(usize::from(other), "-CONT");
    }
    let began = Instant::now();
    while (1..=3).filter_map(|n| core.agents_at(n)).sum::<usize>() != 1 {
        assert!(began.elapsed() < PATIENCE, "the agent comes back");
        std::thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn damage_is_repaired_from_the_chain_and_a_lost_core_from_a_backup() {
    let mut core = Core::start();
    core.await_chain(&[1, 2, 3], 3);
    let document = r#"{"rev": 5, "paths": [], "backends": [{"name": "s"}]}"#;
    std::fs::write(core.folder.join("five.json"), document).unwrap();
    let at = core.control(2);
    let put = core.verb(&["config", "put", "--control", &at, "--builds-on", "0", "five.json"]);
    assert!(put.0, "{}", put.1);
    let exported = core.verb(&["state", "export", "--control", &at, "backup.json"]);
    assert_eq!(exported, (true, "configuration 5, change 1, exported\n".into()));
    let again = core.verb(&["state", "export", "--control", &at, "backup.json"]);
    assert!(!again.0, "a backup is not written over");
    let (held, why) = core.verb(&["state", "verify", "state-1"]);
    assert!(!held && why.contains("locked"), "{why}");

    core.kill_all(|core| {
        let (whole, said) = core.verb(&["state", "verify", "state-1"]);
        assert!(whole && said.starts_with("configuration 5, change 1, "), "{said}");
        // The newest byte of the row lies at the end of the second page, where cells grow from.
        let path = core.state_dir(1).join("state.sqlite");
        let mut bytes = std::fs::read(&path).unwrap();
        bytes[2 * 4096 - 12] ^= 1;
        std::fs::write(path, bytes).unwrap();
        let (whole, why) = core.verb(&["state", "verify", "state-1"]);
        assert!(!whole && why.contains("state on disk") && why.lines().count() == 1, "{why}");
    });
    core.await_chain(&[1, 2, 3], 3);
    let log = std::fs::read_to_string(core.log(1)).unwrap();
    assert_eq!(log.matches("state set aside").count(), 1);
    let read = core.verb(&["config", "get", "--control", &core.control(1)]);
    assert_eq!(read, (true, format!("{document}\n")));

    core.kill_all(|core| {
        for n in 1..=3 {
            std::fs::remove_dir_all(core.state_dir(n)).unwrap();
            let into = format!("state-{n}");
            let told = core.verb(&["state", "import", "backup.json", "--into", &into]);
            assert_eq!(told, (true, "configuration 5, change 1, imported\n".into()));
            let (twice, why) = core.verb(&["state", "import", "backup.json", "--into", &into]);
            assert!(!twice && why.contains("is in the way"), "{why}");
        }
    });
    core.await_chain(&[1, 2, 3], 3);
    let read = core.verb(&["config", "get", "--control", &core.control(3)]);
    assert_eq!(read, (true, format!("{document}\n")));
    // The restored core goes on where the old one was.
    std::fs::write(core.folder.join("seven.json"), document.replace('5', "7")).unwrap();
    let stale = core.verb(&["config", "put", "--control", &at, "--builds-on", "4", "seven.json"]);
    assert!(!stale.0 && stale.1.contains("412"), "{}", stale.1);
    let put = core.verb(&["config", "put", "--control", &at, "--builds-on", "5", "seven.json"]);
    assert!(put.0, "{}", put.1);
}
