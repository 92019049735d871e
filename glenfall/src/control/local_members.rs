//! The members whose sessions are at this control node, as they are reported to its peers.

use std::cell::RefCell;
use std::rc::Rc;

use glenfall_control_plane::fleet::MembersUpdate;
use glenfall_control_plane::messages::{Member, PeerMessage};

use super::fleet_publisher::FleetPublisher;
use super::peers::links::PeerLinks;
use crate::session::publisher::Sessions;

/// The members whose sessions are at this node.
///
/// Owns the list that was last sent to peers. Each connected peer has been sent exactly this list: a snapshot when it
/// connected, and every change since.
pub struct LocalMembers {
    sessions: Rc<Sessions>,
    links: Rc<PeerLinks>,
    fleet: Rc<FleetPublisher>,
    replicated: RefCell<Vec<Member>>,
}

impl LocalMembers {
    /// Starts with an empty list.
    pub fn new(sessions: Rc<Sessions>, links: Rc<PeerLinks>, fleet: Rc<FleetPublisher>) -> Self {
        LocalMembers { sessions, links, fleet, replicated: RefCell::default() }
    }

    /// Sends peers the changes since the last update. Must be called whenever a session begins, ends, or reports a
    /// change of its member.
    pub fn update(&self) {
        let members = MembersUpdate::sorted_by_name(self.sessions.members());
        let change = MembersUpdate::delta(&self.replicated.borrow(), &members);
        self.replicated.replace(members);
        if let Some(change) = change {
            self.links.broadcast(&PeerMessage::Members(change));
            self.fleet.notify_changed();
        }
    }

    /// The message that sends the current list to a newly connected peer.
    pub fn snapshot_message(&self) -> PeerMessage {
        PeerMessage::Members(MembersUpdate::snapshot(&self.replicated.borrow()))
    }
}
