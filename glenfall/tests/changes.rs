//! Hundreds of changes of a configuration with many routes, through three control nodes, an agent and an edge on
//! loopback: what lies on their disks stays as large as one version. `CHANGES=10000` plays more, and a release build
//! (`cargo test --release --test changes -- --nocapture`) prints the figures of docs/hardening.md.

mod common;

use std::time::Instant;

use common::{await_that, request, System, EDGE};

/// Routes of the largest configuration of the users' days.
const ROUTES: usize = 700;
/// Enough for each page of the store to be written over many times, in a few seconds.
const CHANGES: u64 = 200;
/// SQLite's pages of one version, of the next beside it and of the journal, with what is lost in half-filled ones.
const VERSIONS_ON_DISK: u64 = 5;

fn document(rev: u64) -> String {
    let routes: Vec<String> = (0..ROUTES)
        .map(|n| {
            format!(
                r#"{{"name":"route-{n:04}","hostname":"site-{n}.example","pathPrefix":"/part-{n}/","type":"cacheable","deadlineMs":1000,"targetMs":{},"backend":"s","tries":2,"maxAgeS":30}}"#,
                100 + (rev + n as u64) % 400,
            )
        })
        .collect();
    format!(r#"{{"rev":{rev},"paths":[{}],"backends":[{{"name":"s"}}],"reqLimits":{{}}}}"#, routes.join(","))
}

/// Puts a version until it is acknowledged; gives how many calls that took.
pub fn put(core: &System, rev: u64, document: &str) -> u64 {
    let (mut calls, head) = (0, format!("Host: c\r\nIf-Match: {}\r\n", rev - 1));
    await_that("a change is acknowledged", || {
        calls += 1;
        let node = 1 + ((rev + calls) % 3) as u8;
        request(core.control_addr(node), "PUT /api/config", &head, document)
            .is_some_and(|heard| heard.0 == 200)
    });
    calls
}

fn on_disk(core: &System, n: u8) -> u64 {
    let files = std::fs::read_dir(core.state_dir(n)).map(|files| files.flatten().collect::<Vec<_>>());
    files.unwrap_or_default().iter().filter_map(|file| file.metadata().ok()).map(|file| file.len()).sum()
}

/// Resident kilobytes, now and at the most.
fn resident(core: &mut System, n: u8, role: &str) -> (u64, u64) {
    let status = std::fs::read_to_string(format!("/proc/{}/status", core.pid(n, role))).unwrap_or_default();
    let field = |name: &str| {
        let line = status.lines().find(|line| line.starts_with(name))?;
        line.split_whitespace().nth(1)?.parse().ok()
    };
    (field("VmRSS:").unwrap_or(0), field("VmHWM:").unwrap_or(0))
}

#[test]
fn state_stays_as_large_as_one_version_however_many_changes_come() {
    let changes = std::env::var("CHANGES").ok().and_then(|n| n.parse().ok()).unwrap_or(CHANGES);
    let mut core = System::start(&["control"], &["agent", "edge"]);
    core.await_chain(&[1, 2, 3], 3);
    let (began, mut calls, mut since) = (Instant::now(), 0, (Instant::now(), 0));
    let bytes = document(1).len() as u64;
    println!("{ROUTES} routes, {bytes} bytes; resident and peak in KB");
    for rev in 1..=changes {
        calls += put(&core, rev, &document(rev));
        if [changes / 100, changes / 10, changes].contains(&rev) {
            let disks: Vec<u64> = (1..EDGE).map(|n| on_disk(&core, n)).collect();
            let control: Vec<_> = (1..EDGE).map(|n| resident(&mut core, n, "control")).collect();
            let (agent, edge) = (resident(&mut core, EDGE, "agent"), resident(&mut core, EDGE, "edge"));
            let each = since.0.elapsed().as_secs_f64() * 1000.0 / (rev - since.1) as f64;
            println!("{rev}: {each:.1} ms each; on disk {disks:?}; control {control:?}, agent {agent:?}, edge {edge:?}");
            since = (Instant::now(), rev);
        }
    }
    println!("{changes} changes, {calls} calls, {:.1} s", began.elapsed().as_secs_f64());
    for n in 1..EDGE {
        let size = on_disk(&core, n);
        assert!(size <= bytes * VERSIONS_ON_DISK, "{size} bytes on disk {n} for {bytes} of one version");
    }
    let (status, _, read) = request(core.control_addr(2), "GET /api/config", "Host: c\r\n", "").unwrap();
    assert_eq!((status, read.trim_end()), (200, document(changes).as_str()));
}
