//! Tests of the plans of experiments.

use glenfall_experiments::plan::Plan;

#[test]
fn included_plans_are_valid_and_errors_name_the_field() {
    let text = include_str!("../../plans/overload.toml");
    for text in [text, include_str!("../../plans/losses.toml"), include_str!("../../plans/small.toml")] {
        let plan = Plan::parse(text).unwrap();
        let document = plan.configuration().to_string();
        glenfall_control_plane::config::Config::parse(document.as_bytes()).unwrap();
    }
    assert_eq!(Plan::parse(text).unwrap().load_factor(11.0), 6.0);
    assert_eq!(Plan::parse(text).unwrap().load_factor(1.0), 1.0);
    for (from, to, expected) in [
        ("seconds = ", "second = ", "line"),
        ("servers = 6", "servers = 0", "servers: expected 1 to 40, got 0"),
        ("service = \"orders\"", "service = \"none\"", "no service is named \"none\""),
        ("aim_ms = 250", "aim_ms = 2500", "aim_ms: expected 1 to 1000"),
    ] {
        assert!(text.contains(from), "{from}");
        let message = Plan::parse(&text.replacen(from, to, 1)).expect_err(from).to_string();
        assert!(message.contains(expected) && !message.contains('\n'), "{from}: {message}");
    }
}
