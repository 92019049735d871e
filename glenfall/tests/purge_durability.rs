//! A purge is acknowledged once it outlives the loss of as many disks as `survive.hosts` promises, even where all power is
//! lost at that very moment: its record lies on one disk more than that.

mod common;

use common::{request, wait_until, System};

/// Takes the purge log of a machine away for good: where its file should be lies a folder.
fn break_log(system: &System, n: u8) {
    std::fs::create_dir_all(system.state_dir(n).join("purges.sqlite").join("in-the-way")).unwrap();
}

/// How a purge ends whose order goes to the first of three control nodes, while the disks of some take no purges.
fn purge_status(broken: &[u8]) -> u16 {
    let mut system = System::start_with_settings(&["control"], &["agent"], "[survive]\nhosts = 1\n");
    system.wait_for_chain(&[1, 2, 3], 3);
    for n in broken {
        system.kill(*n, "control");
        std::fs::remove_dir_all(system.state_dir(*n)).unwrap();
        system.edit_settings(*n, &[("bootstrap = true", "bootstrap = false")]);
        break_log(&system, *n);
        system.respawn(*n, "control");
        system.wait_for_chain(&[1, 2, 3], 3);
    }
    // Leases of before are over, and every node has its session and links.
    std::thread::sleep(std::time::Duration::from_secs(2));
    let purge = || {
        let heard = request(system.control_addr(1), "POST /api/purge", "Host: c\r\n", r#"{"label":"l"}"#)
            .map(|h| h.0);
        heard.unwrap_or(0)
    };
    let mut status = purge();
    if broken.len() < 2 {
        // A purge that is refused at first may be sent again.
        wait_until("a purge is acknowledged", || {
            status = if status == 200 { 200 } else { purge() };
            status == 200
        });
    }
    status
}

#[test]
fn a_purge_is_acknowledged_only_once_its_record_is_on_one_disk_more_than_may_be_lost() {
    let table: [(&[u8], u16); 5] = [(&[], 200), (&[3], 200), (&[1], 200), (&[2, 3], 503), (&[1, 2], 503)];
    for (broken, expected) in table {
        assert_eq!(purge_status(broken), expected, "without the purge logs of {broken:?}");
    }
}
