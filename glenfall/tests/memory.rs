//! Checks that an edge stays within its memory limit, with many clients that don't read the large responses that they
//! requested, and others that never complete their large request bodies.

mod common;

use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};

use common::{receive_try_id, request, wait_until, System, EDGE_MACHINE};

const MEMORY_LIMIT_MB: u64 = 96;
/// Length of a server's response body.
const RESPONSE_BYTES: usize = 8 << 20;
/// Number of clients that don't read their responses, and of clients that don't complete their request bodies. Together
/// the responses are four times the memory limit, and more than the socket buffers of the kernel hold.
const CLIENT_COUNT: usize = 48;

/// Starts a server with large responses.
fn start_server() -> SocketAddrV4 {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let port = listener.local_addr().unwrap().port();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || serve_connection(stream));
        }
    });
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}

fn serve_connection(mut stream: TcpStream) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let body = vec![b'x'; RESPONSE_BYTES];
    while let Some(id) = receive_try_id(&mut reader) {
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Glenfall-Try-Id: {id}\r\nX-Glenfall-Seal: s\r\nContent-Length: {RESPONSE_BYTES}\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(&body)).is_err() {
            return;
        }
    }
}

/// The peak resident memory of a process, in MB.
fn peak_mb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    line.split_whitespace().next().unwrap().parse::<u64>().unwrap() / 1024
}

#[test]
fn an_edge_stays_within_its_memory_limit_under_slow_readers_and_unfinished_bodies() {
    let settings = format!("[reqLimits]\nmemMb = {MEMORY_LIMIT_MB}\nmaxFds = 2048\n");
    let mut system = System::start_with_settings(&["control", "shield"], &["agent", "edge"], &settings);
    system.wait_for_chain(&[1, 2, 3], 3);
    let addr = start_server();
    let heartbeat = format!(
        r#"{{"backend":"s","addr":"{addr}","zone":"z","capacity":1000,"status":"ready","callSeq":1}}"#
    );
    let response = request(system.control_addr(1), "PUT /api/servers/a", "Host: c\r\n", &heartbeat);
    assert_eq!(response.map(|response| response.0), Some(200));
    let document = r#"{"rev": 1, "paths": [{"name": "writes", "hostname": "h", "pathPrefix": "/", "type": "mutating",
        "deadlineMs": 6000, "targetMs": 6000, "backend": "s", "tries": 1}], "backends": [{"name": "s"}],
        "reqLimits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000,
        "idleTimeoutMs": 3000}}"#;
    std::fs::write(system.folder.join("c.json"), document).unwrap();
    let control = system.control_addr_text(2);
    let outcome = system.run_command(&["config", "put", "--control", &control, "--builds-on", "0", "c.json"]);
    assert!(outcome.0, "{}", outcome.1);
    let [edge, _] = system.edge_addrs();
    let send_request =
        || request(edge, "POST /x", "Host: h\r\nX-Glenfall-Try-Id: ab\r\n", "").map(|response| response.0);
    wait_until("writes are served", || send_request() == Some(200));

    let open_stream = |head: &str| {
        let mut stream = TcpStream::connect(edge).unwrap();
        stream.write_all(head.as_bytes()).unwrap();
        stream
    };
    // None of these responses is read, and none of the bodies below is completed.
    let request_text = "POST /x HTTP/1.1\r\nHost: h\r\nX-Glenfall-Try-Id: ac\r\nContent-Length: 0\r\n\r\n";
    let mut open_streams: Vec<TcpStream> = (0..CLIENT_COUNT).map(|_| open_stream(request_text)).collect();
    let unfinished_head = format!("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: {RESPONSE_BYTES}\r\n\r\n");
    for _ in 0..CLIENT_COUNT {
        let mut stream = open_stream(&unfinished_head);
        // Fails if the edge has closed the connection for lack of memory.
        let _ = stream.write_all(&vec![b'y'; RESPONSE_BYTES / 2]);
        open_streams.push(stream);
    }
    wait_until("a request is refused for lack of memory", || send_request() == Some(503));
    // Idle connections are closed after `idleTimeoutMs`, which frees their memory.
    wait_until("writes are served again", || send_request() == Some(200));
    let pid = system.pid(EDGE_MACHINE, "edge");
    let peak = peak_mb(pid);
    assert!(peak < MEMORY_LIMIT_MB, "the edge used {peak} MB");
    assert_eq!(system.exit_success(EDGE_MACHINE, "edge"), None, "the edge still runs");
    drop(open_streams);
}
