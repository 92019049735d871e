//! The subscriber's side of a session: receives updates, acknowledges them, and requests renewals of its lease.

use std::time::Duration;

use glenfall_control_plane::invariant::Invariant;
use glenfall_control_plane::lease::VOTER_LEASE_DURATION;
use glenfall_control_plane::messages::{Counter, PublisherMessage, SubscriberMessage};
use glenfall_control_plane::Millis;
use tokio::sync::Notify;
use tokio::time::{interval, sleep, MissedTickBehavior};

use crate::session::link::{FrameReader, Outbox, KEEPALIVE_INTERVAL};

/// How often counters are sent. They are only shown to operators.
const COUNTERS_INTERVAL: Duration = Duration::from_secs(5);

/// Sends the counters that `report` returns at regular intervals, until the session is lost.
pub async fn send_counters(outbox: &Outbox<SubscriberMessage>, report: impl Fn() -> Vec<(String, u64)>) {
    loop {
        sleep(COUNTERS_INTERVAL).await;
        let counters = report().into_iter().map(|(name, value)| Counter { name, value }).collect();
        if !outbox.send(SubscriberMessage::Counters(counters)) {
            return;
        }
    }
}

/// Runs the subscriber's side of a session. Sends the message that `hello` returns, now and at each notification of
/// `changed`; passes each received message to `handle`, and acknowledges an update once it is applied. `now` reads the
/// clock on which the subscriber's lease is measured.
///
/// Returns when the session is lost, the publisher is draining, or `handle` returns false because an update does not build
/// on the known state. The subscriber must then open a new session.
pub async fn run_session(
    mut frames: FrameReader,
    outbox: Outbox<SubscriberMessage>,
    hello: impl Fn() -> SubscriberMessage,
    now: impl Fn() -> Millis,
    changed: &Notify,
    mut handle: impl AsyncFnMut(PublisherMessage) -> bool,
) {
    if !outbox.send(hello()) {
        return;
    }
    let mut renewal = interval(KEEPALIVE_INTERVAL);
    renewal.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut checks = MessageChecks::default();
    loop {
        let is_open = tokio::select! {
            received = frames.next_or_timeout::<PublisherMessage>() => {
                let Ok(message) = received else { return };
                if message == PublisherMessage::Draining {
                    return;
                }
                checks.check(&message, now());
                let acknowledgement = acknowledgement_of(&message);
                let is_applied = message == PublisherMessage::Ping || handle(message).await;
                is_applied && acknowledgement.is_none_or(|message| outbox.send(message))
            }
            () = changed.notified() => outbox.send(hello()),
            _ = renewal.tick() => outbox.send(SubscriberMessage::RenewLease { sent_at: now() }),
        };
        if !is_open {
            return;
        }
    }
}

/// The acknowledgement that is due once a message is applied; `None` if it needs none.
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
        Invariant::PushesInOrder
            .check(number == last + 1, || format!("update {number} received after {last}"));
        self.last_number = number;
    }
}

fn check_lease(sent_at: Millis, duration: Millis, now: Millis) {
    // The request may have been sent a while ago, so that the remaining time is checked and not the duration.
    let remaining = sent_at.saturating_add(duration).saturating_sub(now);
    Invariant::LeaseIsBounded
        .check(remaining <= VOTER_LEASE_DURATION, || format!("lease granted with {remaining} ms remaining"));
}
