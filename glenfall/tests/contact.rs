//! What a control node tells, to callers and at the opening of a session, in the second in which it does not know yet
//! that it is cut off; and what becomes of those who don't follow.

mod common;

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::{Duration, Instant};

use common::{await_that, request, System, PATIENCE};
use glenfall_plane::messages::{Down, News, Open, Up};

/// An agent that says that it is there, and applies nothing.
struct Agent {
    stream: TcpStream,
    buffer: Vec<u8>,
    heard: Vec<News>,
    ended: bool,
}

fn frame(message: &impl serde::Serialize) -> Vec<u8> {
    let body = postcard::to_stdvec(message).unwrap();
    [&(body.len() as u32).to_le_bytes()[..], &body].concat()
}

impl Agent {
    fn open(addr: SocketAddrV4) -> Agent {
        let mut stream = TcpStream::connect(addr).unwrap();
        stream.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
        stream.write_all(&frame(&Open::Session)).unwrap();
        stream.write_all(&frame(&Up::Hello { node: "a".into(), member: None })).unwrap();
        Agent { stream, buffer: Vec::new(), heard: Vec::new(), ended: false }
    }

    /// Hears what comes within a tenth of a second.
    fn hear(&mut self) {
        let mut bytes = [0; 64 << 10];
        let said = self.stream.write_all(&frame(&Up::Ping));
        match self.stream.read(&mut bytes) {
            _ if said.is_err() => self.ended = true,
            Ok(0) => self.ended = true,
            Ok(count) => self.buffer.extend(&bytes[..count]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => self.ended = true,
        }
        while let Some(length) = self.buffer.first_chunk::<4>().map(|four| u32::from_le_bytes(*four) as usize)
        {
            let Some(body) = self.buffer.get(4..4 + length) else { return };
            if let Down::Push { news, .. } = postcard::from_bytes(body).unwrap() {
                self.heard.push(news);
            }
            self.buffer.drain(..4 + length);
        }
    }

    fn configured(&self) -> bool {
        self.heard.iter().any(|news| matches!(news, News::Config { .. }))
    }
}

/// Three control nodes with a configuration in force.
fn core() -> System {
    let core = System::start(&["control"], &[]);
    core.await_chain(&[1, 2, 3], 3);
    std::fs::write(core.folder.join("five.json"), r#"{"rev": 5, "backends": [{"name": "s"}]}"#).unwrap();
    let put = core.verb(&["config", "put", "--control", &core.control(1), "--builds-on", "0", "five.json"]);
    assert!(put.0, "{}", put.1);
    await_that("all know it", || (1..=3).all(|n| core.status(n).is_some_and(|status| status["rev"] == 5)));
    core
}

fn both(core: &mut System, signal: &str) {
    for n in 2..=3 {
        core.signal(n, "control", signal);
    }
}

#[test]
fn a_session_opened_at_a_node_that_is_cut_off_is_told_nothing_until_it_is_proved() {
    let mut core = core();
    let [agents, beside] = core.session_addrs(1);
    let mut agent = Agent::open(agents);
    await_that("it is told at once while all is well", || {
        agent.hear();
        agent.configured()
    });
    both(&mut core, "-STOP");
    // The node still takes itself for one of a majority.
    let (mut agent, mut shield) = (Agent::open(agents), Agent::open(beside));
    let began = Instant::now();
    while !agent.ended {
        assert!(began.elapsed() < PATIENCE, "the agent is kept");
        agent.hear();
        shield.hear();
    }
    assert_eq!((&agent.heard, &shield.heard), (&vec![], &vec![]));
    assert!(!shield.ended, "the shield beside knows no other node");
    both(&mut core, "-CONT");
    await_that("the shield is told once it is proved", || {
        shield.hear();
        shield.configured()
    });
}

#[test]
fn a_session_that_does_not_apply_a_purge_is_ended_and_not_left_without_news() {
    let core = core();
    let mut agent = Agent::open(core.session_addrs(1)[0]);
    await_that("it is told", || {
        agent.hear();
        agent.configured()
    });
    let purge = || request(core.control_addr(1), "POST /api/purge", "Host: c\r\n", r#"{"label": "l"}"#);
    assert_eq!(purge().map(|heard| heard.0), Some(200));
    await_that("the session ends", || {
        agent.hear();
        agent.ended
    });
    assert_eq!(core.agents_at(1), Some(0));
}
