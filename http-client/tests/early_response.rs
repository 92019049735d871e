//! Bytes that arrive before a request is written completely stop the write, and the connection is not reused.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use glenfall_http_client::send::SendStage;
use glenfall_http_client::{Connection, ExchangeError, OpenSocket, RequestProgress};
use http_body_util::{BodyExt, Full};
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Method, Request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

static ID_HEADER: HeaderName = HeaderName::from_static("x-id");
/// Larger than the socket buffers of both sides, so that the write is still incomplete when the response arrives.
const LARGE_BODY_BYTES: usize = 32 << 20;

fn response(id: &str) -> String {
    format!("HTTP/1.1 503 Full\r\nX-Id: {id}\r\nContent-Length: 2\r\n\r\nno")
}

fn request(id: Option<&'static str>, length: usize) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from(vec![b'b'; length])));
    *request.method_mut() = Method::POST;
    if let Some(id) = id {
        request.headers_mut().insert(&ID_HEADER, HeaderValue::from_static(id));
    }
    request
}

async fn open(addr: SocketAddr) -> Connection {
    Connection::open(addr, OpenSocket::claim(&std::rc::Rc::default()), 16 << 10).await.expect("a connection")
}

/// Reads until this many bytes of a body have arrived, or the stream ends; returns how many arrived.
async fn read_body(stream: &mut TcpStream, length: usize) -> usize {
    let mut received = Vec::new();
    loop {
        let end = received.windows(4).position(|window| window == b"\r\n\r\n").map(|end| end + 4);
        let body = end.map_or(0, |end| received.len() - end);
        if end.is_some() && body >= length || stream.read_buf(&mut received).await.unwrap_or(0) == 0 {
            return body;
        }
    }
}

fn run_with_listener(test: impl AsyncFnOnce(TcpListener)) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        test(TcpListener::bind("127.0.0.1:0").await.unwrap()).await;
    });
}

#[test]
fn a_response_before_the_end_of_its_request_stops_the_write() {
    for (request_id, response_id, is_accepted) in
        [(Some("a"), "a", true), (Some("a"), "b", false), (Some("a"), "", false), (None, "a", false)]
    {
        run_with_listener(async |listener| {
            let mut connection = open(listener.local_addr().unwrap()).await;
            let (mut stream, _) = listener.accept().await.unwrap();
            let sent = RequestProgress::default();
            let (result, mut stream) = tokio::join!(
                connection.send(request(request_id, LARGE_BODY_BYTES), Some(&ID_HEADER), &sent),
                async {
                    read_body(&mut stream, 1).await;
                    stream.write_all(response(response_id).as_bytes()).await.unwrap();
                    stream
                }
            );
            assert_eq!(sent.stage(), SendStage::PartlySent);
            match result {
                Ok(response) => {
                    assert!(is_accepted, "request id {request_id:?}, response id {response_id}");
                    assert_eq!(response.into_body().collect().await.unwrap().to_bytes(), "no");
                }
                Err(error) => {
                    assert!(
                        !is_accepted && matches!(error, ExchangeError::NotSent),
                        "request id {request_id:?}, response id {response_id}"
                    );
                }
            }
            assert!(!connection.is_reusable().await, "the connection is not reused");
            let read_remaining = async {
                let mut remaining = Vec::new();
                while stream.read_buf(&mut remaining).await.is_ok_and(|count| count > 0) {}
                remaining.len()
            };
            let close = async {
                // While the connection is still open, nothing more is written on it.
                tokio::time::sleep(Duration::from_millis(30)).await;
                drop(connection);
            };
            let (remaining, ()) = tokio::join!(read_remaining, close);
            assert!(remaining < LARGE_BODY_BYTES - 1, "the server never receives the complete request");
        });
    }
}

#[test]
fn a_delayed_last_byte_is_not_written_after_an_early_response() {
    for (response_id, is_accepted) in [("a", true), ("b", false), ("", false)] {
        run_with_listener(async |listener| {
            let mut connection = open(listener.local_addr().unwrap()).await;
            let (mut stream, _) = listener.accept().await.unwrap();
            let first = RequestProgress::default();
            let (result, ()) =
                tokio::join!(connection.send(request(Some("z"), 4), Some(&ID_HEADER), &first), async {
                    read_body(&mut stream, 4).await;
                    stream.write_all(response("z").as_bytes()).await.unwrap();
                });
            result.expect("the response to the first request").into_body().collect().await.unwrap();
            assert!(first.is_sent() && connection.is_reusable().await);
            connection.delay_last_byte();
            let sent = RequestProgress::default();
            let (result, mut stream) =
                tokio::join!(connection.send(request(Some("a"), 4), Some(&ID_HEADER), &sent), async {
                    assert_eq!(read_body(&mut stream, 0).await, 0, "the body is delayed");
                    stream.write_all(response(response_id).as_bytes()).await.unwrap();
                    stream
                });
            assert_eq!(
                (result.is_ok(), sent.stage()),
                (is_accepted, SendStage::PartlySent),
                "response id {response_id}"
            );
            drop(result);
            // The last byte is not written even after the delay.
            tokio::time::sleep(Duration::from_millis(30)).await;
            assert!(!connection.is_reusable().await);
            drop(connection);
            assert_eq!(
                stream.read(&mut [0; 8]).await.unwrap_or(0),
                0,
                "response id {response_id}: the server never receives the complete request"
            );
        });
    }
}
