//! Runs `glenfall-lab processor` with a few requests of each kind on a small real system. Checks that the measurements
//! are complete, and which process serves each kind of request.

use std::path::Path;
use std::process::Command;

const MEASURED_ROLES: [&str; 4] = ["edge", "agent", "shield", "control"];

fn measure(out: &Path, extra: &[&str]) -> serde_json::Value {
    let program = env!("CARGO_BIN_EXE_glenfall-lab");
    assert!(
        Path::new(program).with_file_name("glenfall").exists(),
        "the program under test is missing: build the whole workspace"
    );
    let output = Command::new(program)
        .args(["processor", "--requests", "10", "--idle-s", "0.5", "--out"])
        .arg(out)
        .args(extra)
        .output()
        .unwrap();
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{stderr}");
    assert!(!stderr.contains("ended with"), "a request did not succeed: {stderr}");
    serde_json::from_str(&std::fs::read_to_string(out.join("processor.json")).unwrap()).unwrap()
}

/// Returns how many system calls of this name the edge makes for one request of a case.
fn calls_at_edge(cases: &[serde_json::Value], case: &str, name: &str) -> f64 {
    let case = cases.iter().find(|other| other["name"] == case).unwrap();
    case["costs"]["edge"]["calls"][name].as_f64().unwrap_or(0.0)
}

#[test]
fn each_case_is_measured_for_each_role_and_served_by_the_expected_process() {
    let out = std::env::temp_dir().join(format!("glenfall-processor-{}", std::process::id()));
    let has_strace = Command::new("strace").arg("-V").output().is_ok();
    let report = measure(&out, if has_strace { &[] } else { &["--no-trace"] });
    // Independent of the number of cores: the runtime's thread, and one per written file (docs/threads.md).
    assert_eq!(report["threads"], serde_json::json!({ "edge": 1, "agent": 1, "shield": 2, "control": 4 }));
    let cases = report["cases"].as_array().unwrap();
    assert_eq!(cases.len(), 9);
    for case in cases {
        for role in MEASURED_ROLES {
            assert!(case["costs"][role]["wakeups"].is_number(), "{}, {role}", case["name"]);
        }
    }
    if has_strace {
        let kilobytes = |name: &str, role: &str| {
            let case = cases.iter().find(|case| case["name"] == name).unwrap();
            case["costs"][role]["kilobytes"].as_f64().unwrap()
        };
        // A response has 6 kB. A shield transfers it once on a cache hit, twice if it fetches it from the origin, and
        // not at all if the edge has stored it.
        assert!((5.0..9.0).contains(&kilobytes("shield's copy", "shield")));
        assert!(kilobytes("miss", "shield") > 11.0);
        assert!(kilobytes("edge's copy", "shield") < 3.0);
        assert!(kilobytes("edge's copy", "edge") > 5.0);
        // Accepted connections inherit their options from the listener, and one that the client has closed needs no
        // shutdown.
        for name in ["setsockopt", "shutdown"] {
            assert_eq!(calls_at_edge(cases, "edge's copy, new connection", name), 0.0, "{name}");
        }
    }
    std::fs::remove_dir_all(&out).unwrap();
}
