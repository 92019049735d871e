//! Errors that end the adapter.

use glenfall_balancer::SettingsError;
use glenfall_balancer_settings::ParseError;

/// An invalid input line, or a reply that cannot be written.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// A line or value is missing, or is none of those expected; the text describes what is expected.
    #[error("expected {0}")]
    Missing(&'static str),
    /// A value cannot be parsed.
    #[error("expected {expected}, got `{found}`")]
    Unreadable {
        /// What is expected, in words.
        expected: &'static str,
        /// The text on the line.
        found: String,
    },
    /// The input ends within a batch.
    #[error("expected `go` before the end of the input")]
    UnfinishedBatch,
    /// A message is for a node that is not attached.
    #[error("expected an attached node, got {0}")]
    UnknownNode(u64),
    /// The settings are not JSON.
    #[error("settings: invalid JSON: {0}")]
    SettingsJson(#[from] serde_json::Error),
    /// A setting is missing or of the wrong type.
    #[error(transparent)]
    Settings(#[from] ParseError),
    /// The balancer rejects the value of a setting.
    #[error(transparent)]
    InvalidSettings(#[from] SettingsError),
    /// The reply cannot be written.
    #[error(transparent)]
    Output(#[from] std::io::Error),
}
