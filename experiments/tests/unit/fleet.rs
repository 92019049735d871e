//! Tests of simulated fleets.

use glenfall_experiments::fleet::{run, FleetPlan};

const PLAN_TEXT: &str = include_str!("../../plans/fleet.toml");

fn plan(sizes: Vec<u32>) -> FleetPlan {
    let plan: FleetPlan = toml::from_str(PLAN_TEXT).unwrap();
    FleetPlan { sizes, seconds: 8.0, ..plan }
}

#[test]
fn included_plan_is_valid_and_errors_name_the_field() {
    let valid = plan(vec![10]);
    assert_eq!(valid.check(), Ok(()));
    let invalid = FleetPlan { sizes: vec![0], ..valid.clone() };
    assert!(invalid.check().unwrap_err().to_string().starts_with("sizes"));
    let invalid = FleetPlan { cores: 0, ..valid.clone() };
    assert!(invalid.check().unwrap_err().to_string().starts_with("cores"));
    let invalid = FleetPlan { seconds: f64::NAN, ..valid };
    assert!(invalid.check().unwrap_err().to_string().starts_with("seconds"));
}

#[test]
fn traffic_and_connections_of_an_edge_do_not_grow_with_the_fleet() {
    let report = run(&plan(vec![30, 240])).unwrap();
    let [small, large] = &report.sizes[..] else { panic!("expected two sizes") };
    assert!(large.writes.opened_per_write < small.writes.opened_per_write * 1.5, "{report:?}");
    assert_eq!((small.writes.connections_over_limit, large.writes.connections_over_limit), (0, 0));
    assert!(large.reads.max_over_limit <= 1.0 && small.reads.max_over_limit <= 1.0, "{report:?}");
    for (small, large) in small.control_traffic.iter().zip(&large.control_traffic) {
        // Only changes are pushed: eight times as many edges and servers cause at most eight times as many, and longer
        // names add some bytes.
        assert!(large.bytes_to_edge <= small.bytes_to_edge.max(1.0) * 12.0, "{small:?} {large:?}");
        assert!(large.bytes_to_edge <= large.snapshot_bytes_to_edge, "{large:?}");
    }
    assert_eq!(run(&plan(vec![30, 240])).unwrap(), report, "not deterministic under the same seed");
}
