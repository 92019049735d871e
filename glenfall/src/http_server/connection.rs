//! Serves the connection of a client: one request after another, until it is closed or evicted, or the process stops.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::{service_fn, HttpService};
use hyper::Request;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::http::response::LocalResponse;
use crate::http_server::body_memory::BodyMemory;
use crate::http_server::connection_limit::ConnectionSlot;
use crate::http_server::deadlines::{ClientTimeouts, ConnectionEnd, Deadlines};
use crate::http_server::handler::Handler;
use crate::http_server::message::{FullRequest, FullResponse};
use crate::http_server::request_body::read_request_body;
use crate::http_server::shutdown::{close, drain, stop_requested, ServerConnection};
use crate::http_server::timed_stream::TimedStream;

/// The smallest read buffer that hyper accepts.
const MIN_HEAD_BUFFER_BYTES: usize = 8 << 10;
/// The longest time, in milliseconds, that a new connection has for its first request while the process stops.
const MAX_FIRST_REQUEST_TIMEOUT_MS: u64 = 1000;
/// The response to a client that took too long to send a request head; hyper can't send one.
const HEAD_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

/// A client's connection.
pub struct ClientConnection<H> {
    handler: Rc<H>,
    slot: ConnectionSlot,
    body_memory: Rc<BodyMemory>,
    deadlines: Rc<Deadlines>,
    has_received_request: Cell<bool>,
}

impl<H: Handler> ClientConnection<H> {
    /// A connection that was just accepted.
    pub fn new(handler: Rc<H>, slot: ConnectionSlot, body_memory: Rc<BodyMemory>) -> Self {
        let deadlines = Deadlines::new({
            let handler = Rc::clone(&handler);
            move || client_timeouts(&*handler)
        });
        ClientConnection { handler, slot, body_memory, deadlines, has_received_request: Cell::new(false) }
    }

    /// Serves the requests on this stream.
    pub async fn serve(self, stream: TcpStream, stopping: watch::Receiver<bool>) {
        let limits = self.handler.limits();
        let service = service_fn(|request| {
            self.has_received_request.set(true);
            self.respond(request)
        });
        let mut connection = http1::Builder::new()
            .header_read_timeout(None)
            .max_buf_size(limits.max_header_bytes.max(MIN_HEAD_BUFFER_BYTES))
            .serve_connection(TokioIo::new(TimedStream::new(stream, &self.deadlines)), service);
        let first_request_timeout =
            at_least_one_ms(limits.header_timeout_ms.min(MAX_FIRST_REQUEST_TIMEOUT_MS));
        let end = self.run(&mut connection, stopping, first_request_timeout).await;
        if end == ConnectionEnd::HeadTimeout {
            self.handler.on_slow_head();
            connection.into_parts().io.inner().write_final(HEAD_TIMEOUT_RESPONSE);
        }
    }

    /// Drives the connection until it ends. Errors on it are ignored: the client has disconnected, or hyper has already
    /// responded to its invalid request.
    async fn run<S>(
        &self,
        connection: &mut ServerConnection<S>,
        stopping: watch::Receiver<bool>,
        first_request_timeout: Duration,
    ) -> ConnectionEnd
    where
        S: HttpService<Incoming, ResBody = Full<Bytes>, Error = Infallible>,
    {
        loop {
            tokio::select! {
                end = self.deadlines.drive(connection) => return end,
                () = stop_requested(stopping.clone()) => break,
                () = self.slot.evicted() => if self.deadlines.is_idle() {
                    return close(connection, &self.deadlines).await;
                }
            }
        }
        drain(connection, &self.deadlines, &self.has_received_request, first_request_timeout).await
    }

    /// Reads a request completely and responds to it.
    async fn respond(&self, request: Request<Incoming>) -> Result<FullResponse, Infallible> {
        let _responding = self.deadlines.begin_response();
        self.slot.set_busy();
        let response = self.response_to(request).await;
        self.slot.set_idle();
        Ok(response)
    }

    /// The response to a request. It has `Connection: close` if no further request is read on this connection.
    async fn response_to(&self, request: Request<Incoming>) -> FullResponse {
        // hyper removes a `Content-Length` that comes with `Transfer-Encoding`. The two may disagree on where the next
        // request begins (request smuggling), so no further request is read on this connection.
        let is_chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
        let limits = self.handler.limits();
        let started = Instant::now();
        let (head, body) = request.into_parts();
        let (mut response, was_rejected) =
            match read_request_body(&head, body, &limits, &self.body_memory).await {
                Ok(body) => {
                    let _reservation = body.reservation;
                    (self.handler.handle(FullRequest { head, body: body.bytes }).await, false)
                }
                Err(error) => {
                    let rejection = LocalResponse::from(error);
                    self.handler.on_rejected(&head, &rejection, started);
                    (FullResponse::from(rejection), true)
                }
            };
        if is_chunked || was_rejected || self.handler.is_draining() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

/// The timeouts for clients in the current configuration.
fn client_timeouts<H: Handler>(handler: &H) -> ClientTimeouts {
    let limits = handler.limits();
    ClientTimeouts {
        head: at_least_one_ms(limits.header_timeout_ms),
        idle: at_least_one_ms(limits.idle_timeout_ms),
    }
}

fn at_least_one_ms(ms: u64) -> Duration {
    Duration::from_millis(ms.max(1))
}
