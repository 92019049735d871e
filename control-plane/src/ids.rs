//! Identifiers that several modules share. Depends on no other module of this crate.

use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};

/// A control node, named by its address.
pub type NodeId = Ipv4Addr;

/// Correlation id of a request among all that the processes of one machine have ever sent: numbers begin anew with
/// each process, so that the response to a request of an earlier process must not be taken for one of this.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId {
    /// Incarnation of the process that sent the request.
    pub incarnation: u64,
    /// Number of the request within that incarnation.
    pub number: u64,
}
