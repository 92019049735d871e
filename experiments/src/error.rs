//! Errors of the commands of `glenfall-lab`.

use std::fmt::Display;
use std::path::Path;
use std::time::Duration;

use glenfall::operator::commands::OperatorError;

use crate::plan::PlanError;
use crate::plot::PlotError;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum LabError {
    /// An I/O operation failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A file can't be read or parsed.
    #[error("{0}")]
    File(#[from] FileError),
    /// A plan is invalid.
    #[error("{0}")]
    Plan(#[from] PlanError),
    /// A call to control failed.
    #[error("{0}")]
    Operator(#[from] OperatorError),
    /// A process under test has logged that a runtime assertion failed.
    #[error("{count} invariant violations in the logs, the first: {first}")]
    InvariantViolated {
        /// Number of violations in the logs.
        count: usize,
        /// The log line of the first violation.
        first: String,
    },
    /// The system did not become ready within this time.
    #[error("the system was not ready after {} s", .0.as_secs())]
    NotReady(Duration),
    /// A histogram can't be created.
    #[error("can't create a histogram: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// A report can't be written as JSON.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// A plot can't be drawn.
    #[error("{0}")]
    Plot(#[from] PlotError),
}

/// The reason why a file can't be read or parsed, with its path.
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
