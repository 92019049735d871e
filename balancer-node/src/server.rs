//! The client side: accepts connections, reads requests and writes their final answers.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{header, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::client_connections::{ClientConnection, ClientConnections, FIRST_REQUEST_TIMEOUT};
use crate::config::Config;
use crate::host::Host;
use crate::open_requests::Answer;
use crate::protocol::MAX_HEAD_BYTES;
use crate::request::{Rejected, RequestReader};

/// Time limit for idle client connections. Long, because the node may close a connection while a new request is
/// in transit on it; idle connections are closed sooner when capacity is needed or too many are idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// How long the node accepts connections after the signal to stop. New ones continue to arrive for up to 0.4 s.
const ACCEPT_TIME_AFTER_STOP: Duration = Duration::from_millis(600);
/// Pause after a failed accept, for example if no descriptor is left.
const ACCEPT_ERROR_BACKOFF: Duration = Duration::from_millis(10);

/// State shared by all connections.
struct Service {
    host: Rc<Host>,
    reader: RequestReader,
    stopping: watch::Receiver<bool>,
}

/// Serves clients until the signal to stop, then finishes the accepted requests.
pub async fn serve(listener: TcpListener, host: Rc<Host>, config: &Config, stopping: watch::Receiver<bool>) {
    let max_deadline = config.settings.classes.iter().map(|class| class.deadline).fold(0.0, f64::max);
    let service =
        Rc::new(Service { host, reader: RequestReader::new(&config.settings), stopping: stopping.clone() });
    let clients = Rc::new(ClientConnections::new(config.client_sockets));
    tokio::select! {
        () = accept(&listener, &service, &clients) => {}
        () = async {
            stop_signalled(stopping).await;
            sleep(ACCEPT_TIME_AFTER_STOP).await;
        } => {}
    }
    drop(listener);
    // Open connections have a request in progress or have sent nothing. No request takes longer than the
    // longest deadline, so the wait ends then.
    let _ = timeout(Duration::from_secs_f64(max_deadline), clients.all_closed()).await;
}

async fn stop_signalled(mut stopping: watch::Receiver<bool>) {
    // An error means that the sender is gone, which ends the node as well.
    let _ = stopping.wait_for(|stop| *stop).await;
}

async fn accept(listener: &TcpListener, service: &Rc<Service>, clients: &Rc<ClientConnections>) {
    loop {
        clients.wait_for_capacity().await;
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(serve_connection(stream, Rc::clone(service), clients.open()));
            }
            Err(_) => sleep(ACCEPT_ERROR_BACKOFF).await,
        }
    }
}

async fn serve_connection(stream: TcpStream, service: Rc<Service>, client: ClientConnection) {
    // Without TCP_NODELAY a small response may wait for the client's acknowledgement of the previous one.
    let _ = stream.set_nodelay(true);
    let respond = service_fn(|request| {
        let body_timeout = client.body_timeout();
        client.set_busy();
        let (service, client) = (&service, &client);
        async move {
            let response = service.respond(request, body_timeout).await;
            client.set_idle();
            Ok::<_, Infallible>(response)
        }
    });
    let mut serving = std::pin::pin!(http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), respond));
    tokio::select! {
        // An error means that the client disconnected, or sent an invalid request and got an error response.
        _ = serving.as_mut() => return,
        () = client.close_requested() => {
            // An idle connection is dropped: on a graceful shutdown, hyper would keep one that has sent nothing
            // or half a head, and with it the capacity that another client waits for.
            if client.is_idle() {
                return;
            }
        }
        () = async {
            if timeout(FIRST_REQUEST_TIMEOUT, client.first_request()).await.is_ok() {
                std::future::pending::<()>().await;
            }
        } => return,
        // On a graceful shutdown, hyper would close a new connection at once, and lose a request that is in
        // transit. So each connection accepted after the signal first gets the response to its first request.
        () = async {
            stop_signalled(service.stopping.clone()).await;
            client.first_request().await;
        } => {}
    }
    // Closes an idle connection at once, and a busy one after its response.
    serving.as_mut().graceful_shutdown();
    let _ = serving.await;
}

impl Service {
    async fn respond(&self, request: Request<Incoming>, body_timeout: Duration) -> Response<Full<Bytes>> {
        if request.uri().path() == "/health/ready" {
            let is_ready = self.host.is_ready() && !*self.stopping.borrow();
            return empty_response(if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE });
        }
        let accepted = match self.reader.read(request, body_timeout).await {
            Ok(request) => self.host.accept(request).ok_or(Rejected(StatusCode::CONFLICT)),
            Err(rejected) => Err(rejected),
        };
        match accepted {
            Ok(pending) => response_to(pending.wait().await),
            Err(Rejected(status)) => {
                // The connection is closed, as the following bytes may belong to the rejected request.
                let mut response = empty_response(status);
                response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
                response
            }
        }
    }
}

/// A response with an empty body.
fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

fn response_to(answer: Answer) -> Response<Full<Bytes>> {
    match answer {
        Answer::Served(served) => {
            let mut response = Response::new(Full::new(served.body));
            if let Some(content_type) = served.content_type {
                response.headers_mut().insert(header::CONTENT_TYPE, content_type);
            }
            response
        }
        Answer::Refused(retry_after) => {
            let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
            let retry_after_value =
                retry_after.and_then(|seconds| HeaderValue::from_str(&format!("{seconds:.3}")).ok());
            if let Some(retry_after_value) = retry_after_value {
                response.headers_mut().insert(header::RETRY_AFTER, retry_after_value);
            }
            response
        }
        Answer::Failed => empty_response(StatusCode::BAD_GATEWAY),
        Answer::DeadlineExceeded => empty_response(StatusCode::GATEWAY_TIMEOUT),
    }
}
