//! The deadlines of a client's connection: for the rest of a request head that has begun, for the next request, and for
//! reading a response.

use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use tokio::time::{sleep_until, Instant};

/// The lowest rate at which a client may read a response: it may take the idle timeout plus the time that it needs at
/// this rate. Without it, slow clients could occupy the memory of their responses indefinitely.
const MIN_RESPONSE_BYTES_PER_S: f64 = 8.0 * 1024.0;

/// What a connection waits for.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Waits for the next request, or for the client to read the previous response.
    Idle,
    /// Waits for the remaining bytes of a request head.
    ReadingHead,
    /// Waits for the handler to respond.
    Responding,
}

/// The time limits for a client.
#[derive(Clone, Copy, Debug)]
pub struct ClientTimeouts {
    /// Time from the first byte of a request head until the head is complete.
    pub head: Duration,
    /// Time between a response and the next request, and between two reads of a response.
    pub idle: Duration,
}

impl ClientTimeouts {
    /// The longer value of each timeout.
    fn max(self, other: ClientTimeouts) -> ClientTimeouts {
        ClientTimeouts { head: self.head.max(other.head), idle: self.idle.max(other.idle) }
    }
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// Either side closed the connection, or it failed.
    Closed,
    /// The client took too long to send a request head.
    HeadTimeout,
    /// The client sent no further request, or read its response too slowly.
    IdleTimeout,
}

/// What a connection waits for, and the deadline for it.
pub struct Deadlines {
    phase: Cell<Phase>,
    /// When the phase began, or, in [`Phase::Idle`], when part of the response was last written.
    last_activity: Cell<Instant>,
    response_ready_at: Cell<Instant>,
    /// How many bytes of the response were written to the socket since `response_ready_at`.
    response_bytes: Cell<usize>,
    /// Returns the current timeouts, which a new configuration may change while the connection is open.
    current_timeouts: Box<dyn Fn() -> ClientTimeouts>,
    /// The timeouts with which the deadlines are computed.
    timeouts: Cell<ClientTimeouts>,
}

impl Deadlines {
    /// The deadlines of a connection that was just opened.
    pub fn new(current_timeouts: impl Fn() -> ClientTimeouts + 'static) -> Rc<Self> {
        let now = Instant::now();
        Rc::new(Deadlines {
            phase: Cell::new(Phase::Idle),
            last_activity: Cell::new(now),
            response_ready_at: Cell::new(now),
            response_bytes: Cell::new(0),
            timeouts: Cell::new(current_timeouts()),
            current_timeouts: Box::new(current_timeouts),
        })
    }

    fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.last_activity.set(Instant::now());
    }

    /// To be called when the head of a request is complete. No deadline applies until the guard is dropped.
    pub fn begin_response(&self) -> ResponseGuard<'_> {
        self.phase.set(Phase::Responding);
        self.timeouts.set((self.current_timeouts)());
        ResponseGuard(self)
    }

    /// Whether no byte of the next request has arrived.
    pub fn is_idle(&self) -> bool {
        self.phase.get() == Phase::Idle
    }

    /// Records that the client has sent bytes or closed its side.
    pub fn record_read(&self) {
        if self.is_idle() {
            self.enter(Phase::ReadingHead);
        }
    }

    /// Records that the socket has accepted bytes of the response: the client still reads it, so the idle timeout
    /// restarts.
    pub fn record_written(&self, bytes: usize) {
        if self.is_idle() {
            self.last_activity.set(Instant::now());
            self.response_bytes.set(self.response_bytes.get() + bytes);
        }
    }

    /// The client's deadline; `None` while the connection waits for the handler.
    fn deadline(&self) -> Option<Instant> {
        let ClientTimeouts { head, idle } = self.timeouts.get();
        match self.phase.get() {
            Phase::Idle => {
                let reading_time =
                    Duration::from_secs_f64(self.response_bytes.get() as f64 / MIN_RESPONSE_BYTES_PER_S);
                let reading_deadline = self.response_ready_at.get() + idle + reading_time;
                Some((self.last_activity.get() + idle).min(reading_deadline))
            }
            Phase::ReadingHead => Some(self.last_activity.get() + head),
            Phase::Responding => None,
        }
    }

    /// Drives a connection until it ends, or until its client misses a deadline.
    pub async fn drive<C: Future + Unpin>(&self, connection: &mut C) -> ConnectionEnd {
        // Before it fires, the timer is reset only to an earlier deadline, so that most requests need no reset.
        let mut timer = pin!(sleep_until(self.last_activity.get() + self.timeouts.get().idle));
        poll_fn(|cx| {
            if Pin::new(&mut *connection).poll(cx).is_ready() {
                return Poll::Ready(ConnectionEnd::Closed);
            }
            if let Some(deadline) = self.deadline().filter(|deadline| *deadline < timer.deadline()) {
                timer.as_mut().reset(deadline);
            }
            while timer.as_mut().poll(cx).is_ready() {
                let now = Instant::now();
                self.extend_timeouts();
                match self.deadline() {
                    Some(deadline) if deadline <= now => return Poll::Ready(self.timed_out()),
                    Some(deadline) => timer.as_mut().reset(deadline),
                    None => timer.as_mut().reset(now + self.timeouts.get().idle),
                }
            }
            Poll::Pending
        })
        .await
    }

    /// Applies each current timeout that is longer. Timeouts are not shortened before the next request: a response may
    /// still be in transit, and an idle client relies on the timeouts that applied to its last response.
    fn extend_timeouts(&self) {
        self.timeouts.set(self.timeouts.get().max((self.current_timeouts)()));
    }

    fn timed_out(&self) -> ConnectionEnd {
        match self.phase.get() {
            Phase::ReadingHead => ConnectionEnd::HeadTimeout,
            Phase::Idle | Phase::Responding => ConnectionEnd::IdleTimeout,
        }
    }
}

/// Marks that a response is being produced, until this is dropped.
pub struct ResponseGuard<'a>(&'a Deadlines);

impl Drop for ResponseGuard<'_> {
    fn drop(&mut self) {
        self.0.enter(Phase::Idle);
        self.0.response_ready_at.set(self.0.last_activity.get());
        self.0.response_bytes.set(0);
    }
}
