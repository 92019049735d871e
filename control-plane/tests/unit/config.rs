//! Configuration documents: route lookup, validation and patches.

use glenfall_control_plane::config::{canonical_host, Config, ConfigChange, InvalidConfig, NewDocument};
use serde_json::Value;

fn document() -> Value {
    serde_json::json!({
        "rev": 5, "extra": {"kept": 1.50},
        "paths": [
            {"name": "a", "hostname": "One.example", "pathPrefix": "/a/", "type": "cacheable",
             "deadlineMs": 900, "targetMs": 80, "prio": 2, "backend": "s", "tries": 2, "maxAgeS": 4.5},
            {"name": "ab", "hostname": "one.example", "pathPrefix": "/a/b/", "type": "mutating",
             "deadlineMs": 900, "split": [{"backend": "s", "weight": 90}, {"backend": "t", "weight": 10}]},
        ],
        "backends": [{"name": "s", "ratePerS": 85.0}, {"name": "t"}],
        "reqLimits": {"maxBodyBytes": 10},
    })
}

fn read(document: &Value) -> Result<Config, InvalidConfig> {
    Config::parse(document.to_string().as_bytes())
}

#[test]
fn the_route_with_the_longest_prefix_of_the_host_matches() {
    let config = read(&document()).unwrap();
    let route = |host: &str, path: &str| config.route(host, path).map(|route| route.name.as_str());
    assert_eq!(route("one.example", "/a/x"), Some("a"));
    assert_eq!(route("ONE.example:8080", "/a/b/x/y"), Some("ab"));
    assert_eq!(route("one.example", "/a/b"), Some("a"));
    assert_eq!(route("one.example", "/a"), None);
    assert_eq!(route("two.example", "/a/x"), None);
    assert_eq!(route("one.example", "*"), None);
    let ranks = [0, 1].map(|n| config.priority_rank(&config.paths[n]));
    assert_eq!(ranks, [1.0, 0.0]);
    assert_eq!((config.req_limits.max_body_bytes, config.req_limits.header_timeout_ms), (10, 3000));
}

#[test]
fn a_split_divides_requests_by_weight() {
    let config = read(&document()).unwrap();
    let route = config.route("one.example", "/a/b/").unwrap();
    let drawn = (0..1000).filter(|n| route.choose_backend(f64::from(*n) / 1000.0) == Some("t")).count();
    assert_eq!(drawn, 100);
    assert_eq!(route.choose_backend(1.0), Some("t"));
}

#[test]
fn each_kind_of_invalid_document_is_rejected_with_its_error() {
    type Case = (&'static str, fn(&mut Value), &'static str);
    let cases: [Case; 8] = [
        ("unknown service", |d| d["paths"][0]["backend"] = "x".into(), "no backend is named \"x\""),
        (
            "duplicate host and prefix",
            |d| d["paths"][1]["pathPrefix"] = "/a/".into(),
            "same hostname and pathPrefix",
        ),
        (
            "split without a positive weight",
            |d| d["paths"][1]["split"] = serde_json::json!([{"backend": "s", "weight": 0}]),
            "sum to 0",
        ),
        ("zero deadline", |d| d["paths"][0]["deadlineMs"] = 0.into(), "deadlineMs above 0"),
        ("prefix without a closing slash", |d| d["paths"][0]["pathPrefix"] = "/a".into(), "a slash"),
        ("duplicate route name", |d| d["paths"][1]["name"] = "a".into(), "named twice"),
        ("neither backend nor split", |d| d["paths"][0]["backend"] = Value::Null, "exactly one"),
        ("no version", |d| d["rev"] = Value::Null, "not a configuration"),
    ];
    for (case, invalidate, expected) in cases {
        let mut document = document();
        invalidate(&mut document);
        let error = read(&document).expect_err(case).to_string();
        assert!(error.contains(expected), "{case}: {error}");
    }
    let json_text = document().to_string();
    assert!(matches!(
        Config::parse(&json_text.as_bytes()[..json_text.len() - 9]),
        Err(InvalidConfig::Unreadable(_))
    ));
}

#[test]
fn a_patch_upserts_and_removes_items_by_name_and_keeps_the_others() {
    let patch = serde_json::json!({
        "rev": 8,
        "upsert": {
            "paths": [{"name": "c", "hostname": "one.example", "pathPrefix": "/c/", "deadlineMs": 1, "backend": "u"}],
            "backends": [{"name": "s", "ratePerS": 9.0}, {"name": "u"}],
        },
        "remove": {"paths": ["a", "nobody"]},
    });
    let current = document().to_string().into_bytes();
    let change = ConfigChange::Patch(patch.to_string().into_bytes());
    let NewDocument { rev, document: patched } = change.apply(&current, 5).unwrap();
    let patched_json: Value = serde_json::from_slice(&patched).unwrap();
    assert_eq!((rev, &patched_json["extra"]["kept"]), (8, &Value::from(1.5)));
    let config = Config::parse(&patched).unwrap();
    let names: Vec<_> = config.paths.iter().map(|route| route.name.as_str()).collect();
    assert_eq!(names, ["ab", "c"]);
    assert_eq!(config.backend("s").unwrap().rate_per_s, Some(9.0));
    assert_eq!(change.apply(&current, 8), Err(InvalidConfig::OldVersion { current: 8, got: 8 }));
}

#[test]
fn a_host_is_compared_without_port_and_in_lower_case() {
    let forms = [
        ("a.example", "a.example"),
        ("A.Example", "a.example"),
        ("a.example:8161", "a.example"),
        ("a.example:", "a.example"),
        ("A.EXAMPLE:80", "a.example"),
        ("a.example:x", "a.example:x"),
        ("[::1]:80", "[::1]"),
        ("[::1]", "[::1]"),
        ("a.example.", "a.example."),
        ("", ""),
    ];
    for (host, canonical) in forms {
        assert_eq!(canonical_host(host), canonical, "{host}");
        assert_eq!(canonical_host(canonical), canonical, "it is a fixed point");
    }
}
