//! One session: its subscriber, the updates that it was sent and has applied, and its last request for a lease.

use std::convert::Infallible;

use glenfall_control_plane::messages::{Counter, Member, PublisherMessage, Update};
use glenfall_control_plane::Millis;
use tokio::sync::oneshot;

use super::source::Greeting;
use super::status::SessionStatus;
use crate::session::link::Outbox;

/// Identifies a session of one publisher. Ids are never reused.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SessionId(pub(super) u64);

/// A request for a lease, with its times on the clocks of both sides.
#[derive(Clone, Copy)]
pub(super) struct LeaseRequest {
    /// The reading of the subscriber's clock when it sent the request.
    pub(super) sent_at: Millis,
    /// The reading of the publisher's clock when it received the request.
    pub(super) received_at: Millis,
}

pub(super) struct Session {
    outbox: Outbox<PublisherMessage>,
    /// Dropped with the session, which ends the task that serves it.
    _removal: oneshot::Sender<Infallible>,
    node: String,
    member: Option<Member>,
    /// Whether the newest configuration was pushed. Configurations that follow are pushed only from then on.
    has_newest_config: bool,
    sent: u64,
    applied: u64,
    counters: Vec<Counter>,
    lease_request: Option<LeaseRequest>,
}

impl Session {
    /// Creates the session of a subscriber. The receiver fails once the session is dropped.
    pub(super) fn new(
        outbox: Outbox<PublisherMessage>,
        node: String,
        member: Option<Member>,
    ) -> (Session, oneshot::Receiver<Infallible>) {
        let (removal, removed) = oneshot::channel();
        let session = Session {
            outbox,
            _removal: removal,
            node,
            member,
            has_newest_config: false,
            sent: 0,
            applied: 0,
            counters: Vec::new(),
            lease_request: None,
        };
        (session, removed)
    }

    pub(super) fn node(&self) -> &str {
        &self.node
    }

    pub(super) fn member(&self) -> Option<&Member> {
        self.member.as_ref()
    }

    pub(super) fn set_subscriber(&mut self, node: String, member: Option<Member>) {
        self.node = node;
        self.member = member;
    }

    pub(super) fn set_counters(&mut self, counters: Vec<Counter>) {
        self.counters = counters;
    }

    /// Sends a message other than an update; false if the session is lost.
    pub(super) fn send(&self, message: PublisherMessage) -> bool {
        self.outbox.send(message)
    }

    /// Sends the next update; false if the session is lost.
    pub(super) fn push(&mut self, update: Update) -> bool {
        self.sent += 1;
        self.outbox.send(PublisherMessage::Push { number: self.sent, update })
    }

    /// Sends the messages and updates that begin a session; false if the session is lost.
    pub(super) fn greet(&mut self, greeting: Greeting) -> bool {
        greeting.messages.into_iter().all(|message| self.send(message)) && self.push_all(greeting.updates)
    }

    /// Sends the newest configuration, if there is one, and each that follows from now on; false if the session is lost.
    pub(super) fn push_newest_config(&mut self, updates: Vec<Update>) -> bool {
        self.has_newest_config = true;
        self.push_all(updates)
    }

    fn push_all(&mut self, updates: Vec<Update>) -> bool {
        updates.into_iter().all(|update| self.push(update))
    }

    /// Whether an update is pushed to this session: configurations only after the newest one.
    pub(super) fn receives(&self, update: &Update) -> bool {
        self.has_newest_config || !matches!(update, Update::Config { .. })
    }

    /// Number of the last update that was sent.
    pub(super) fn sent(&self) -> u64 {
        self.sent
    }

    /// Number of the last update that was applied.
    pub(super) fn applied(&self) -> u64 {
        self.applied
    }

    pub(super) fn has_applied(&self, number: u64) -> bool {
        self.applied >= number
    }

    /// Records that the updates up to this number are applied.
    pub(super) fn acknowledge(&mut self, number: u64) {
        self.applied = self.applied.max(number);
    }

    /// The last request for a lease, until the lease is released.
    pub(super) fn lease_request(&self) -> Option<LeaseRequest> {
        self.lease_request
    }

    pub(super) fn set_lease_request(&mut self, request: Option<LeaseRequest>) {
        self.lease_request = request;
    }

    pub(super) fn status(&self, leased: bool) -> SessionStatus {
        SessionStatus {
            node: self.node.clone(),
            member: self.member.clone(),
            sent: self.sent,
            applied: self.applied,
            leased,
            counters: self.counters.clone(),
        }
    }
}
