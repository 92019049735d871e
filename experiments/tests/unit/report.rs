//! Tests of the reports of experiments.

use std::collections::BTreeMap;
use std::time::Duration;

use glenfall_experiments::execution_log::ViolationCounts;
use glenfall_experiments::plan::Plan;
use glenfall_experiments::report::{Measurements, Report, RequestOutcome};

#[test]
fn the_value_share_depends_on_when_requests_were_answered() {
    let plan = Plan::parse(include_str!("../../plans/small.toml")).unwrap();
    let mut measurements = Measurements::new(&plan).unwrap();
    let ms = Duration::from_millis;
    for (outcome, latency) in [
        (RequestOutcome::WithinTarget, ms(10)),
        (RequestOutcome::Late, ms(300)),
        (RequestOutcome::Rejected, ms(2)),
        (RequestOutcome::Failed, ms(9)),
    ] {
        measurements.add(1, 0, outcome, latency);
    }
    let report =
        Report::new(&plan, &measurements, BTreeMap::new(), BTreeMap::new(), &ViolationCounts::default());
    // Earned: 2 for the request within the target and 0.2 for the late one. Possible: 2 for each of four requests.
    assert_eq!((report.value_share, report.classes[1].value_share), (2.2 / 8.0, 2.2 / 8.0));
    assert!((report.classes[1].p99_ms - 300.0).abs() < 1.0 && report.classes[1].p50_ms < 11.0);
    assert_eq!(report.classes[1].seconds[0].requests, 4);
    assert!(!report.has_violations());
    let text = report.markdown();
    assert!(text.contains("| payout-order | 4 | 1 | 1 | 1 | 1 | 0.275 |"), "{text}");
    assert!(report.comparison_with(&report).contains("payout-order: value share 0.275 -> 0.275"));
    let violations = ViolationCounts { stale: 2, ..ViolationCounts::default() };
    let report = Report::new(&plan, &measurements, BTreeMap::new(), BTreeMap::new(), &violations);
    assert!(report.has_violations() && report.markdown().contains("`stale`: 2 times"));
}
