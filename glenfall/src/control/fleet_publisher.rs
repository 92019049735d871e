//! Publishes the fleet, which is all servers, shields and edges, to the sessions of a control node.

use std::cell::{Ref, RefCell};
use std::rc::Rc;
use std::time::Duration;

use glenfall_control_plane::fleet::{edge_hash, Fleet, VersionedFleet};
use glenfall_control_plane::messages::{Member, ProxyRole, Update};
use tokio::sync::Notify;
use tokio::time::sleep;

use super::chain_driver::ChainDriver;
use super::peers::members::PeerMembers;
use super::server_registry::ServerRegistry;
use crate::session::publisher::Sessions;

/// Changes of the fleet within this time are published as one.
const BATCH_DELAY: Duration = Duration::from_millis(10);
/// The time is longer by this much for each server and member: what a change costs its receivers grows with the fleet,
/// and when a system starts there is one change after another.
const BATCH_DELAY_PER_ENTRY: Duration = Duration::from_micros(50);

/// Publishes the fleet.
///
/// It owns the fleet as published last, with its version, and the signal that it may have changed. Sessions always have
/// the published fleet, by a snapshot when they begin and by every change since.
pub struct FleetPublisher {
    chain: Rc<ChainDriver>,
    registry: Rc<ServerRegistry>,
    sessions: Rc<Sessions>,
    peer_members: Rc<PeerMembers>,
    published: RefCell<VersionedFleet>,
    changed: Notify,
}

impl FleetPublisher {
    /// Publishes an empty fleet. Changes are published once [`FleetPublisher::run`] runs.
    pub fn new(
        chain: Rc<ChainDriver>,
        registry: Rc<ServerRegistry>,
        sessions: Rc<Sessions>,
        peer_members: Rc<PeerMembers>,
    ) -> Self {
        FleetPublisher {
            chain,
            registry,
            sessions,
            peer_members,
            published: RefCell::default(),
            changed: Notify::new(),
        }
    }

    /// The fleet as published last. The guard must be dropped before an `await` and before a call of another method.
    pub fn published(&self) -> Ref<'_, Fleet> {
        Ref::map(self.published.borrow(), VersionedFleet::fleet)
    }

    /// The update that brings a new session to the published fleet.
    pub fn snapshot(&self) -> Update {
        Update::Fleet(self.published.borrow().snapshot())
    }

    /// Notes that the fleet may have changed; it is published soon.
    pub fn notify_changed(&self) {
        self.changed.notify_one();
    }

    /// Whether the registry has become complete, or incomplete, since the fleet was published.
    pub fn completeness_changed(&self) -> bool {
        self.registry.is_complete() != self.published().complete
    }

    /// Publishes changes, several at once, for as long as the process runs.
    pub async fn run(self: Rc<Self>) {
        loop {
            self.changed.notified().await;
            let entries = self.published().entries();
            sleep(BATCH_DELAY + BATCH_DELAY_PER_ENTRY * entries as u32).await;
            self.publish_now();
        }
    }

    /// Publishes the present fleet if it has changed.
    pub fn publish_now(&self) {
        let current = self.current();
        let change = self.published.borrow_mut().advance_to(current);
        if let Some(change) = change {
            self.sessions.push(&Update::Fleet(change));
        }
    }

    fn current(&self) -> Fleet {
        let members = self.sessions.members().into_iter().chain(self.peer_members.all());
        let (shields, edges): (Vec<Member>, Vec<Member>) =
            members.partition(|member| member.proxy == ProxyRole::Shield);
        let complete = self.registry.is_complete();
        let mut fleet = Fleet {
            complete,
            // Agents retain servers that an incomplete fleet lacks, so that it has to name the ended ones.
            servers: self.registry.servers(!complete),
            shields,
            edges: edges.iter().map(|edge| edge_hash(&edge.node)).collect(),
            cores: self.chain.state().members().voters.len() as u32,
        };
        // A member that has just moved from one control node to another is reported by both for a moment.
        fleet.sort();
        fleet
    }
}
