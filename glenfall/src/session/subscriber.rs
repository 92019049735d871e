//! The lower side of a session: takes what is pushed, acknowledges it, and asks for its lease to be renewed.

use std::time::Duration;

use glenfall_plane::invariant::Invariant;
use glenfall_plane::lease::VOTER_LEASE;
use glenfall_plane::messages::{Down, Up};
use glenfall_plane::Millis;
use tokio::sync::Notify;
use tokio::time::{interval, sleep, MissedTickBehavior};

use crate::session::link::{Frames, Outbox, PING};

/// How often counters go up: they are for people to look at.
const REPORT: Duration = Duration::from_secs(5);

/// Sends counters for as long as the session takes them.
pub async fn send_reports(outbox: &Outbox<Up>, report: impl Fn() -> Vec<(String, u64)>) {
    loop {
        sleep(REPORT).await;
        if !outbox.send(Up::Report(report())) {
            return;
        }
    }
}

/// Says hello, hands each change and grant to `take`, and tells that a change is applied.
/// `now` is the clock by which it holds its lease. Returns when the session is lost, the other side leaves, or `take` says
/// that what came can't be built on: it begins anew then.
pub async fn follow(
    mut frames: Frames,
    outbox: Outbox<Up>,
    hello: impl Fn() -> Up,
    now: impl Fn() -> Millis,
    changed: &Notify,
    mut take: impl AsyncFnMut(Down) -> bool,
) {
    if !outbox.send(hello()) {
        return;
    }
    let mut ping = interval(PING);
    ping.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last = 0;
    loop {
        tokio::select! {
            down = frames.next_in_time::<Down>() => {
                let Ok(down) = down else { return };
                let number = match &down {
                    Down::Push { number, .. } => Some(*number),
                    Down::Leaving => return,
                    _ => None,
                };
                if let Some(number) = number {
                    Invariant::PushesInOrder.check(number == last + 1, || format!("{number} after {last}"));
                    last = number;
                }
                if let Down::Granted { sent, lasts } = down {
                    // It may answer a request of a while ago; what is left of the lease counts.
                    let left = sent.saturating_add(lasts).saturating_sub(now());
                    Invariant::LeaseIsBounded.check(left <= VOTER_LEASE, || format!("{left} ms left"));
                }
                if !matches!(down, Down::Ping) && !take(down).await {
                    return;
                }
                if number.is_some_and(|number| !outbox.send(Up::Applied(number))) {
                    return;
                }
            }
            () = changed.notified() => {
                if !outbox.send(hello()) {
                    return;
                }
            }
            _ = ping.tick() => {
                if !outbox.send(Up::Renew { sent: now() }) {
                    return;
                }
            }
        }
    }
}
