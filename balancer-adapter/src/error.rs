//! Why the adapter cannot go on.

use glenfall_balancer::SettingsError;
use glenfall_balancer_settings::ParseError;

/// An input line that cannot be understood, or an output that cannot be written.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// A value is missing; names what is expected.
    #[error("{0} expected")]
    Missing(&'static str),
    /// A value cannot be read.
    #[error("{expected} expected, got `{found}`")]
    Unreadable {
        /// What is expected.
        expected: &'static str,
        /// The value found.
        found: String,
    },
    /// The input ends within a batch.
    #[error("`go` expected before the input ends")]
    UnfinishedBatch,
    /// A message is for a node that is not attached.
    #[error("an attached node expected, got {0}")]
    UnknownNode(u64),
    /// The settings are not JSON.
    #[error("settings as a JSON object expected: {0}")]
    SettingsJson(#[from] serde_json::Error),
    /// The settings cannot be read.
    #[error(transparent)]
    Settings(#[from] ParseError),
    /// The settings make no sense.
    #[error(transparent)]
    InvalidSettings(#[from] SettingsError),
    /// The reply cannot be written.
    #[error(transparent)]
    Output(#[from] std::io::Error),
}
