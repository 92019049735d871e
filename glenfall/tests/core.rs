//! Three control nodes as processes on loopback: suspended and resumed, without a majority, killed, with damaged state
//! files and restored from a backup.

mod common;

use std::time::Duration;

use common::{request, wait_until, System, EDGE_MACHINE, WAIT_TIMEOUT};

#[test]
fn a_suspended_control_node_rejoins_the_chain_after_it_resumes_and_stays() {
    let mut core = System::start(&["control"], &["agent"]);
    core.wait_for_chain(&[1, 2, 3], 3);
    let before = core.disconnect_count();
    core.signal(2, "control", "-STOP");
    core.wait_for_chain(&[1, 3], 2);
    core.signal(2, "control", "-CONT");
    core.wait_for_chain(&[1, 2, 3], 3);
    // Each end of the two links may log the loss, and the suspended node once more when it resumes and reads what arrived
    // meanwhile.
    let losses = core.disconnect_count() - before;
    assert!(losses <= 8, "{losses} link losses were logged");
    // A past fault made the links flap: they were lost again within two seconds.
    std::thread::sleep(Duration::from_millis(2500));
    assert_eq!(core.disconnect_count() - before, losses);
    core.wait_for_chain(&[1, 2, 3], 3);
}

#[test]
fn a_control_node_without_a_majority_ends_the_sessions_of_its_agents() {
    let mut core = System::start(&["control"], &["agent"]);
    core.wait_for_chain(&[1, 2, 3], 3);
    let began = std::time::Instant::now();
    let connected_node = loop {
        assert!(
            began.elapsed() < WAIT_TIMEOUT,
            "timed out waiting for: the agent has a session at a control node"
        );
        if let Some(node) = (1..=3).find(|node| core.session_count(*node) == Some(1)) {
            break node;
        }
        std::thread::sleep(Duration::from_millis(50));
    };
    for other in (1..=3).filter(|node| *node != connected_node) {
        core.signal(other, "control", "-STOP");
    }
    let began = std::time::Instant::now();
    while core.session_count(connected_node) != Some(0) {
        assert!(
            began.elapsed() < WAIT_TIMEOUT,
            "timed out waiting for: the node without a majority ends the agent's session"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(core.status(connected_node).unwrap()["inMajority"], false);
    for other in (1..=3).filter(|node| *node != connected_node) {
        core.signal(other, "control", "-CONT");
    }
    let began = std::time::Instant::now();
    while (1..=3).filter_map(|node| core.session_count(node)).sum::<usize>() != 1 {
        assert!(began.elapsed() < WAIT_TIMEOUT, "timed out waiting for: the agent has one session again");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Whether a server is ready according to a control node; `None` when the node does not know the server.
fn is_server_ready(core: &System, node: u8, id: &str) -> Option<bool> {
    let status = core.status(node)?;
    let server = status["servers"].as_array()?.iter().find(|server| server["id"] == id)?;
    server["ready"].as_bool()
}

#[test]
fn draining_is_acknowledged_once_all_connected_control_nodes_know_it() {
    let mut core = System::start(&["control"], &["agent"]);
    core.wait_for_chain(&[1, 2, 3], 3);
    let send_heartbeat = |core: &System, status: &str, seq: u32| {
        let body = format!(
            r#"{{"backend":"s","addr":"127.0.0.1:9","zone":"z","capacity":1,"status":"{status}","callSeq":{seq}}}"#
        );
        request(core.control_addr(1), "PUT /api/servers/i-1", "Host: c\r\n", &body)
            .map_or(0, |response| response.0)
    };
    wait_until("a heartbeat is accepted", || send_heartbeat(&core, "ready", 1) == 200);
    wait_until("the other control nodes know the server", || {
        (2..=3).all(|node| is_server_ready(&core, node, "i-1") == Some(true))
    });
    core.signal(2, "control", "-STOP");
    let first_status = send_heartbeat(&core, "draining", 2);
    let peers = core.status(1).expect("the status of node 1")["peers"].clone();
    let peer_is_connected =
        peers.as_array().is_some_and(|peers| peers.iter().any(|peer| peer == "127.0.8.2"));
    assert!(
        first_status == 503 || !peer_is_connected,
        "{first_status}, though a connected peer has not acknowledged the draining"
    );
    // Once the node is known to be lost, only the others must acknowledge.
    wait_until("the draining is acknowledged", || send_heartbeat(&core, "draining", 3) == 200);
    assert_eq!(is_server_ready(&core, 3, "i-1"), Some(false));
    core.signal(2, "control", "-CONT");
    wait_until("the resumed node knows that the server is draining", || {
        is_server_ready(&core, 2, "i-1") == Some(false)
    });
    // Deregistration is idempotent.
    let deregister = || {
        request(core.control_addr(3), "DELETE /api/servers/i-1", "Host: c\r\n", "").map(|response| response.0)
    };
    wait_until("a deregistration is accepted", || deregister() == Some(200));
    assert_eq!(deregister(), Some(200));
    wait_until("no control node knows the server", || {
        (1..=3).all(|node| is_server_ready(&core, node, "i-1").is_none())
    });
}

#[test]
fn damaged_state_is_repaired_from_the_chain_and_lost_state_from_a_backup() {
    let mut core = System::start(&["control"], &["agent"]);
    core.wait_for_chain(&[1, 2, 3], 3);
    let document = r#"{"rev": 5, "paths": [], "backends": [{"name": "s"}]}"#;
    std::fs::write(core.folder.join("five.json"), document).unwrap();
    let control = core.control_addr_text(2);
    let stored = core.run_command(&["config", "put", "--control", &control, "--builds-on", "0", "five.json"]);
    assert!(stored.0, "{}", stored.1);
    let exported = core.run_command(&["state", "export", "--control", &control, "backup.json"]);
    assert_eq!(exported, (true, "configuration 5, change 1, exported\n".into()));
    let second_export = core.run_command(&["state", "export", "--control", &control, "backup.json"]);
    assert!(!second_export.0, "an existing backup must not be overwritten");
    let (verified, error) = core.run_command(&["state", "verify", "state-1"]);
    assert!(!verified && error.contains("locked"), "{error}");

    core.restart_control_nodes(|core| {
        let (verified, output) = core.run_command(&["state", "verify", "state-1"]);
        assert!(verified && output.starts_with("configuration 5, change 1, "), "{output}");
        // Cells are stored from the end of a page downwards: the newest row ends where the second page does.
        let path = core.state_dir(1).join("state.sqlite");
        let mut bytes = std::fs::read(&path).unwrap();
        bytes[2 * 4096 - 12] ^= 1;
        std::fs::write(path, bytes).unwrap();
        let (verified, error) = core.run_command(&["state", "verify", "state-1"]);
        assert!(!verified && error.contains("state on disk") && error.lines().count() == 1, "{error}");
    });
    core.wait_for_chain(&[1, 2, 3], 3);
    let log = std::fs::read_to_string(core.log_path(1)).unwrap();
    assert_eq!(log.matches("state set aside").count(), 1);
    let current = core.run_command(&["config", "get", "--control", &core.control_addr_text(1)]);
    assert_eq!(current, (true, format!("{document}\n")));

    core.restart_control_nodes(|core| {
        for node in 1..=3 {
            std::fs::remove_dir_all(core.state_dir(node)).unwrap();
            let state_folder = format!("state-{node}");
            let imported = core.run_command(&["state", "import", "backup.json", "--into", &state_folder]);
            assert_eq!(imported, (true, "configuration 5, change 1, imported\n".into()));
            let (imported_again, error) =
                core.run_command(&["state", "import", "backup.json", "--into", &state_folder]);
            assert!(!imported_again && error.contains("already exists: a new state"), "{error}");
        }
    });
    core.wait_for_chain(&[1, 2, 3], 3);
    let current = core.run_command(&["config", "get", "--control", &core.control_addr_text(3)]);
    assert_eq!(current, (true, format!("{document}\n")));
    // The restored control nodes continue from the version of the backup.
    std::fs::write(core.folder.join("seven.json"), document.replace('5', "7")).unwrap();
    let stale = core.run_command(&["config", "put", "--control", &control, "--builds-on", "4", "seven.json"]);
    assert!(!stale.0 && stale.1.contains("412"), "{}", stale.1);
    let stored =
        core.run_command(&["config", "put", "--control", &control, "--builds-on", "5", "seven.json"]);
    assert!(stored.0, "{}", stored.1);
}

#[test]
fn after_a_restore_changes_in_the_backup_are_confirmed_and_lost_version_numbers_are_not_reused() {
    let mut core = System::start(&["control"], &[]);
    core.wait_for_chain(&[1, 2, 3], 3);
    let document =
        |rev: u64, note: &str| format!(r#"{{"rev":{rev},"paths":[],"backends":[],"note":"{note}"}}"#);
    let patch =
        |rev: u64, name: &str| format!(r#"{{"rev":{rev},"upsert":{{"backends":[{{"name":"{name}"}}]}}}}"#);
    // Repeats the same change until the response is final. A 503 is final for a change that may have been accepted before
    // the retained history begins, as its outcome can no longer be determined.
    let send_change = |core: &System, node: u8, method: &str, builds_on: u64, body: &str| {
        let headers = format!("Host: c\r\nIf-Match: {builds_on}\r\n");
        let mut response = (0, String::new());
        wait_until("the response to the change is final", || {
            let line = format!("{method} /api/config");
            if let Some((status, _, response_body)) = request(core.control_addr(node), &line, &headers, body)
            {
                response = (status, response_body);
            }
            !matches!(response.0, 0 | 503) || response.1.contains("too long ago")
        });
        response
    };
    let stored = send_change(&core, 1, "PUT", 0, &document(5, "one"));
    assert_eq!(stored, (200, r#"{"rev":5}"#.into()));
    assert_eq!(send_change(&core, 2, "PATCH", 5, &patch(7, "s")).0, 200);
    // The same version number with other content, by the other method, or based on another version.
    assert_eq!(send_change(&core, 1, "PATCH", 5, &patch(7, "t")).0, 412);
    assert_eq!(send_change(&core, 2, "PUT", 5, &patch(7, "s")).0, 412);
    assert_eq!(send_change(&core, 3, "PATCH", 0, &patch(7, "s")).0, 412);
    let exported =
        core.run_command(&["state", "export", "--control", &core.control_addr_text(3), "backup.json"]);
    assert!(exported.0, "{}", exported.1);
    assert_eq!(send_change(&core, 3, "PUT", 7, &document(9, "lost")).0, 200);
    core.restart_control_nodes(|core| {
        for node in 1..=3 {
            std::fs::remove_dir_all(core.state_dir(node)).unwrap();
            let state_folder = format!("state-{node}");
            let args = ["state", "import", "backup.json", "--into", &state_folder, "--acknowledged", "9"];
            assert_eq!(core.run_command(&args), (true, "configuration 7, change 2, imported\n".into()));
        }
    });
    core.wait_for_chain(&[1, 2, 3], 3);
    for restarted in [false, true] {
        for node in 1..=3 {
            assert_eq!(send_change(&core, node, "PUT", 0, &document(5, "one")), (200, r#"{"rev":5}"#.into()));
            assert_eq!(send_change(&core, node, "PATCH", 5, &patch(7, "s")).0, 200);
            // The lost change, and other changes with a number that may have been acknowledged.
            let (lost, other) = (document(9, "lost"), document(9, "another"));
            for (method, builds_on, body) in [
                ("PUT", 7, &lost),
                ("PUT", 7, &other),
                ("PATCH", 5, &patch(7, "t")),
                ("PUT", 5, &patch(7, "s")),
            ] {
                let (status, error) = send_change(&core, node, method, builds_on, body);
                assert!(status == 503 && error.contains("versions up to 9"), "{status}: {error}");
                // The response tells the caller which version is active and where to read it.
                let error_body: serde_json::Value = serde_json::from_str(&error).unwrap();
                let current = if restarted { 11 } else { 7 };
                let expected = serde_json::json!([current, 9, "/api/config"]);
                assert_eq!(
                    serde_json::json!([
                        error_body["current"],
                        error_body["forgottenUpTo"],
                        error_body["readBack"]
                    ]),
                    expected
                );
            }
        }
        // The command reports this after its first request, without retrying.
        std::fs::write(core.folder.join("lost.json"), document(9, "lost")).unwrap();
        let stored = core.run_command(&[
            "config",
            "put",
            "--control",
            &core.control_addr_text(2),
            "--builds-on",
            "7",
            "lost.json",
        ]);
        assert!(!stored.0 && stored.1.contains("read it back"), "{}", stored.1);
        if !restarted {
            assert_eq!(send_change(&core, 1, "PUT", 7, &document(11, "on")).0, 200);
            // The second iteration checks the state on disk, without the backup.
            core.restart_control_nodes(|_| ());
            core.wait_for_chain(&[1, 2, 3], 3);
        }
    }
}

#[test]
fn a_declared_configuration_is_planned_applied_once_and_exported() {
    let core = System::start(&["control"], &[]);
    core.wait_for_chain(&[1, 2, 3], 3);
    let control = core.control_addr_text(1);
    for folder in ["site/routes", "site/services"] {
        std::fs::create_dir_all(core.folder.join(folder)).unwrap();
    }
    let write_file = |name: &str, text: &str| std::fs::write(core.folder.join(name), text).unwrap();
    write_file("site/services/store.toml", "ratePerS = 690");
    write_file(
        "site/routes/pages.toml",
        "hostname = \"h\"\npathPrefix = \"/p/\"\ntype = \"cacheable\"\ndeadlineMs = 900\nbackend = \"store\"\n",
    );
    let declared = |subcommand: &[&str]| {
        core.run_command(&[&["declared"], subcommand, &["--control", &control, "site"]].concat())
    };
    let added = "+ paths pages\n+ backends store\n";
    assert_eq!(declared(&["plan"]), (true, format!("changes to version 0:\n{added}")));
    assert_eq!(declared(&["apply"]), (true, format!("version 1 is now active:\n{added}")));
    assert_eq!(declared(&["apply"]), (true, "version 1 matches the declared configuration\n".into()));
    write_file("site/services/store.toml", "ratePerS = 700");
    let (applied_stale, error) = declared(&["apply", "--if-rev", "4"]);
    assert!(!applied_stale && error.contains("version 1 is active, not 4: review"), "{error}");
    let changed = "~ backends store\n    ratePerS: 690 -> 700\n";
    let applied = declared(&["apply", "--if-rev", "1"]);
    assert_eq!(applied, (true, format!("version 2 is now active:\n{changed}")));
    write_file("site/services/store.toml", "ratePerS = 700\nratePers = 1");
    let (applied_invalid, error) = declared(&["apply"]);
    assert!(!applied_invalid && error.contains("store.toml: unknown field: ratePers"), "{error}");
    let exported = core.run_command(&["declared", "export", "--control", &control, "copy"]);
    assert_eq!(exported, (true, "version 2 written\n".into()));
    let plan_of_copy = core.run_command(&["declared", "plan", "--control", &control, "copy"]);
    assert_eq!(plan_of_copy, (true, "version 2 matches the declared configuration\n".into()));
}

/// The voters, by the last number of their addresses; `None` unless all control nodes report the same ones.
fn agreed_voters(core: &System) -> Option<Vec<u64>> {
    let voters_at = |node: u8| -> Option<Vec<u64>> {
        let status = core.status(node)?;
        let voters = status["voters"].as_array()?.iter();
        voters.map(|voter| voter.as_str()?.rsplit('.').next()?.parse().ok()).collect()
    };
    let first = voters_at(1)?;
    (2..=3).all(|node| voters_at(node).as_ref() == Some(&first)).then_some(first)
}

#[test]
fn voters_are_removed_and_added_by_command_and_invalid_changes_are_refused_in_one_line() {
    let mut core = System::start(&["control"], &["agent"]);
    core.wait_for_chain(&[1, 2, 3], 3);
    let control = core.control_addr_text(1);
    let change_voter = |core: &System, subcommand: &str, node: u8| {
        core.run_command(&[
            "core",
            subcommand,
            "--control",
            &control,
            &core.control_addr(node).ip().to_string(),
        ])
    };
    let (listed, text) = core.run_command(&["core", "list", "--control", &control]);
    let statuses: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert!(listed && statuses[0]["voters"].as_array().unwrap().len() == 3, "{text}");
    assert_eq!(statuses[0]["standingBy"].as_array().unwrap().len(), 0, "{text}");
    let (added, error) = change_voter(&core, "add", 2);
    assert!(
        !added && error.contains("127.0.8.2 is a voter already") && error.lines().count() == 1,
        "{error}"
    );
    let (removed, error) = change_voter(&core, "remove", EDGE_MACHINE);
    assert!(!removed && error.contains("127.0.8.4 is no voter"), "{error}");

    let (removed, output) = change_voter(&core, "remove", 3);
    assert!(removed, "{output}");
    wait_until("all control nodes know two voters", || agreed_voters(&core) == Some(vec![1, 2]));
    std::fs::write(core.folder.join("c.json"), r#"{"rev": 1}"#).unwrap();
    let stored = core.run_command(&["config", "put", "--control", &control, "--builds-on", "0", "c.json"]);
    assert!(stored.0, "{}", stored.1);
    let (added, output) = change_voter(&core, "add", 3);
    assert!(added, "{output}");
    // The restart shows that the voters are stored on disk.
    core.restart_control_nodes(|_| ());
    core.wait_for_chain(&[1, 2, 3], 3);
    wait_until("all control nodes know three voters", || agreed_voters(&core) == Some(vec![1, 2, 3]));
}

#[test]
fn processes_started_one_after_the_other_in_any_order_connect_to_each_other() {
    // The seed nodes start last, and no two of them at once.
    let mut system = System::start(&[], &[]);
    for (machine, role) in
        [(EDGE_MACHINE, "edge"), (EDGE_MACHINE, "agent"), (3, "control"), (1, "control"), (2, "control")]
    {
        system.start_process(machine, role);
        std::thread::sleep(Duration::from_millis(100));
    }
    system.wait_for_chain(&[1, 2, 3], 3);
    std::fs::write(system.folder.join("c.json"), r#"{"rev": 1}"#).unwrap();
    let stored = system.run_command(&[
        "config",
        "put",
        "--control",
        &system.control_addr_text(3),
        "--builds-on",
        "0",
        "c.json",
    ]);
    assert!(stored.0, "{}", stored.1);
    let ready = system.edge_addrs()[1];
    wait_until("the edge is ready", || {
        request(ready, "GET /api/ready", "Host: e\r\n", "").is_some_and(|response| response.0 == 200)
    });
}

#[test]
fn a_new_control_node_with_unreachable_seeds_joins_once_its_settings_name_reachable_ones() {
    let mut core = System::start(&["control"], &[]);
    core.wait_for_chain(&[1, 2, 3], 3);
    // Only the addresses of the seed nodes are replaced, by unreachable ones.
    core.edit_settings(
        EDGE_MACHINE,
        &[("127.0.8.", "127.0.9."), ("bindIp = \"127.0.9.", "bindIp = \"127.0.8.")],
    );
    for name in ["feedIp", "controlAddr", "http", "readyAddr"] {
        core.edit_settings(
            EDGE_MACHINE,
            &[(&format!("{name} = \"127.0.9."), &format!("{name} = \"127.0.8."))],
        );
    }
    core.edit_settings(
        EDGE_MACHINE,
        &[("bootstrap = true", "bootstrap = false"), ("voter = true", "voter = false")],
    );
    core.start_process(EDGE_MACHINE, "control");
    wait_until("the new control node responds", || core.status(EDGE_MACHINE).is_some());
    let peers = |core: &System| {
        core.status(EDGE_MACHINE).map(|status| status["peers"].as_array().map_or(0, Vec::len))
    };
    // Longer than the longest delay between two attempts to connect to a seed node (`MAX_RECONNECT_BACKOFF`).
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(peers(&core), Some(0), "no seed node is reachable");
    core.edit_settings(EDGE_MACHINE, &[("127.0.9.", "127.0.8.")]);
    wait_until("the new node is connected to three peers", || peers(&core) == Some(3));
    wait_until("the new node is part of a majority", || {
        core.status(EDGE_MACHINE).is_some_and(|status| status["inMajority"] == true)
    });
}

#[test]
fn api_errors_are_short_even_if_they_quote_long_values() {
    let core = System::start(&["control"], &[]);
    core.wait_for_chain(&[1, 2, 3], 3);
    // Quotes and control characters take more bytes when escaped in JSON.
    let long_text = "ü\"\n".repeat(30_000).replace('"', "\\\"").replace('\n', "\\u0001");
    let control = core.control_addr(2);
    for (line, headers, body) in [
        ("PUT /api/servers/i-1", "", format!(r#"{{"capacity": "{long_text}"}}"#)),
        ("PUT /api/config", "If-Match: 0\r\n", format!(r#"{{"rev": "{long_text}"}}"#)),
        (
            "PUT /api/config",
            "If-Match: 0\r\n",
            format!(r#"{{"rev": 1, "backends": [{{"name": "{long_text}"}}, {{"name": "{long_text}"}}]}}"#),
        ),
    ] {
        let headers = format!("Host: c\r\n{headers}");
        let (status, _, response_body) = request(control, line, &headers, &body).expect("a response");
        assert_eq!(status, 400, "{response_body}");
        assert!(
            response_body.len() <= 4096 && response_body.starts_with("{\"error\":"),
            "{line}: {} bytes",
            response_body.len()
        );
    }
}
