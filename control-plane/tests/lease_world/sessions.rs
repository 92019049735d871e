//! Sessions, of agents at control nodes and of proxies at agents.

use std::collections::{BTreeMap, BTreeSet};

use glenfall_control_plane::lease::{Grants, Lease, SESSION_LEASE};
use glenfall_control_plane::Millis;
use rand::Rng;

use super::{Disabled, Message, World, AGENTS, CONTROLS};

/// A session at its publisher.
#[derive(Default)]
struct Session {
    sent: u64,
    applied: u64,
    /// The last reading of the subscriber's clock, and when it was received.
    renewal: Option<(Millis, Millis)>,
    /// No lease is granted before this update is applied, as a purge has timed out waiting for it.
    overdue: u64,
}

/// The sessions of a publisher, by connection.
#[derive(Default)]
pub struct Sessions {
    all: BTreeMap<usize, Session>,
    grants: Grants<usize>,
    until: Millis,
}

impl World {
    fn is_agent(process: usize) -> bool {
        (CONTROLS..CONTROLS + AGENTS).contains(&process)
    }

    /// Connects to a publisher, or renews the lease.
    pub fn tick_subscriber(&mut self, process: usize) {
        let sent = self.clock(process);
        if let Some(connection) = self.processes[process].up {
            return self.send(process, connection, Message::Renew { sent });
        }
        if self.processes[process].releasing.take().is_some() {
            return;
        }
        let upper =
            if Self::is_agent(process) { self.rng.random_range(0..CONTROLS) } else { process - AGENTS };
        if self.reaches(process, upper) && self.processes[process].waiting.is_empty() {
            self.processes[process].up = Some(self.connect(process, upper, Message::Hello));
        }
    }

    /// An agent moves to another control node without a fault.
    pub fn move_agent(&mut self, agent: usize) {
        let Some(connection) = self.processes[agent].up.take() else { return };
        self.disconnect(agent);
        self.processes[agent].waiting.clear();
        self.processes[agent].applying = None;
        self.processes[agent].releasing = Some((connection, self.due(agent)));
    }

    fn complete_release(&mut self, agent: usize) {
        let Some((connection, due)) = self.processes[agent].releasing.take() else { return };
        if self.is_purged(agent, &due) {
            self.send(agent, connection, Message::Released);
        } else {
            self.processes[agent].releasing = Some((connection, due));
        }
    }

    pub fn disconnect(&mut self, process: usize) {
        self.processes[process].connected = false;
        if self.disabled != Disabled::EndOnDisconnect {
            self.processes[process].lease = Lease::default();
        }
        if Self::is_agent(process) {
            self.processes[process].sessions.until = 0;
            self.push(process, &BTreeSet::new(), false);
        }
    }

    pub fn set_lease_expiry(&mut self, upper: usize, until: Millis) {
        let had_none = self.processes[upper].sessions.until <= self.clock(upper);
        self.processes[upper].sessions.until = until;
        if Self::is_agent(upper) || had_none {
            let connections: Vec<usize> = self.processes[upper].sessions.all.keys().copied().collect();
            connections.into_iter().for_each(|connection| self.grant(upper, connection));
        }
    }

    fn grant(&mut self, upper: usize, connection: usize) {
        let now = self.clock(upper);
        let full = self.disabled == Disabled::NestedExpiry;
        let sessions = &mut self.processes[upper].sessions;
        let session = sessions.all.get(&connection).filter(|session| session.applied >= session.overdue);
        let Some((sent, received)) = session.and_then(|session| session.renewal) else { return };
        let until = if full && now < sessions.until { now + SESSION_LEASE } else { sessions.until };
        if let Some(duration) = sessions.grants.grant_part(now, connection, received, until) {
            self.send(upper, connection, Message::Granted { sent, duration });
        }
    }

    pub fn push(&mut self, upper: usize, purges: &BTreeSet<u32>, connected: bool) {
        let connections: Vec<usize> = self.processes[upper].sessions.all.keys().copied().collect();
        for connection in connections {
            self.push_to(upper, connection, purges.clone(), connected);
        }
    }

    fn push_to(&mut self, upper: usize, connection: usize, purges: BTreeSet<u32>, connected: bool) {
        let Some(session) = self.processes[upper].sessions.all.get_mut(&connection) else { return };
        session.sent += 1;
        let number = session.sent;
        self.send(upper, connection, Message::Push { number, purges, connected });
    }

    /// Who has a lease, and what it was sent.
    pub fn due(&self, upper: usize) -> Vec<(usize, u64)> {
        let sessions = &self.processes[upper].sessions;
        let holders = sessions.grants.holders(self.clock(upper));
        holders.map(|holder| (holder, sessions.all.get(&holder).map_or(u64::MAX, |s| s.sent))).collect()
    }

