//! What comes before a request is written whole: it ends the writing, and the connection is of no further use.

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

static ID: HeaderName = HeaderName::from_static("x-id");
const LARGE: usize = 32 << 20;

fn answer(id: &str) -> String {
    format!("HTTP/1.1 503 Full\r\nX-Id: {id}\r\nContent-Length: 2\r\n\r\nno")
}

fn request(id: Option<&'static str>, length: usize) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from(vec![b'b'; length])));
    *request.method_mut() = Method::POST;
    if let Some(id) = id {
        request.headers_mut().insert(&ID, HeaderValue::from_static(id));
    }
    request
}

async fn open(addr: SocketAddr) -> Connection {
    Connection::open(addr, OpenSocket::claim(&Default::default()), 16 << 10).await.expect("it is opened")
}

/// Reads until so many bytes of a body have come.
async fn read_body(stream: &mut TcpStream, length: usize) -> usize {
    let mut heard = Vec::new();
    loop {
        let end = heard.windows(4).position(|four| four == b"\r\n\r\n").map(|end| end + 4);
        let body = end.map_or(0, |end| heard.len() - end);
        if end.is_some() && body >= length || stream.read_buf(&mut heard).await.unwrap_or(0) == 0 {
            return body;
        }
    }
}

fn on_loopback(test: impl AsyncFnOnce(TcpListener)) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        test(TcpListener::bind("127.0.0.1:0").await.unwrap()).await;
    });
}

#[test]
fn an_answer_that_comes_before_the_end_of_its_request_ends_the_writing() {
    for (own, named, is_told) in
        [(Some("a"), "a", true), (Some("a"), "b", false), (Some("a"), "", false), (None, "a", false)]
    {
        on_loopback(async |listener| {
            let mut connection = open(listener.local_addr().unwrap()).await;
            let (mut stream, _) = listener.accept().await.unwrap();
            let sent = RequestProgress::default();
            let (told, mut stream) =
                tokio::join!(connection.send(request(own, LARGE), Some(&ID), &sent), async {
                    read_body(&mut stream, 1).await;
                    stream.write_all(answer(named).as_bytes()).await.unwrap();
                    stream
                });
            assert_eq!(sent.stage(), SendStage::PartlySent);
            match told {
                Ok(response) => {
                    assert!(is_told, "{own:?}, {named}");
                    assert_eq!(response.into_body().collect().await.unwrap().to_bytes(), "no");
                }
                Err(failed) => {
                    assert!(!is_told && matches!(failed, ExchangeError::Unsent), "{own:?}, {named}")
                }
            }
            assert!(!connection.is_free().await, "it is not used again");
            let rest = async {
                let mut rest = Vec::new();
                while stream.read_buf(&mut rest).await.is_ok_and(|n| n > 0) {}
                rest.len()
            };
            let ended = async {
                // As long as it is kept, nothing more goes out on it.
                tokio::time::sleep(Duration::from_millis(30)).await;
                drop(connection);
            };
            let (rest, ()) = tokio::join!(rest, ended);
            assert!(rest < LARGE - 1, "the server never has all of it");
        });
    }
}

#[test]
fn a_request_held_short_of_its_last_byte_keeps_it_when_something_comes() {
    for (named, is_told) in [("a", true), ("b", false), ("", false)] {
        on_loopback(async |listener| {
            let mut connection = open(listener.local_addr().unwrap()).await;
            let (mut stream, _) = listener.accept().await.unwrap();
            let first = RequestProgress::default();
            let (told, ()) = tokio::join!(connection.send(request(Some("z"), 4), Some(&ID), &first), async {
                read_body(&mut stream, 4).await;
                stream.write_all(answer("z").as_bytes()).await.unwrap();
            });
            told.expect("its own").into_body().collect().await.unwrap();
            assert!(first.whole() && connection.is_free().await);
            connection.be_wary();
            let sent = RequestProgress::default();
            let (told, mut stream) =
                tokio::join!(connection.send(request(Some("a"), 4), Some(&ID), &sent), async {
                    assert_eq!(read_body(&mut stream, 0).await, 0, "the body is held");
                    stream.write_all(answer(named).as_bytes()).await.unwrap();
                    stream
                });
            assert_eq!((told.is_ok(), sent.stage()), (is_told, SendStage::PartlySent), "{named}");
            drop(told);
            // The pause is over, and the last byte is still not gone.
            tokio::time::sleep(Duration::from_millis(30)).await;
            assert!(!connection.is_free().await);
            drop(connection);
            assert_eq!(
                stream.read(&mut [0; 8]).await.unwrap_or(0),
                0,
                "{named}: the server never has all of it"
            );
        });
    }
}
