//! Members and servers as this control node knows them: what it pushes to proxies, and what its peers have to know before a
//! server's word is acknowledged.

use std::rc::Rc;
use std::time::Duration;

use glenfall_control_plane::fleet::{edge_hash, Fleet, MembersUpdate};
use glenfall_control_plane::invariant::Invariant;
use glenfall_control_plane::messages::{CallId, PeerMessage, ProxyRole, Update};
use glenfall_control_plane::registry::{EntryStatus, HeartbeatOutcome, ObservedServer, ServerEntry};
use tokio::time::{sleep, timeout};

use super::{Control, BEFORE, DRAIN, GATHER, GATHER_FOR_EACH};

/// Servers that are named in the log at most where many are forgotten at once.
const MOST_NAMED: usize = 20;

impl Control {
    /// Whether this node has heard of every server that there is.
    pub(super) fn complete(&self) -> bool {
        self.registry.borrow().is_complete(self.now(), BEFORE)
    }

    /// Forgets servers that have been silent for too long; whether there were any.
    pub(super) fn expire_servers(&self) -> bool {
        let silent = self.registry.borrow_mut().expire(self.now());
        for server in silent.iter().take(MOST_NAMED) {
            tracing::warn!(server = %server.id, of = silent.len(), "server forgotten: it has said nothing for too long");
        }
        !silent.is_empty()
    }

    pub(super) fn members_changed(&self) {
        let members = MembersUpdate::listed(self.sessions.members());
        let change = MembersUpdate::delta(&self.told_members.borrow(), &members);
        self.told_members.replace(members);
        if let Some(change) = change {
            self.peers.tell(&PeerMessage::Members(change));
            self.fleet_changed.notify_one();
        }
    }

    pub(super) fn present_fleet(&self) -> Fleet {
        let members = self.sessions.members().into_iter().chain(self.peers.members());
        let (shields, edges): (Vec<_>, Vec<_>) =
            members.partition(|member| member.proxy == ProxyRole::Shield);
        let complete = self.complete();
        let mut fleet = Fleet {
            complete,
            // Agents keep what an incomplete list lacks.
            servers: self.registry.borrow().servers(self.now(), !complete),
            shields,
            edges: edges.iter().map(|edge| edge_hash(&edge.node)).collect(),
            cores: self.chain.borrow().members().voters.len() as u32,
        };
        // Who has just moved from one control node to another stands in both lists for a moment.
        fleet.sort();
        fleet
    }

    pub(super) async fn push_fleet(self: Rc<Self>) {
        loop {
            self.fleet_changed.notified().await;
            let entries = self.fleet.borrow().fleet().entries();
            sleep(GATHER + GATHER_FOR_EACH * entries as u32).await;
            self.push_fleet_now();
        }
    }

    pub(super) fn push_fleet_now(&self) {
        let told = self.fleet.borrow_mut().advance_to(self.present_fleet());
        if let Some(told) = told {
            self.sessions.push(&Update::Fleet(told));
        }
    }

    /// What a server said here. That it leaves is acknowledged only once all control nodes that are there know it:
    /// this one may be gone the moment after. `None` where one of them did not say so in time.
    pub(super) async fn heard(&self, entry: ServerEntry) -> Option<HeartbeatOutcome> {
        let heard = self.registry.borrow_mut().observe(self.now(), 0, entry.clone());
        // What it said last: this call may be an old one.
        let known =
            self.registry.borrow().entry(&entry.id).filter(|e| e.status != EntryStatus::Ready).cloned();
        if let Some(known) = known.filter(|_| entry.status != EntryStatus::Ready) {
            return self.spread(&known).await.then_some(heard);
        }
        match heard {
            HeartbeatOutcome::Stale | HeartbeatOutcome::RegistryFull => {}
            HeartbeatOutcome::Changed => {
                self.peers.tell(&PeerMessage::Servers(vec![ObservedServer::now(entry)]));
                self.fleet_changed.notify_one();
            }
            HeartbeatOutcome::Refreshed => self.relay.add(self.now(), entry),
        }
        Some(heard)
    }

    /// A server said goodbye here; false where not all who have to know could be told.
    pub(super) async fn said_goodbye(&self, id: &str) -> bool {
        let gone = self.registry.borrow_mut().deregister(self.now(), id);
        match gone {
            Some(entry) => self.spread(&entry).await,
            None => false,
        }
    }

    /// Has all peers that are there, and by them whoever is there for them alone, take something in. True once each has
    /// said so in answer to this very call, and they are a majority with this node: whoever is not among them, and has
    /// sessions, hears from none of a majority, and turns its sessions away or hears of it when it does again.
    pub(super) async fn told_all(&self, question: impl Fn(CallId) -> PeerMessage, most: Duration) -> bool {
        let up = self.peers.up();
        self.peers.ask(&up, question, most).await.is_some() && self.chain.borrow().is_quorum(&up)
    }

    /// Tells all control nodes, and proxies, that a server leaves.
    pub(super) async fn spread(&self, entry: &ServerEntry) -> bool {
        if self.registry.borrow().is_replicated(&entry.id) {
            self.peers.tell(&PeerMessage::Servers(vec![ObservedServer::now(entry.clone())]));
            // It holds for good, and is confirmed by a node in touch alone.
            return timeout(DRAIN, self.knows_newest()).await.is_ok();
        }
        self.push_fleet_now();
        let peers = self
            .told_all(|id| PeerMessage::ReplicateServer { id, entry: entry.clone(), forward: true }, DRAIN);
        // Proxies that are slow still apply it in time: what is on its way to them is not lost while they are there,
        // and whoever is not turns to another node.
        let (told, _applied) = tokio::join!(peers, self.sessions.applied(DRAIN));
        if told {
            let listed = self.fleet.borrow().fleet().servers.iter().any(|s| s.id == entry.id && s.ready);
            Invariant::DrainIsTold.check(!listed, || entry.id.clone());
            self.registry.borrow_mut().mark_replicated(&entry.id, entry.status);
        } else {
            tracing::warn!(server = %entry.id, "not acknowledged that it leaves: not all control nodes know it yet");
        }
        told
    }
}
