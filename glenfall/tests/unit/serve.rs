//! Clients' connections: the limits of heads, of idling and of bodies.

use std::rc::Rc;
use std::time::Duration;

use glenfall::serve::{plain, serve_at, Answer, Handler, Terms, Whole};
use glenfall_plane::config::ReqLimits;
use hyper::header::HeaderValue;
use hyper::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{watch, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

use crate::support::{listener, run_local};

/// Tells how long the bodies are; who asks for `/held` waits for ever.
#[derive(Default)]
struct Lengths {
    held: Notify,
}

impl Handler for Lengths {
    async fn answer(&self, whole: Whole) -> Answer {
        if whole.path_and_query() == "/held" {
            self.held.notify_one();
            std::future::pending::<()>().await;
        }
        let mut answer = plain(StatusCode::OK, "");
        answer.headers_mut().insert("x-length", HeaderValue::from(whole.body.len()));
        answer
    }

    fn limits(&self) -> ReqLimits {
        ReqLimits {
            max_header_bytes: 8 << 10,
            max_body_bytes: 4000,
            header_timeout_ms: 150,
            idle_timeout_ms: 900,
        }
    }

    fn leaving(&self) -> bool {
        false
    }
}

fn post(path: &str, header: &str, body: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n{header}\r\n\r\n{body}")
}

/// What a client that says these pieces, pausing for a while after each, hears in all; and when it ends.
async fn heard(pieces: &[(&str, u64)]) -> (String, Duration) {
    heard_beside(0, pieces).await
}

/// The same, where the body of another request takes so many of 5000 bytes.
async fn heard_beside(others: usize, pieces: &[(&str, u64)]) -> (String, Duration) {
    let (listener, addr) = listener().await;
    let (_stop, stopping) = watch::channel(false);
    let ms = Duration::from_millis;
    let terms = Terms { listen: addr, most: 2, most_bodies: 5000, still_accepting: ms(0), grace: ms(0) };
    let handler = Rc::new(Lengths::default());
    spawn_local(serve_at(listener, terms, Rc::clone(&handler), stopping));
    let mut other = TcpStream::connect(addr).await.expect("a connection");
    if others > 0 {
        let body = post("/held", &format!("Content-Length: {others}"), &"b".repeat(others));
        other.write_all(body.as_bytes()).await.expect("a request");
        handler.held.notified().await;
    }
    let mut stream = TcpStream::connect(addr).await.expect("a connection");
    let mut ends = stream.split();
    let say = async {
        for (piece, pause) in pieces {
            // The other side may have ended it by then.
            let _ = ends.1.write_all(piece.as_bytes()).await;
            sleep(Duration::from_millis(*pause)).await;
        }
        std::future::pending::<()>().await;
    };
    let began = Instant::now();
    let mut text = String::new();
    tokio::select! {
        () = say => {}
        read = ends.0.read_to_string(&mut text) => { read.expect("an end in order"); }
    }
    (text, began.elapsed())
}

#[test]
fn a_head_has_one_limit_and_idling_another() {
    run_local(async {
        let whole = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
        let ms = Duration::from_millis;
        let (text, took) = heard(&[("GET / HT", 0)]).await;
        assert!(text.starts_with("HTTP/1.1 408 ") && took >= ms(150), "{text} after {took:?}");
        // Bytes that trickle in give no more time.
        let (text, _) = heard(&[("GET / H", 60), ("T", 60), ("T", 60), ("P", 60), ("/1", 600)]).await;
        assert!(text.starts_with("HTTP/1.1 408 "), "{text}");
        // Idle for longer than a head may take.
        let (text, took) = heard(&[("", 300), (whole, 300), (whole, 0)]).await;
        assert_eq!(text.matches("HTTP/1.1 200 ").count(), 2, "{text}");
        assert!(!text.contains("408") && took >= ms(600 + 900), "{text} after {took:?}");
    });
}

#[test]
fn bodies_are_read_whole_within_their_limits() {
    run_local(async {
        let post = |header: &str, body: &str| post("/", header, body);
        let chunk = |length: usize| format!("{length:x}\r\n{}\r\n", "b".repeat(length));
        let chunks = "Transfer-Encoding: chunked";
        for (case, first, rest, told) in [
            ("whole", post("Content-Length: 5", "hello"), String::new(), "x-length: 5\r\n"),
            ("in pieces", post("Content-Length: 4000", "a"), "a".repeat(3999), "x-length: 4000\r\n"),
            ("one more", post("Content-Length: 4001", ""), String::new(), "HTTP/1.1 413 "),
            ("in chunks", post(chunks, &chunk(900)), chunk(3100) + "0\r\n\r\n", "x-length: 4000\r\n"),
            ("one too many", post(chunks, &chunk(1000)), chunk(3001) + "0\r\n\r\n", "HTTP/1.1 413 "),
            ("no chunk", post(chunks, &chunk(10)), "what\r\n".into(), "HTTP/1.1 400 "),
            ("never whole", post("Content-Length: 9", "eight"), String::new(), "HTTP/1.1 408 "),
        ] {
            let (text, _) = heard(&[(&first, 50), (&rest, 0)]).await;
            assert!(text.contains(told), "{case}: {text}");
        }
        let (text, _) = heard_beside(3000, &[(&post("Content-Length: 2000", &"a".repeat(2000)), 0)]).await;
        assert!(text.contains("x-length: 2000"), "{text}");
        for full in [post("Content-Length: 2001", "a"), post(chunks, &chunk(2001))] {
            let (text, _) = heard_beside(3000, &[(&full, 0)]).await;
            assert!(text.starts_with("HTTP/1.1 503 ") && text.contains("retry-after: 0.200"), "{text}");
        }
    });
}
