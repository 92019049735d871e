//! Serves one session from its first message until it ends.

use std::convert::Infallible;
use std::io;
use std::pin::pin;
use std::time::Duration;

use glenfall_control_plane::invariant::Invariant;
use glenfall_control_plane::messages::{Member, PublisherMessage, SubscriberMessage, Update};
use glenfall_control_plane::Millis;
use tokio::sync::oneshot;
use tokio::time::{interval, timeout, MissedTickBehavior};

use super::session::{LeaseRequest, Session, SessionId};
use super::sessions::{GrantTrigger, Sessions, MAX_SESSIONS};
use super::source::Publisher;
use crate::session::link::{FrameReader, Outbox, KEEPALIVE_INTERVAL};

/// How long a connection is still read after its session has ended, to detect whether the subscriber has closed it.
const CLOSE_DETECTION_TIMEOUT: Duration = Duration::from_millis(50);

/// Where the subscriber of a session is.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum SubscriberLocation {
    /// On this machine: the kernel closes a connection only if the subscriber has closed it or its process has ended.
    SameMachine,
    /// On another machine: a connection may break while the subscriber continues to run.
    Network,
}

/// A connection on which a subscriber opens a session.
pub struct SubscriberConnection {
    /// Where the subscriber is. On the same machine, a closed connection also ends the subscriber's lease.
    pub location: SubscriberLocation,
    /// The receiving side, whose next message is the subscriber's hello.
    pub frames: FrameReader,
    /// The sending side.
    pub outbox: Outbox<PublisherMessage>,
}

/// Why a session ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SessionEnd {
    /// The subscriber has closed the connection, or its process has ended.
    Closed,
    /// Any other reason: the subscriber may be running, and not know yet that the session has ended.
    Lost,
}

impl From<&io::Error> for SessionEnd {
    fn from(error: &io::Error) -> Self {
        use io::ErrorKind::{BrokenPipe, ConnectionReset, UnexpectedEof};
        match error.kind() {
            UnexpectedEof | ConnectionReset | BrokenPipe => SessionEnd::Closed,
            _ => SessionEnd::Lost,
        }
    }
}

impl Sessions {
    /// Serves one session until it ends.
    pub async fn serve(&self, connection: SubscriberConnection, publisher: &impl Publisher) {
        let SubscriberConnection { location, mut frames, outbox } = connection;
        let Ok(SubscriberMessage::Hello { node, member }) = frames.next_or_timeout().await else { return };
        if self.by_id.borrow().len() >= MAX_SESSIONS {
            tracing::warn!(%node, "session rejected: too many sessions");
            return;
        }
        let (mut session, removed) = Session::new(outbox.clone(), node, member);
        if !session.greet(publisher.greeting()) {
            return;
        }
        let active = ActiveSession::start(self, publisher, session);
        let end = active.run(&mut frames, &outbox, removed).await;
        if location == SubscriberLocation::SameMachine
            && (end == SessionEnd::Closed || is_closed(&mut frames).await)
        {
            self.leases.release(active.id);
        }
    }
}

/// A session in the table of its publisher, from which it is removed when this guard is dropped.
struct ActiveSession<'a, P: Publisher> {
    id: SessionId,
    sessions: &'a Sessions,
    publisher: &'a P,
}

impl<'a, P: Publisher> ActiveSession<'a, P> {
    fn start(sessions: &'a Sessions, publisher: &'a P, session: Session) -> Self {
        let id = sessions.next_id();
        tracing::info!(node = %session.node(), "session started");
        sessions.by_id.borrow_mut().insert(id, session);
        publisher.members_changed();
        ActiveSession { id, sessions, publisher }
    }

