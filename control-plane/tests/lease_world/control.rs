//! Control nodes, all of which are voters: purges, and the leases that the nodes grant each other.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

use glenfall_control_plane::lease::{granter_wait, Grants, VoterLeases, VOTER_LEASE_DURATION};
use glenfall_control_plane::messages::ProcessId;
use glenfall_control_plane::Millis;
use rand::Rng;

use super::{Disabled, Message, World, CONTROL_NODE_COUNT};

/// Timeout of a purge at the node that an operator sent it to.
const PURGE_TIMEOUT: Millis = 750;
/// Timeout of a purge at a node that received it from another control node.
const FORWARDED_PURGE_TIMEOUT: Millis = 600;

pub fn address(control: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, control as u8)
}

fn control_at(address: Ipv4Addr) -> usize {
    usize::from(address.octets()[3])
}

struct Link {
    connection: usize,
    incarnation: u64,
    is_open: bool,
}

/// A purge that is not acknowledged yet.
struct PendingPurge {
    purge: u32,
    /// The sessions that have to apply the purge, each with the number of the update.
    awaited: Vec<(usize, u64)>,
    /// Processes that were sent the purge: their leases need not expire before it is complete.
    notified: Vec<ProcessId>,
    /// Peers that were sent the purge and have not answered yet.
    unanswered: BTreeSet<usize>,
    /// Peers that answered that the purge is complete there.
    complete_peers: Vec<Ipv4Addr>,
    deadline: Millis,
    /// The control node that sent the purge, and the id of the purge there; `None` for a purge of an operator.
    requester: Option<(usize, u64)>,
    /// Whether this node forwards the purge; its answer then also covers the nodes that it forwards to.
    forwards: bool,
}

#[derive(Default)]
pub struct Control {
    voter_leases: VoterLeases,
    peer_grants: Grants<ProcessId>,
    /// Until when leases that the previous process of this node granted may be valid.
    previous_grants_until: Millis,
    links: BTreeMap<usize, Link>,
    pending_purges: BTreeMap<u64, PendingPurge>,
    last_id: u64,
}

impl Control {
    pub fn started(now: Millis) -> Control {
        Control { previous_grants_until: now + granter_wait(VOTER_LEASE_DURATION), ..Control::default() }
    }

    fn open_links(&self) -> impl Iterator<Item = (usize, &Link)> {
        self.links.iter().filter(|(_, link)| link.is_open).map(|(control, link)| (*control, link))
    }

    fn connected_processes(&self) -> Vec<ProcessId> {
        self.open_links()
            .map(|(control, link)| ProcessId { ip: address(control), incarnation: link.incarnation })
            .collect()
    }
}

fn is_quorum(others: &[Ipv4Addr]) -> bool {
    (others.len() + 1) * 2 > CONTROL_NODE_COUNT
}

impl World {
    fn incarnation(&self, control: usize) -> u64 {
        if self.disabled == Disabled::Incarnations {
            1
        } else {
            self.processes[control].incarnation
        }
    }

    pub fn has_quorum(&self, control: usize) -> bool {
        (self.processes[control].control.open_links().count() + 1) * 2 > CONTROL_NODE_COUNT
    }

    pub fn tick_control(&mut self, node: usize) {
        let (incarnation, sent) = (self.incarnation(node), self.clock(node));
        for peer in (0..CONTROL_NODE_COUNT).filter(|peer| *peer != node) {
            let link =
                self.processes[node].control.links.get(&peer).map(|link| (link.connection, link.is_open));
            match link {
                Some((connection, true)) => {
                    self.send(node, connection, Message::PeerRenew { incarnation, sent });
                }
                Some(_) => {}
                None if node < peer && self.reaches(node, peer) => {
                    let purges = self.processes[node].purges.clone();
                    let connection =
                        self.connect(node, peer, Message::Open { incarnation, purges, is_reply: false });
                    let link = Link { connection, incarnation: 0, is_open: false };
                    self.processes[node].control.links.insert(peer, link);
                }
                None => {}
            }
        }
    }

    /// Requests a purge at a random control node, as an operator.
    pub fn request_purge(&mut self) {
        let node = self.rng.random_range(0..CONTROL_NODE_COUNT);
        if self.processes[node].paused_until > self.now {
            return;
        }
        let purge = self.requested_purges;
        self.requested_purges += 1;
        let already_notified = self.processes[node].control.connected_processes();
        let request = |id| Message::Purge { id, purge, already_notified: Some(already_notified.clone()) };
        let peers = already_notified.iter().map(|process| control_at(process.ip)).collect();
        self.start_purge(node, purge, (peers, request), already_notified.clone(), None, true);
    }

    fn start_purge(
        &mut self,
        node: usize,
        purge: u32,
        (peers, request): (BTreeSet<usize>, impl Fn(u64) -> Message),
        notified: Vec<ProcessId>,
        requester: Option<(usize, u64)>,
        forwards: bool,
    ) {
        self.processes[node].purges.insert(purge);
        self.push(node, &BTreeSet::from([purge]), true);
        let timeout = if requester.is_some() { FORWARDED_PURGE_TIMEOUT } else { PURGE_TIMEOUT };
        let (awaited, deadline) = (self.awaited_updates(node), self.clock(node) + timeout);
        let control = &mut self.processes[node].control;
        control.last_id += 1;
        let id = control.last_id;
        let connections: Vec<usize> =
            peers.iter().filter_map(|peer| control.links.get(peer)).map(|link| link.connection).collect();
        let pending = PendingPurge {
            purge,
            awaited,
            notified,
            unanswered: peers,
            complete_peers: Vec::new(),
            deadline,
            requester,
            forwards,
        };
        control.pending_purges.insert(id, pending);
        connections.into_iter().for_each(|connection| self.send(node, connection, request(id)));
    }

