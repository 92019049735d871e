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
