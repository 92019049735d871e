//! Errors of the operator commands.

use std::string::FromUtf8Error;

use glenfall_control_plane::config::InvalidConfig;

use crate::control::backup::BackupError;
use crate::control::store::StoreError;
use crate::operator::declarative_config::DeclaredConfigError;
use crate::operator::PathError;
use crate::settings::SettingsError;

/// Why an operator command has failed; the message is one line.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// A file can't be read or written.
    #[error(transparent)]
    File(#[from] PathError<std::io::Error>),
    /// A file has been read and is not valid.
    #[error(transparent)]
    InvalidFile(#[from] PathError<InvalidFile>),
    /// Control has rejected the request, and would reject it again.
    #[error("control rejected the request with status {status}: {body}")]
    Rejected {
        /// The HTTP status.
        status: u16,
        /// The body, which gives the reason.
        body: String,
    },
    /// A file is not a backup of control's state.
    #[error(transparent)]
    Backup(#[from] PathError<BackupError>),
    /// The state folder of a control node can't be used.
    #[error(transparent)]
    Store(#[from] PathError<StoreError>),
    /// The configuration as files can't be used.
    #[error(transparent)]
    Declared(#[from] DeclaredConfigError),
    /// The active configuration is not the one that the operator has reviewed the change against.
    #[error("version {current} is active, not {expected}: review the change again with `declared plan`")]
    VersionMismatch {
        /// The version given with `--if-rev`.
        expected: u64,
        /// The active version.
        current: u64,
    },
    /// No control node has given a definite response, after all retries.
    #[error("no control node gave a definite response; the command can be repeated safely")]
    NoDefiniteResponse,
}

/// Why a settings file or a configuration is invalid.
#[derive(Debug, thiserror::Error)]
pub enum InvalidFile {
    /// It is not a valid configuration.
    #[error(transparent)]
    Config(#[from] InvalidConfig),
    /// It is not UTF-8 text.
    #[error(transparent)]
    Encoding(#[from] FromUtf8Error),
    /// It is not a valid settings file; the message names the field, or the line and column.
    #[error("{0}")]
    Settings(String),
    /// The settings contradict each other.
    #[error(transparent)]
    Conflict(#[from] SettingsError),
}
