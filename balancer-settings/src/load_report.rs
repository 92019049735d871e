//! Load reports of servers.

use glenfall_balancer::Load;

/// Reads a load report: pairs of a name and a number, set apart by commas. `separator` stands between a name
/// and its number. `None` where a figure is missing or makes no sense: a report that cannot be read must not
/// be mistaken for an idle server.
pub fn parse_load_report(report: &str, separator: char) -> Option<Load> {
    Some(Load {
        in_flight: figure(report, separator, "busy_reqs")?,
        served_per_second: figure(report, separator, "served_ps")?,
    })
}

fn figure(report: &str, separator: char, name: &str) -> Option<f64> {
    let mut pairs = report.split(',').filter_map(|pair| pair.split_once(separator));
    let (_, value) = pairs.find(|(key, _)| key.trim() == name)?;
    let value: f64 = value.trim().parse().ok()?;
    (value.is_finite() && value >= 0.0).then_some(value)
}
