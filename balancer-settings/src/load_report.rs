//! Parses the load reports of servers.

use glenfall_balancer::Load;

/// Parses a load report: pairs of a name and a number, separated by commas. `separator` is the character
/// between a name and its number. `None` if a number is missing, negative or not finite: a report that cannot
/// be read must not be mistaken for that of an idle server.
pub fn parse_load_report(report: &str, separator: char) -> Option<Load> {
    Some(Load {
        in_flight: metric(report, separator, "busy_reqs")?,
        served_per_second: metric(report, separator, "served_ps")?,
    })
}

fn metric(report: &str, separator: char, name: &str) -> Option<f64> {
    let mut pairs = report.split(',').filter_map(|pair| pair.split_once(separator));
    let (_, value) = pairs.find(|(key, _)| key.trim() == name)?;
    let value: f64 = value.trim().parse().ok()?;
    (value.is_finite() && value >= 0.0).then_some(value)
}
