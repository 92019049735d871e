//! Errors of requests to a control node, and the status, body and log reason of each.

use glenfall_control_plane::chain::VoterChangeError;
use glenfall_control_plane::config::InvalidConfig;
use hyper::StatusCode;
use serde_json::{json, Value};

/// Longest error text in a response, in bytes. Servers reject a response of more than 4 KiB, and JSON may need six
/// bytes to encode one byte of text.
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
    /// The path of a server supports only PUT (heartbeat) and DELETE (deregistration).
    #[error("PUT or DELETE expected")]
    ServerMethodNotAllowed,
    /// The body is not valid JSON, or lacks the fields that the resource expects.
    #[error("{0}")]
    InvalidBody(#[source] serde_json::Error),
    /// No configuration has been committed yet.
    #[error("no configuration yet")]
    NoConfiguration,
    /// The chain has no active view, so that the committed state can't be read.
    #[error("no view stands")]
    NoActiveView,
    /// A change of the configuration has no `If-Match` with the version that it builds on.
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
    /// The configuration would be invalid after the change.
    #[error("{0}")]
    InvalidConfiguration(#[source] InvalidConfig),
    /// A change may have been applied so long ago that the deduplication table no longer has it. No node can tell
    /// whether it was, so that repeating it does not help: the caller has to read the current version and decide.
    #[error(
        "no clear answer: versions up to {up_to} may have been taken, too long ago to tell; version {current} is in \
         force: read it back, and do not send this again"
    )]
    OutcomeForgotten {
        /// Highest version whose change the deduplication table may no longer have.
        up_to: u64,
        /// The current version.
        current: u64,
    },
    /// It is not known whether a change was applied. The caller may repeat it.
    #[error("no clear answer: the same call may be made again")]
    OutcomeUnknown,
    /// This node does not reach a quorum, or a node or session that has to acknowledge the request did not do so in
    /// time.
    #[error("this node does not reach a majority of the core")]
    NoQuorum,
    /// A purge does not name exactly one object or label, or the name is empty or too long.
    #[error("hostname and urlPath, or label, expected")]
    InvalidPurgeTarget,
    /// A change of the voters does not name exactly one voter to add or to remove.
    #[error("add or remove expected, with an address")]
    InvalidVoterChange,
    /// The chain has rejected a change of the voters.
    #[error(transparent)]
    VoterChangeRejected(#[from] VoterChangeError),
    /// A change of the voters was accepted, but the new set was not active within the time limit.
    #[error("not all views stand yet: look at who votes, and ask again")]
    VoterChangePending,
    /// The name of a server or of its backend is empty or too long.
    #[error("names of 1 to 128 bytes expected")]
    InvalidServerName,
    /// The registry has reached its limit on servers.
    #[error("no room for more servers")]
    RegistryFull,
    /// Not all control nodes have acknowledged the status of a server in time. The server has to repeat its request.
    #[error("not all control nodes know it yet: say it again")]
    NotReplicated,
    /// The exported state could not be encoded as JSON.
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

    /// The error text, truncated to [`MAX_ERROR_TEXT_BYTES`], as it may quote a request of any length.
    fn bounded_text(&self) -> String {
        let mut text = self.to_string();
        if text.len() > MAX_ERROR_TEXT_BYTES {
            text.truncate(text.floor_char_boundary(MAX_ERROR_TEXT_BYTES));
            text.push('…');
        }
        text
    }
}

/// 503 for a change that may succeed later or at another node; 409 for one that conflicts with the current voters.
fn voter_change_status(error: VoterChangeError) -> StatusCode {
    match error {
        VoterChangeError::NoView | VoterChangeError::InProgress => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::CONFLICT,
    }
}
