//! Control nodes, which are all voters: purges, and the leases between them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

use glenfall_control_plane::lease::{granter_wait, Grants, VoterLeases, VOTER_LEASE};
use glenfall_control_plane::messages::ProcessId;
use glenfall_control_plane::Millis;
use rand::Rng;

use super::{Disabled, Message, World, CONTROLS};

/// Time-outs of a purge in milliseconds, at the node that accepted it and at those that it was sent to.
const PURGE_TIMEOUT: Millis = 750;
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
    up: bool,
}

/// A purge that is not acknowledged yet.
struct PendingPurge {
    purge: u32,
    due: Vec<(usize, u64)>,
    /// Processes whose leases need not have expired, as they are sent the purge.
    told: Vec<ProcessId>,
    left: BTreeSet<usize>,
    complete: Vec<Ipv4Addr>,
    until: Millis,
    /// The control node that sent the purge, with its id; `None` for a purge of an operator.
    asker: Option<(usize, u64)>,
    /// This node forwards the purge, and answers for the nodes that it forwards to as well.
    first: bool,
}

#[derive(Default)]
pub struct Control {
    held: VoterLeases,
    granted: Grants<ProcessId>,
    unknown_until: Millis,
    links: BTreeMap<usize, Link>,
    waiting: BTreeMap<u64, PendingPurge>,
    next: u64,
}

impl Control {
    pub fn started(now: Millis) -> Control {
        Control { unknown_until: now + granter_wait(VOTER_LEASE), ..Control::default() }
    }

    fn up(&self) -> impl Iterator<Item = (usize, &Link)> {
        self.links.iter().filter(|(_, link)| link.up).map(|(control, link)| (*control, link))
    }

    fn instances(&self) -> Vec<ProcessId> {
        self.up()
            .map(|(control, link)| ProcessId { ip: address(control), incarnation: link.incarnation })
            .collect()
    }
}

fn is_quorum(others: &[Ipv4Addr]) -> bool {
    (others.len() + 1) * 2 > CONTROLS
}

impl World {
    fn incarnation(&self, control: usize) -> u64 {
        if self.disabled == Disabled::Incarnations {
            1
        } else {
            self.processes[control].incarnation
        }
    }

    pub fn vouches(&self, control: usize) -> bool {
        (self.processes[control].control.up().count() + 1) * 2 > CONTROLS
    }

    pub fn tick_control(&mut self, me: usize) {
        let (incarnation, sent) = (self.incarnation(me), self.clock(me));
        for peer in (0..CONTROLS).filter(|peer| *peer != me) {
            let link = self.processes[me].control.links.get(&peer).map(|link| (link.connection, link.up));
            match link {
                Some((connection, true)) => {
                    self.send(me, connection, Message::PeerRenew { incarnation, sent });
                }
                Some(_) => {}
                None if me < peer && self.reaches(me, peer) => {
                    let purges = self.processes[me].purges.clone();
                    let connection =
                        self.connect(me, peer, Message::Open { incarnation, purges, back: false });
                    let link = Link { connection, incarnation: 0, up: false };
                    self.processes[me].control.links.insert(peer, link);
                }
                None => {}
            }
        }
    }

    /// An operator requests a purge at a random control node.
    pub fn request_purge(&mut self) {
        let me = self.rng.random_range(0..CONTROLS);
        if self.processes[me].paused_until > self.now {
            return;
        }
        let purge = self.requested_purges;
        self.requested_purges += 1;
        let asked = self.processes[me].control.instances();
        let question = |id| Message::Purge { id, purge, asked: Some(asked.clone()) };
        let peers = asked.iter().map(|instance| control_at(instance.ip)).collect();
        self.wait(me, purge, (peers, question), asked.clone(), None, true);
    }

    fn wait(
        &mut self,
        me: usize,
        purge: u32,
        (peers, question): (BTreeSet<usize>, impl Fn(u64) -> Message),
        told: Vec<ProcessId>,
        asker: Option<(usize, u64)>,
        first: bool,
    ) {
        self.processes[me].purges.insert(purge);
        self.push(me, &BTreeSet::from([purge]), true);
        let most = if asker.is_some() { FORWARDED_PURGE_TIMEOUT } else { PURGE_TIMEOUT };
        let (due, until) = (self.due(me), self.clock(me) + most);
        let control = &mut self.processes[me].control;
        control.next += 1;
        let id = control.next;
        let said: Vec<usize> =
            peers.iter().filter_map(|peer| control.links.get(peer)).map(|link| link.connection).collect();
        let waiting =
            PendingPurge { purge, due, told, left: peers, complete: Vec::new(), until, asker, first };
        control.waiting.insert(id, waiting);
        said.into_iter().for_each(|connection| self.send(me, connection, question(id)));
    }

