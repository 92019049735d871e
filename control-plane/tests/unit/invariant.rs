//! Run-time checks of invariants, and the counters of their violations.

use glenfall_control_plane::invariant::{report, violations, Invariant, COUNTER_PREFIX};

#[test]
fn violations_are_counted_by_name_and_details_are_computed_for_violations_only() {
    let before = violations();
    Invariant::OneDocument.check(true, || unreachable!("details of an invariant that holds"));
    assert_eq!(violations(), before);
    Invariant::OneDocument.check(false, || "two documents".into());
    assert_eq!((violations(), Invariant::OneDocument.violations()), (before + 1, 1));
    let counters: Vec<(String, u64)> = report().collect();
    assert_eq!(counters, [(format!("{COUNTER_PREFIX}one_document"), 1)]);
    let names: std::collections::BTreeSet<&str> =
        Invariant::ALL.iter().map(|invariant| invariant.name()).collect();
    assert_eq!(names.len(), Invariant::ALL.len(), "two invariants have the same name");
}
