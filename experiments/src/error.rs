//! The errors of the program's commands.

use std::fmt::Display;
use std::path::Path;
use std::time::Duration;

use glenfall::operator::commands::OperatorError;

use crate::plan::PlanError;
use crate::plot::PlotError;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum LabError {
    /// An input or output failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A file can't be read.
    #[error("{0}")]
    File(#[from] FileError),
    /// A plan is invalid.
    #[error("{0}")]
    Plan(#[from] PlanError),
    /// A call to control failed.
    #[error("{0}")]
    Operator(#[from] OperatorError),
    /// A process has logged that an invariant of the code is violated.
    #[error("{count} invariants broken: {first}")]
    InvariantViolated {
        /// How many violations are in the logs.
        count: usize,
        /// The first of them.
        first: String,
    },
    /// The system was not ready within this time.
    #[error("the system is not up after {} s", .0.as_secs())]
    NotUp(Duration),
    /// A histogram can't be made.
    #[error("histogram: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// A report can't be written as JSON.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// A plot can't be drawn.
    #[error("{0}")]
    Plot(#[from] PlotError),
}

/// Why a file can't be read, with its path.
#[derive(Debug, thiserror::Error)]
#[error("{path}: {reason}")]
pub struct FileError {
    path: String,
    reason: String,
}

impl FileError {
    /// Creates an error for a file.
    pub fn new(path: &Path, reason: impl Display) -> Self {
        FileError { path: path.display().to_string(), reason: reason.to_string() }
    }
}
