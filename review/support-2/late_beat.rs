//! A server crashes, and its address goes to a server of another service, whose route was added later. The last beat of the
//! first server arrives late, and control takes it as proof that the second one has ended.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::harness::*;

const HOST: &str = "shop.example";
/// When the beat that the first server sent 1.5 s after its first one arrives, after that first one.
const LATE_S: f64 = 9.0;
/// When the second server starts at the address, after the first beat.
const REUSED_AFTER_S: f64 = 7.0;
const LENGTH_S: u64 = 42;
/// Requests are judged from so long after the late beat on, when all is calm.
const CALM_AFTER_S: f64 = 5.0;

fn beat(system: &System, addr: SocketAddrV4, seq: u32) -> Option<u16> {
    let body = format!(
        "{{\"backend\":\"old\",\"addr\":\"{addr}\",\"zone\":\"hall-1\",\"rev\":\"v1\",\"capacity\":4,\
         \"status\":\"ready\",\"warmupLeftMs\":0,\"callSeq\":{seq}}}"
    );
    system.order("PUT /api/servers/i-first", "", &body, Duration::from_secs(5))
}

pub fn run(folder: &Path) -> bool {
    let record = Record::create(&folder.join("record.txt"));
    let trouble = with_trouble();
    let system = System::start(Layout { cores: 3, edges: 1, core_mem_mb: 256, edge_mem_mb: 260 });
    let serving = |own_id: &'static str| -> Arc<Behaviour> {
        Arc::new(move |request, conn| {
            if conn.read_exact(request.head.length()).is_none() {
                return false;
            }
            let text = format!(
                "HTTP/1.1 200 OK\r\nX-Glenfall-Try-Id: {}\r\nX-Glenfall-Seal: {own_id}.{}\r\n\
                 Content-Length: 4\r\n\r\ndone",
                request.id, request.number
            );
            conn.write(text.as_bytes())
        })
    };
    let base = start_server("i-base", "base", "hall-1", 4, system.server_addr(2), system.controls(), serving("i-base"));
    system.put_config(0, &document(1, &["base", "old"]));
    system.wait_until_served(HOST, "/base/first");
    let addr = system.server_addr(1);
    let answer = beat(&system, addr, 1);
    let first_beat = Instant::now();
    record.line(&format!("i-first (service old, {addr}) registers: {answer:?}; 1.5 s later it sends its next beat and crashes"));
    let until = |seconds: f64| {
        thread::sleep(Duration::from_secs_f64(seconds).saturating_sub(first_beat.elapsed()));
    };
    until(REUSED_AFTER_S);
    record.line(&format!("i-second (service new) starts at {addr}"));
    let server = start_server("i-second", "new", "hall-1", 4, addr, system.controls(), serving("i-second"));
    system.put_config(1, &document(3, &["base", "old", "new"]));
    record.line("the route of the service new is added");
    system.wait_until_served(HOST, "/new/first");
    record.line("i-second serves");
    let mut is_late_sent = false;
    let mut seconds: BTreeMap<u64, BTreeMap<String, u32>> = BTreeMap::new();
    // Served and sent in calm time, by route.
    let mut counts: BTreeMap<&str, (u32, u32)> = BTreeMap::new();
    while first_beat.elapsed() < Duration::from_secs(LENGTH_S) {
        if trouble && !is_late_sent && first_beat.elapsed().as_secs_f64() >= LATE_S {
            is_late_sent = true;
            let answer = beat(&system, addr, 2);
            record.line(&format!("the late beat of i-first arrives: {answer:?}"));
        }
        for route in ["base", "new"] {
            let is_calm = first_beat.elapsed().as_secs_f64() >= LATE_S + CALM_AFTER_S;
            let head = client_head("POST", &format!("/{route}/order"), HOST, &new_id(), 1500);
            let answer = Conn::connect(system.edges()[0], Duration::from_secs(2))
                .ok()
                .and_then(|mut conn| exchange(&mut conn, &head, b"order"));
            let text = match &answer {
                Some(answer) if answer.status == 200 => "200".to_owned(),
                Some(answer) => format!("{} {}", answer.status, String::from_utf8_lossy(&answer.body)),
                None => "no answer".to_owned(),
            };
            if is_calm {
                let (served, sent) = counts.entry(route).or_default();
                *sent += 1;
                *served += u32::from(text == "200");
            }
            let second = seconds.entry(first_beat.elapsed().as_secs()).or_default();
            *second.entry(format!("{route}: {text}")).or_default() += 1;
        }
        thread::sleep(Duration::from_millis(50));
    }
    drop((base, server));
    for (second, texts) in seconds {
        record.line(&format!("second {second} after the first beat: {texts:?}"));
    }
    let count = |route: &str| counts.get(route).copied().unwrap_or_default();
    let ((first_served, first_sent), (later_served, later_sent)) = (count("base"), count("new"));
    let summary = format!(
        "in calm time, the route added later is served {later_served} times of {later_sent}, the first one {first_served} \
         of {first_sent}"
    );
    record.line(&summary);
    println!("{summary}");
    // CONFIG: 20 or more requests on routes that were added later, served less than a quarter as often.
    let share = |served: u32, sent: u32| f64::from(served) / f64::from(sent.max(1));
    later_sent >= 20 && share(later_served, later_sent) < share(first_served, first_sent) / 4.0
}

/// A configuration with a route for each of these services.
fn document(rev: u32, services: &[&str]) -> String {
    let paths: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"hostname\":\"{HOST}\",\"pathPrefix\":\"/{name}/\",\"type\":\"mutating\",\
                 \"deadlineMs\":1500,\"targetMs\":400,\"prio\":0,\"backend\":\"{name}\",\"tries\":2}}"
            )
        })
        .collect();
    let backends: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":130,\"protocol\":\"h1\",\
                 \"useTls\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"rev\":{rev},\"paths\":[{}],\"backends\":[{}],\"reqLimits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        paths.join(","),
        backends.join(",")
    )
}
