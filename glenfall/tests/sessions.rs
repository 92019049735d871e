//! Sessions over real sockets: who is behind is let go of, and nobody else.

use std::rc::Rc;
use std::time::Duration;

use glenfall::session::link::{self, FrameReader, Outbox};
use glenfall::session::publisher::{Greeting, Publisher, Reach, Sessions, SubscriberConnection};
use glenfall_control_plane::messages::{
    ConnectionOpening, Counter, PublisherMessage, SubscriberMessage, Update,
};
use tokio::net::TcpListener;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout, Instant};

/// Conditions are waited for so long, also on a busy machine.
const PATIENCE: Duration = Duration::from_mins(1);
/// Something that is waited for in vain.
const VAIN: Duration = Duration::from_millis(50);

/// A publisher that has nothing to tell at first.
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

/// A follower that says hello, and takes and acknowledges nothing by itself.
async fn follower(sessions: &Rc<Sessions>, node: &str) -> (FrameReader, Outbox<SubscriberMessage>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let std::net::SocketAddr::V4(addr) = listener.local_addr().unwrap() else { unreachable!() };
    let serving = Rc::clone(sessions);
    spawn_local(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let (read, write) = stream.into_split();
        let mut frames = FrameReader::new(read);
        frames.next::<ConnectionOpening>().await.unwrap();
        let outbox = Outbox::start(write);
        let connection = SubscriberConnection { reach: Reach::Network, frames, outbox };
        serving.serve(connection, &EmptyPublisher).await;
    });
    let (read, write) = link::open(addr, &ConnectionOpening::Session).await.unwrap();
    let outbox = Outbox::start(write);
    let standing = sessions.statuses().len();
    assert!(outbox.send(SubscriberMessage::Hello { node: node.into(), member: None }));
    until(|| sessions.statuses().len() > standing).await;
    (FrameReader::new(read), outbox)
}

async fn until(holds: impl Fn() -> bool) {
    let held = async {
        while !holds() {
            sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(PATIENCE, held).await.expect("it holds in time");
}

fn names(sessions: &Sessions) -> Vec<String> {
    sessions.statuses().into_iter().map(|seen| seen.node).collect()
}

fn local<T>(work: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, work)
}

#[test]
fn only_who_has_not_applied_what_was_waited_for_is_let_go_of() {
    local(async {
        let sessions = Rc::new(Sessions::default());
        let (_behind, _silent) = follower(&sessions, "behind").await;
        let (_frames, says) = follower(&sessions, "well").await;
        sessions.push(&Update::Connected(true));
        assert!(says.send(SubscriberMessage::Applied(1)));
        until(|| sessions.statuses().iter().any(|seen| seen.applied == 1)).await;
        assert!(!sessions.wait_until_applied(VAIN).await);
        // On its way to both when the one that is behind is let go of.
        sessions.push(&Update::Connected(true));
        sessions.end_overdue(Duration::ZERO);
        assert_eq!(names(&sessions), ["well"]);
        assert!(says.send(SubscriberMessage::Applied(2)));
        assert!(sessions.wait_until_applied(PATIENCE).await);
        sessions.end_overdue(Duration::ZERO);
        assert_eq!(names(&sessions), ["well"]);
    });
}

#[test]
fn a_wait_ends_once_all_have_applied_in_whatever_order() {
    local(async {
        let sessions = Rc::new(Sessions::default());
        let mut followers = Vec::new();
        for number in 0..5 {
            followers.push(follower(&sessions, &number.to_string()).await);
        }
        sessions.push(&Update::Connected(true));
        for (at, done) in [(4, false), (1, false), (0, false), (3, false), (2, true)] {
            assert!(followers[at].1.send(SubscriberMessage::Applied(1)));
            until(|| sessions.statuses()[at].applied == 1).await;
            assert_eq!(sessions.wait_until_applied(VAIN).await, done, "after {at}");
        }
    });
}

#[test]
fn whoever_would_miss_a_push_is_let_go_of_and_told_nothing_after_it() {
    local(async {
        let sessions = Rc::new(Sessions::default());
        let (mut frames, says) = follower(&sessions, "slow").await;
        // More than the queue of a link holds, before any of it is written.
        let most = 1500;
        for _ in 0..most {
            sessions.push(&Update::Connected(true));
        }
        assert!(sessions.statuses().is_empty(), "it has missed a push and still stands");
        let mut last = 0;
        let ended = async {
            while let Ok(down) = frames.next::<PublisherMessage>().await {
                if let PublisherMessage::Push { number, .. } = down {
                    assert_eq!(number, last + 1, "a push was left out before it");
                    last = number;
                }
                assert!(says.send(SubscriberMessage::Ping));
            }
        };
        timeout(PATIENCE, ended).await.expect("the session ends");
        assert!(last < most);
    });
}

#[test]
fn a_lease_that_could_not_be_granted_is_granted_as_soon_as_the_granter_has_one() {
    local(async {
        let sessions = Rc::new(Sessions::default());
        let (mut frames, says) = follower(&sessions, "early").await;
        assert!(says.send(SubscriberMessage::RenewLease { sent_at: 7 }));
        // What follows on the same connection has been taken after it.
        assert!(says.send(SubscriberMessage::Counters(vec![Counter { name: "marker".into(), value: 1 }])));
        until(|| sessions.statuses().iter().any(|seen| !seen.counters.is_empty())).await;
        sessions.set_own_lease_end(Instant::now() + PATIENCE);
        // It asks no second time. Something is said on a link again and again, so that these waits end.
        for _ in 0..3 {
            match timeout(PATIENCE, frames.next::<PublisherMessage>())
                .await
                .expect("it goes on")
                .expect("a message")
            {
                PublisherMessage::LeaseGranted { sent_at, duration: lasts } => {
                    assert!(sent_at == 7 && lasts > 0, "{sent_at} {lasts}");
                    return;
                }
                other => assert_eq!(other, PublisherMessage::Ping),
            }
        }
        panic!("nothing is granted before it asks again");
    });
}
