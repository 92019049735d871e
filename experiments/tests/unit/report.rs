//! Reports of experiments.

use std::collections::BTreeMap;
use std::time::Duration;

use glenfall_experiments::ledger::Broken;
use glenfall_experiments::plan::Plan;
use glenfall_experiments::report::{Ended, Report, Seen};

#[test]
fn worth_counts_what_was_asked_and_when_it_was_answered() {
    let plan = Plan::read(include_str!("../../plans/small.toml")).unwrap();
    let mut seen = Seen::new(&plan).unwrap();
    let ms = Duration::from_millis;
    for (ended, took) in
        [(Ended::InAim, ms(10)), (Ended::Late, ms(300)), (Ended::Refused, ms(2)), (Ended::Failed, ms(9))]
    {
        seen.add(1, 0, ended, took);
    }
    let report = Report::new(&plan, &seen, BTreeMap::new(), BTreeMap::new(), &Broken::default());
    // 2 in aim and 0.2 late, of four times 2.
    assert_eq!((report.worth, report.classes[1].worth), (2.2 / 8.0, 2.2 / 8.0));
    assert!((report.classes[1].p99_ms - 300.0).abs() < 1.0 && report.classes[1].p50_ms < 11.0);
    assert_eq!(report.classes[1].seconds[0].asked, 4);
    assert!(!report.any_broken());
    let text = report.markdown();
    assert!(text.contains("| payout-order | 4 | 1 | 1 | 1 | 1 | 0.275 |"), "{text}");
    assert!(report.compared(&report).contains("payout-order: worth 0.275 -> 0.275"));
    let broken = Broken { stale: 2, ..Broken::default() };
    let report = Report::new(&plan, &seen, BTreeMap::new(), BTreeMap::new(), &broken);
    assert!(report.any_broken() && report.markdown().contains("`stale`: 2 times"));
}
