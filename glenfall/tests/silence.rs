//! Servers that control can't hear for a while, or has not heard yet: what proxies know of them stays good.

mod common;

use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use common::{receive_try_id, request, wait_until, System, EDGE_MACHINE};

const BEAT: Duration = Duration::from_millis(300);
/// Longer than servers are remembered that say nothing.
const DEAF: Duration = Duration::from_millis(2500);

/// A server that answers at once, and counts what it runs.
struct Server {
    id: &'static str,
    addr: SocketAddrV4,
    runs: Arc<AtomicUsize>,
}

impl Server {
    fn start(id: &'static str) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = SocketAddrV4::new(Ipv4Addr::LOCALHOST, listener.local_addr().unwrap().port());
        let runs = Arc::new(AtomicUsize::new(0));
        let counted = Arc::clone(&runs);
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let runs = Arc::clone(&counted);
                std::thread::spawn(move || serve(stream, &runs));
            }
        });
        Server { id, addr, runs }
    }

    /// Says once that it is there; whether that was acknowledged.
    fn beat(&self, control: SocketAddrV4, seq: usize) -> bool {
        let body = format!(
            r#"{{"backend":"s","addr":"{}","zone":"z","capacity":8,"status":"ready","callSeq":{seq}}}"#,
            self.addr
        );
        let line = format!("PUT /api/servers/{}", self.id);
        request(control, &line, "Host: c\r\n", &body).is_some_and(|heard| heard.0 == 200)
    }
}

fn serve(mut stream: TcpStream, runs: &AtomicUsize) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(id) = receive_try_id(&mut reader) {
        runs.fetch_add(1, Ordering::Relaxed);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Glenfall-Try-Id: {id}\r\nX-Glenfall-Seal: s\r\nContent-Length: 6\r\n\r\nanswer"
        );
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn ask(system: &System, line: &str) -> u16 {
    let headers = "Host: h\r\nX-Glenfall-Try-Id: ab\r\nX-Glenfall-Deadline: 5000\r\n";
    request(system.edge_addrs()[0], line, headers, "").map_or(0, |heard| heard.0)
}

/// The system with two servers of a service, a route for reads and one for writes.
fn start(beat: Duration) -> (System, [Server; 2]) {
    let system = System::start_with_heartbeat_interval(
        &["control", "shield"],
        &["agent", "edge"],
        beat.as_millis() as u64,
        "",
    );
    system.wait_for_chain(&[1, 2, 3], 3);
    let servers = ["a", "b"].map(Server::start);
    for server in &servers {
        wait_until("a beat is acknowledged", || server.beat(system.control_addr(1), 1));
    }
    let document = r#"{"rev": 1, "paths": [
        {"name": "reads", "hostname": "h", "pathPrefix": "/r/", "type": "cacheable", "deadlineMs": 5000,
         "targetMs": 2000, "backend": "s", "tries": 2, "maxAgeS": 600},
        {"name": "writes", "hostname": "h", "pathPrefix": "/w/", "type": "mutating", "deadlineMs": 5000,
         "targetMs": 2000, "backend": "s", "tries": 2}],
        "backends": [{"name": "s"}]}"#;
    system.configure("put", 0, document);
    wait_until("reads and writes are served", || {
        ask(&system, "GET /r/first") == 200 && ask(&system, "POST /w/first") == 200
    });
    // The shield of the first read is one of three: a control node that is stopped before it has pushed the servers to its
    // own leaves a shield that has never known them.
    wait_until("each proxy has applied that there are two servers", || {
        (1..EDGE_MACHINE).all(|n| has_pushed_servers(&system, n))
    });
    (system, servers)
}

/// Whether a control node knows both servers, and all its sessions have applied what it pushed.
fn has_pushed_servers(system: &System, n: u8) -> bool {
    let Some(status) = system.status(n) else { return false };
    let settled = |session: &serde_json::Value| session["applied"] == session["pushed"];
    let servers = status["servers"].as_array().map_or(0, Vec::len);
    servers == 2 && status["sessions"].as_array().is_some_and(|sessions| sessions.iter().all(settled))
}

#[test]
fn servers_that_no_control_node_could_hear_go_on_getting_requests() {
    let (mut system, servers) = start(BEAT);
    let (ended, control) = (AtomicBool::new(false), system.control_addr(1));
    std::thread::scope(|scope| {
        scope.spawn(|| {
            for seq in 2.. {
                if ended.load(Ordering::Relaxed) {
                    return;
                }
                for server in &servers {
                    // Turned away while this node reaches no majority.
                    server.beat(control, seq);
                }
                std::thread::sleep(BEAT);
            }
        });
        let mut statuses = Vec::new();
        let mut ask_for = |system: &System, time: Duration| {
            let began = std::time::Instant::now();
            while began.elapsed() < time {
                let number = statuses.len();
                statuses.push(ask(system, &format!("POST /w/{number}")));
                statuses.push(ask(system, &format!("GET /r/{number}")));
                std::thread::sleep(Duration::from_millis(20));
            }
        };
        for other in [2, 3] {
            system.signal(other, "control", "-STOP");
        }
        ask_for(&system, DEAF);
        for other in [2, 3] {
            system.signal(other, "control", "-CONT");
        }
        // Long enough for all to be in touch again, and to be told of the servers.
        ask_for(&system, DEAF);
        ended.store(true, Ordering::Relaxed);
        let refused = statuses.iter().filter(|status| **status != 200).count();
        assert_eq!(refused, 0, "of {} requests; the servers were there all the while", statuses.len());
    });
}

#[test]
fn a_server_that_says_goodbye_to_a_core_that_has_just_started_gets_nothing_more() {
    // No control node has heard of all servers before the end of the test.
    let (mut system, servers) = start(Duration::from_mins(2));
    wait_until("both take part", || {
        ask(&system, "POST /w/x");
        servers.iter().all(|server| server.runs.load(Ordering::Relaxed) > 2)
    });
    system.restart_control_nodes(|_| ());
    system.wait_for_chain(&[1, 2, 3], 3);
    wait_until("the agent has its session again", || {
        (1..=3).filter_map(|n| system.session_count(n)).sum::<usize>() == 4
    });
    let goodbye = || request(system.control_addr(2), "DELETE /api/servers/a", "Host: c\r\n", "").map(|h| h.0);
    wait_until("a goodbye is acknowledged", || goodbye() == Some(200));
    let before = servers[0].runs.load(Ordering::Relaxed);
    for number in 0..60 {
        assert_eq!(ask(&system, &format!("POST /w/{number}")), 200);
    }
    assert_eq!(servers[0].runs.load(Ordering::Relaxed) - before, 0, "requests after the 2xx");
}

#[test]
fn a_shield_serves_on_by_the_servers_it_knows_when_all_control_nodes_have_started_again() {
    // Servers say nothing more before the end of the test.
    let (mut system, _servers) = start(Duration::from_mins(2));
    system.wait_until_ready();
    system.restart_control_nodes(|_| ());
    system.wait_for_chain(&[1, 2, 3], 3);
    wait_until("all have their sessions again", || {
        (1..=3).filter_map(|n| system.session_count(n)).sum::<usize>() == 4
    });
    let refused = (0..60).filter(|number| ask(&system, &format!("GET /r/again-{number}")) != 200).count();
    assert_eq!(refused, 0, "reads of objects that no shield has, while the servers are there");
}
