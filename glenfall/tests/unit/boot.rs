//! The settings file.

use glenfall::boot::Boot;

const TEXT: &str = r#"
node = "edge-1"
zone = "z"
bindIp = "127.0.0.2"
portRange = [7720, 7735]
seedNodes = ["127.0.0.3:80"]
surprise = 1
[listeners]
http = "127.0.0.2:81"
"#;

#[test]
fn unknown_fields_are_ignored_and_defaults_are_stated() {
    let boot = Boot::parse(TEXT).unwrap();
    assert_eq!((boot.beat_ms, boot.bootstrap, boot.feed().port()), (1500, false, 7722));
    assert_eq!(boot.link([127, 0, 0, 9].into()).to_string(), "127.0.0.9:7720");
}

#[test]
fn losses_that_can_not_be_outlived_in_time_are_refused_by_control_and_by_check() {
    let file = std::env::temp_dir().join(format!("glenfall-boot-{}.toml", std::process::id()));
    let promised = |hosts: usize, sync_s: f64| {
        let promise = format!("[survive]\nhosts = {hosts}\n[timing]\nsyncS = {sync_s}\n[listeners]");
        let text = TEXT.replace("[listeners]", &promise);
        std::fs::write(&file, &text).unwrap();
        let checked = glenfall::operator::verbs::check(&file).map_err(|e| e.to_string());
        let core = Boot::parse(&text).unwrap().core();
        assert_eq!(core.is_ok(), checked.is_ok(), "{checked:?}");
        checked.map(|_| core.unwrap().losses)
    };
    // Five voters at 4 s and at 6 s, seven at 4 s, and a core that promises nothing.
    for (hosts, sync_s) in [(1, 4.0), (2, 4.0), (2, 6.0), (3, 4.0), (0, 0.0)] {
        assert_eq!(promised(hosts, sync_s), Ok(hosts));
    }
    for (hosts, sync_s, needed) in [(3, 3.5, "3900 ms"), (4, 4.0, "4900 ms"), (7, 4.0, "7900 ms")] {
        let why = promised(hosts, sync_s).expect_err("refused");
        let said = format!("survive.hosts {hosts} with timing.syncS {sync_s}: ");
        assert!(why.contains(&said) && why.contains(needed) && !why.contains('\n'), "{why}");
    }
    std::fs::remove_file(&file).unwrap();
}

#[test]
fn what_is_wrong_is_told_in_one_line_with_its_place() {
    for (from, to, told) in [
        ("[7720, 7735]", "[7720, 7721]", "portRange: 3 ports expected"),
        ("\"127.0.0.2\"", "\"here\"", "line 4, column 10"),
        ("node = \"edge-1\"", "", "missing field `node`"),
        ("[\"127.0.0.3:80\"]", "[]", "seedNodes"),
        ("[listeners]", "[survive]\nhosts = 8\n[listeners]", "survive.hosts: 7 at most"),
        ("[listeners]", "[timing]\nretrySlack = -1\n[listeners]", "timing.retrySlack: a number"),
        ("zone = \"z\"", "zone = \"z", "line 3"),
    ] {
        let why = Boot::parse(&TEXT.replace(from, to)).expect_err(from);
        assert!(why.contains(told) && !why.contains('\n'), "{from}: {why}");
    }
}
