//! Plots of hollow runs over the number of nodes.

use std::path::Path;

use plotters::style::{RGBColor, BLACK, BLUE, GREEN, MAGENTA, RED};

use super::{HollowReport, PhaseReport};
use crate::plot::{self, Line, PlotError};

/// The bound for the traffic of a node's session, in bytes per second.
const MAX_NODE_BYTES_PER_S: f64 = 5000.0;
/// The bound for the processor use of the control plane on a node, in cores.
const MAX_NODE_CORES: f64 = 0.026;
/// The bound for a change to be applied on all nodes, in milliseconds.
const MAX_CHANGE_MS: f64 = 16_000.0;
/// The bound for a purge to be applied on all nodes, in milliseconds.
const MAX_PURGE_MS: f64 = 4300.0;

impl HollowReport {
    /// Draws `hollow-node.svg`, `hollow-cores.svg` and `hollow-times.svg` into a folder, with the bounds of the capacity
    /// plan.
    ///
    /// # Errors
    ///
    /// Returns an error if a file can't be written.
    pub fn draw(&self, folder: &Path) -> Result<(), PlotError> {
        let draw = |file: &str, caption: &str, lines: Vec<Line>| {
            plot::draw_growth(&folder.join(file), caption, "nodes", lines)
        };
        draw("hollow-node.svg", "session traffic of a node, bytes per second", self.node_lines())?;
        let caption = "cores: busiest control process, and agent with edge";
        draw("hollow-cores.svg", caption, self.core_lines())?;
        draw("hollow-times.svg", "milliseconds until applied on all nodes", self.time_lines())
    }

    fn bound(&self, name: &'static str, bound: f64) -> Line {
        let points = self.sizes.iter().map(|size| (f64::from(size.nodes), bound)).collect();
        Line { name, color: RED, points }
    }

    fn line(&self, name: &'static str, color: RGBColor, phase: &str, value: fn(&PhaseReport) -> f64) -> Line {
        let points = self.points(phase, value).into_iter().map(|point| (point.x, point.y)).collect();
        Line { name, color, points }
    }

    fn node_lines(&self) -> Vec<Line> {
        vec![
            self.bound("bound", MAX_NODE_BYTES_PER_S),
            self.line("idle", BLACK, "rest", PhaseReport::node_bytes_per_s),
            self.line("changes", BLUE, "changes", PhaseReport::node_bytes_per_s),
            self.line("purges", GREEN, "purges", PhaseReport::node_bytes_per_s),
            self.line("restarts", MAGENTA, "restarts", PhaseReport::node_bytes_per_s),
        ]
    }

    fn core_lines(&self) -> Vec<Line> {
        vec![
            self.bound("bound of a node", MAX_NODE_CORES),
            self.line("control, idle", BLACK, "rest", |phase| phase.max_control_cores),
            self.line("control, changes", BLUE, "changes", |phase| phase.max_control_cores),
            self.line("control, purges", GREEN, "purges", |phase| phase.max_control_cores),
            self.line("agent and edge, purges", MAGENTA, "purges", |phase| {
                phase.agent_cores + phase.edge_cores
            }),
        ]
    }

    fn time_lines(&self) -> Vec<Line> {
        vec![
            self.bound("bound of a change", MAX_CHANGE_MS),
            self.bound("bound of a purge", MAX_PURGE_MS),
            self.line("start of all nodes", BLACK, "start", |phase| phase.applied.max),
            self.line("changes", BLUE, "changes", |phase| phase.applied.max),
            self.line("purges", GREEN, "purges", |phase| phase.acknowledged.max),
            self.line("loss of a control process", MAGENTA, "loss", |phase| phase.applied.max),
        ]
    }
}
