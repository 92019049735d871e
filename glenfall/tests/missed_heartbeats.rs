//! Proxies keep using the servers that they know of while the control nodes accept no heartbeats, or have not received
//! any since their restart.

mod common;

use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use common::{receive_try_id, request, wait_until, System, EDGE_MACHINE};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Longer than a server stays registered without heartbeats.
const OUTAGE_DURATION: Duration = Duration::from_millis(2500);

/// A server that responds immediately, and counts its requests.
struct Server {
    id: &'static str,
    addr: SocketAddrV4,
    request_count: Arc<AtomicUsize>,
}

impl Server {
    fn start(id: &'static str) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = SocketAddrV4::new(Ipv4Addr::LOCALHOST, listener.local_addr().unwrap().port());
        let request_count = Arc::new(AtomicUsize::new(0));
        let shared_count = Arc::clone(&request_count);
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let request_count = Arc::clone(&shared_count);
                std::thread::spawn(move || serve(stream, &request_count));
            }
        });
        Server { id, addr, request_count }
    }

    /// Sends one heartbeat, and returns whether it was acknowledged.
    fn send_heartbeat(&self, control: SocketAddrV4, seq: usize) -> bool {
        let body = format!(
            r#"{{"backend":"s","addr":"{}","zone":"z","capacity":8,"status":"ready","callSeq":{seq}}}"#,
            self.addr
        );
        let line = format!("PUT /api/servers/{}", self.id);
        request(control, &line, "Host: c\r\n", &body).is_some_and(|response| response.0 == 200)
    }
}

fn serve(mut stream: TcpStream, request_count: &AtomicUsize) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(id) = receive_try_id(&mut reader) {
        request_count.fetch_add(1, Ordering::Relaxed);
        let response = format!(
            "HTTP/1.1 200 OK\r\nX-Glenfall-Try-Id: {id}\r\nX-Glenfall-Seal: s\r\nContent-Length: 6\r\n\r\nanswer"
        );
        if stream.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

fn send_request(system: &System, line: &str) -> u16 {
    let headers = "Host: h\r\nX-Glenfall-Try-Id: ab\r\nX-Glenfall-Deadline: 5000\r\n";
    request(system.edge_addrs()[0], line, headers, "").map_or(0, |response| response.0)
}

/// Starts the system with two servers of a service, a route for reads and one for writes.
fn start(heartbeat_interval: Duration) -> (System, [Server; 2]) {
    let system = System::start_with_heartbeat_interval(
        &["control", "shield"],
        &["agent", "edge"],
        heartbeat_interval.as_millis() as u64,
        "",
    );
    system.wait_for_chain(&[1, 2, 3], 3);
    let servers = ["a", "b"].map(Server::start);
    for server in &servers {
        wait_until("the heartbeat is acknowledged", || server.send_heartbeat(system.control_addr(1), 1));
    }
    let document = r#"{"rev": 1, "paths": [
        {"name": "reads", "hostname": "h", "pathPrefix": "/r/", "type": "cacheable", "deadlineMs": 5000,
         "targetMs": 2000, "backend": "s", "tries": 2, "maxAgeS": 600},
        {"name": "writes", "hostname": "h", "pathPrefix": "/w/", "type": "mutating", "deadlineMs": 5000,
         "targetMs": 2000, "backend": "s", "tries": 2}],
        "backends": [{"name": "s"}]}"#;
    system.configure("put", 0, document);
    wait_until("reads and writes are served", || {
        send_request(&system, "GET /r/first") == 200 && send_request(&system, "POST /w/first") == 200
    });
    // The first read went through one of three shields. A control node that is stopped before it has pushed the servers to
    // its own shield would leave that shield without any.
    wait_until("each proxy has applied the list of two servers", || {
        (1..EDGE_MACHINE).all(|node| has_pushed_servers(&system, node))
    });
    (system, servers)
}

