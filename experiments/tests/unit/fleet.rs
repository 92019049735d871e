//! Fleets of many sizes, without sockets.

use glenfall_experiments::fleet::{play, FleetPlan};

const PLAN: &str = include_str!("../../plans/fleet.toml");

fn plan(sizes: Vec<u32>) -> FleetPlan {
    let plan: FleetPlan = toml::from_str(PLAN).unwrap();
    FleetPlan { sizes, seconds: 8.0, ..plan }
}

#[test]
fn the_plan_that_comes_along_is_sound_and_mistakes_are_named() {
    let good = plan(vec![10]);
    assert_eq!(good.check(), Ok(()));
    let wrong = FleetPlan { sizes: vec![0], ..good.clone() };
    assert!(wrong.check().unwrap_err().starts_with("sizes"));
    let wrong = FleetPlan { cores: 0, ..good.clone() };
    assert!(wrong.check().unwrap_err().starts_with("cores"));
    let wrong = FleetPlan { seconds: f64::NAN, ..good };
    assert!(wrong.check().unwrap_err().starts_with("seconds"));
}

#[test]
fn what_is_told_and_opened_stays_the_same_for_each_edge_as_the_fleet_grows() {
    let report = play(&plan(vec![30, 240])).unwrap();
    let [small, large] = &report.sizes[..] else { panic!("two sizes") };
    assert!(large.writes.opened_per_write < small.writes.opened_per_write * 1.5, "{report:?}");
    assert_eq!((small.writes.over_cap, large.writes.over_cap), (0, 0));
    assert!(large.reads.most_over_allowed <= 1.0 && small.reads.most_over_allowed <= 1.0, "{report:?}");
    for (small, large) in small.telling.iter().zip(&large.telling) {
        // Eight times as many edges and servers: what changes is told, eight times as much at most, and a
        // little for longer names.
        assert!(large.bytes_to_edge <= small.bytes_to_edge.max(1.0) * 12.0, "{small:?} {large:?}");
        assert!(large.bytes_to_edge <= large.whole_bytes_to_edge, "{large:?}");
    }
    assert_eq!(play(&plan(vec![30, 240])).unwrap(), report, "the same again under the same seed");
}
