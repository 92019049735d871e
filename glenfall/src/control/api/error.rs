//! What a request to a control node can fail with, and the status, body and log reason of each error.

use glenfall_control_plane::chain::VoterChangeError;
use glenfall_control_plane::config::InvalidConfig;
use hyper::StatusCode;
use serde_json::{json, Value};

/// Longest error text in a response, in bytes: servers reject a response of more than 4 KiB, and in JSON a byte may
/// take six.
pub const MAX_ERROR_TEXT_BYTES: usize = 600;

/// Why a request was rejected.
#[derive(Debug, thiserror::Error)]
pub enum ApiError {
    /// No resource has this path.
    #[error("no such call")]
    UnknownPath,
    /// The resource does not support the method.
    #[error("method not known here")]
    MethodNotAllowed,
    /// A server can only be updated or deregistered.
    #[error("PUT or DELETE expected")]
    ServerMethodNotAllowed,
    /// The body is not JSON, or not what the resource expects.
    #[error("{0}")]
    InvalidBody(#[source] serde_json::Error),
    /// No configuration has been committed yet.
    #[error("no configuration yet")]
    NoConfiguration,
    /// The chain has no active view, so that nothing can be read from it.
    #[error("no view stands")]
    NoActiveView,
    /// A change of the configuration does not name the version that it builds on.
    #[error("If-Match: the number of the version that this builds on expected")]
    MissingBaseVersion,
    /// A change of the configuration builds on a version that is not the current one.
    #[error("another version is current")]
    VersionConflict {
        /// The current version.
        current: u64,
        /// The version that the change builds on.
        base: u64,
    },
    /// A change does not give a valid configuration.
    #[error("{0}")]
    InvalidConfiguration(#[source] InvalidConfig),
    /// A change may have been applied before the horizon of the deduplication table: no node will ever know, and
    /// sending it again does not help. The caller has to read the current version back and decide.
    #[error(
        "no clear answer: versions up to {up_to} may have been taken, too long ago to tell; version {current} is in \
         force: read it back, and do not send this again"
    )]
    OutcomeForgotten {
        /// Highest version that may have been applied without a trace.
        up_to: u64,
        /// The current version.
        current: u64,
    },
    /// It is not known whether a change was applied. The caller may repeat it.
    #[error("no clear answer: the same call may be made again")]
    OutcomeUnknown,
    /// This node does not reach a quorum, or not all nodes and sessions that have to acknowledge did so in time.
    #[error("this node does not reach a majority of the core")]
    NoQuorum,
    /// A purge names neither an object nor a label, or both, or one that is empty or too long.
    #[error("hostname and urlPath, or label, expected")]
    InvalidPurgeTarget,
    /// A change of the voters does not name exactly one voter to add or to remove.
    #[error("add or remove expected, with an address")]
    InvalidVoterChange,
    /// The voters stay as they are.
    #[error(transparent)]
    VoterChangeRejected(#[from] VoterChangeError),
    /// The voters are being changed, and the new set was not active in time.
    #[error("not all views stand yet: look at who votes, and ask again")]
    VoterChangePending,
    /// The name of a server or of its backend is empty or too long.
    #[error("names of 1 to 128 bytes expected")]
    InvalidServerName,
    /// The registry has no capacity for another server.
    #[error("no room for more servers")]
    RegistryFull,
    /// Not all control nodes have acknowledged the state of a server in time. The server has to repeat it.
    #[error("not all control nodes know it yet: say it again")]
    NotReplicated,
    /// The state could not be encoded.
    #[error("{0}")]
    NotEncodable(#[source] serde_json::Error),
}

impl ApiError {
    /// The status of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::UnknownPath | Self::NoConfiguration => StatusCode::NOT_FOUND,
            Self::MethodNotAllowed | Self::ServerMethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            Self::InvalidBody(_)
            | Self::InvalidConfiguration(_)
            | Self::InvalidPurgeTarget
            | Self::InvalidVoterChange
            | Self::InvalidServerName => StatusCode::BAD_REQUEST,
            Self::MissingBaseVersion => StatusCode::PRECONDITION_REQUIRED,
            Self::VersionConflict { .. } => StatusCode::PRECONDITION_FAILED,
            Self::VoterChangeRejected(error) => voter_change_status(*error),
            Self::RegistryFull => StatusCode::INSUFFICIENT_STORAGE,
            Self::NotEncodable(_) => StatusCode::INTERNAL_SERVER_ERROR,
            Self::NoActiveView
            | Self::OutcomeForgotten { .. }
            | Self::OutcomeUnknown
            | Self::NoQuorum
            | Self::VoterChangePending
            | Self::NotReplicated => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// The body of the response: the error text, and for some errors the versions that the caller has to know.
    pub fn body(&self) -> Value {
        let error = self.bounded_text();
        match self {
            Self::VersionConflict { current, .. } => json!({ "error": error, "current": current }),
            Self::OutcomeForgotten { up_to, current } => json!({
                "error": error,
                "current": current,
                "forgottenUpTo": up_to,
                "readBack": "/api/config",
            }),
            _ => json!({ "error": error }),
        }
    }

    /// The reason that is written to the log.
    pub fn log_reason(&self) -> String {
        match self {
            Self::VersionConflict { current, base } => {
                format!("version {current} is current, not {base}")
            }
            Self::OutcomeForgotten { up_to, .. } => {
                format!("the outcome for versions up to {up_to} is no longer known")
            }
            _ => self.bounded_text(),
        }
    }

    /// The error text. It may quote the request, and so be as long as the caller likes, which is why it is truncated.
    fn bounded_text(&self) -> String {
        let mut text = self.to_string();
        if text.len() > MAX_ERROR_TEXT_BYTES {
            text.truncate(text.floor_char_boundary(MAX_ERROR_TEXT_BYTES));
            text.push('…');
        }
        text
    }
}

/// A change that may succeed in a moment, or at another node, is distinguished from one that contradicts the current
/// voters.
fn voter_change_status(error: VoterChangeError) -> StatusCode {
    match error {
        VoterChangeError::NoView | VoterChangeError::InProgress => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::CONFLICT,
    }
}
