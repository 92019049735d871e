//! The deadlines of a client's connection: for completing a head that has begun, and for staying idle between requests
//! or while it reads a response.

use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use tokio::time::{sleep_until, Instant};

/// A client reads a response at this rate at least, in addition to the idle timeout, or it would occupy the memory of the
/// response without end. A faster client is never disconnected.
const MIN_RESPONSE_BYTES_PER_S: f64 = 8.0 * 1024.0;

/// What a connection waits for.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// For the next request, or for the client to read the last response.
    Idle,
    /// For the remaining bytes of a head.
    ReadingHead,
    /// For the handler.
    Responding,
}

/// How long a client may take.
#[derive(Clone, Copy, Debug)]
pub struct ClientTimeouts {
    /// From the first byte of a head until the head is complete.
    pub head: Duration,
    /// Between a response and the next request.
    pub idle: Duration,
}

impl ClientTimeouts {
    /// The longer of each.
    fn max(self, other: ClientTimeouts) -> ClientTimeouts {
        ClientTimeouts { head: self.head.max(other.head), idle: self.idle.max(other.idle) }
    }
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// Both sides were done, or the connection broke.
    Closed,
    /// The client took too long for a head.
    HeadTimeout,
    /// The client sent no further request, or read no more of its response.
    IdleTimeout,
}

/// What a connection waits for, and until when.
pub struct Deadlines {
    phase: Cell<Phase>,
    /// When the phase began; in [`Phase::Idle`], when the client last read part of the response.
    last_activity: Cell<Instant>,
    response_ready: Cell<Instant>,
    /// How many bytes of the response the client has read since it was ready.
    response_bytes: Cell<usize>,
    /// The timeouts for clients now: a configuration may change them while a connection is open.
    current_timeouts: Box<dyn Fn() -> ClientTimeouts>,
    /// The timeouts that the deadlines are computed with.
    timeouts: Cell<ClientTimeouts>,
}

impl Deadlines {
    /// The deadlines of a connection that opens now, under timeouts that may change.
    pub fn new(current_timeouts: impl Fn() -> ClientTimeouts + 'static) -> Rc<Self> {
        let now = Instant::now();
        Rc::new(Deadlines {
            phase: Cell::new(Phase::Idle),
            last_activity: Cell::new(now),
            response_ready: Cell::new(now),
            response_bytes: Cell::new(0),
            timeouts: Cell::new(current_timeouts()),
            current_timeouts: Box::new(current_timeouts),
        })
    }

    fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.last_activity.set(Instant::now());
    }

    /// The head of a request is complete. Until the guard is dropped, the connection waits for the handler.
    pub fn begin_response(&self) -> ResponseGuard<'_> {
        self.phase.set(Phase::Responding);
        self.timeouts.set((self.current_timeouts)());
        ResponseGuard(self)
    }

    /// Whether nothing of the next request has arrived.
    pub fn is_idle(&self) -> bool {
        self.phase.get() == Phase::Idle
    }

    /// Records that the client has sent bytes, or closed its side.
    pub fn record_read(&self) {
        if self.is_idle() {
            self.enter(Phase::ReadingHead);
        }
    }

    /// Records that the client has read part of the response: it is not idle.
    pub fn record_written(&self, bytes: usize) {
        if self.is_idle() {
            self.last_activity.set(Instant::now());
            self.response_bytes.set(self.response_bytes.get() + bytes);
        }
    }

    /// When the client has to act; `None` while the connection waits for the handler.
    fn deadline(&self) -> Option<Instant> {
        let ClientTimeouts { head, idle } = self.timeouts.get();
        match self.phase.get() {
            Phase::Idle => {
                let reading_time =
                    Duration::from_secs_f64(self.response_bytes.get() as f64 / MIN_RESPONSE_BYTES_PER_S);
                let reading_deadline = self.response_ready.get() + idle + reading_time;
                Some((self.last_activity.get() + idle).min(reading_deadline))
            }
            Phase::ReadingHead => Some(self.last_activity.get() + head),
            Phase::Responding => None,
        }
    }

    /// Drives a connection until it ends, or until its client misses a deadline.
    pub async fn drive<C: Future + Unpin>(&self, connection: &mut C) -> ConnectionEnd {
        // The timer is only moved to an earlier deadline. For most requests it never fires, and costs nothing.
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

    /// Applies the current timeouts where they are longer. They are never shortened before the next request: a response
    /// may still be in transit, and an idle client relies on the timeouts of when it was answered.
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

/// A request is being answered until this is dropped.
pub struct ResponseGuard<'a>(&'a Deadlines);

impl Drop for ResponseGuard<'_> {
    fn drop(&mut self) {
        self.0.enter(Phase::Idle);
        self.0.response_ready.set(self.0.last_activity.get());
        self.0.response_bytes.set(0);
    }
}
