//! The stop signal of the process, and how an open connection is closed after it.

use std::cell::Cell;
use std::convert::Infallible;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::HttpService;
use hyper_util::rt::TokioIo;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::http_server::deadlines::{ConnectionEnd, Deadlines};
use crate::http_server::timed_stream::TimedStream;

/// How often a new connection is checked for its first request while the process stops.
const FIRST_REQUEST_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A client's connection as hyper serves it.
pub type ServerConnection<S> = http1::Connection<TokioIo<TimedStream>, S>;

/// Returns once the process is told to stop.
pub async fn stop_requested(mut stopping: watch::Receiver<bool>) {
    // An error means that the sender is gone, which ends the process as well.
    let _ = stopping.wait_for(|stop| *stop).await;
}

/// Closes a connection because the process stops. A connection without any request yet is first given
/// `first_request_timeout`, as its request may be in transit.
pub async fn drain<S>(
    connection: &mut ServerConnection<S>,
    deadlines: &Deadlines,
    has_received_request: &Cell<bool>,
    first_request_timeout: Duration,
) -> ConnectionEnd
where
    S: HttpService<Incoming, ResBody = Full<Bytes>, Error = Infallible>,
{
    if !has_received_request.get() {
        tokio::select! {
            end = deadlines.drive(connection) => return end,
            () = first_request(has_received_request) => {}
            () = sleep(first_request_timeout) => {}
        }
    }
    close(connection, deadlines).await
}

/// Closes a connection: at once between requests, otherwise after the response in progress.
pub async fn close<S>(connection: &mut ServerConnection<S>, deadlines: &Deadlines) -> ConnectionEnd
where
    S: HttpService<Incoming, ResBody = Full<Bytes>, Error = Infallible>,
{
    Pin::new(&mut *connection).graceful_shutdown();
    deadlines.drive(connection).await
}

async fn first_request(has_received_request: &Cell<bool>) {
    loop {
        sleep(FIRST_REQUEST_POLL_INTERVAL).await;
        if has_received_request.get() {
            return;
        }
    }
}
