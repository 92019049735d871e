//! The members (proxies) whose sessions are at peers, as those peers report them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use glenfall_control_plane::fleet::MembersUpdate;
use glenfall_control_plane::messages::{Member, ProxyRole};
use tokio::time::Instant;

/// How long the members of a disconnected peer are retained, as the peer may reconnect at once.
const DISCONNECTED_RETENTION: Duration = Duration::from_secs(1);

/// The members that one peer has reported.
#[derive(Default)]
struct ReportedMembers {
    members: Vec<Member>,
    /// When the peer disconnected; `None` while it is connected.
    disconnected_at: Option<Instant>,
}

impl ReportedMembers {
    fn is_expired(&self) -> bool {
        self.disconnected_at.is_some_and(|at| at.elapsed() >= DISCONNECTED_RETENTION)
    }
}

/// The members whose sessions are at peers.
///
/// Owns the last report of each peer. A report is retained for `DISCONNECTED_RETENTION` after its peer has
/// disconnected.
#[derive(Default)]
pub struct PeerMembers {
    by_peer: RefCell<BTreeMap<Ipv4Addr, ReportedMembers>>,
}

impl PeerMembers {
    /// Applies the report of a peer.
    pub fn apply(&self, peer: Ipv4Addr, update: &MembersUpdate) {
        let mut by_peer = self.by_peer.borrow_mut();
        let reported = by_peer.entry(peer).or_default();
        update.apply(&mut reported.members);
        // A shield is listed only if the control node on its own machine reports it.
        reported.members.retain(|member| member.proxy != ProxyRole::Shield || *member.http.ip() == peer);
    }

    /// Records that a peer has connected. Its members are retained until it disconnects.
    pub fn peer_connected(&self, peer: Ipv4Addr) {
        self.by_peer.borrow_mut().entry(peer).or_default().disconnected_at = None;
    }

    /// Records that a peer has disconnected. Its members expire unless it reconnects soon.
    pub fn peer_disconnected(&self, peer: Ipv4Addr) {
        self.by_peer.borrow_mut().entry(peer).or_default().disconnected_at = Some(Instant::now());
    }

    /// All members whose sessions are at peers.
    pub fn all(&self) -> Vec<Member> {
        self.by_peer.borrow().values().flat_map(|reported| reported.members.iter().cloned()).collect()
    }

    /// Removes the members of peers that have been disconnected for too long; returns whether there were any.
    pub fn expire(&self) -> bool {
        let mut changed = false;
        for reported in self.by_peer.borrow_mut().values_mut().filter(|reported| reported.is_expired()) {
            changed |= !reported.members.is_empty();
            reported.members.clear();
        }
        changed
    }
}
