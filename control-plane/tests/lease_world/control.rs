//! Control nodes, all of which are voters: purges, and the leases that the nodes grant each other.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

use glenfall_control_plane::lease::{granter_wait, Grants, VoterLeases, VOTER_LEASE_DURATION};
use glenfall_control_plane::messages::ProcessId;
use glenfall_control_plane::Millis;
use rand::Rng;

use super::{Disabled, Message, World, CONTROL_NODES};

/// Time-out of a purge at the node that an operator sent it to.
const PURGE_TIMEOUT: Millis = 750;
/// Time-out of a purge at a node that received it from another control node.
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
    /// Processes that are sent the purge, whose leases need not expire.
    notified: Vec<ProcessId>,
    /// Peers that were sent the purge and have not answered yet.
    unanswered: BTreeSet<usize>,
    /// Peers that answered that the purge is complete there.
    complete_peers: Vec<Ipv4Addr>,
    deadline: Millis,
    /// The control node that sent the purge, and the id of the purge there; `None` for a purge of an operator.
    requester: Option<(usize, u64)>,
    /// Whether this node forwards the purge, and its answer covers the nodes that it forwards to as well.
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
    (others.len() + 1) * 2 > CONTROL_NODES
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
        (self.processes[control].control.open_links().count() + 1) * 2 > CONTROL_NODES
    }

    pub fn tick_control(&mut self, me: usize) {
        let (incarnation, sent) = (self.incarnation(me), self.clock(me));
        for peer in (0..CONTROL_NODES).filter(|peer| *peer != me) {
            let link =
                self.processes[me].control.links.get(&peer).map(|link| (link.connection, link.is_open));
            match link {
                Some((connection, true)) => {
                    self.send(me, connection, Message::PeerRenew { incarnation, sent });
                }
                Some(_) => {}
                None if me < peer && self.reaches(me, peer) => {
                    let purges = self.processes[me].purges.clone();
                    let connection =
                        self.connect(me, peer, Message::Open { incarnation, purges, is_reply: false });
                    let link = Link { connection, incarnation: 0, is_open: false };
                    self.processes[me].control.links.insert(peer, link);
                }
                None => {}
            }
        }
    }

    /// Requests a purge at a random control node, as an operator.
    pub fn request_purge(&mut self) {
        let me = self.rng.random_range(0..CONTROL_NODES);
        if self.processes[me].paused_until > self.now {
            return;
        }
        let purge = self.requested_purges;
        self.requested_purges += 1;
        let already_notified = self.processes[me].control.connected_processes();
        let request = |id| Message::Purge { id, purge, already_notified: Some(already_notified.clone()) };
        let peers = already_notified.iter().map(|process| control_at(process.ip)).collect();
        self.start_purge(me, purge, (peers, request), already_notified.clone(), None, true);
    }

    fn start_purge(
        &mut self,
        me: usize,
        purge: u32,
        (peers, request): (BTreeSet<usize>, impl Fn(u64) -> Message),
        notified: Vec<ProcessId>,
        requester: Option<(usize, u64)>,
        forwards: bool,
    ) {
        self.processes[me].purges.insert(purge);
        self.push(me, &BTreeSet::from([purge]), true);
        let timeout = if requester.is_some() { FORWARDED_PURGE_TIMEOUT } else { PURGE_TIMEOUT };
        let (awaited, deadline) = (self.awaited_updates(me), self.clock(me) + timeout);
        let control = &mut self.processes[me].control;
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
        connections.into_iter().for_each(|connection| self.send(me, connection, request(id)));
    }

    pub fn handle_control(&mut self, me: usize, connection: usize, from: usize, message: Message) {
        let (now, incarnation) = (self.clock(me), self.incarnation(me));
        if let Message::Open { incarnation: peer_incarnation, purges, is_reply } = message {
            let link = Link { connection, incarnation: peer_incarnation, is_open: true };
            self.processes[me].control.links.insert(from, link);
            self.processes[me].purges.extend(&purges);
            self.push(me, &purges, true);
            // From now on the peer is sent each new purge, and so it has to receive all earlier ones now.
            let purges = self.processes[me].purges.clone();
            let reply = if is_reply {
                Message::Purges(purges)
            } else {
                Message::Open { incarnation, purges, is_reply: true }
            };
            return self.send(me, connection, reply);
        }
        let control = &mut self.processes[me].control;
        let Some(link) =
            control.links.get(&from).filter(|link| link.connection == connection && link.is_open)
        else {
            return;
        };
        let peer = ProcessId { ip: address(from), incarnation: link.incarnation };
        match message {
            Message::Purges(purges) => {
                self.processes[me].purges.extend(&purges);
                self.push(me, &purges, true);
            }
            Message::PeerRenew { incarnation: peer_incarnation, sent }
                if peer_incarnation == peer.incarnation =>
            {
                control.peer_grants.grant(peer, now, VOTER_LEASE_DURATION);
                self.send(
                    me,
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
                self.set_lease_expiry(me, until);
            }
            Message::Purge { id, purge, already_notified: None } => {
                let no_peers = (BTreeSet::new(), |_| Message::Hello);
                self.start_purge(me, purge, no_peers, Vec::new(), Some((from, id)), false);
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
                self.start_purge(me, purge, (peers, forwarded), notified, Some((from, id)), true);
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
    pub fn complete_purges(&mut self, me: usize) {
        let ids: Vec<u64> = self.processes[me].control.pending_purges.keys().copied().collect();
        for id in ids {
            let Some(pending) = self.processes[me].control.pending_purges.remove(&id) else { continue };
            let now = self.clock(me);
            let timed_out = now >= pending.deadline;
            let is_applied = self.is_applied_or_expired(me, &pending.awaited);
            let complete = pending.forwards && self.no_lease_except(me, &pending.notified);
            let is_answered = is_applied && pending.unanswered.is_empty();
            match pending.requester {
                None if is_answered && complete && is_quorum(&pending.complete_peers) => {
                    self.acknowledged.insert(pending.purge);
                }
                Some((requester, requester_id))
                    if is_answered && (complete || timed_out || !pending.forwards) =>
                {
                    let link = self.processes[me].control.links.get(&requester).map(|link| link.connection);
                    if let Some(connection) = link {
                        self.send(me, connection, Message::Done { id: requester_id, complete });
                    }
                }
                _ if timed_out => self.record_overdue(me, &pending.awaited),
                _ => {
                    self.processes[me].control.pending_purges.insert(id, pending);
                }
            }
        }
    }

    fn no_lease_except(&self, me: usize, notified: &[ProcessId]) -> bool {
        let now = self.clock(me);
        let control = &self.processes[me].control;
        let peers_expired =
            control.peer_grants.last_expiry(now, |holder| !notified.contains(holder)).is_none();
        let previous_grants_expired = now >= control.previous_grants_until;
        (peers_expired || self.disabled == Disabled::PeerLeaseWait)
            && (previous_grants_expired || self.disabled == Disabled::StartWait)
    }

    /// Handles the end of the link to a peer: the purges that wait for its answer fail.
    pub fn link_closed(&mut self, me: usize, connection: usize) {
        let control = &mut self.processes[me].control;
        let lost_peer =
            control.links.iter().find(|(_, link)| link.connection == connection).map(|(peer, _)| *peer);
        if let Some(peer) = lost_peer {
            control.links.remove(&peer);
            control.pending_purges.retain(|_, pending| !pending.unanswered.contains(&peer));
        }
    }
}
