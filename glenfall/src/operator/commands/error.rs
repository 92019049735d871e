//! Why an operator's command has failed.

use std::path::{Path, PathBuf};
use std::string::FromUtf8Error;

use glenfall_control_plane::config::InvalidConfig;

use crate::control::backup::BackupError;
use crate::control::store::StoreError;
use crate::operator::declarative_config::DeclareError;
use crate::settings::SettingsError;

/// Why an operator's command has failed; its text is one line.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// A file can't be read or written.
    #[error("{}: {what}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What the operating system says.
        what: std::io::Error,
    },
    /// A file has been read and is not valid.
    #[error("{}: {what}", path.display())]
    Wrong {
        /// The file.
        path: PathBuf,
        /// What is invalid in it.
        what: InvalidFile,
    },
    /// Control has rejected the request, and would reject it again.
    #[error("{status}: {body}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The body, which gives the reason.
        body: String,
    },
    /// A file is not a backup of control's state.
    #[error("{}: {what}", path.display())]
    Backup {
        /// The file.
        path: PathBuf,
        /// What is invalid in it.
        what: BackupError,
    },
    /// The state folder of a control node can't be used.
    #[error("{}: {what}", path.display())]
    Store {
        /// The folder.
        path: PathBuf,
        /// What is wrong with it.
        what: StoreError,
    },
    /// The configuration as files can't be used.
    #[error(transparent)]
    Declared(#[from] DeclareError),
    /// The active configuration is not the one that the operator has reviewed the change against.
    #[error("version {current} is in force, not {expected}: look at the change again")]
    Moved {
        /// The version that the operator has named.
        expected: u64,
        /// The active version.
        current: u64,
    },
    /// No control node has given a definite response, after all retries.
    #[error("no control node gives a clear answer; the same call may be made again")]
    NoAnswer,
}

/// Why a settings file or a configuration is invalid.
#[derive(Debug, thiserror::Error)]
pub enum InvalidFile {
    /// It is no valid configuration.
    #[error(transparent)]
    Config(#[from] InvalidConfig),
    /// It is no text.
    #[error(transparent)]
    Encoding(#[from] FromUtf8Error),
    /// It is no valid settings file; the message names the place.
    #[error("{0}")]
    Settings(String),
    /// The settings contradict each other.
    #[error(transparent)]
    Conflict(#[from] SettingsError),
}

impl OperatorError {
    /// An error of the operating system at a file; for `map_err`.
    pub(super) fn file(path: &Path) -> impl Fn(std::io::Error) -> OperatorError + '_ {
        |what| OperatorError::File { path: path.to_owned(), what }
    }

    /// An invalid backup in a file; for `map_err`.
    pub(super) fn backup(path: &Path) -> impl Fn(BackupError) -> OperatorError + '_ {
        |what| OperatorError::Backup { path: path.to_owned(), what }
    }

    /// An unusable state folder; for `map_err`.
    pub(super) fn store(path: &Path) -> impl Fn(StoreError) -> OperatorError + '_ {
        |what| OperatorError::Store { path: path.to_owned(), what }
    }
}
