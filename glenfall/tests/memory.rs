//! An edge keeps to its memory whatever clients and servers do: many clients that ask for large answers and don't read
//! them, and others whose large bodies never end.

mod common;

use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};

use common::{receive_try_id, request, wait_until, System, EDGE_MACHINE};

const MEMORY_MB: u64 = 96;
/// An answer of a server.
const LARGE: usize = 8 << 20;
/// Clients that don't read, each with an answer: four times the memory in all, and more than the kernel takes.
const CLIENTS: usize = 48;

/// A server whose answers are large.
fn server() -> SocketAddrV4 {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let port = listener.local_addr().unwrap().port();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || answers(stream));
        }
    });
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}

fn answers(mut stream: TcpStream) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let body = vec![b'x'; LARGE];
    while let Some(id) = receive_try_id(&mut reader) {
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Glenfall-Try-Id: {id}\r\nX-Glenfall-Seal: s\r\nContent-Length: {LARGE}\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(&body)).is_err() {
            return;
        }
    }
}

/// The most memory that a process has had, in MB.
fn peak_mb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    line.split_whitespace().next().unwrap().parse::<u64>().unwrap() / 1024
}

#[test]
fn an_edge_keeps_to_its_memory_under_slow_readers_and_endless_bodies() {
    let settings = format!("[reqLimits]\nmemMb = {MEMORY_MB}\nmaxFds = 2048\n");
    let mut system = System::start_with_settings(&["control", "shield"], &["agent", "edge"], &settings);
    system.wait_for_chain(&[1, 2, 3], 3);
    let addr = server();
    let beat = format!(
        r#"{{"backend":"s","addr":"{addr}","zone":"z","capacity":1000,"status":"ready","callSeq":1}}"#
    );
    let heard = request(system.control_addr(1), "PUT /api/servers/a", "Host: c\r\n", &beat);
    assert_eq!(heard.map(|heard| heard.0), Some(200));
    let document = r#"{"rev": 1, "paths": [{"name": "writes", "hostname": "h", "pathPrefix": "/", "type": "mutating",
        "deadlineMs": 6000, "targetMs": 6000, "backend": "s", "tries": 1}], "backends": [{"name": "s"}],
        "reqLimits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000,
        "idleTimeoutMs": 3000}}"#;
    std::fs::write(system.folder.join("c.json"), document).unwrap();
    let at = system.control_addr_text(2);
    let told = system.run_command(&["config", "put", "--control", &at, "--builds-on", "0", "c.json"]);
    assert!(told.0, "{}", told.1);
    let [edge, _] = system.edge_addrs();
    let ask = || request(edge, "POST /x", "Host: h\r\nX-Glenfall-Try-Id: ab\r\n", "").map(|heard| heard.0);
    wait_until("writes are served", || ask() == Some(200));

    let open = |head: &str| {
        let mut stream = TcpStream::connect(edge).unwrap();
        stream.write_all(head.as_bytes()).unwrap();
        stream
    };
    // None of these is read from, and none of the bodies ends.
    let asked = "POST /x HTTP/1.1\r\nHost: h\r\nX-Glenfall-Try-Id: ac\r\nContent-Length: 0\r\n\r\n";
    let mut held: Vec<TcpStream> = (0..CLIENTS).map(|_| open(asked)).collect();
    let endless = format!("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: {LARGE}\r\n\r\n");
    for _ in 0..CLIENTS {
        let mut stream = open(&endless);
        // Where there is no room for it the edge has closed.
        let _ = stream.write_all(&vec![b'y'; LARGE / 2]);
        held.push(stream);
    }
    wait_until("there is no more room, and that is said at once", || ask() == Some(503));
    // Whoever takes nothing is let go of after `idleTimeoutMs`, and there is room again.
    wait_until("writes are served again", || ask() == Some(200));
    let pid = system.pid(EDGE_MACHINE, "edge");
    let peak = peak_mb(pid);
    assert!(peak < MEMORY_MB, "{peak} MB");
    assert_eq!(system.exit_success(EDGE_MACHINE, "edge"), None, "it runs on");
    drop(held);
}
