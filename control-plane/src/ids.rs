//! Identifiers that several modules use. This module depends on no other module of the crate.

use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};

/// A control node, identified by its address.
pub type NodeId = Ipv4Addr;

/// Correlation id of a request, unique among all requests that a machine ever sends. The numbers restart with each
/// process; the incarnation keeps a response to an earlier process from being matched to a request of the current one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId {
    /// Incarnation of the process that sent the request.
    pub incarnation: u64,
    /// Number of the request within that incarnation.
    pub number: u64,
}
