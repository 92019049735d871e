//! Hundreds of changes of a configuration with many routes, through three control nodes, an agent and an edge on
//! loopback: the files of a control node must not grow beyond the size of a few versions. `CHANGES=10000` makes more
//! changes, and a release build (`cargo test --release --test changes -- --nocapture`) prints the figures of
//! docs/hardening.md.
//!
//! A node that was down for one change or for many (`MISSED=1,100,1000`) must catch up by receiving one complete
//! state. Old state on a disk must neither replace newer state nor cause a view change.

mod common;

use std::time::{Duration, Instant};

use common::{request, wait_until, System, EDGE_MACHINE, WAIT_TIMEOUT};

/// Number of routes in the largest configuration of the users' workloads.
const ROUTE_COUNT: usize = 700;
/// Enough to overwrite each page of the store many times, in a few seconds.
const DEFAULT_CHANGE_COUNT: u64 = 200;
/// Limit for the files of a control node, in versions: `SQLite`'s pages of the current and the next version, the
/// journal, and unused space in half-filled pages.
const MAX_VERSIONS_ON_DISK: u64 = 5;

fn document(rev: u64) -> String {
    let routes: Vec<String> = (0..ROUTE_COUNT)
        .map(|index| {
            format!(
                r#"{{"name":"route-{index:04}","hostname":"site-{index}.example","pathPrefix":"/part-{index}/","type":"cacheable","deadlineMs":1000,"targetMs":{},"backend":"s","tries":2,"maxAgeS":30}}"#,
                100 + (rev + index as u64) % 400,
            )
        })
        .collect();
    format!(r#"{{"rev":{rev},"paths":[{}],"backends":[{{"name":"s"}}],"reqLimits":{{}}}}"#, routes.join(","))
}

/// Sends a version to these nodes in turn until it is acknowledged; returns the number of requests.
fn put_version(system: &System, nodes: &[u8], rev: u64) -> usize {
    let (mut request_count, headers, document) =
        (0, format!("Host: c\r\nIf-Match: {}\r\n", rev - 1), document(rev));
    wait_until("the change is acknowledged", || {
        request_count += 1;
        let control = system.control_addr(nodes[(rev as usize + request_count) % nodes.len()]);
        request(control, "PUT /api/config", &headers, &document).is_some_and(|response| response.0 == 200)
    });
    request_count
}

/// The status of a node that is in a chain of three and knows this version; `None` otherwise.
fn status_if_caught_up(system: &System, node: u8, rev: u64) -> Option<serde_json::Value> {
    let status = system.status(node)?;
    let complete = status["view"]["chain"].as_array()?.len() == 3 && status["rev"].as_u64()? >= rev;
    complete.then_some(status)
}

fn read_config(system: &System, node: u8) -> Option<(u16, String)> {
    let (status, _, body) = request(system.control_addr(node), "GET /api/config", "Host: c\r\n", "")?;
    Some((status, body.trim_end().to_owned()))
}

fn bytes_on_disk(system: &System, node: u8) -> u64 {
    let files = std::fs::read_dir(system.state_dir(node)).map(|files| files.flatten().collect::<Vec<_>>());
    files.unwrap_or_default().iter().filter_map(|file| file.metadata().ok()).map(|file| file.len()).sum()
}

/// Resident memory of a process in KB, current and peak.
fn resident_kb(system: &mut System, machine: u8, role: &str) -> (u64, u64) {
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", system.pid(machine, role))).unwrap_or_default();
    let field = |name: &str| {
        let line = status.lines().find(|line| line.starts_with(name))?;
        line.split_whitespace().nth(1)?.parse().ok()
    };
    (field("VmRSS:").unwrap_or(0), field("VmHWM:").unwrap_or(0))
}

#[test]
fn disk_usage_stays_bounded_over_many_configuration_changes() {
    let changes =
        std::env::var("CHANGES").ok().and_then(|count| count.parse().ok()).unwrap_or(DEFAULT_CHANGE_COUNT);
    let mut system = System::start(&["control"], &["agent", "edge"]);
    system.wait_for_chain(&[1, 2, 3], 3);
    let (began, mut request_count, mut last_report) = (Instant::now(), 0, (Instant::now(), 0));
    let version_bytes = document(1).len() as u64;
    println!("{ROUTE_COUNT} routes, {version_bytes} bytes; resident and peak in KB");
    for rev in 1..=changes {
        request_count += put_version(&system, &[1, 2, 3], rev);
        if [changes / 100, changes / 10, changes].contains(&rev) {
            let disks: Vec<u64> = (1..EDGE_MACHINE).map(|node| bytes_on_disk(&system, node)).collect();
            let control: Vec<_> =
                (1..EDGE_MACHINE).map(|node| resident_kb(&mut system, node, "control")).collect();
            let (agent, edge) = (
                resident_kb(&mut system, EDGE_MACHINE, "agent"),
                resident_kb(&mut system, EDGE_MACHINE, "edge"),
            );
            let ms_per_change = last_report.0.elapsed().as_secs_f64() * 1000.0 / (rev - last_report.1) as f64;
            let received_bytes = |node: u8| {
                system
                    .status(node)
                    .and_then(|status| status["counters"]["message_bytes_heard"].as_u64())
                    .unwrap_or(0)
            };
            let versions_received =
                (1..EDGE_MACHINE).map(received_bytes).sum::<u64>() as f64 / (rev * version_bytes) as f64;
            println!("{rev}: {ms_per_change:.1} ms per change and {versions_received:.2} versions received per change; on disk {disks:?}; control {control:?}, agent {agent:?}, edge {edge:?}");
            last_report = (Instant::now(), rev);
        }
    }
    println!("{changes} changes, {request_count} requests, {:.1} s", began.elapsed().as_secs_f64());
    for node in 1..EDGE_MACHINE {
        let size = bytes_on_disk(&system, node);
        assert!(
            size <= version_bytes * MAX_VERSIONS_ON_DISK,
            "{size} bytes on the disk of node {node}, with {version_bytes} bytes per version"
        );
    }
    assert_eq!(read_config(&system, 2), Some((200, document(changes))));
}

#[test]
fn a_restarted_node_is_sent_one_complete_state_however_many_changes_it_missed() {
    let missed_counts = std::env::var("MISSED").unwrap_or_else(|_| "1,25".into());
    let mut system = System::start(&["control"], &["agent"]);
    system.wait_for_chain(&[1, 2, 3], 3);
    let (mut rev, version_bytes) = (1, document(1).len() as u64);
    put_version(&system, &[1, 2], rev);
    let restart_after_missing = |system: &mut System, rev: &mut u64, missed_changes: u64, disk_lost: bool| {
        system.kill(3, "control");
        system.wait_for_chain(&[1, 2], 2);
        for _ in 0..missed_changes {
            *rev += 1;
            put_version(system, &[1, 2], *rev);
        }
        if disk_lost {
            std::fs::remove_dir_all(system.state_dir(3)).unwrap();
            let settings = system.folder.join("3.toml");
            let text = std::fs::read_to_string(&settings).unwrap();
            std::fs::write(settings, text.replace("bootstrap = true", "bootstrap = false")).unwrap();
        }
        let began = Instant::now();
        system.respawn(3, "control");
        wait_until("the restarted node is in the chain and has the newest version", || {
            status_if_caught_up(system, 3, *rev).is_some()
        });
        let elapsed_ms = began.elapsed().as_millis();
        let status = status_if_caught_up(system, 3, *rev).unwrap();
        let received_bytes = status["counters"]["message_bytes_heard"].as_u64().unwrap();
        println!("{missed_changes} missed, disk lost: {disk_lost}: in the chain after {elapsed_ms} ms, {received_bytes} bytes received, {version_bytes} bytes per version");
        // Each of the two other nodes sends the state when it sees that this one has an older version, and the view
        // change sends it once more. All of this happens twice if the first view fails.
        assert!(
            received_bytes < 7 * version_bytes,
            "{received_bytes} bytes received after {missed_changes} missed changes"
        );
    };
    for missed_count in missed_counts.split(',') {
        restart_after_missing(&mut system, &mut rev, missed_count.parse().unwrap(), false);
    }
    restart_after_missing(&mut system, &mut rev, 10, true);
    assert_eq!(read_config(&system, 3), Some((200, document(rev))));
}

#[test]
fn a_node_joins_the_chain_while_configuration_changes_continue() {
    let mut system = System::start(&["control"], &["agent"]);
    system.wait_for_chain(&[1, 2, 3], 3);
    system.kill(3, "control");
    system.wait_for_chain(&[1, 2], 2);
    let (mut rev, mut restarted, mut slowest, mut changes_in_chain) = (0, None, Duration::ZERO, 0);
    // Ten changes before the node starts, and ten once it is in the chain.
    while changes_in_chain < 10 {
        rev += 1;
        let sent_at = Instant::now();
        put_version(&system, &[1, 2], rev);
        slowest = slowest.max(sent_at.elapsed());
        std::thread::sleep(Duration::from_millis(100).saturating_sub(sent_at.elapsed()));
        if rev == 10 {
            system.respawn(3, "control");
            restarted = Some((Instant::now(), rev));
        }
        let (started, restart_rev) = restarted.unwrap_or((Instant::now(), rev));
        assert!(started.elapsed() < WAIT_TIMEOUT, "not in the chain after {} changes", rev - restart_rev);
        if status_if_caught_up(&system, 3, restart_rev).is_some() {
            if changes_in_chain == 0 {
                println!(
                    "in the chain after {} ms and {} changes",
                    started.elapsed().as_millis(),
                    rev - restart_rev
                );
            }
            changes_in_chain += 1;
        }
    }
    println!("{rev} changes, the slowest took {} ms", slowest.as_millis());
    assert_eq!(read_config(&system, 3), Some((200, document(rev))));
}

#[test]
fn a_new_head_starts_from_the_newest_state_of_a_majority_when_its_own_is_old() {
    let mut system = System::start(&["control"], &["agent"]);
    system.wait_for_chain(&[1, 2, 3], 3);
    put_version(&system, &[1, 2, 3], 1);
    system.kill(1, "control");
    system.wait_for_chain(&[2, 3], 2);
    for rev in 2..8 {
        put_version(&system, &[2, 3], rev);
    }
    // The node with the lowest address proposes first; its disk has the state from before it was killed.
    system.kill_others_and_respawn_all(1, "control");
    system.wait_for_chain(&[1, 2, 3], 3);
    let chain_head = system.status(1).unwrap()["view"]["chain"][0].clone();
    assert_eq!(chain_head, system.control_addr(1).ip().to_string());
    for node in 1..EDGE_MACHINE {
        assert_eq!(read_config(&system, node), Some((200, document(7))));
        // No node returned to the old version, even temporarily.
        let log = std::fs::read_to_string(system.log_path(node)).unwrap();
        assert_eq!(log.matches("configuration committed rev=1 ").count(), 1, "{log}");
    }
    put_version(&system, &[1, 2, 3], 8);
}

#[test]
fn a_removed_voter_that_returns_with_its_old_disk_causes_no_view_change() {
    let mut system = System::start(&["control"], &["agent"]);
    system.wait_for_chain(&[1, 2, 3], 3);
    put_version(&system, &[1, 2, 3], 1);
    system.kill(3, "control");
    system.wait_for_chain(&[1, 2], 2);
    let change_voter = |system: &System, subcommand: &str| {
        let control = system.control_addr_text(1);
        system.run_command(&[
            "core",
            subcommand,
            "--control",
            &control,
            &system.control_addr(3).ip().to_string(),
        ])
    };
    let (removed, output) = change_voter(&system, "remove");
    assert!(removed, "{output}");
    // The removed node misses the view change and these configuration changes.
    for rev in 2..12 {
        put_version(&system, &[1, 2], rev);
    }
    let view = system.status(1).unwrap()["view"].clone();
    system.respawn(3, "control");
    wait_until("the removed voter has the newest version", || {
        system.status(3).is_some_and(|status| status["rev"] == 11)
    });
    for rev in 12..20 {
        put_version(&system, &[1, 2, 3], rev);
    }
    assert_eq!(system.status(1).unwrap()["view"], view, "the old disk caused a view change");
    assert_eq!(read_config(&system, 3), Some((200, document(19))));
    // The command is refused until all voters are connected to the node.
    wait_until("the node is added as a voter", || change_voter(&system, "add").0);
    system.wait_for_chain(&[1, 2, 3], 3);
    put_version(&system, &[3], 20);
}
