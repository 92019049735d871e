//! Three control nodes as processes on loopback: one is stopped for longer than a link may be silent, and woken
//! again. They must be in one chain again, without losing their links over and over.

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
                core.folder.join(format!("state-{n}")).display(),
                base + 3
            );
            let file = core.folder.join(format!("{n}.toml"));
            std::fs::write(&file, text).unwrap();
            let log = std::fs::File::create(core.log(n)).unwrap();
            let mut command = Command::new(env!("CARGO_BIN_EXE_glenfall"));
            let child = command.arg(role).env("GLENFALL_CONFIG", &file).stderr(log).spawn().unwrap();
            core.children.push(child);
        }
        core
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
