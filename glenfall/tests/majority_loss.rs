//! A control node notices up to a second late that it has lost the majority. Until then it must not confirm or disclose
//! anything to API callers or to new sessions. Also covers purges and draining when a session or a peer does not
//! acknowledge.

mod common;

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use common::{request, wait_until, System, WAIT_TIMEOUT};
use glenfall_control_plane::messages::{
    ConnectionOpening, PeerMessage, PublisherMessage, SubscriberMessage, Update,
};

fn frame(message: &impl serde::Serialize) -> Vec<u8> {
    let body = postcard::to_stdvec(message).unwrap();
    [&(body.len() as u32).to_le_bytes()[..], &body].concat()
}

/// A connection with a control node, and the received bytes that are not parsed yet.
struct Link {
    stream: TcpStream,
    buffer: Vec<u8>,
    closed: bool,
}

impl Link {
    fn new(stream: TcpStream) -> Link {
        stream.set_read_timeout(Some(Duration::from_millis(5))).unwrap();
        Link { stream, buffer: Vec::new(), closed: false }
    }

    fn read_available(&mut self) {
        let mut bytes = vec![0; 64 << 10];
        match self.stream.read(&mut bytes) {
            Ok(0) => self.closed = true,
            Ok(count) => self.buffer.extend(&bytes[..count]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => self.closed = true,
        }
    }

    fn next_message<T: serde::de::DeserializeOwned>(&mut self) -> Option<T> {
        let length = u32::from_le_bytes(*self.buffer.first_chunk::<4>()?) as usize;
        let message = postcard::from_bytes(self.buffer.get(4..4 + length)?).unwrap();
        self.buffer.drain(..4 + length);
        Some(message)
    }

    /// Sends `keep_alive` and returns the messages that have arrived, after a wait of at most 5 ms.
    fn exchange<T: serde::de::DeserializeOwned>(&mut self, keep_alive: &impl serde::Serialize) -> Vec<T> {
        self.closed |= self.stream.write_all(&frame(keep_alive)).is_err();
        self.read_available();
        std::iter::from_fn(|| self.next_message()).collect()
    }
}

/// An agent that keeps its session alive and requests leases, but acknowledges no update.
struct Agent {
    link: Link,
    updates: Vec<Update>,
    /// Number of leases granted, of any duration.
    granted_leases: usize,
}

impl Agent {
    fn open(addr: SocketAddrV4) -> Agent {
        let mut stream = TcpStream::connect(addr).unwrap();
        stream.write_all(&frame(&ConnectionOpening::Session)).unwrap();
        stream.write_all(&frame(&SubscriberMessage::Hello { node: "a".into(), member: None })).unwrap();
        Agent { link: Link::new(stream), updates: Vec::new(), granted_leases: 0 }
    }

    fn exchange(&mut self) {
        for message in self.link.exchange(&SubscriberMessage::RenewLease { sent_at: 0 }) {
            match message {
                PublisherMessage::Push { update: pushed, .. } => self.updates.push(pushed),
                PublisherMessage::LeaseGranted { .. } => self.granted_leases += 1,
                _ => {}
            }
        }
    }

