//! Load reports of servers.

use glenfall_balancer::Load;
use glenfall_balancer_settings::parse_load_report;

#[test]
fn a_load_report_is_read_completely_or_not_at_all() {
    let read = Some(Load { in_flight: 7.0, served_per_second: 140.5 });
    assert_eq!(parse_load_report("x0:0.4,x1:1.25,served_ps:140.5,busy_reqs:7", ':'), read);
    assert_eq!(parse_load_report("busy_reqs=7, served_ps=140.5", '='), read);
    for report in ["", "-", "busy_reqs=7", "busy_reqs=7,served_ps=", "busy_reqs=-1,served_ps=2"] {
        assert_eq!(parse_load_report(report, '='), None, "{report}");
    }
    for report in ["busy_reqs=nan,served_ps=2", "busy_reqs=7,served_ps=inf", "\u{1},=,=="] {
        assert_eq!(parse_load_report(report, '='), None, "{report}");
    }
}