/// Whether a control node knows both servers, and all its sessions have applied what it pushed.
fn has_pushed_servers(system: &System, node: u8) -> bool {
    let Some(status) = system.status(node) else { return false };
    let has_applied_all = |session: &serde_json::Value| session["applied"] == session["pushed"];
    let servers = status["servers"].as_array().map_or(0, Vec::len);
    servers == 2 && status["sessions"].as_array().is_some_and(|sessions| sessions.iter().all(has_applied_all))
}

#[test]
fn servers_whose_heartbeats_no_control_node_accepted_keep_getting_requests() {
    let (mut system, servers) = start(HEARTBEAT_INTERVAL);
    let (finished, control) = (AtomicBool::new(false), system.control_addr(1));
    std::thread::scope(|scope| {
        scope.spawn(|| {
            for seq in 2.. {
                if finished.load(Ordering::Relaxed) {
                    return;
                }
                for server in &servers {
                    // Refused while this node reaches no majority.
                    server.send_heartbeat(control, seq);
                }
                std::thread::sleep(HEARTBEAT_INTERVAL);
            }
        });
        let mut statuses = Vec::new();
        let mut send_requests_for = |system: &System, duration: Duration| {
            let began = std::time::Instant::now();
            while began.elapsed() < duration {
                let number = statuses.len();
                statuses.push(send_request(system, &format!("POST /w/{number}")));
                statuses.push(send_request(system, &format!("GET /r/{number}")));
                std::thread::sleep(Duration::from_millis(20));
            }
        };
        for peer in [2, 3] {
            system.signal(peer, "control", "-STOP");
        }
        send_requests_for(&system, OUTAGE_DURATION);
        for peer in [2, 3] {
            system.signal(peer, "control", "-CONT");
        }
        // Long enough for all nodes to reconnect, and to receive the list of servers.
        send_requests_for(&system, OUTAGE_DURATION);
        finished.store(true, Ordering::Relaxed);
        let failed = statuses.iter().filter(|status| **status != 200).count();
        assert_eq!(failed, 0, "failed requests of {}, while the servers were up", statuses.len());
    });
}

#[test]
fn a_server_that_deregisters_just_after_a_control_restart_gets_no_more_requests() {
    // No further heartbeat is due before the end of the test, so the restarted nodes never know all servers.
    let (mut system, servers) = start(Duration::from_mins(2));
    wait_until("both servers get requests", || {
        send_request(&system, "POST /w/x");
        servers.iter().all(|server| server.request_count.load(Ordering::Relaxed) > 2)
    });
    system.restart_control_nodes(|_| ());
    wait_until_control_is_back(&system);
    let deregister = || {
        request(system.control_addr(2), "DELETE /api/servers/a", "Host: c\r\n", "").map(|response| response.0)
    };
    wait_until("the deregistration is acknowledged", || deregister() == Some(200));
    let count_before = servers[0].request_count.load(Ordering::Relaxed);
    for number in 0..60 {
        assert_eq!(send_request(&system, &format!("POST /w/{number}")), 200);
    }
    assert_eq!(
        servers[0].request_count.load(Ordering::Relaxed) - count_before,
        0,
        "requests after the deregistration was acknowledged"
    );
}

/// Calls of the server `a` that control has to acknowledge.
fn call_until_acknowledged(system: &System, node: u8, line: &str, body: &str) {
    wait_until("the call is acknowledged", || {
        request(system.control_addr(node), line, "Host: c\r\n", body)
            .is_some_and(|response| response.0 == 200)
    });
}

fn heartbeat_body(server: &Server, status: &str, seq: usize) -> String {
    format!(
        r#"{{"backend":"s","addr":"{}","zone":"z","capacity":8,"status":"{status}","callSeq":{seq}}}"#,
        server.addr
    )
}

/// Waits until control serves all sessions again after a restart of all its nodes.
fn wait_until_control_is_back(system: &System) {
    system.wait_for_chain(&[1, 2, 3], 3);
    wait_until("all shields and the agent have their sessions again", || total_session_count(system) == 4);
}

