//! Sessions: agents are subscribers of control nodes, and proxies are subscribers of agents.

use std::collections::{BTreeMap, BTreeSet};

use glenfall_control_plane::lease::{Grants, Lease, MAX_SESSION_LEASE_DURATION};
use glenfall_control_plane::Millis;
use rand::Rng;

use super::{Disabled, Message, World, AGENT_COUNT, CONTROL_NODE_COUNT};

/// A session at its publisher.
#[derive(Default)]
struct Session {
    last_sent: u64,
    last_applied: u64,
    /// The last request for a renewal: the reading of the subscriber's clock in it, and when it was received.
    renewal: Option<(Millis, Millis)>,
    /// Number of the last update for which a purge waited until its timeout. No lease is granted before it is applied.
    overdue: u64,
}

/// The sessions of a publisher, by connection.
#[derive(Default)]
pub struct Sessions {
    by_connection: BTreeMap<usize, Session>,
    grants: Grants<usize>,
    /// When the publisher's own lease expires.
    lease_expiry: Millis,
}

impl World {
    fn is_agent(process: usize) -> bool {
        (CONTROL_NODE_COUNT..CONTROL_NODE_COUNT + AGENT_COUNT).contains(&process)
    }

    /// Connects to a publisher, or renews the lease.
    pub fn tick_subscriber(&mut self, process: usize) {
        let sent = self.clock(process);
        if let Some(connection) = self.processes[process].upstream {
            return self.send(process, connection, Message::Renew { sent });
        }
        if self.processes[process].pending_release.take().is_some() {
            return;
        }
        let publisher = if Self::is_agent(process) {
            self.rng.random_range(0..CONTROL_NODE_COUNT)
        } else {
            process - AGENT_COUNT
        };
        if self.reaches(process, publisher) && self.processes[process].queued_messages.is_empty() {
            self.processes[process].upstream = Some(self.connect(process, publisher, Message::Hello));
        }
    }

    /// Moves an agent to another control node, without a fault.
    pub fn move_agent(&mut self, agent: usize) {
        let Some(connection) = self.processes[agent].upstream.take() else { return };
        self.disconnect(agent);
        self.processes[agent].queued_messages.clear();
        self.processes[agent].pending_update = None;
        self.processes[agent].pending_release = Some((connection, self.awaited_updates(agent)));
    }

    fn complete_release(&mut self, agent: usize) {
        let Some((connection, awaited)) = self.processes[agent].pending_release.take() else { return };
        if self.is_applied_or_expired(agent, &awaited) {
            self.send(agent, connection, Message::Released);
        } else {
            self.processes[agent].pending_release = Some((connection, awaited));
        }
    }

    pub fn disconnect(&mut self, process: usize) {
        self.processes[process].connected = false;
        if self.disabled != Disabled::EndOnDisconnect {
            self.processes[process].lease = Lease::default();
        }
        if Self::is_agent(process) {
            self.processes[process].sessions.lease_expiry = 0;
            self.push(process, &BTreeSet::new(), false);
        }
    }

    pub fn set_lease_expiry(&mut self, publisher: usize, until: Millis) {
        let had_no_lease = self.processes[publisher].sessions.lease_expiry <= self.clock(publisher);
        self.processes[publisher].sessions.lease_expiry = until;
        if Self::is_agent(publisher) || had_no_lease {
            let connections: Vec<usize> =
                self.processes[publisher].sessions.by_connection.keys().copied().collect();
            connections.into_iter().for_each(|connection| self.grant(publisher, connection));
        }
    }

    fn grant(&mut self, publisher: usize, connection: usize) {
        let now = self.clock(publisher);
        let grants_in_full = self.disabled == Disabled::NestedExpiry;
        let sessions = &mut self.processes[publisher].sessions;
        let session =
            sessions.by_connection.get(&connection).filter(|session| session.last_applied >= session.overdue);
        let Some((sent, received)) = session.and_then(|session| session.renewal) else { return };
        let until = if grants_in_full && now < sessions.lease_expiry {
            now + MAX_SESSION_LEASE_DURATION
        } else {
            sessions.lease_expiry
        };
        if let Some(duration) = sessions.grants.grant_sublease(now, connection, received, until) {
            self.send(publisher, connection, Message::Granted { sent, duration });
        }
    }

    pub fn push(&mut self, publisher: usize, purges: &BTreeSet<u32>, connected: bool) {
        let connections: Vec<usize> =
            self.processes[publisher].sessions.by_connection.keys().copied().collect();
        for connection in connections {
            self.push_to(publisher, connection, purges.clone(), connected);
        }
    }

    fn push_to(&mut self, publisher: usize, connection: usize, purges: BTreeSet<u32>, connected: bool) {
        let Some(session) = self.processes[publisher].sessions.by_connection.get_mut(&connection) else {
            return;
        };
        session.last_sent += 1;
        let number = session.last_sent;
        self.send(publisher, connection, Message::Push { number, purges, connected });
    }

    /// The sessions with a lease, each with the number of the last update that it was sent.
    pub fn awaited_updates(&self, publisher: usize) -> Vec<(usize, u64)> {
        let sessions = &self.processes[publisher].sessions;
        let holders = sessions.grants.holders(self.clock(publisher));
        holders
            .map(|holder| {
                (holder, sessions.by_connection.get(&holder).map_or(u64::MAX, |session| session.last_sent))
            })
            .collect()
    }

