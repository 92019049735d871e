//! Publishes the fleet (all servers, shields and edges) to the sessions of a control node.

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

/// Time for which changes of the fleet are collected, to be published as one.
const BATCH_DELAY: Duration = Duration::from_millis(10);
/// Addition to [`BATCH_DELAY`] per server and member of the fleet. The cost of a change for its receivers grows with
/// the size of the fleet, and changes are frequent while a system starts.
const BATCH_DELAY_PER_ENTRY: Duration = Duration::from_micros(50);

/// Publishes the fleet.
///
/// Owns the last published fleet with its version, and the signal that the fleet may have changed. Each session is sent
/// a snapshot of the published fleet when it begins, and every change since.
pub struct FleetPublisher {
    chain: Rc<ChainDriver>,
    registry: Rc<ServerRegistry>,
    sessions: Rc<Sessions>,
    peer_members: Rc<PeerMembers>,
    published: RefCell<VersionedFleet>,
    changed: Notify,
}

impl FleetPublisher {
    /// Starts with an empty fleet. Changes are published while [`FleetPublisher::run`] runs.
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

    /// The last published fleet. The guard must be dropped before an `await` and before a call of another method.
    pub fn published(&self) -> Ref<'_, Fleet> {
        Ref::map(self.published.borrow(), VersionedFleet::fleet)
    }

    /// The update that sends the published fleet to a new session.
    pub fn snapshot(&self) -> Update {
        Update::Fleet(self.published.borrow().snapshot())
    }

    /// Schedules the publication of the fleet, which may have changed.
    pub fn notify_changed(&self) {
        self.changed.notify_one();
    }

    /// Whether the registry has become complete or incomplete since the fleet was published.
    pub fn completeness_changed(&self) -> bool {
        self.registry.is_complete() != self.published().complete
    }

    /// Publishes changes in batches, for as long as the process runs.
    pub async fn run(self: Rc<Self>) {
        loop {
            self.changed.notified().await;
            let entries = self.published().entries();
            sleep(BATCH_DELAY + BATCH_DELAY_PER_ENTRY * entries as u32).await;
            self.publish_now();
        }
    }

    /// Publishes the current fleet if it has changed.
    pub fn publish_now(&self) {
        let current = self.current();
        let change = self.published.borrow_mut().replace(current);
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
            // Agents retain servers that are missing from an incomplete fleet, so it must list those that have
            // deregistered.
            servers: self.registry.servers(!complete),
            shields,
            edges: edges.iter().map(|edge| edge_hash(&edge.node)).collect(),
            cores: self.chain.state().members().voters.len() as u32,
        };
        // A member whose session has just moved to another control node is reported by both for a moment.
        fleet.sort();
        fleet
    }
}
