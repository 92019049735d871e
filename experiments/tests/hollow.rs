//! Runs `glenfall-lab hollow` with a few hollow nodes and real control processes: all nodes connect, receive the whole
//! fleet, and reconnect when a control process is killed. The measured values are not checked.

use std::process::Command;

#[test]
fn hollow_nodes_apply_acknowledged_changes_and_tolerate_the_loss_of_a_control_process() {
    let program = env!("CARGO_BIN_EXE_glenfall-lab");
    assert!(
        std::path::Path::new(program).with_file_name("glenfall").exists(),
        "the program under test is missing: build the whole workspace"
    );
    let out = std::env::temp_dir().join(format!("glenfall-hollow-{}", std::process::id()));
    let output = Command::new(program)
        .args(["hollow", "--sessions", "6,12", "--controls", "3", "--seeds", "3", "--servers", "9"])
        .args(["--routes", "30", "--seconds", "2", "--out"])
        .arg(&out)
        .output()
        .unwrap();
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "not all nodes were connected at the end: {stderr}");
    let report = std::fs::read_to_string(out.join("hollow.json")).unwrap();
    let report: serde_json::Value = serde_json::from_str(&report).unwrap();
    for (size, nodes) in report["sizes"].as_array().unwrap().iter().zip([6, 12]) {
        assert_eq!(size["nodes"], nodes);
        let phase = |name: &str| {
            let phases = size["phases"].as_array().unwrap();
            phases.iter().find(|phase| phase["name"] == name).unwrap().clone()
        };
        let (start, purges, loss) = (phase("start"), phase("purges"), phase("loss"));
        assert_eq!((&start["failed"], &start["acknowledged"]["count"]), (&0.into(), &1.into()), "{start}");
        assert!(purges["acknowledged"]["count"].as_u64() > Some(0), "{purges}");
        assert_eq!(
            purges["early"], 0,
            "acknowledged before a node with a valid lease had applied it: {purges}"
        );
        assert_eq!(loss["in_force"]["count"], 1, "not all sessions moved to other control nodes: {loss}");
        assert!(loss["node_messages_s"].as_f64() > Some(0.0), "{loss}");
    }
    let page = std::fs::read_to_string(out.join("hollow.md")).unwrap();
    assert!(page.contains("| rest | node B/s |"), "no line fitted over the sizes: {page}");
    for name in ["hollow.csv", "hollow-node.svg", "hollow-cores.svg", "hollow-times.svg"] {
        assert!(std::fs::metadata(out.join(name)).unwrap().len() > 0, "{name}");
    }
    std::fs::remove_dir_all(&out).unwrap();
}