    async fn run(
        &self,
        frames: &mut FrameReader,
        outbox: &Outbox<PublisherMessage>,
        mut removed: oneshot::Receiver<Infallible>,
    ) -> SessionEnd {
        let mut newest_config = pin!(self.publisher.newest_config());
        let mut awaits_config = true;
        let mut keepalive = interval(KEEPALIVE_INTERVAL);
        keepalive.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                updates = &mut newest_config, if awaits_config => {
                    awaits_config = false;
                    if !updates.is_some_and(|updates| self.push_newest_config(updates)) {
                        return SessionEnd::Lost;
                    }
                }
                received = frames.next_or_timeout() => match received {
                    Ok(message) => {
                        let is_lease_sent = self.handle(message);
                        if is_lease_sent {
                            keepalive.reset();
                        }
                    }
                    Err(error) => return SessionEnd::from(&error),
                },
                _ = keepalive.tick() => {
                    if !outbox.send(PublisherMessage::Ping) {
                        return SessionEnd::Lost;
                    }
                }
                () = outbox.closed() => return SessionEnd::Lost,
                // No updates are pushed to a removed session, so that its subscriber has to open a new one.
                _ = &mut removed => return SessionEnd::Lost,
            }
        }
    }

    /// Pushes the newest configuration, and each that follows from now on; false if the session is lost.
    fn push_newest_config(&self, updates: Vec<Update>) -> bool {
        match self.sessions.by_id.borrow_mut().get_mut(&self.id) {
            Some(session) => session.push_newest_config(updates),
            // The session was removed from the table, and `run` ends it.
            None => true,
        }
    }

    /// Handles a message; true if a lease was sent in reply.
    fn handle(&self, message: SubscriberMessage) -> bool {
        match message {
            SubscriberMessage::Ping => false,
            SubscriberMessage::RenewLease { sent_at } => self.renew_lease(sent_at),
            SubscriberMessage::LeaseReleased => {
                self.release_lease();
                false
            }
            SubscriberMessage::Counters(counters) => {
                self.update(|session| session.set_counters(counters));
                false
            }
            SubscriberMessage::Applied(number) => {
                self.acknowledge(number);
                false
            }
            SubscriberMessage::Hello { node, member } => {
                self.change_subscriber(node, member);
                false
            }
        }
    }

    /// Changes the state of the session; `None` if it was removed.
    fn update<T>(&self, change: impl FnOnce(&mut Session) -> T) -> Option<T> {
        self.sessions.by_id.borrow_mut().get_mut(&self.id).map(change)
    }

    /// Records a request for a lease; true if one was granted at once.
    fn renew_lease(&self, sent_at: Millis) -> bool {
        let request = LeaseRequest { sent_at, received_at: self.sessions.leases.now() };
        let renew = |session: &mut Session| {
            let is_first = session.lease_request().is_none();
            session.set_lease_request(Some(request));
            let is_granted_now = is_first || self.sessions.grant_trigger == GrantTrigger::Request;
            is_granted_now && self.sessions.grant(self.id, session)
        };
        self.update(renew).unwrap_or(false)
    }

    fn release_lease(&self) {
        let released = self.update(|session| session.set_lease_request(None));
        if released.is_some() {
            self.sessions.leases.release(self.id);
            self.sessions.acknowledged.notify_waiters();
        }
    }

    fn acknowledge(&self, number: u64) {
        let acknowledge = |session: &mut Session| {
            let sent = session.sent();
            Invariant::AppliedWasSent
                .check(number <= sent, || format!("update {number} acknowledged, {sent} sent"));
            session.acknowledge(number);
            if self.sessions.overdue.acknowledge(self.id, session.applied()) {
                // A lease that the session requested while it was overdue was not granted then.
                let _ = self.sessions.grant(self.id, session);
            }
        };
        if self.update(acknowledge).is_some() {
            self.sessions.acknowledged.notify_waiters();
        }
    }

    fn change_subscriber(&self, node: String, member: Option<Member>) {
        if self.update(|session| session.set_subscriber(node, member)).is_some() {
            self.publisher.members_changed();
        }
    }
}

impl<P: Publisher> Drop for ActiveSession<'_, P> {
    fn drop(&mut self) {
        let removed = self.sessions.by_id.borrow_mut().remove(&self.id);
        if let Some(session) = removed {
            tracing::info!(node = %session.node(), "session ended");
        }
        self.sessions.overdue.remove(self.id);
        self.sessions.acknowledged.notify_waiters();
        self.publisher.members_changed();
    }
}

/// Whether the subscriber has closed the connection. Reads it to its end to find out.
async fn is_closed(frames: &mut FrameReader) -> bool {
    timeout(CLOSE_DETECTION_TIMEOUT, read_to_end(frames)).await == Ok(SessionEnd::Closed)
}

async fn read_to_end(frames: &mut FrameReader) -> SessionEnd {
    loop {
        if let Err(error) = frames.next::<SubscriberMessage>().await {
            return SessionEnd::from(&error);
        }
    }
}
