//! The settings file.

use glenfall::settings::{PortRange, Settings};

const SETTINGS_TEXT: &str = r#"
node = "edge-1"
zone = "z"
bindIp = "127.0.0.2"
portRange = [7720, 7735]
seedNodes = ["127.0.0.3:80"]
unknown = 1
[listeners]
http = "127.0.0.2:81"
"#;

#[test]
fn unknown_fields_are_ignored_and_defaults_are_stated() {
    let settings = Settings::parse(SETTINGS_TEXT).unwrap();
    assert_eq!((settings.beat_ms, settings.bootstrap, settings.watch_address().port()), (1500, false, 7722));
    assert_eq!(settings.link_address([127, 0, 0, 9].into()).to_string(), "127.0.0.9:7720");
}

#[test]
fn losses_that_can_not_be_repaired_in_time_are_rejected_by_control_and_by_check() {
    let file = std::env::temp_dir().join(format!("glenfall-settings-{}.toml", std::process::id()));
    let tolerated_losses = |hosts: usize, sync_s: f64| {
        let survive_text = format!("[survive]\nhosts = {hosts}\n[timing]\nsyncS = {sync_s}\n[listeners]");
        let text = SETTINGS_TEXT.replace("[listeners]", &survive_text);
        std::fs::write(&file, &text).unwrap();
        let checked = glenfall::operator::commands::check(&file).map_err(|e| e.to_string());
        let core = Settings::parse(&text).unwrap().chain_settings();
        assert_eq!(core.is_ok(), checked.is_ok(), "{checked:?}");
        checked.map(|_| core.unwrap().tolerated_losses)
    };
    // With `hosts` = h the chain has 2h + 1 voters; with 0, no loss has to be tolerated.
    for (hosts, sync_s) in [(1, 4.0), (2, 4.0), (2, 6.0), (3, 4.0), (0, 0.0)] {
        assert_eq!(tolerated_losses(hosts, sync_s), Ok(hosts));
    }
    for (hosts, sync_s, needed) in [(3, 3.5, "3900 ms"), (4, 4.0, "4900 ms"), (7, 4.0, "7900 ms")] {
        let error = tolerated_losses(hosts, sync_s).expect_err("rejected");
        let expected = format!("survive.hosts {hosts} with timing.syncS {sync_s}: ");
        assert!(error.contains(&expected) && error.contains(needed) && !error.contains('\n'), "{error}");
    }
    std::fs::remove_file(&file).unwrap();
}

#[test]
fn errors_are_reported_in_one_line_with_their_position() {
    for (from, to, expected) in [
        ("[7720, 7735]", "[7720, 7721]", "portRange: at least 3 ports expected"),
        ("\"127.0.0.2\"", "\"here\"", "line 4, column 10"),
        ("node = \"edge-1\"", "", "missing field `node`"),
        ("[\"127.0.0.3:80\"]", "[]", "seedNodes"),
        ("[listeners]", "[survive]\nhosts = 8\n[listeners]", "survive.hosts: at most 7 losses"),
        ("[listeners]", "[timing]\nretrySlack = -1\n[listeners]", "timing.retrySlack: a number"),
        ("zone = \"z\"", "zone = \"z", "line 3"),
    ] {
        let error = Settings::parse(&SETTINGS_TEXT.replace(from, to)).expect_err(from).to_string();
        assert!(error.contains(expected) && !error.contains('\n'), "{from}: {error}");
    }
}

#[test]
fn each_setting_of_version_0_3_0_is_read() {
    let text = include_str!("../fixtures/v0.3.0/settings.toml");
    let settings = Settings::parse(text).expect("settings");
    assert_eq!(
        (settings.node.as_str(), settings.zone.as_str(), settings.bind_ip.to_string().as_str()),
        ("core-1", "north", "127.0.0.2")
    );
    assert_eq!(
        settings.seed_nodes,
        ["127.0.0.3:80", "127.0.0.4:80"].map(|seed| seed.parse().expect("an address"))
    );
    let ports = PortRange { first: 7720, last: 7735 };
    assert_eq!(
        (settings.port_range, settings.bootstrap, settings.beat_ms, settings.voter),
        (ports, true, 1250, true)
    );
    assert_eq!(settings.state_dir.as_deref(), Some(std::path::Path::new("/var/lib/glenfall")));
    assert_eq!(settings.watch_address().to_string(), "127.0.0.5:7722");
    assert_eq!(settings.listen_address(settings.shield_address()).to_string(), "127.0.0.6:7721");
    assert_eq!(settings.survive.hosts, 2);
    let listeners = [settings.listeners.http, settings.listeners.ready_addr, settings.listeners.control_addr];
    let expected = [81, 82, 83].map(|port| Some(format!("127.0.0.2:{port}")));
    assert_eq!(listeners.map(|address| address.map(|address| address.to_string())), expected);
    let limits = &settings.req_limits;
    assert_eq!((limits.mem_mb, limits.max_fds, limits.disk_mb), (300, 2000, 400));
    assert_eq!((settings.timing.grace_s, settings.timing.sync_s), (7.5, 6.0));
    let retries = settings.retry_budget();
    assert_eq!((retries.ratio, retries.window, retries.slack), (0.3, 12_000, 70.0));
    let rate = settings.rate_limit();
    assert_eq!((rate.window, rate.overshoot_factor), (8000, 1.2));
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/v0.3.0/settings.toml");
    let checked = glenfall::operator::commands::check(std::path::Path::new(file));
    assert_eq!(checked.expect("accepted"), "settings of core-1 in zone north");
}
