//! An open connection to a server, and one request/response exchange on it.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Request, Response};
use tokio::net::TcpStream;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::Instant;

use crate::progress::{Progress, RequestProgress};
use crate::socket::{OpenSocket, Socket};

/// Time limit for hyper to report a connection as ready again. A connection is ready almost at once when its response
/// has been read completely; one that is not ready by then cannot be reused.
const READY_TIMEOUT: Duration = Duration::from_millis(5);
/// Delay of the last byte, in multiples of the connect time, which is one round trip as measured when the connection
/// was opened. A server that no longer has a connection answers with a reset, which arrives after one round trip.
const RESET_WAIT_ROUND_TRIPS: u32 = 2;
/// Added to the wait for a reset: the time that the two machines need to schedule the processes.
const SCHEDULING_ALLOWANCE: Duration = Duration::from_millis(1);
/// Upper bound of the wait for a reset. A longer connect time means that the SYN packet was lost or a machine was
/// busy, so it does not measure the round trip.
const MAX_RESET_WAIT: Duration = Duration::from_millis(20);

/// An open connection. Dropping it closes it, even while a request is in flight.
pub struct Connection {
    /// The server's address.
    pub addr: SocketAddr,
    /// How far the current request has been written.
    pub progress: Rc<Progress>,
    connect_time: Duration,
    sender: http1::SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Why an exchange returned no response head.
#[derive(Debug)]
pub enum ExchangeError {
    /// The request was not written completely: the server has not run it.
    NotSent,
    /// The connection failed after the request was written completely: the server may have run it.
    ConnectionLost(hyper::Error),
    /// The response has the id of another request. This request was written completely: the server may have run it.
    WrongRequest,
}

impl Connection {
    /// Opens a connection, or returns `None` if that fails. `max_head_bytes` limits the head of a response. The
    /// caller limits the time that this may take.
    pub async fn open(addr: SocketAddr, open_socket: OpenSocket, max_head_bytes: usize) -> Option<Self> {
        let started = Instant::now();
        let stream = TcpStream::connect(addr).await.ok()?;
        let connect_time = started.elapsed();
        stream.set_nodelay(true).ok()?;
        let (socket, progress) = Socket::new(stream, open_socket);
        let mut builder = http1::Builder::new();
        let (sender, driving) = builder.max_buf_size(max_head_bytes).handshake(socket).await.ok()?;
        let driver = spawn_local(async move {
            // A connection failure is reported by the methods of `sender`.
            let _ = driving.await;
        });
        Some(Connection { addr, progress, connect_time, sender, driver })
    }

    /// Sends a request and waits for the head of its response. `request_progress` reports how far the request was
    /// written, even if the future is dropped.
    ///
    /// `id_header` is the header with the request id that a response repeats, for servers that do so. Without it, a
    /// late duplicate response cannot be distinguished from the expected one, as both arrive in order on the connection.
    pub async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
        id_header: Option<&HeaderName>,
        request_progress: &RequestProgress,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let expected_id = id_header.and_then(|name| Some((name, request.headers().get(name)?.clone())));
        request_progress.begin(&self.progress);
        self.progress.watch_informational(&mut request);
        match self.sender.try_send_request(request).await {
            Ok(response) if self.is_response_to(expected_id, &response) => Ok(response),
            Ok(_) if request_progress.is_sent() => Err(ExchangeError::WrongRequest),
            Ok(_) => Err(ExchangeError::NotSent),
            Err(err) if request_progress.is_sent() => Err(ExchangeError::ConnectionLost(err.into_error())),
            Err(_) => Err(ExchangeError::NotSent),
        }
    }

    /// Whether a response belongs to the current request: it repeats the id exactly once or, for a request without an
    /// id, came only after the request was written completely.
    fn is_response_to(
        &self,
        expected_id: Option<(&HeaderName, HeaderValue)>,
        response: &Response<Incoming>,
    ) -> bool {
        match expected_id {
            Some((name, id)) => response.headers().get_all(name).iter().eq([&id]),
            None => self.progress.is_in_sequence(),
        }
    }

    /// Delays the last byte of the next request until a server that no longer has this connection would have reset
    /// it. A request that fails before that has certainly not run, and may be sent to another server.
    pub fn delay_last_byte(&self) {
        let reset_wait = self.connect_time * RESET_WAIT_ROUND_TRIPS + SCHEDULING_ALLOWANCE;
        self.progress.delay_last_byte(reset_wait.min(MAX_RESET_WAIT));
    }

    /// Whether the server is known to have closed the connection.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Whether the connection can carry another request: its last response was read completely, and began only after
    /// its request was written completely.
    pub async fn is_reusable(&mut self) -> bool {
        self.progress.is_in_sequence()
            && matches!(tokio::time::timeout(READY_TIMEOUT, self.sender.ready()).await, Ok(Ok(())))
    }
}

/// Whether the error means that the received bytes are not a valid HTTP response, rather than that the connection was
/// lost. Only a lost connection is evidence about the server's process.
pub fn is_invalid_response(error: &hyper::Error) -> bool {
    let source = std::error::Error::source(error).and_then(|source| source.downcast_ref::<std::io::Error>());
    let has_invalid_data =
        source.is_some_and(|io| matches!(io.kind(), ErrorKind::InvalidInput | ErrorKind::InvalidData));
    error.is_parse() || has_invalid_data
}
