//! The members whose sessions are at this control node, as its peers know them.

use std::cell::RefCell;
use std::rc::Rc;

use glenfall_control_plane::fleet::MembersUpdate;
use glenfall_control_plane::messages::{Member, PeerMessage};

use super::fleet_publisher::FleetPublisher;
use super::peers::links::PeerLinks;
use crate::session::publisher::Sessions;

/// The members whose sessions are at this node.
///
/// It owns the list as it was sent to peers last. Each connected peer has received exactly this list: a snapshot when
/// it was connected, and every change since.
pub struct LocalMembers {
    sessions: Rc<Sessions>,
    links: Rc<PeerLinks>,
    fleet: Rc<FleetPublisher>,
    replicated: RefCell<Vec<Member>>,
}

impl LocalMembers {
    /// No members yet.
    pub fn new(sessions: Rc<Sessions>, links: Rc<PeerLinks>, fleet: Rc<FleetPublisher>) -> Self {
        LocalMembers { sessions, links, fleet, replicated: RefCell::default() }
    }

    /// Sends peers what has changed. To be called whenever a session begins, ends or reports another member.
    pub fn update(&self) {
        let members = MembersUpdate::sorted_by_name(self.sessions.members());
        let change = MembersUpdate::delta(&self.replicated.borrow(), &members);
        self.replicated.replace(members);
        if let Some(change) = change {
            self.links.broadcast(&PeerMessage::Members(change));
            self.fleet.notify_changed();
        }
    }

    /// The message that brings a newly connected peer to the present list.
    pub fn snapshot_message(&self) -> PeerMessage {
        PeerMessage::Members(MembersUpdate::snapshot(&self.replicated.borrow()))
    }
}