fn total_session_count(system: &System) -> usize {
    (1..=3).filter_map(|node| system.session_count(node)).sum()
}

/// How often the edge has acquired a lease, which is granted once it has applied the state of its publisher.
fn edge_lease_count(system: &System) -> usize {
    let log = std::fs::read_to_string(system.log_path(EDGE_MACHINE)).expect("the log of the edge machine");
    log.matches("lease acquired").count()
}

fn assert_gets_no_requests(system: &System, server: &Server) {
    let count_before = server.request_count.load(Ordering::Relaxed);
    for number in 0..60 {
        assert_eq!(send_request(system, &format!("POST /w/{number}")), 200);
    }
    let requests = server.request_count.load(Ordering::Relaxed) - count_before;
    assert_eq!(requests, 0, "requests after the departure was acknowledged");
}

/// Guards against a server that comes back by a late heartbeat, after all control nodes were killed that knew of its
/// departure. One of them loses its disk as well.
#[test]
fn a_late_heartbeat_after_a_restart_of_all_control_nodes_does_not_revive_a_departed_server() {
    for disk_is_lost in [false, true] {
        let departures =
            [("DELETE /api/servers/a", String::new()), ("PUT /api/servers/a", "draining".to_owned())];
        for (line, status) in departures {
            // No further heartbeat is due before the end of the test.
            let (mut system, servers) = start(Duration::from_mins(2));
            let body = if status.is_empty() { status } else { heartbeat_body(&servers[0], &status, 9) };
            call_until_acknowledged(&system, 1, line, &body);
            system.restart_control_nodes(|system| {
                if disk_is_lost {
                    std::fs::remove_dir_all(system.state_dir(1))
                        .expect("the state of the node that acknowledged");
                }
            });
            wait_until_control_is_back(&system);
            let late = heartbeat_body(&servers[0], "ready", 8);
            call_until_acknowledged(&system, 2, "PUT /api/servers/a", &late);
            assert_gets_no_requests(&system, &servers[0]);
        }
    }
}

/// Guards against an edge that goes on using a departed server, because it stood still while the server deregistered, and
/// the control nodes that it then connects to have restarted.
#[test]
fn an_edge_that_stood_still_learns_of_a_deregistration_from_before_a_restart_of_all_control_nodes() {
    // No further heartbeat is due before the end of the test, so the restarted nodes never know all servers.
    let (mut system, servers) = start(Duration::from_mins(2));
    wait_until("the edge has a lease", || edge_lease_count(&system) > 0);
    let leases_before = edge_lease_count(&system);
    for role in ["agent", "edge"] {
        system.signal(EDGE_MACHINE, role, "-STOP");
    }
    wait_until("control has closed the session of the agent", || total_session_count(&system) == 3);
    call_until_acknowledged(&system, 1, "DELETE /api/servers/a", "");
    system.restart_control_nodes(|_| ());
    system.wait_for_chain(&[1, 2, 3], 3);
    for role in ["agent", "edge"] {
        system.signal(EDGE_MACHINE, role, "-CONT");
    }
    wait_until_control_is_back(&system);
    wait_until("the edge has applied what control knows", || edge_lease_count(&system) > leases_before);
    assert_gets_no_requests(&system, &servers[0]);
}

#[test]
fn a_shield_keeps_using_known_servers_after_all_control_nodes_restart() {
    // No further heartbeat is due before the end of the test.
    let (mut system, _servers) = start(Duration::from_mins(2));
    system.wait_until_ready();
    system.restart_control_nodes(|_| ());
    wait_until_control_is_back(&system);
    let failed =
        (0..60).filter(|number| send_request(&system, &format!("GET /r/again-{number}")) != 200).count();
    assert_eq!(failed, 0, "failed reads of objects that are not cached, while the servers are up");
}
