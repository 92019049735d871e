//! The range of ports on which processes of the system connect to each other.

use std::fmt;

use serde::Deserialize;

/// A range of ports. In the settings file it is a pair of numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(from = "(u16, u16)")]
pub struct PortRange {
    /// The first port of the range.
    pub first: u16,
    /// The last port of the range, included.
    pub last: u16,
}

impl From<(u16, u16)> for PortRange {
    fn from((first, last): (u16, u16)) -> Self {
        PortRange { first, last }
    }
}

impl fmt::Display for PortRange {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "({}, {})", self.first, self.last)
    }
}