    /// Whether each of these sessions has applied its update, or no longer has a lease.
    pub fn is_applied_or_expired(&self, publisher: usize, awaited: &[(usize, u64)]) -> bool {
        let (now, sessions) = (self.clock(publisher), &self.processes[publisher].sessions);
        awaited.iter().all(|(connection, sent)| match sessions.by_connection.get(connection) {
            Some(session) if session.last_applied >= *sent => true,
            Some(_) => sessions.grants.expiry(now, connection).is_none(),
            None if self.disabled == Disabled::SessionLeaseWait => true,
            None => sessions.grants.expiry(now, connection).is_none(),
        })
    }

    /// Withholds leases from sessions that did not apply an update before a purge timed out.
    pub fn record_overdue(&mut self, publisher: usize, awaited: &[(usize, u64)]) {
        for (connection, sent) in awaited {
            if let Some(session) = self.processes[publisher].sessions.by_connection.get_mut(connection) {
                session.overdue = session.overdue.max(*sent);
            }
        }
    }

    /// Handles a message at the publisher of a session.
    pub fn handle_from_subscriber(&mut self, publisher: usize, connection: usize, message: Message) {
        let (now, purges) = (self.clock(publisher), self.processes[publisher].purges.clone());
        match message {
            Message::Hello if publisher < CONTROL_NODE_COUNT => {
                if !self.has_quorum(publisher) {
                    return self.end_connection(connection, None);
                }
                self.processes[publisher].sessions.by_connection.insert(connection, Session::default());
                self.push_to(publisher, connection, purges, true);
            }
            Message::Hello => {
                // A proxy that connects to its agent first removes all stored responses.
                let connected = self.processes[publisher].connected;
                self.processes[publisher].sessions.by_connection.insert(connection, Session::default());
                self.push_to(publisher, connection, (0..self.requested_purges).collect(), connected);
            }
            Message::Renew { sent } => {
                let Some(session) = self.processes[publisher].sessions.by_connection.get_mut(&connection)
                else {
                    return;
                };
                session.renewal = Some((sent, now));
                self.grant(publisher, connection);
            }
            Message::Applied(number) => {
                if let Some(session) = self.processes[publisher].sessions.by_connection.get_mut(&connection) {
                    session.last_applied = session.last_applied.max(number);
                }
            }
            Message::Released => {
                self.processes[publisher].sessions.by_connection.remove(&connection);
                self.processes[publisher].sessions.grants.release(&connection);
                self.end_connection(connection, None);
            }
            _ => {}
        }
    }

    /// Handles a message at the subscriber of a session. An agent queues messages while its proxies apply an update.
    pub fn handle_from_publisher(&mut self, subscriber: usize, connection: usize, message: Message) {
        if self.processes[subscriber].upstream != Some(connection) {
            return;
        }
        if self.processes[subscriber].pending_update.is_some() {
            return self.processes[subscriber].queued_messages.push_back(message);
        }
        match message {
            Message::Granted { sent, duration } => {
                let now = self.clock(subscriber);
                let sent = if self.disabled == Disabled::SendTime { now } else { sent };
                self.processes[subscriber].lease.renew(now, sent, duration);
                if Self::is_agent(subscriber) {
                    let until = self.processes[subscriber].lease.expires_at();
                    self.set_lease_expiry(subscriber, until);
                }
            }
            Message::Push { number, purges, connected } => {
                if !connected {
                    self.disconnect(subscriber);
                }
                self.processes[subscriber].connected = connected;
                self.processes[subscriber].purges.extend(&purges);
                if Self::is_agent(subscriber) {
                    self.push(subscriber, &purges, connected);
                    self.processes[subscriber].pending_update =
                        Some((number, self.awaited_updates(subscriber)));
                } else {
                    self.send(subscriber, connection, Message::Applied(number));
                }
            }
            _ => {}
        }
    }

    /// Acknowledges the updates that the proxies of agents have applied, and handles the messages queued meanwhile.
    pub fn complete_agents(&mut self) {
        for agent in CONTROL_NODE_COUNT..CONTROL_NODE_COUNT + AGENT_COUNT {
            if self.processes[agent].paused_until > self.now {
                continue;
            }
            self.complete_release(agent);
            while let Some((number, awaited)) = self.processes[agent].pending_update.take() {
                if !self.is_applied_or_expired(agent, &awaited) {
                    self.processes[agent].pending_update = Some((number, awaited));
                    break;
                }
                let Some(connection) = self.processes[agent].upstream else { break };
                self.send(agent, connection, Message::Applied(number));
                while self.processes[agent].pending_update.is_none() {
                    let Some(next) = self.processes[agent].queued_messages.pop_front() else { break };
                    self.handle_from_publisher(agent, connection, next);
                }
            }
        }
    }

    /// Handles the end of a session's connection at one of its ends.
    pub fn session_closed(&mut self, connection: usize, at: usize) {
        if self.processes[at].upstream == Some(connection) {
            self.processes[at].upstream = None;
            self.processes[at].pending_update = None;
            self.processes[at].queued_messages.clear();
            self.disconnect(at);
        }
        let subscriber = self.connections[connection].ends[0];
        if self.processes[at].sessions.by_connection.remove(&connection).is_some() && Self::is_agent(at) {
            // The proxy has closed the connection or has ended. Otherwise this agent has closed it, and the proxy may still
            // use its lease.
            if self.processes[subscriber].upstream != Some(connection) {
                self.processes[at].sessions.grants.release(&connection);
            }
        }
    }
}
