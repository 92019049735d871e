//! Checks that a purge is acknowledged only once its record is on one disk more than the number set as `survive.hosts`.
//! It then survives the loss of that many disks, even if all machines lose power at that moment.

mod common;

use common::{request, wait_until, System};

/// Makes the purge log of a control node unusable: creates a non-empty folder at the path of its file.
fn break_purge_log(system: &System, node: u8) {
    std::fs::create_dir_all(system.state_dir(node).join("purges.sqlite").join("subfolder")).unwrap();
}

/// HTTP status of a purge sent to the first of three control nodes while the purge logs of the given nodes are unusable.
fn purge_status(broken_nodes: &[u8]) -> u16 {
    let mut system = System::start_with_settings(&["control"], &["agent"], "[survive]\nhosts = 1\n");
    system.wait_for_chain(&[1, 2, 3], 3);
    for node in broken_nodes {
        system.kill(*node, "control");
        std::fs::remove_dir_all(system.state_dir(*node)).unwrap();
        system.edit_settings(*node, &[("bootstrap = true", "bootstrap = false")]);
        break_purge_log(&system, *node);
        system.respawn(*node, "control");
        system.wait_for_chain(&[1, 2, 3], 3);
    }
    // Long enough for earlier leases to expire, and for each node to have its session and links again.
    std::thread::sleep(std::time::Duration::from_secs(2));
    let purge = || {
        let response_status =
            request(system.control_addr(1), "POST /api/purge", "Host: c\r\n", r#"{"label":"l"}"#)
                .map(|response| response.0);
        response_status.unwrap_or(0)
    };
    let mut status = purge();
    if broken_nodes.len() < 2 {
        // A refused purge may be retried.
        wait_until("the purge is acknowledged", || {
            status = if status == 200 { 200 } else { purge() };
            status == 200
        });
    }
    status
}

#[test]
fn a_purge_is_acknowledged_only_once_its_record_is_on_one_disk_more_than_may_be_lost() {
    let cases: [(&[u8], u16); 5] = [(&[], 200), (&[3], 200), (&[1], 200), (&[2, 3], 503), (&[1, 2], 503)];
    for (broken_nodes, expected) in cases {
        assert_eq!(purge_status(broken_nodes), expected, "purge logs of nodes {broken_nodes:?} are unusable");
    }
}
