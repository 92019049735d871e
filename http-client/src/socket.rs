//! A client socket that records how far a request has been written on it, and stops writing if bytes arrive early.

use std::cell::Cell;
use std::future::Future;
use std::io::{self, ErrorKind, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::Sleep;

use crate::progress::Progress;

/// A socket that records how far requests are written, and counts as open until it is dropped.
pub(crate) struct Socket {
    stream: TokioIo<TcpStream>,
    progress: Rc<Progress>,
    /// Set while only the last byte of a request is unwritten; that byte may be written when the timer has fired.
    last_byte_timer: Option<Pin<Box<Sleep>>>,
    _open_socket: OpenSocket,
}

impl Socket {
    /// Wraps an open stream, and returns the progress of the requests on it.
    pub(crate) fn new(stream: TcpStream, open_socket: OpenSocket) -> (Self, Rc<Progress>) {
        let progress = Rc::new(Progress::new());
        let socket = Socket {
            stream: TokioIo::new(stream),
            progress: Rc::clone(&progress),
            last_byte_timer: None,
            _open_socket: open_socket,
        };
        (socket, progress)
    }

    /// Checks for unread bytes before a write. Bytes that arrived before the first byte of a request are an error:
    /// they would be read as the response to that request, whether they are a second copy of the last response,
    /// garbage, or the server's close. Bytes that arrived before the last byte stop the write, see
    /// `poll_writable_bytes`. This peeks at the kernel's buffer, as it may hold bytes that the reactor has not
    /// reported yet.
    fn check_unsolicited(&self) -> io::Result<()> {
        let socket = SockRef::from(self.stream.inner());
        match socket.peek(&mut [MaybeUninit::uninit()]) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error),
            Ok(_) if !self.progress.has_started() => {
                Err(io::Error::new(ErrorKind::InvalidData, "unsolicited bytes before the request"))
            }
            Ok(_) => {
                self.progress.record_received_early();
                Ok(())
            }
        }
    }

    /// How many of the `available` bytes may be written now. Stays pending once bytes have arrived early: hyper still
    /// has to read them and to report the response, and that wakes the task that waits here.
    fn poll_writable_bytes(&mut self, cx: &mut Context<'_>, available: usize) -> Poll<io::Result<usize>> {
        if let Some(timer) = &mut self.last_byte_timer {
            ready!(timer.as_mut().poll(cx));
            self.last_byte_timer = None;
        }
        self.check_unsolicited()?;
        if self.progress.has_received_early() {
            return Poll::Pending;
        }
        match self.progress.take_last_byte_delay() {
            Some(delay) if available > 1 => {
                self.last_byte_timer = Some(Box::pin(tokio::time::sleep(delay)));
                Poll::Ready(Ok(available - 1))
            }
            _ => Poll::Ready(Ok(available)),
        }
    }

    fn record_write(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(result, Poll::Ready(Ok(1..))) {
            self.progress.record_written();
        }
        result
    }
}

impl Read for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if matches!(result, Poll::Ready(Ok(()))) {
            self.progress.record_received();
        }
        result
    }
}

impl Write for Socket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buffer: &[u8]) -> Poll<io::Result<usize>> {
        let writable = ready!(self.poll_writable_bytes(cx, buffer.len()))?;
        let result = Pin::new(&mut self.stream).poll_write(cx, &buffer[..writable]);
        self.record_write(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let available = buffers.iter().map(|buffer| buffer.len()).sum();
        let writable = ready!(self.poll_writable_bytes(cx, available))?;
        let result = if writable == available {
            Pin::new(&mut self.stream).poll_write_vectored(cx, buffers)
        } else {
            // Writes only the first buffer, up to the allowed number of bytes. hyper offers the others again.
            let first = buffers.iter().find(|buffer| !buffer.is_empty()).map_or(&[][..], |buffer| buffer);
            Pin::new(&mut self.stream).poll_write(cx, &first[..first.len().min(writable)])
        };
        self.record_write(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// hyper flushes once it has written all that it has buffered of a request. As the whole body is available from
    /// the start, a flush means that the request is complete.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_flush(cx);
        if matches!(result, Poll::Ready(Ok(()))) {
            self.progress.record_flushed();
        }
        result
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Counts one open socket for as long as it exists, so that a process can limit their number.
pub struct OpenSocket(Rc<Cell<usize>>);

impl OpenSocket {
    /// Increments the counter; dropping the returned value decrements it.
    pub fn claim(open_count: &Rc<Cell<usize>>) -> Self {
        open_count.set(open_count.get() + 1);
        OpenSocket(Rc::clone(open_count))
    }
}

impl Drop for OpenSocket {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
