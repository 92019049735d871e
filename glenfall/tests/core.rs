//! Three control nodes as processes on loopback: frozen and woken, cut off from a majority, killed, with damaged
//! and with lost disks.

mod common;

use std::time::Duration;

use common::{request, wait_until, System, EDGE_MACHINE, WAIT_TIMEOUT};

#[test]
fn a_core_machine_that_was_frozen_is_taken_into_the_chain_again_and_stays() {
    let mut core = System::start(&["control"], &["agent"]);
    core.wait_for_chain(&[1, 2, 3], 3);
    let before = core.disconnect_count();
    core.signal(2, "control", "-STOP");
    core.wait_for_chain(&[1, 3], 2);
    core.signal(2, "control", "-CONT");
    core.wait_for_chain(&[1, 2, 3], 3);
    // Each of the four ends may count the loss, and the frozen side once more when it wakes to what has come.
    let losses = core.disconnect_count() - before;
    assert!(losses <= 8, "{losses} times a link was lost");
    // Links that flap would have been lost again by now: they did within two seconds.
    std::thread::sleep(Duration::from_millis(2500));
    assert_eq!(core.disconnect_count() - before, losses);
    core.wait_for_chain(&[1, 2, 3], 3);
}

#[test]
fn a_control_node_without_a_majority_turns_its_agents_away() {
    let mut core = System::start(&["control"], &["agent"]);
    core.wait_for_chain(&[1, 2, 3], 3);
    let began = std::time::Instant::now();
    let at = loop {
        assert!(began.elapsed() < WAIT_TIMEOUT, "the agent finds control");
        if let Some(n) = (1..=3).find(|n| core.session_count(*n) == Some(1)) {
            break n;
        }
        std::thread::sleep(Duration::from_millis(50));
    };
    for other in (1..=3).filter(|n| *n != at) {
        core.signal(other, "control", "-STOP");
    }
    let began = std::time::Instant::now();
    while core.session_count(at) != Some(0) {
        assert!(began.elapsed() < WAIT_TIMEOUT, "the agent is kept by a node that knows nothing new");
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(core.status(at).unwrap()["inMajority"], false);
    for other in (1..=3).filter(|n| *n != at) {
        core.signal(other, "control", "-CONT");
    }
    let began = std::time::Instant::now();
    while (1..=3).filter_map(|n| core.session_count(n)).sum::<usize>() != 1 {
        assert!(began.elapsed() < WAIT_TIMEOUT, "the agent comes back");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// What a control node knows of a server: whether it takes requests.
fn server(core: &System, n: u8, id: &str) -> Option<bool> {
    let status = core.status(n)?;
    let server = status["servers"].as_array()?.iter().find(|server| server["id"] == id)?;
    server["ready"].as_bool()
}

#[test]
fn that_a_server_drains_is_acknowledged_once_all_control_nodes_know_it() {
    let mut core = System::start(&["control"], &["agent"]);
    core.wait_for_chain(&[1, 2, 3], 3);
    let beat = |core: &System, status: &str, seq: u32| {
        let body = format!(
            r#"{{"backend":"s","addr":"127.0.0.1:9","zone":"z","capacity":1,"status":"{status}","callSeq":{seq}}}"#
        );
        request(core.control_addr(1), "PUT /api/servers/i-1", "Host: c\r\n", &body).map_or(0, |heard| heard.0)
    };
    wait_until("a beat is taken", || beat(&core, "ready", 1) == 200);
    wait_until("the others hear of it", || (2..=3).all(|n| server(&core, n, "i-1") == Some(true)));
    core.signal(2, "control", "-STOP");
    let first = beat(&core, "draining", 2);
    let peers = core.status(1).expect("it answers")["peers"].clone();
    let counted_on = peers.as_array().is_some_and(|peers| peers.iter().any(|peer| peer == "127.0.8.2"));
    assert!(first == 503 || !counted_on, "{first}, though a node that is there has not said that it knows");
    // Once that node is known to be lost, the others are all there are.
    wait_until("it is acknowledged", || beat(&core, "draining", 3) == 200);
    assert_eq!(server(&core, 3, "i-1"), Some(false));
    core.signal(2, "control", "-CONT");
    wait_until("whoever comes back hears of it", || server(&core, 2, "i-1") == Some(false));
    // A second goodbye is as good as the first.
    let goodbye = || request(core.control_addr(3), "DELETE /api/servers/i-1", "Host: c\r\n", "").map(|h| h.0);
    wait_until("a goodbye is taken", || goodbye() == Some(200));
    assert_eq!(goodbye(), Some(200));
    wait_until("none knows it any more", || (1..=3).all(|n| server(&core, n, "i-1").is_none()));
}

#[test]
fn damage_is_repaired_from_the_chain_and_a_lost_core_from_a_backup() {
    let mut core = System::start(&["control"], &["agent"]);
    core.wait_for_chain(&[1, 2, 3], 3);
    let document = r#"{"rev": 5, "paths": [], "backends": [{"name": "s"}]}"#;
    std::fs::write(core.folder.join("five.json"), document).unwrap();
    let at = core.control_addr_text(2);
    let put = core.run_command(&["config", "put", "--control", &at, "--builds-on", "0", "five.json"]);
    assert!(put.0, "{}", put.1);
    let exported = core.run_command(&["state", "export", "--control", &at, "backup.json"]);
    assert_eq!(exported, (true, "configuration 5, change 1, exported\n".into()));
    let again = core.run_command(&["state", "export", "--control", &at, "backup.json"]);
    assert!(!again.0, "a backup is not written over");
    let (held, why) = core.run_command(&["state", "verify", "state-1"]);
    assert!(!held && why.contains("locked"), "{why}");

    core.restart_control_nodes(|core| {
        let (whole, said) = core.run_command(&["state", "verify", "state-1"]);
        assert!(whole && said.starts_with("configuration 5, change 1, "), "{said}");
        // The newest byte of the row lies at the end of the second page, where cells grow from.
        let path = core.state_dir(1).join("state.sqlite");
        let mut bytes = std::fs::read(&path).unwrap();
        bytes[2 * 4096 - 12] ^= 1;
        std::fs::write(path, bytes).unwrap();
        let (whole, why) = core.run_command(&["state", "verify", "state-1"]);
        assert!(!whole && why.contains("state on disk") && why.lines().count() == 1, "{why}");
    });
    core.wait_for_chain(&[1, 2, 3], 3);
    let log = std::fs::read_to_string(core.log_path(1)).unwrap();
    assert_eq!(log.matches("state set aside").count(), 1);
    let read = core.run_command(&["config", "get", "--control", &core.control_addr_text(1)]);
    assert_eq!(read, (true, format!("{document}\n")));

    core.restart_control_nodes(|core| {
        for n in 1..=3 {
            std::fs::remove_dir_all(core.state_dir(n)).unwrap();
            let into = format!("state-{n}");
            let told = core.run_command(&["state", "import", "backup.json", "--into", &into]);
            assert_eq!(told, (true, "configuration 5, change 1, imported\n".into()));
            let (twice, why) = core.run_command(&["state", "import", "backup.json", "--into", &into]);
            assert!(!twice && why.contains("is in the way"), "{why}");
        }
    });
    core.wait_for_chain(&[1, 2, 3], 3);
    let read = core.run_command(&["config", "get", "--control", &core.control_addr_text(3)]);
    assert_eq!(read, (true, format!("{document}\n")));
    // The restored core goes on where the old one was.
    std::fs::write(core.folder.join("seven.json"), document.replace('5', "7")).unwrap();
    let stale = core.run_command(&["config", "put", "--control", &at, "--builds-on", "4", "seven.json"]);
    assert!(!stale.0 && stale.1.contains("412"), "{}", stale.1);
    let put = core.run_command(&["config", "put", "--control", &at, "--builds-on", "5", "seven.json"]);
    assert!(put.0, "{}", put.1);
}

#[test]
fn orders_taken_before_a_backup_are_confirmed_after_it_and_the_numbers_of_lost_ones_are_not_taken_again() {
    let mut core = System::start(&["control"], &[]);
    core.wait_for_chain(&[1, 2, 3], 3);
    let document =
        |rev: u64, note: &str| format!(r#"{{"rev":{rev},"paths":[],"backends":[],"note":"{note}"}}"#);
    let patch =
        |rev: u64, name: &str| format!(r#"{{"rev":{rev},"upsert":{{"backends":[{{"name":"{name}"}}]}}}}"#);
    // The same order is sent until its answer is clear; what may have been taken too long ago never gets one.
    let told = |core: &System, n: u8, method: &str, builds_on: u64, body: &str| {
        let headers = format!("Host: c\r\nIf-Match: {builds_on}\r\n");
        let mut heard = (0, String::new());
        wait_until("a clear answer", || {
            let line = format!("{method} /api/config");
            if let Some((status, _, said)) = request(core.control_addr(n), &line, &headers, body) {
                heard = (status, said);
            }
            !matches!(heard.0, 0 | 503) || heard.1.contains("too long ago")
        });
        heard
    };
    let put = told(&core, 1, "PUT", 0, &document(5, "one"));
    assert_eq!(put, (200, r#"{"rev":5}"#.into()));
    assert_eq!(told(&core, 2, "PATCH", 5, &patch(7, "s")).0, 200);
    // The same number with another content, by the other method, or upon another version.
    assert_eq!(told(&core, 1, "PATCH", 5, &patch(7, "t")).0, 412);
    assert_eq!(told(&core, 2, "PUT", 5, &patch(7, "s")).0, 412);
    assert_eq!(told(&core, 3, "PATCH", 0, &patch(7, "s")).0, 412);
    let exported =
        core.run_command(&["state", "export", "--control", &core.control_addr_text(3), "backup.json"]);
    assert!(exported.0, "{}", exported.1);
    assert_eq!(told(&core, 3, "PUT", 7, &document(9, "lost")).0, 200);
    core.restart_control_nodes(|core| {
        for n in 1..=3 {
            std::fs::remove_dir_all(core.state_dir(n)).unwrap();
            let into = format!("state-{n}");
            let line = ["state", "import", "backup.json", "--into", &into, "--acknowledged", "9"];
            assert_eq!(core.run_command(&line), (true, "configuration 7, change 2, imported\n".into()));
        }
    });
    core.wait_for_chain(&[1, 2, 3], 3);
    for restarted in [false, true] {
        for n in 1..=3 {
            assert_eq!(told(&core, n, "PUT", 0, &document(5, "one")), (200, r#"{"rev":5}"#.into()));
            assert_eq!(told(&core, n, "PATCH", 5, &patch(7, "s")).0, 200);
            // What was lost, and other orders with a number that may have been acknowledged.
            let (lost, other) = (document(9, "lost"), document(9, "another"));
            for (method, builds_on, body) in [
                ("PUT", 7, &lost),
                ("PUT", 7, &other),
                ("PATCH", 5, &patch(7, "t")),
                ("PUT", 5, &patch(7, "s")),
            ] {
                let (status, why) = told(&core, n, method, builds_on, body);
                assert!(status == 503 && why.contains("versions up to 9"), "{status}: {why}");
                // What the caller can act on: what is in force, and where to read it.
                let answer: serde_json::Value = serde_json::from_str(&why).unwrap();
                let current = if restarted { 11 } else { 7 };
                let expected = serde_json::json!([current, 9, "/api/config"]);
                assert_eq!(
                    serde_json::json!([answer["current"], answer["forgottenUpTo"], answer["readBack"]]),
                    expected
                );
            }
        }
        // The verb says so at its first call, and does not ask again.
        std::fs::write(core.folder.join("lost.json"), document(9, "lost")).unwrap();
        let put = core.run_command(&[
            "config",
            "put",
            "--control",
            &core.control_addr_text(2),
            "--builds-on",
            "7",
            "lost.json",
        ]);
        assert!(!put.0 && put.1.contains("read it back"), "{}", put.1);
        if !restarted {
            assert_eq!(told(&core, 1, "PUT", 7, &document(11, "on")).0, 200);
            // From the disks, not from the backup.
            core.restart_control_nodes(|_| ());
            core.wait_for_chain(&[1, 2, 3], 3);
        }
    }
}

#[test]
fn a_declared_configuration_is_planned_applied_once_and_written_back() {
    let core = System::start(&["control"], &[]);
    core.wait_for_chain(&[1, 2, 3], 3);
    let at = core.control_addr_text(1);
    for folder in ["site/routes", "site/services"] {
        std::fs::create_dir_all(core.folder.join(folder)).unwrap();
    }
    let file = |name: &str, text: &str| std::fs::write(core.folder.join(name), text).unwrap();
    file("site/services/store.toml", "ratePerS = 690");
    file(
        "site/routes/pages.toml",
        "hostname = \"h\"\npathPrefix = \"/p/\"\ntype = \"cacheable\"\ndeadlineMs = 900\nbackend = \"store\"\n",
    );
    let declared =
        |verb: &[&str]| core.run_command(&[&["declared"], verb, &["--control", &at, "site"]].concat());
    let added = "+ paths pages\n+ backends store\n";
    assert_eq!(declared(&["plan"]), (true, format!("to version 0:\n{added}")));
    assert_eq!(declared(&["apply"]), (true, format!("version 1 is in force:\n{added}")));
    assert_eq!(declared(&["apply"]), (true, "version 1 is what is declared\n".into()));
    file("site/services/store.toml", "ratePerS = 700");
    let (moved, why) = declared(&["apply", "--if-rev", "4"]);
    assert!(!moved && why.contains("version 1 is in force, not 4"), "{why}");
    let changed = "~ backends store\n    ratePerS: 690 -> 700\n";
    let applied = declared(&["apply", "--if-rev", "1"]);
    assert_eq!(applied, (true, format!("version 2 is in force:\n{changed}")));
    file("site/services/store.toml", "ratePerS = 700\nratePers = 1");
    let (taken, why) = declared(&["apply"]);
    assert!(!taken && why.contains("store.toml: no such field: ratePers"), "{why}");
    let exported = core.run_command(&["declared", "export", "--control", &at, "copy"]);
    assert_eq!(exported, (true, "version 2 written\n".into()));
    let same = core.run_command(&["declared", "plan", "--control", &at, "copy"]);
    assert_eq!(same, (true, "version 2 is what is declared\n".into()));
}

/// The voters as every control node names them, where all agree.
fn voters(core: &System) -> Option<Vec<u64>> {
    let seen = |n: u8| -> Option<Vec<u64>> {
        let status = core.status(n)?;
        let voters = status["voters"].as_array()?.iter();
        voters.map(|voter| voter.as_str()?.rsplit('.').next()?.parse().ok()).collect()
    };
    let first = seen(1)?;
    (2..=3).all(|n| seen(n).as_ref() == Some(&first)).then_some(first)
}

#[test]
fn voters_are_taken_out_and_in_by_verb_and_what_can_not_be_is_told_in_one_line() {
    let mut core = System::start(&["control"], &["agent"]);
    core.wait_for_chain(&[1, 2, 3], 3);
    let at = core.control_addr_text(1);
    let verb = |core: &System, what: &str, n: u8| {
        core.run_command(&["core", what, "--control", &at, &core.control_addr(n).ip().to_string()])
    };
    let (listed, text) = core.run_command(&["core", "list", "--control", &at]);
    let seen: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert!(listed && seen[0]["voters"].as_array().unwrap().len() == 3, "{text}");
    assert_eq!(seen[0]["standingBy"].as_array().unwrap().len(), 0, "{text}");
    let (added, why) = verb(&core, "add", 2);
    assert!(!added && why.contains("127.0.8.2 is a voter already") && why.lines().count() == 1, "{why}");
    let (removed, why) = verb(&core, "remove", EDGE_MACHINE);
    assert!(!removed && why.contains("127.0.8.4 is no voter"), "{why}");

    let (removed, told) = verb(&core, "remove", 3);
    assert!(removed, "{told}");
    wait_until("all know the two", || voters(&core) == Some(vec![1, 2]));
    std::fs::write(core.folder.join("c.json"), r#"{"rev": 1}"#).unwrap();
    let put = core.run_command(&["config", "put", "--control", &at, "--builds-on", "0", "c.json"]);
    assert!(put.0, "{}", put.1);
    let (added, told) = verb(&core, "add", 3);
    assert!(added, "{told}");
    // Agreed, and on disk: no process remembers it otherwise.
    core.restart_control_nodes(|_| ());
    core.wait_for_chain(&[1, 2, 3], 3);
    wait_until("all know the three", || voters(&core) == Some(vec![1, 2, 3]));
}

#[test]
fn processes_that_start_one_after_the_other_in_any_order_find_each_other() {
    // Seeds are the last to listen, and no two of them begin at once.
    let mut system = System::start(&[], &[]);
    for (n, role) in
        [(EDGE_MACHINE, "edge"), (EDGE_MACHINE, "agent"), (3, "control"), (1, "control"), (2, "control")]
    {
        system.start_process(n, role);
        std::thread::sleep(Duration::from_millis(100));
    }
    system.wait_for_chain(&[1, 2, 3], 3);
    std::fs::write(system.folder.join("c.json"), r#"{"rev": 1}"#).unwrap();
    let put = system.run_command(&[
        "config",
        "put",
        "--control",
        &system.control_addr_text(3),
        "--builds-on",
        "0",
        "c.json",
    ]);
    assert!(put.0, "{}", put.1);
    let ready = system.edge_addrs()[1];
    wait_until("the edge is ready", || {
        request(ready, "GET /api/ready", "Host: e\r\n", "").is_some_and(|heard| heard.0 == 200)
    });
}

#[test]
fn a_new_control_node_whose_seeds_are_down_joins_once_its_settings_name_others() {
    let mut core = System::start(&["control"], &[]);
    core.wait_for_chain(&[1, 2, 3], 3);
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
    wait_until("it runs", || core.status(EDGE_MACHINE).is_some());
    let peers = |core: &System| {
        core.status(EDGE_MACHINE).map(|status| status["peers"].as_array().map_or(0, Vec::len))
    };
    // The longest pause of a node that calls others.
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(peers(&core), Some(0), "nobody is there");
    core.edit_settings(EDGE_MACHINE, &[("127.0.9.", "127.0.8.")]);
    wait_until("it finds the others", || peers(&core) == Some(3));
    wait_until("and a majority", || {
        core.status(EDGE_MACHINE).is_some_and(|status| status["inMajority"] == true)
    });
}

#[test]
fn an_error_of_the_api_is_short_whatever_it_quotes() {
    let core = System::start(&["control"], &[]);
    core.wait_for_chain(&[1, 2, 3], 3);
    // Line breaks and quotes take more room in JSON than they had.
    let long = "ü\"\n".repeat(30_000).replace('"', "\\\"").replace('\n', "\\u0001");
    let at = core.control_addr(2);
    for (line, headers, body) in [
        ("PUT /api/servers/i-1", "", format!(r#"{{"capacity": "{long}"}}"#)),
        ("PUT /api/config", "If-Match: 0\r\n", format!(r#"{{"rev": "{long}"}}"#)),
        (
            "PUT /api/config",
            "If-Match: 0\r\n",
            format!(r#"{{"rev": 1, "backends": [{{"name": "{long}"}}, {{"name": "{long}"}}]}}"#),
        ),
    ] {
        let headers = format!("Host: c\r\n{headers}");
        let (status, _, told) = request(at, line, &headers, &body).expect("an answer");
        assert_eq!(status, 400, "{told}");
        assert!(told.len() <= 4096 && told.starts_with("{\"error\":"), "{line}: {} bytes", told.len());
    }
}
