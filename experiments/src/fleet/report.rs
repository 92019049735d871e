//! The report of a fleet simulation: Markdown tables, and a plot of growth with the number of edges.

use std::path::Path;

use plotters::style::{RGBColor, BLACK, BLUE, GREEN, RED};
use serde::{Deserialize, Serialize};

use super::control_traffic::PhaseTraffic;
use super::reads::ReadReport;
use super::writes::WriteReport;
use crate::plot::{draw_growth, Line, PlotError};

/// The least divisor when a value is divided by that of the smallest size, which may be 0.
const MIN_DIVISOR: f64 = 1e-9;
/// The least value drawn, as the scales of the plot are logarithmic.
const MIN_GROWTH: f64 = 1e-3;

/// The results at one fleet size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SizeReport {
    /// The number of edges.
    pub edges: u32,
    /// The number of servers that receive writes.
    pub servers: u32,
    /// Control-plane traffic in each phase, in the order of the phases.
    #[serde(rename = "telling")]
    pub control_traffic: Vec<PhaseTraffic>,
    /// Results of the simulated writes.
    pub writes: WriteReport,
    /// Results of the simulated reads.
    pub reads: ReadReport,
}

/// The results at all fleet sizes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetReport {
    /// One report per size, in the order of the plan.
    pub sizes: Vec<SizeReport>,
}

/// A row of the table: a name, and the function that returns its value at a size.
struct Row {
    name: &'static str,
    value: fn(&SizeReport) -> f64,
}

const fn row(name: &'static str, value: fn(&SizeReport) -> f64) -> Row {
    Row { name, value }
}

const TABLE_ROWS: [Row; 11] = [
    row("connections opened per write", |size| size.writes.opened_per_write),
    row("concurrent connections at a server, max", |size| f64::from(size.writes.max_connections)),
    row("connections beyond the limit of a server", |size| size.writes.connections_over_limit as f64),
    row("writes at a server, max over mean", |size| size.writes.busiest_over_mean),
    row("writes rejected by a server, share", |size| size.writes.rejected_share),
    row("writes not served, share", |size| size.writes.failed_share),
    row("subsets with a server, max over mean", |size| size.writes.subsets_max_over_mean),
    row("reads rejected by the rate limit, share", |size| size.reads.rejected_share),
    row("origin requests per read", |size| size.reads.fetched_share),
    row("origin requests in a window, max over limit", |size| size.reads.max_over_limit),
    row("reads at a shield, max over mean", |size| size.reads.busiest_over_mean),
];

fn table_line(name: &str, cells: Vec<String>) -> String {
    format!("| {name} | {} |\n", cells.join(" | "))
}

impl FleetReport {
    /// Returns a Markdown table with one column per size.
    pub fn markdown(&self) -> String {
        let mut text = self.line("edges", |size| size.edges.to_string());
        text += &table_line("---", vec!["---".to_owned(); self.sizes.len()]);
        text += &self.line("servers", |size| size.servers.to_string());
        for Row { name, value } in TABLE_ROWS {
            text += &self.line(name, |size| format!("{:.3}", value(size)));
        }
        let phases = self.sizes.first().map_or(0, |size| size.control_traffic.len());
        for index in 0..phases {
            text += &self.phase_lines(index);
        }
        text
    }

    fn line(&self, name: &str, cell: impl Fn(&SizeReport) -> String) -> String {
        table_line(name, self.sizes.iter().map(cell).collect())
    }

    fn phase_lines(&self, index: usize) -> String {
        let name = &self.sizes[0].control_traffic[index].name;
        let line = |quantity: &str, cell: fn(&PhaseTraffic) -> String| {
            self.line(&format!("{name}: {quantity}"), |size| cell(&size.control_traffic[index]))
        };
        [
            line("messages to each edge", |phase| format!("{:.1}", phase.messages_to_edge)),
            line("bytes to each edge", |phase| format!("{:.0}", phase.bytes_to_edge)),
            line("bytes to each edge as snapshots", |phase| format!("{:.0}", phase.snapshot_bytes_to_edge)),
            line("bytes between control nodes", |phase| phase.bytes_between_controls.to_string()),
        ]
        .concat()
    }

    /// Draws how values grow with the number of edges, each divided by its value at the smallest size.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be written.
    pub fn draw(&self, path: &Path) -> Result<(), PlotError> {
        let lines = vec![
            self.growth("connections per write", BLACK, |size| size.writes.opened_per_write),
            self.growth("max connections at a server", BLUE, |size| f64::from(size.writes.max_connections)),
            self.growth("bytes to an edge, edge restarts", GREEN, |size| {
                size.control_traffic.last().map_or(0.0, |phase| phase.bytes_to_edge)
            }),
            self.growth("bytes to an edge as snapshots", RED, |size| {
                size.control_traffic.last().map_or(0.0, |phase| phase.snapshot_bytes_to_edge)
            }),
        ];
        let caption = "growth with the number of edges, smallest size = 1";
        draw_growth(path, caption, "edges", lines)
    }

    fn growth(&self, name: &'static str, color: RGBColor, value: fn(&SizeReport) -> f64) -> Line {
        let first = self.sizes.first().map_or(1.0, value).max(MIN_DIVISOR);
        let point = |size: &SizeReport| (f64::from(size.edges), (value(size) / first).max(MIN_GROWTH));
        Line { name, color, points: self.sizes.iter().map(point).collect() }
    }
}
