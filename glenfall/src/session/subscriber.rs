//! The subscriber's side of a session: takes what is pushed, acknowledges it, and asks for its lease to be renewed.

use std::time::Duration;

use glenfall_control_plane::invariant::Invariant;
use glenfall_control_plane::lease::VOTER_LEASE;
use glenfall_control_plane::messages::{Counter, PublisherMessage, SubscriberMessage};
use glenfall_control_plane::Millis;
use tokio::sync::Notify;
use tokio::time::{interval, sleep, MissedTickBehavior};

use crate::session::link::{FrameReader, Outbox, KEEPALIVE_INTERVAL};

/// How often counters are sent: they are for people to look at.
const COUNTERS_INTERVAL: Duration = Duration::from_secs(5);

/// Sends counters for as long as the session accepts them.
pub async fn send_reports(outbox: &Outbox<SubscriberMessage>, report: impl Fn() -> Vec<(String, u64)>) {
    loop {
        sleep(COUNTERS_INTERVAL).await;
        let counters = report().into_iter().map(|(name, value)| Counter { name, value }).collect();
        if !outbox.send(SubscriberMessage::Counters(counters)) {
            return;
        }
    }
}

/// Introduces itself by `hello`, now and at each notification of `changed`; hands each message to `take`, and acknowledges
/// an update once it is applied. `now` is the clock by which the subscriber holds its lease.
///
/// Returns when the session is lost, the publisher is draining, or `take` returns false as a message does not build on what
/// is known: the subscriber then has to open a new session.
pub async fn follow(
    mut frames: FrameReader,
    outbox: Outbox<SubscriberMessage>,
    hello: impl Fn() -> SubscriberMessage,
    now: impl Fn() -> Millis,
    changed: &Notify,
    mut take: impl AsyncFnMut(PublisherMessage) -> bool,
) {
    if !outbox.send(hello()) {
        return;
    }
    let mut renewal = interval(KEEPALIVE_INTERVAL);
    renewal.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut checks = MessageChecks::default();
    loop {
        let is_up = tokio::select! {
            received = frames.next_or_timeout::<PublisherMessage>() => {
                let Ok(message) = received else { return };
                if message == PublisherMessage::Draining {
                    return;
                }
                checks.check(&message, now());
                let acknowledgement = acknowledgement_of(&message);
                let is_applied = message == PublisherMessage::Ping || take(message).await;
                is_applied && acknowledgement.is_none_or(|message| outbox.send(message))
            }
            () = changed.notified() => outbox.send(hello()),
            _ = renewal.tick() => outbox.send(SubscriberMessage::RenewLease { sent_at: now() }),
        };
        if !is_up {
            return;
        }
    }
}

/// What a message has to be answered with once it is applied, if anything.
fn acknowledgement_of(message: &PublisherMessage) -> Option<SubscriberMessage> {
    match message {
        PublisherMessage::Push { number, .. } => Some(SubscriberMessage::Applied(*number)),
        _ => None,
    }
}

/// Checks the invariants of the messages of one session.
#[derive(Default)]
struct MessageChecks {
    last_number: u64,
}

impl MessageChecks {
    fn check(&mut self, message: &PublisherMessage, now: Millis) {
        match message {
            PublisherMessage::Push { number, .. } => self.check_number(*number),
            PublisherMessage::LeaseGranted { sent_at, duration } => check_lease(*sent_at, *duration, now),
            _ => {}
        }
    }

    fn check_number(&mut self, number: u64) {
        let last = self.last_number;
        Invariant::PushesInOrder.check(number == last + 1, || format!("{number} after {last}"));
        self.last_number = number;
    }
}

fn check_lease(sent_at: Millis, duration: Millis, now: Millis) {
    // The grant may answer a request of a while ago: what counts is the remaining time.
    let remaining = sent_at.saturating_add(duration).saturating_sub(now);
    Invariant::LeaseIsBounded.check(remaining <= VOTER_LEASE, || format!("{remaining} ms left"));
}