    pub fn handle_control(&mut self, me: usize, connection: usize, from: usize, message: Message) {
        let (now, incarnation) = (self.clock(me), self.incarnation(me));
        if let Message::Open { incarnation: theirs, purges, back } = message {
            let link = Link { connection, incarnation: theirs, up: true };
            self.processes[me].control.links.insert(from, link);
            self.processes[me].purges.extend(&purges);
            self.push(me, &purges, true);
            // The peer receives all known purges at the moment from which on purges are sent to it.
            let purges = self.processes[me].purges.clone();
            let told = if back {
                Message::Purges(purges)
            } else {
                Message::Open { incarnation, purges, back: true }
            };
            return self.send(me, connection, told);
        }
        let control = &mut self.processes[me].control;
        let Some(link) = control.links.get(&from).filter(|link| link.connection == connection && link.up)
        else {
            return;
        };
        let peer = ProcessId { ip: address(from), incarnation: link.incarnation };
        match message {
            Message::Purges(purges) => {
                self.processes[me].purges.extend(&purges);
                self.push(me, &purges, true);
            }
            Message::PeerRenew { incarnation: theirs, sent } if theirs == peer.incarnation => {
                control.granted.grant(peer, now, VOTER_LEASE);
                self.send(
                    me,
                    connection,
                    Message::PeerGranted { incarnation: theirs, sent, duration: VOTER_LEASE },
                );
            }
            Message::PeerGranted { incarnation: mine, sent, duration } if mine == incarnation => {
                control.held.renew(now, peer.ip, sent, duration);
                let until = control.held.quorum_expiry(now, is_quorum);
                self.set_lease_expiry(me, until);
            }
            Message::Purge { id, purge, asked: None } => {
                let nobody = (BTreeSet::new(), |_| Message::Hello);
                self.wait(me, purge, nobody, Vec::new(), Some((from, id)), false);
            }
            Message::Purge { id, purge, asked: Some(mut told) } => {
                let beyond: Vec<ProcessId> = control
                    .instances()
                    .into_iter()
                    .filter(|other| *other != peer && !told.contains(other))
                    .collect();
                told.push(peer);
                told.extend(&beyond);
                let peers = beyond.iter().map(|instance| control_at(instance.ip)).collect();
                let on = |id| Message::Purge { id, purge, asked: None };
                self.wait(me, purge, (peers, on), told, Some((from, id)), true);
            }
            Message::Done { id, complete } => {
                if let Some(waiting) = control.waiting.get_mut(&id) {
                    if waiting.left.remove(&from) && complete {
                        waiting.complete.push(peer.ip);
                    }
                }
            }
            _ => {}
        }
    }

    /// Answers the purges that are complete, and abandons those that have timed out.
    pub fn complete_purges(&mut self, me: usize) {
        let ids: Vec<u64> = self.processes[me].control.waiting.keys().copied().collect();
        for id in ids {
            let Some(waiting) = self.processes[me].control.waiting.remove(&id) else { continue };
            let now = self.clock(me);
            let timed_out = now >= waiting.until;
            let purged = self.is_purged(me, &waiting.due);
            let complete = waiting.first && self.no_lease_except(me, &waiting.told);
            let answers = purged && waiting.left.is_empty();
            match waiting.asker {
                None if answers && complete && is_quorum(&waiting.complete) => {
                    self.acknowledged.insert(waiting.purge);
                }
                Some((asker, theirs)) if answers && (complete || timed_out || !waiting.first) => {
                    let link = self.processes[me].control.links.get(&asker).map(|link| link.connection);
                    if let Some(connection) = link {
                        self.send(me, connection, Message::Done { id: theirs, complete });
                    }
                }
                _ if timed_out => self.record_overdue(me, &waiting.due),
                _ => {
                    self.processes[me].control.waiting.insert(id, waiting);
                }
            }
        }
    }

    fn no_lease_except(&self, me: usize, told: &[ProcessId]) -> bool {
        let now = self.clock(me);
        let control = &self.processes[me].control;
        let peers = control.granted.last_expiry(now, |holder| !told.contains(holder)).is_none();
        let known = now >= control.unknown_until;
        (peers || self.disabled == Disabled::PeerLeaseWait) && (known || self.disabled == Disabled::StartWait)
    }

    /// The link to a peer has ended: the purges that it has not acknowledged fail.
    pub fn link_closed(&mut self, me: usize, connection: usize) {
        let control = &mut self.processes[me].control;
        let lost =
            control.links.iter().find(|(_, link)| link.connection == connection).map(|(peer, _)| *peer);
        if let Some(peer) = lost {
            control.links.remove(&peer);
            control.waiting.retain(|_, waiting| !waiting.left.contains(&peer));
        }
    }
}
