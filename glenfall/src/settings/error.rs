//! Errors of the settings file. Each message is one line.

use std::fmt;

use glenfall_control_plane::chain::SyncTooShort;

use super::bounds::{MAX_TIMING_VALUE, MAX_TOLERATED_LOSSES};
use super::model::SETTINGS_VARIABLE;
use super::port_range::PortRange;

/// Why the settings of a process can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// [`SETTINGS_VARIABLE`] is unset, or is not valid Unicode.
    #[error(
        "environment variable {SETTINGS_VARIABLE} is not set: it has to hold the path of the settings file"
    )]
    NoPath,
    /// The file can't be read.
    #[error("can't read settings file {path}: {error}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// The error of the file system.
        error: std::io::Error,
    },
    /// The content of the file is invalid.
    #[error("{path}: {error}")]
    Invalid {
        /// Path of the file.
        path: String,
        /// What is wrong with its content.
        error: InvalidSettings,
    },
    /// A listener that the role needs is not set.
    #[error("{path}: listeners.{name} is not set, but this role requires it")]
    MissingListener {
        /// Path of the file.
        path: String,
        /// Name of the listener in the file.
        name: &'static str,
    },
    /// The repair after `survive.hosts` losses takes longer than `timing.syncS`.
    #[error("survive.hosts {hosts} with timing.syncS {sync_s}: {error}")]
    SyncTooShort {
        /// Number of voters that may be lost at once.
        hosts: usize,
        /// Time that a machine has for catching up, in seconds.
        sync_s: f64,
        /// The time that would be needed.
        error: SyncTooShort,
    },
}

/// Why a text does not hold valid settings.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum InvalidSettings {
    /// The text is not valid TOML, or a field is missing or has a wrong type.
    #[error("{}{message}", .position.map(|position| format!("{position}: ")).unwrap_or_default())]
    Syntax {
        /// Where the error is, if that is known.
        position: Option<Position>,
        /// What the parser reports.
        message: String,
    },
    /// The range has too few ports.
    #[error("portRange: at least {expected} ports expected, got {got}")]
    PortRange {
        /// Number of ports that are needed.
        expected: u16,
        /// The range in the settings.
        got: PortRange,
    },
    /// The list of seed nodes is empty.
    #[error("seedNodes: at least one address expected, got none")]
    NoSeedNodes,
    /// More losses are to be tolerated than the largest set of voters can tolerate.
    #[error("survive.hosts: at most {MAX_TOLERATED_LOSSES} losses can be tolerated, got {0}")]
    TooManyLosses(usize),
    /// A value of `timing` is out of its bounds.
    #[error("timing.{name}: a number from 0 to {MAX_TIMING_VALUE} expected, got {value}")]
    Timing {
        /// Name of the value in the file.
        name: &'static str,
        /// The value in the file.
        value: f64,
    },
}

impl InvalidSettings {
    /// Converts an error of the parser, and adds its position in the text.
    pub(super) fn syntax(text: &str, error: &toml::de::Error) -> Self {
        InvalidSettings::Syntax {
            position: error.span().map(|span| Position::of(text, span.start)),
            message: error.message().replace('\n', " "),
        }
    }
}

/// A position in a text; lines and columns count from 1, columns in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    line: usize,
    column: usize,
}

impl Position {
    fn of(text: &str, offset: usize) -> Self {
        let before = &text[..offset.min(text.len())];
        let line = before.matches('\n').count() + 1;
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        Position { line, column: before.len() - line_start + 1 }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "line {}, column {}", self.line, self.column)
    }
}
