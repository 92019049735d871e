//! The timeouts that a client must keep on its connection: a head that has begun comes whole within one limit, and
//! between requests it may stay idle for another.

use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep_until, Instant};

/// A client takes an answer at this many bytes a second at least, or it would hold the room for it for ever. It has
/// the idle limit besides; whoever is faster is never cut off.
const SLOWEST_ANSWER: f64 = 8.0 * 1024.0;

/// What a connection waits for.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// A request, or that the last answer is taken.
    Idle,
    /// The rest of a head.
    Head,
    /// The answer to a request.
    Busy,
}

/// What a connection waits for, and until when.
pub struct ClientTimeouts {
    phase: Cell<Phase>,
    /// Since when; while idle, since the client last took something.
    since: Cell<Instant>,
    /// When the last answer was ready, and how much of it the client has taken.
    answered: Cell<Instant>,
    taken: Cell<usize>,
    /// What holds for clients now: a configuration may change it while a connection is open.
    limits: Box<dyn Fn() -> Limits>,
    now: Cell<Limits>,
}

/// How long a client may take for a head, and stay idle.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// From its first byte until it is whole.
    pub head: Duration,
    /// Between an answer and the next request.
    pub idle: Duration,
}

impl Limits {
    /// The longer of each.
    fn longest(self, other: Limits) -> Limits {
        Limits { head: self.head.max(other.head), idle: self.idle.max(other.idle) }
    }
}

/// How a connection came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// Both sides were done, or it broke.
    Done,
    /// The client took too long for a head.
    SlowHead,
    /// It had nothing more to say.
    Idle,
}

impl ClientTimeouts {
    /// For a connection that opens now, under limits that may change.
    pub fn new(limits: impl Fn() -> Limits + 'static) -> Rc<Self> {
        let (at, now) = (Instant::now(), Cell::new(limits()));
        let (since, answered) = (Cell::new(at), Cell::new(at));
        let (phase, taken, limits) = (Cell::new(Phase::Idle), Cell::new(0), Box::new(limits));
        Rc::new(ClientTimeouts { phase, since, answered, taken, limits, now })
    }

    fn set(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
    }

    /// A request has been read; until the guard is dropped its answer is awaited.
    pub fn busy(&self) -> Busy<'_> {
        self.phase.set(Phase::Busy);
        self.now.set((self.limits)());
        Busy(self)
    }

    /// Nothing has come of the next request.
    pub fn is_resting(&self) -> bool {
        self.phase.get() == Phase::Idle
    }

    fn due(&self) -> Option<Instant> {
        let Limits { head, idle } = self.now.get();
        match self.phase.get() {
            Phase::Idle => {
                let timeouts = Duration::from_secs_f64(self.taken.get() as f64 / SLOWEST_ANSWER);
                Some((self.since.get() + idle).min(self.answered.get() + idle + timeouts))
            }
            Phase::Head => Some(self.since.get() + head),
            Phase::Busy => None,
        }
    }

    /// Serves a connection until it ends or its client falls behind.
    pub async fn keep<C: Future + Unpin>(&self, serving: &mut C) -> Ended {
        // Set anew only where something is due earlier, as for most requests nothing ever is.
        let mut timer = pin!(sleep_until(self.since.get() + self.now.get().idle));
        poll_fn(|cx| {
            if Pin::new(&mut *serving).poll(cx).is_ready() {
                return Poll::Ready(Ended::Done);
            }
            if let Some(due) = self.due().filter(|due| *due < timer.deadline()) {
                timer.as_mut().reset(due);
            }
            while timer.as_mut().poll(cx).is_ready() {
                let now = Instant::now();
                // It may have more time by now, but not less: an answer may be on its way, and a client that rests has
                // reckoned with the limits of when it was answered.
                self.now.set(self.now.get().longest((self.limits)()));
                match self.due() {
                    Some(due) if due <= now => {
                        let slow = self.phase.get() == Phase::Head;
                        return Poll::Ready(if slow { Ended::SlowHead } else { Ended::Idle });
                    }
                    due => timer.as_mut().reset(due.unwrap_or(now + self.now.get().idle)),
                }
            }
            Poll::Pending
        })
        .await
    }
}

/// A request is being answered until this is dropped.
pub struct Busy<'a>(&'a ClientTimeouts);

impl Drop for Busy<'_> {
    fn drop(&mut self) {
        self.0.set(Phase::Idle);
        self.0.answered.set(self.0.since.get());
        self.0.taken.set(0);
    }
}

/// A client's socket; tells its timeouts what comes and goes.
pub struct TimedStream {
    stream: TcpStream,
    timeouts: Rc<ClientTimeouts>,
    /// The client has closed its side.
    at_end: bool,
}

impl TimedStream {
    /// The socket of a client that has just come.
    pub fn new(stream: TcpStream, timeouts: &Rc<ClientTimeouts>) -> Self {
        TimedStream { stream, timeouts: Rc::clone(timeouts), at_end: false }
    }

    /// Says something last, as far as there is room for it.
    pub fn last_word(&self, bytes: &[u8]) {
        // The client has failed to keep to the protocol; whether it hears why is up to it.
        let _ = self.stream.try_write(bytes);
    }

    /// A client that takes an answer in pieces is not idle.
    fn taken(&self, result: Poll<std::io::Result<usize>>) -> Poll<std::io::Result<usize>> {
        if let Poll::Ready(Ok(bytes @ 1..)) = result {
            if self.timeouts.phase.get() == Phase::Idle {
                self.timeouts.set(Phase::Idle);
                self.timeouts.taken.set(self.timeouts.taken.get() + bytes);
            }
        }
        result
    }
}

impl AsyncRead for TimedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let (before, has_room) = (buffer.filled().len(), buffer.remaining() > 0);
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if matches!(result, Poll::Ready(Ok(()))) {
            self.at_end |= has_room && buffer.filled().len() == before;
            if self.timeouts.phase.get() == Phase::Idle {
                self.timeouts.set(Phase::Head);
            }
        }
        result
    }
}

impl AsyncWrite for TimedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buffer);
        self.taken(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, buffers);
        self.taken(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    /// Tells the client that nothing more comes. One that has closed its side needs no call for that: the socket is
    /// closed next, which says the same.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        if self.at_end {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