    pub fn is_purged(&self, upper: usize, due: &[(usize, u64)]) -> bool {
        let (now, sessions) = (self.clock(upper), &self.processes[upper].sessions);
        due.iter().all(|(connection, sent)| match sessions.all.get(connection) {
            Some(session) if session.applied >= *sent => true,
            Some(_) => sessions.grants.expiry(now, connection).is_none(),
            None if self.disabled == Disabled::SessionLeaseWait => true,
            None => sessions.grants.expiry(now, connection).is_none(),
        })
    }

    /// Withholds leases from sessions that a purge waited for in vain.
    pub fn record_overdue(&mut self, upper: usize, due: &[(usize, u64)]) {
        for (connection, sent) in due {
            if let Some(session) = self.processes[upper].sessions.all.get_mut(connection) {
                session.overdue = session.overdue.max(*sent);
            }
        }
    }

    /// What the upper side of a session hears.
    pub fn handle_from_subscriber(&mut self, upper: usize, connection: usize, message: Message) {
        let (now, purges) = (self.clock(upper), self.processes[upper].purges.clone());
        match message {
            Message::Hello if upper < CONTROLS => {
                if !self.vouches(upper) {
                    return self.end(connection, None);
                }
                self.processes[upper].sessions.all.insert(connection, Session::default());
                self.push_to(upper, connection, purges, true);
            }
            Message::Hello => {
                // A proxy of this agent drops all copies at first.
                let connected = self.processes[upper].connected;
                self.processes[upper].sessions.all.insert(connection, Session::default());
                self.push_to(upper, connection, (0..self.requested_purges).collect(), connected);
            }
            Message::Renew { sent } => {
                let Some(session) = self.processes[upper].sessions.all.get_mut(&connection) else { return };
                session.renewal = Some((sent, now));
                self.grant(upper, connection);
            }
            Message::Applied(number) => {
                if let Some(session) = self.processes[upper].sessions.all.get_mut(&connection) {
                    session.applied = session.applied.max(number);
                }
            }
            Message::Released => {
                self.processes[upper].sessions.all.remove(&connection);
                self.processes[upper].sessions.grants.release(&connection);
                self.end(connection, None);
            }
            _ => {}
        }
    }

    /// What the lower side of a session hears; an agent hears nothing else while its proxies apply a purge.
    pub fn handle_from_publisher(&mut self, lower: usize, connection: usize, message: Message) {
        if self.processes[lower].up != Some(connection) {
            return;
        }
        if self.processes[lower].applying.is_some() {
            return self.processes[lower].waiting.push_back(message);
        }
        match message {
            Message::Granted { sent, duration } => {
                let now = self.clock(lower);
                let sent = if self.disabled == Disabled::SendTime { now } else { sent };
                self.processes[lower].lease.renew(now, sent, duration);
                if Self::is_agent(lower) {
                    let until = self.processes[lower].lease.expires_at();
                    self.set_lease_expiry(lower, until);
                }
            }
            Message::Push { number, purges, connected } => {
                if !connected {
                    self.disconnect(lower);
                }
                self.processes[lower].connected = connected;
                self.processes[lower].purges.extend(&purges);
                if Self::is_agent(lower) {
                    self.push(lower, &purges, connected);
                    self.processes[lower].applying = Some((number, self.due(lower)));
                } else {
                    self.send(lower, connection, Message::Applied(number));
                }
            }
            _ => {}
        }
    }

    /// Agents whose proxies have taken a purge say so, and go on.
    pub fn complete_agents(&mut self) {
        for agent in CONTROLS..CONTROLS + AGENTS {
            if self.processes[agent].paused_until > self.now {
                continue;
            }
            self.complete_release(agent);
            while let Some((number, due)) = self.processes[agent].applying.take() {
                if !self.is_purged(agent, &due) {
                    self.processes[agent].applying = Some((number, due));
                    break;
                }
                let Some(connection) = self.processes[agent].up else { break };
                self.send(agent, connection, Message::Applied(number));
                while self.processes[agent].applying.is_none() {
                    let Some(next) = self.processes[agent].waiting.pop_front() else { break };
                    self.handle_from_publisher(agent, connection, next);
                }
            }
        }
    }

    /// The connection of a session ended.
    pub fn session_closed(&mut self, connection: usize, at: usize) {
        if self.processes[at].up == Some(connection) {
            self.processes[at].up = None;
            self.processes[at].applying = None;
            self.processes[at].waiting.clear();
            self.disconnect(at);
        }
        let lower = self.connections[connection].ends[0];
        if self.processes[at].sessions.all.remove(&connection).is_some() && Self::is_agent(at) {
            // The proxy has closed it or is no more, unless this agent let go of it.
            if self.processes[lower].up != Some(connection) {
                self.processes[at].sessions.grants.release(&connection);
            }
        }
    }
}
