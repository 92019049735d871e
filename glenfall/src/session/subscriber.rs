//! The lower side of a session: takes what is pushed, acknowledges it, and asks for its lease to be renewed.

use std::time::Duration;

use glenfall_control_plane::invariant::Invariant;
use glenfall_control_plane::lease::VOTER_LEASE;
use glenfall_control_plane::messages::{Counter, PublisherMessage, SubscriberMessage};
use glenfall_control_plane::Millis;
use tokio::sync::Notify;
use tokio::time::{interval, sleep, MissedTickBehavior};

use crate::session::link::{FrameReader, Outbox, KEEPALIVE_INTERVAL};

/// How often counters go up: they are for people to look at.
const REPORT: Duration = Duration::from_secs(5);

/// Sends counters for as long as the session takes them.
pub async fn send_reports(outbox: &Outbox<SubscriberMessage>, report: impl Fn() -> Vec<(String, u64)>) {
    loop {
        sleep(REPORT).await;
        let counters = report().into_iter().map(|(name, value)| Counter { name, value }).collect();
        if !outbox.send(SubscriberMessage::Counters(counters)) {
            return;
        }
    }
}

/// Says hello, hands each change and grant to `take`, and tells that a change is applied.
/// `now` is the clock by which it holds its lease. Returns when the session is lost, the other side leaves, or `take` says
/// that what came can't be built on: it begins anew then.
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
    let mut ping = interval(KEEPALIVE_INTERVAL);
    ping.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last = 0;
    loop {
        tokio::select! {
            down = frames.next_in_time::<PublisherMessage>() => {
                let Ok(down) = down else { return };
                let number = match &down {
                    PublisherMessage::Push { number, .. } => Some(*number),
                    PublisherMessage::Draining => return,
                    _ => None,
                };
                if let Some(number) = number {
                    Invariant::PushesInOrder.check(number == last + 1, || format!("{number} after {last}"));
                    last = number;
                }
                if let PublisherMessage::LeaseGranted { sent_at, duration: lasts } = down {
                    // It may answer a request of a while ago; what is left of the lease counts.
                    let left = sent_at.saturating_add(lasts).saturating_sub(now());
                    Invariant::LeaseIsBounded.check(left <= VOTER_LEASE, || format!("{left} ms left"));
                }
                if !matches!(down, PublisherMessage::Ping) && !take(down).await {
                    return;
                }
                if number.is_some_and(|number| !outbox.send(SubscriberMessage::Applied(number))) {
                    return;
                }
            }
            () = changed.notified() => {
                if !outbox.send(hello()) {
                    return;
                }
            }
            _ = ping.tick() => {
                if !outbox.send(SubscriberMessage::RenewLease { sent_at: now() }) {
                    return;
                }
            }
        }
    }
}