    pub fn handle_control(&mut self, node: usize, connection: usize, from: usize, message: Message) {
        let (now, incarnation) = (self.clock(node), self.incarnation(node));
        if let Message::Open { incarnation: peer_incarnation, purges, is_reply } = message {
            let link = Link { connection, incarnation: peer_incarnation, is_open: true };
            self.processes[node].control.links.insert(from, link);
            self.processes[node].purges.extend(&purges);
            self.push(node, &purges, true);
            // From now on the peer is sent each new purge, and so it has to receive all earlier ones now.
            let purges = self.processes[node].purges.clone();
            let reply = if is_reply {
                Message::Purges(purges)
            } else {
                Message::Open { incarnation, purges, is_reply: true }
            };
            return self.send(node, connection, reply);
        }
        let control = &mut self.processes[node].control;
        let Some(link) =
            control.links.get(&from).filter(|link| link.connection == connection && link.is_open)
        else {
            return;
        };
        let peer = ProcessId { ip: address(from), incarnation: link.incarnation };
        match message {
            Message::Purges(purges) => {
                self.processes[node].purges.extend(&purges);
                self.push(node, &purges, true);
            }
            Message::PeerRenew { incarnation: peer_incarnation, sent }
                if peer_incarnation == peer.incarnation =>
            {
                control.peer_grants.grant(peer, now, VOTER_LEASE_DURATION);
                self.send(
                    node,
                    connection,
                    Message::PeerGranted {
                        incarnation: peer_incarnation,
                        sent,
                        duration: VOTER_LEASE_DURATION,
                    },
                );
            }
            Message::PeerGranted { incarnation: granted_incarnation, sent, duration }
                if granted_incarnation == incarnation =>
            {
                control.voter_leases.renew(now, peer.ip, sent, duration);
                let until = control.voter_leases.quorum_expiry(now, is_quorum);
                self.set_lease_expiry(node, until);
            }
            Message::Purge { id, purge, already_notified: None } => {
                let no_peers = (BTreeSet::new(), |_| Message::Hello);
                self.start_purge(node, purge, no_peers, Vec::new(), Some((from, id)), false);
            }
            Message::Purge { id, purge, already_notified: Some(mut notified) } => {
                let further_peers: Vec<ProcessId> = control
                    .connected_processes()
                    .into_iter()
                    .filter(|other| *other != peer && !notified.contains(other))
                    .collect();
                notified.push(peer);
                notified.extend(&further_peers);
                let peers = further_peers.iter().map(|process| control_at(process.ip)).collect();
                let forwarded = |id| Message::Purge { id, purge, already_notified: None };
                self.start_purge(node, purge, (peers, forwarded), notified, Some((from, id)), true);
            }
            Message::Done { id, complete } => {
                if let Some(pending) = control.pending_purges.get_mut(&id) {
                    if pending.unanswered.remove(&from) && complete {
                        pending.complete_peers.push(peer.ip);
                    }
                }
            }
            _ => {}
        }
    }

    /// Answers the purges that are complete, and abandons those that have timed out.
    pub fn complete_purges(&mut self, node: usize) {
        let ids: Vec<u64> = self.processes[node].control.pending_purges.keys().copied().collect();
        for id in ids {
            let Some(pending) = self.processes[node].control.pending_purges.remove(&id) else { continue };
            let now = self.clock(node);
            let timed_out = now >= pending.deadline;
            let is_applied = self.is_applied_or_expired(node, &pending.awaited);
            let complete = pending.forwards && self.no_lease_except(node, &pending.notified);
            let is_answered = is_applied && pending.unanswered.is_empty();
            match pending.requester {
                None if is_answered && complete && is_quorum(&pending.complete_peers) => {
                    self.acknowledged.insert(pending.purge);
                }
                Some((requester, requester_id))
                    if is_answered && (complete || timed_out || !pending.forwards) =>
                {
                    let link = self.processes[node].control.links.get(&requester).map(|link| link.connection);
                    if let Some(connection) = link {
                        self.send(node, connection, Message::Done { id: requester_id, complete });
                    }
                }
                _ if timed_out => self.record_overdue(node, &pending.awaited),
                _ => {
                    self.processes[node].control.pending_purges.insert(id, pending);
                }
            }
        }
    }

    fn no_lease_except(&self, node: usize, notified: &[ProcessId]) -> bool {
        let now = self.clock(node);
        let control = &self.processes[node].control;
        let peers_expired =
            control.peer_grants.last_expiry(now, |holder| !notified.contains(holder)).is_none();
        let previous_grants_expired = now >= control.previous_grants_until;
        (peers_expired || self.disabled == Disabled::PeerLeaseWait)
            && (previous_grants_expired || self.disabled == Disabled::StartWait)
    }

    /// Handles the end of the link to a peer: the purges that wait for its answer fail.
    pub fn link_closed(&mut self, node: usize, connection: usize) {
        let control = &mut self.processes[node].control;
        let lost_peer =
            control.links.iter().find(|(_, link)| link.connection == connection).map(|(peer, _)| *peer);
        if let Some(peer) = lost_peer {
            control.links.remove(&peer);
            control.pending_purges.retain(|_, pending| !pending.unanswered.contains(&peer));
        }
    }
}
