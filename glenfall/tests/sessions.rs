//! Sessions over real sockets: sessions of subscribers that have fallen behind are ended, and no others.

use std::rc::Rc;
use std::time::Duration;

use glenfall::session::link::{self, FrameReader, Outbox};
use glenfall::session::publisher::{Greeting, Publisher, Sessions, SubscriberConnection, SubscriberLocation};
use glenfall_control_plane::messages::{
    ConnectionOpening, Counter, PublisherMessage, SubscriberMessage, Update,
};
use tokio::net::TcpListener;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout, Instant};

/// Bound on each wait; long enough for a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);
/// Bound on waits that are expected to time out.
const EXPECTED_TIMEOUT: Duration = Duration::from_millis(50);

/// A publisher that greets new sessions with no updates.
struct EmptyPublisher;

impl Publisher for EmptyPublisher {
    fn greeting(&self) -> Greeting {
        Greeting::default()
    }

    async fn newest_config(&self) -> Option<Vec<Update>> {
        Some(Vec::new())
    }

    fn members_changed(&self) {}
}

/// Opens a session for a subscriber that the test drives: it reads and acknowledges nothing by itself.
async fn open_session(sessions: &Rc<Sessions>, node: &str) -> (FrameReader, Outbox<SubscriberMessage>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let std::net::SocketAddr::V4(addr) = listener.local_addr().unwrap() else { unreachable!() };
    let serving_sessions = Rc::clone(sessions);
    spawn_local(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let (read, write) = stream.into_split();
        let mut frames = FrameReader::new(read);
        frames.next::<ConnectionOpening>().await.unwrap();
        let outbox = Outbox::start(write);
        let connection = SubscriberConnection { location: SubscriberLocation::Network, frames, outbox };
        serving_sessions.serve(connection, &EmptyPublisher).await;
    });
    let (read, write) = link::open(addr, &ConnectionOpening::Session).await.unwrap();
    let outbox = Outbox::start(write);
    let sessions_before = sessions.statuses().len();
    assert!(outbox.send(SubscriberMessage::Hello { node: node.into(), member: None }));
    wait_until(|| sessions.statuses().len() > sessions_before).await;
    (FrameReader::new(read), outbox)
}

async fn wait_until(condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(WAIT_TIMEOUT, wait).await.expect("the condition holds in time");
}

fn session_nodes(sessions: &Sessions) -> Vec<String> {
    sessions.statuses().into_iter().map(|status| status.node).collect()
}

fn run_local<T>(future: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, future)
}

#[test]
fn only_sessions_that_have_not_applied_an_awaited_update_are_ended() {
    run_local(async {
        let sessions = Rc::new(Sessions::default());
        let (_overdue_frames, _overdue_outbox) = open_session(&sessions, "overdue").await;
        let (_frames, outbox) = open_session(&sessions, "current").await;
        sessions.push(&Update::Connected(true));
        assert!(outbox.send(SubscriberMessage::Applied(1)));
        wait_until(|| sessions.statuses().iter().any(|status| status.applied == 1)).await;
        assert!(!sessions.wait_until_applied(EXPECTED_TIMEOUT).await);
        // This update is in flight to both sessions when the overdue one is ended.
        sessions.push(&Update::Connected(true));
        sessions.end_overdue(Duration::ZERO);
        assert_eq!(session_nodes(&sessions), ["current"]);
        assert!(outbox.send(SubscriberMessage::Applied(2)));
        assert!(sessions.wait_until_applied(WAIT_TIMEOUT).await);
        sessions.end_overdue(Duration::ZERO);
        assert_eq!(session_nodes(&sessions), ["current"]);
    });
}

#[test]
fn a_wait_ends_once_all_sessions_have_applied_in_any_order() {
    run_local(async {
        let sessions = Rc::new(Sessions::default());
        let mut subscribers = Vec::new();
        for number in 0..5 {
            subscribers.push(open_session(&sessions, &number.to_string()).await);
        }
        sessions.push(&Update::Connected(true));
        for (index, all_applied) in [(4, false), (1, false), (0, false), (3, false), (2, true)] {
            assert!(subscribers[index].1.send(SubscriberMessage::Applied(1)));
            wait_until(|| sessions.statuses()[index].applied == 1).await;
            assert_eq!(sessions.wait_until_applied(EXPECTED_TIMEOUT).await, all_applied, "after {index}");
        }
    });
}

#[test]
fn a_session_that_would_miss_an_update_is_ended_and_gets_no_later_one() {
    run_local(async {
        let sessions = Rc::new(Sessions::default());
        let (mut frames, outbox) = open_session(&sessions, "slow").await;
        // More messages than an outbox queues, pushed before any is written.
        let update_count = 1500;
        for _ in 0..update_count {
            sessions.push(&Update::Connected(true));
        }
        assert!(sessions.statuses().is_empty(), "the session has missed an update and must be ended");
        let mut last_number = 0;
        let read_to_end = async {
            while let Ok(message) = frames.next::<PublisherMessage>().await {
                if let PublisherMessage::Push { number, .. } = message {
                    assert_eq!(number, last_number + 1, "an earlier update was left out");
                    last_number = number;
                }
                assert!(outbox.send(SubscriberMessage::Ping));
            }
        };
        timeout(WAIT_TIMEOUT, read_to_end).await.expect("the session ends");
        assert!(last_number < update_count);
    });
}

#[test]
fn a_lease_request_is_granted_once_the_publisher_has_a_lease_itself() {
    run_local(async {
        let sessions = Rc::new(Sessions::default());
        let (mut frames, outbox) = open_session(&sessions, "early").await;
        assert!(outbox.send(SubscriberMessage::RenewLease { sent_at: 7 }));
        // Messages of a connection are handled in order: once the status has the counters, the lease request has been
        // handled.
        assert!(outbox.send(SubscriberMessage::Counters(vec![Counter { name: "marker".into(), value: 1 }])));
        wait_until(|| sessions.statuses().iter().any(|status| !status.counters.is_empty())).await;
        sessions.set_own_lease_end(Instant::now() + WAIT_TIMEOUT);
        // The subscriber sends no second request. Each wait ends, since the publisher sends pings.
        for _ in 0..3 {
            match timeout(WAIT_TIMEOUT, frames.next::<PublisherMessage>())
                .await
                .expect("a message in time")
                .expect("a message")
            {
                PublisherMessage::LeaseGranted { sent_at, duration: duration_ms } => {
                    assert!(sent_at == 7 && duration_ms > 0, "{sent_at} {duration_ms}");
                    return;
                }
                other => assert_eq!(other, PublisherMessage::Ping),
            }
        }
        panic!("the lease request was not granted");
    });
}
