//! How far a request has been written on its connection. Shared by the exchange and the socket.

use std::cell::{Cell, RefCell};
use std::pin::pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use tokio::sync::Notify;

use crate::send::SendStage;

/// How much of the current request has been written to the socket.
#[derive(Clone, Copy, PartialEq, Eq)]
enum WriteState {
    NotStarted,
    Partial,
    Complete,
}

/// The state of the current exchange on a connection.
pub struct Progress {
    write_state: Cell<WriteState>,
    /// Notified whenever bytes arrive.
    bytes_received: Notify,
    /// Whether the last bytes received were an interim (1xx) response. Atomic because hyper requires a callback that
    /// is `Send`.
    received_informational: Arc<AtomicBool>,
    /// Delay of the last byte of the next request.
    last_byte_delay: Cell<Option<Duration>>,
    /// Whether bytes arrived before the request was written completely; the rest of it is then never written.
    received_early: Cell<bool>,
}

impl Progress {
    pub(crate) fn new() -> Self {
        Progress {
            write_state: Cell::new(WriteState::NotStarted),
            bytes_received: Notify::new(),
            received_informational: Arc::default(),
            last_byte_delay: Cell::new(None),
            received_early: Cell::new(false),
        }
    }

    /// Completes once `timeout` has passed since the first byte of a final response; the response should be complete
    /// by then. A server has finished its work on the request when it sends that byte. Without this limit, half a
    /// head or a body shorter than its length would use up all the time that the request has left. Interim responses
    /// do not count as a first byte.
    pub async fn response_timed_out(&self, timeout: Duration) {
        loop {
            self.bytes_received.notified().await;
            tokio::time::sleep(timeout).await;
            if !self.received_informational.swap(false, Ordering::Relaxed) {
                return;
            }
        }
    }

    /// Whether the current request was written completely before anything was received.
    pub(crate) fn is_in_sequence(&self) -> bool {
        self.write_state.get() == WriteState::Complete && !self.received_early.get()
    }

    /// Delays the last byte of the next request. A server that no longer has the connection resets it in that time,
    /// and has certainly not run a request that it never received completely.
    pub(crate) fn delay_last_byte(&self, delay: Duration) {
        self.last_byte_delay.set(Some(delay));
    }

    /// Takes the delay of the last byte for the request that begins now; a delay applies only once.
    pub(crate) fn take_last_byte_delay(&self) -> Option<Duration> {
        self.last_byte_delay.take()
    }

    /// Registers a callback that records interim responses to this request.
    pub(crate) fn watch_informational<B>(&self, request: &mut Request<B>) {
        let received_informational = Arc::clone(&self.received_informational);
        hyper::ext::on_informational(request, move |_| received_informational.store(true, Ordering::Relaxed));
    }

    /// Whether any byte of the current request has been written.
    pub(crate) fn has_started(&self) -> bool {
        self.write_state.get() != WriteState::NotStarted
    }

    /// Whether bytes arrived before the request was written completely.
    pub(crate) fn has_received_early(&self) -> bool {
        self.received_early.get()
    }

    /// Records that bytes arrived before the request was written completely.
    pub(crate) fn record_received_early(&self) {
        self.received_early.set(true);
    }

    /// Records that the socket has received bytes, or the end of the stream.
    pub(crate) fn record_received(&self) {
        if self.write_state.get() != WriteState::Complete {
            self.received_early.set(true);
        }
        self.bytes_received.notify_one();
    }

    /// Records that some bytes of the request were written.
    pub(crate) fn record_written(&self) {
        self.write_state.set(WriteState::Partial);
    }

    /// Records a flush. hyper flushes only once all of a request has been written.
    pub(crate) fn record_flushed(&self) {
        if self.write_state.get() == WriteState::Partial {
            self.write_state.set(WriteState::Complete);
        }
    }
}

/// Reports how far a request was written, even if its exchange was dropped before the end.
#[derive(Default)]
pub struct RequestProgress(RefCell<Option<Rc<Progress>>>);

impl RequestProgress {
    /// Starts tracking a request that begins now on the connection with this progress.
    pub(crate) fn begin(&self, progress: &Rc<Progress>) {
        progress.write_state.set(WriteState::NotStarted);
        progress.received_informational.store(false, Ordering::Relaxed);
        // Consumes a notification left by the previous response, which must not count as the first byte of the next
        // one.
        pin!(progress.bytes_received.notified()).enable();
        self.0.replace(Some(Rc::clone(progress)));
    }

    /// Whether the request was written completely.
    pub fn is_sent(&self) -> bool {
        self.stage().is_sent()
    }

    /// The stage of the send as the socket sees it. Never `ResponseStarted`, which only the reader of the response can see.
    pub fn stage(&self) -> SendStage {
        let progress = self.0.borrow();
        let Some(progress) = progress.as_ref() else { return SendStage::Unconnected };
        match progress.write_state.get() {
            WriteState::NotStarted => SendStage::Connected,
            WriteState::Partial => SendStage::PartlySent,
            WriteState::Complete if progress.received_informational.load(Ordering::Relaxed) => {
                SendStage::InterimReceived
            }
            WriteState::Complete => SendStage::Sent,
        }
    }
}