    fn has_config(&self) -> bool {
        self.updates.iter().any(|update| matches!(update, Update::Config { .. }))
    }
}

/// Starts three control nodes and makes configuration version 5 active.
fn start_core() -> System {
    let core = System::start(&["control"], &[]);
    core.wait_for_chain(&[1, 2, 3], 3);
    std::fs::write(core.folder.join("five.json"), r#"{"rev": 5, "backends": [{"name": "s"}]}"#).unwrap();
    let stored = core.run_command(&[
        "config",
        "put",
        "--control",
        &core.control_addr_text(1),
        "--builds-on",
        "0",
        "five.json",
    ]);
    assert!(stored.0, "{}", stored.1);
    wait_until("all control nodes have version 5", || {
        (1..=3).all(|node| core.status(node).is_some_and(|status| status["rev"] == 5))
    });
    core
}

fn signal_other_nodes(core: &mut System, signal: &str) {
    for node in 2..=3 {
        core.signal(node, "control", signal);
    }
}

#[test]
fn a_node_without_a_majority_sends_new_sessions_no_configuration() {
    let mut core = start_core();
    let [agent_addr, shield_addr] = core.session_addrs(1);
    let mut agent = Agent::open(agent_addr);
    wait_until("the agent gets the configuration while the node is part of a majority", || {
        agent.exchange();
        agent.has_config()
    });
    signal_other_nodes(&mut core, "-STOP");
    // The node does not know yet that it has lost the majority.
    let (mut agent, mut shield) = (Agent::open(agent_addr), Agent::open(shield_addr));
    let began = Instant::now();
    while !agent.link.closed {
        assert!(began.elapsed() < WAIT_TIMEOUT, "timed out waiting for: the agent's session ends");
        agent.exchange();
        shield.exchange();
    }
    assert!(!agent.has_config() && !shield.has_config(), "{:?}, {:?}", agent.updates, shield.updates);
    assert!(
        !shield.link.closed,
        "the session of the shield on the same machine stays, as this is its only control node"
    );
    signal_other_nodes(&mut core, "-CONT");
    wait_until("the shield gets the configuration once the node is part of a majority again", || {
        shield.exchange();
        shield.has_config()
    });
}

#[test]
fn without_a_majority_calls_that_read_or_change_state_get_503() {
    let mut core = start_core();
    let addr = core.control_addr(1);
    let stale = r#"{"rev": 4, "backends": [{"name": "s"}]}"#;
    let same = r#"{"rev": 5, "backends": [{"name": "s"}]}"#;
    let heartbeat_body = |status: &str| {
        format!(
            r#"{{"backend":"s","addr":"127.0.0.1:9","zone":"z","capacity":1,"status":"{status}","callSeq":2}}"#
        )
    };
    let (draining, add_voter) = (heartbeat_body("draining"), r#"{"add": "127.0.8.2"}"#);
    let calls: [(&str, &str, &str); 8] = [
        ("PUT /api/config", "If-Match: 4\r\n", stale),
        ("PUT /api/config", "If-Match: 5\r\n", stale),
        ("PUT /api/config", "If-Match: 0\r\n", same),
        ("GET /api/config", "", ""),
        ("PUT /api/servers/i-1", "", &draining),
        ("DELETE /api/servers/i-2", "", ""),
        ("POST /api/purge", "", r#"{"label": "l"}"#),
        ("POST /api/core", "", add_voter),
    ];
    let status_of = |(line, headers, body): (&str, &str, &str)| {
        request(addr, line, &format!("Host: c\r\n{headers}"), body).map_or(0, |response| response.0)
    };
    assert_eq!(calls.map(status_of), [412, 400, 200, 200, 200, 200, 200, 409]);
    signal_other_nodes(&mut core, "-STOP");
    let statuses = std::thread::scope(|scope| {
        calls.map(|call| scope.spawn(move || status_of(call))).map(|thread| thread.join().unwrap())
    });
    assert_eq!(statuses, [503; 8]);
    signal_other_nodes(&mut core, "-CONT");
    core.wait_for_chain(&[1, 2, 3], 3);
    wait_until("all calls have the same statuses as before", || {
        calls.map(status_of) == [412, 400, 200, 200, 200, 200, 200, 409]
    });
}

/// Requests a purge while the agent goes on requesting leases. Returns the status of the response.
fn purge_during_lease_requests(core: &System, agent: &mut Agent) -> Option<u16> {
    std::thread::scope(|scope| {
        let purge = || request(core.control_addr(1), "POST /api/purge", "Host: c\r\n", r#"{"label": "l"}"#);
        let purge = scope.spawn(purge);
        while !purge.is_finished() {
            agent.exchange();
        }
        purge.join().unwrap().map(|response| response.0)
    })
}

#[test]
fn a_purge_waits_for_the_lease_of_a_session_that_does_not_apply_it_and_the_session_is_ended() {
    let core = start_core();
    let mut agent = Agent::open(core.session_addrs(1)[0]);
    // Repeated with a new session: if this process is paused for longer than a lease lasts, the purge is acknowledged.
    wait_until("a purge is not acknowledged while the session holds a lease", || {
        agent = Agent::open(core.session_addrs(1)[0]);
        wait_until("a lease is granted", || {
            agent.exchange();
            agent.granted_leases > 0
        });
        purge_during_lease_requests(&core, &mut agent) == Some(503)
    });
    // The agent goes on requesting leases, but is granted none.
    wait_until("the lease has ended and a purge is acknowledged", || {
        purge_during_lease_requests(&core, &mut agent) == Some(200)
    });
    wait_until("the session ends", || {
        purge_during_lease_requests(&core, &mut agent);
        agent.link.closed
    });
    wait_until("the node has no sessions", || core.session_count(1) == Some(0));
}

/// What the simulated peer does when it receives the state of a draining server.
#[derive(Clone, Copy, PartialEq)]
enum PeerBehavior {
    Acknowledges,
    Ignores,
    Disconnects,
}

/// Acts as the second control node until it is stopped, with links only to the nodes in `reachable`. Returns how many
/// server states it has received.
fn run_peer(core: &System, reachable: &[u8], behavior: PeerBehavior, stopped: &AtomicBool) -> usize {
    let ip = |node: u8| *core.control_addr(node).ip();
    let listener = TcpListener::bind(core.session_addrs(2)[0]).unwrap();
    listener.set_nonblocking(true).unwrap();
    let connect_to = |node: &u8| {
        let mut stream = TcpStream::connect(core.session_addrs(*node)[0]).unwrap();
        stream
            .write_all(&frame(&ConnectionOpening::Peer {
                ip: ip(2),
                incarnation: 1,
                known_peers: Vec::new(),
            }))
            .unwrap();
        (ip(*node), Link::new(stream))
    };
    let mut outgoing: BTreeMap<Ipv4Addr, Link> = reachable.iter().map(connect_to).collect();
    let mut incoming: Vec<(Option<Ipv4Addr>, Link)> = Vec::new();
    let mut update_count = 0;
    while !stopped.load(Ordering::SeqCst) {
        if let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(false).unwrap();
            incoming.push((None, Link::new(stream)));
        }
        for link in outgoing.values_mut() {
            let _: Vec<PeerMessage> = link.exchange(&PeerMessage::KeepAlive);
        }
        for (from, link) in &mut incoming {
            let Some(from) = from else {
                link.read_available();
                if let Some(ConnectionOpening::Peer { ip, .. }) = link.next_message() {
                    *from = Some(ip);
                }
                continue;
            };
            let Some(reply_link) = outgoing.get_mut(from) else {
                link.closed = true;
                continue;
            };
            for message in link.exchange(&PeerMessage::KeepAlive) {
                let PeerMessage::ReplicateServer { id, .. } = message else { continue };
                update_count += 1;
                if behavior == PeerBehavior::Acknowledges {
                    reply_link
                        .stream
                        .write_all(&frame(&PeerMessage::Acknowledged { id, complete: true }))
                        .unwrap();
                }
            }
        }
        incoming.retain(|(_, link)| !link.closed);
        if behavior == PeerBehavior::Disconnects && update_count > 0 {
            (outgoing, incoming) = (BTreeMap::new(), Vec::new());
        }
    }
    update_count
}

/// Reports a draining server to the first node while a simulated peer runs. Returns the status of the response, and how
/// many server states the peer has received.
fn report_draining(core: &System, reachable: &[u8], behavior: PeerBehavior) -> (Option<u16>, usize) {
    let stopped = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let peer = scope.spawn(|| run_peer(core, reachable, behavior, &stopped));
        wait_until("only the reachable nodes are connected to the simulated peer", || {
            let knows_peer = |node: &u8| {
                core.status(*node).is_some_and(|status| {
                    status["peers"].as_array().is_some_and(|peers| peers.iter().any(|p| p == "127.0.8.2"))
                })
            };
            (1..=3).filter(|node| *node != 2).all(|node| knows_peer(&node) == reachable.contains(&node))
        });
        let body =
            r#"{"backend":"s","addr":"127.0.0.1:9","zone":"z","capacity":1,"status":"draining","callSeq":1}"#;
        let response = request(core.control_addr(1), "PUT /api/servers/i-1", "Host: c\r\n", body);
        stopped.store(true, Ordering::SeqCst);
        (response.map(|response| response.0), peer.join().unwrap())
    })
}

#[test]
fn draining_is_relayed_to_a_node_that_only_another_node_reaches() {
    let mut core = start_core();
    core.kill(2, "control");
    core.wait_for_chain(&[1, 3], 2);
    // The second node has no link to the first but has one to the third, so its sessions stay open and must learn of the
    // draining.
    assert_eq!(report_draining(&core, &[3], PeerBehavior::Ignores).0, Some(503));
    let (status, update_count) = report_draining(&core, &[3], PeerBehavior::Acknowledges);
    assert!(status == Some(200) && update_count > 0, "{status:?}, {update_count} server states received");
}

#[test]
fn draining_is_not_acknowledged_when_a_peer_disconnects_before_it_acknowledges() {
    let mut core = start_core();
    core.kill(2, "control");
    core.wait_for_chain(&[1, 3], 2);
    let (status, update_count) = report_draining(&core, &[1, 3], PeerBehavior::Disconnects);
    assert!(status == Some(503) && update_count > 0, "{status:?}, {update_count} server states received");
}
