//! The node's subscription to the list of servers, where it must be requested.

use crate::interface::Seconds;
use crate::node_config::NodeConfig;

/// First wait, about, before a failed call for the list is repeated; doubled [`MAX_BACKOFF_DOUBLINGS`] times
/// at most.
const RETRY_BACKOFF: Seconds = 0.2;
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// Jitter of the wait: from this share of it up to once more.
const MIN_BACKOFF_SHARE: f64 = 0.5;
/// In a large deployment, calls for the list are distributed over this much time for each node: discovery
/// works through them in turn, at some 52 ms each, those included that have failed meanwhile. 100 nodes that
/// called at once, and again at each failure, delayed it so far that 62 of them never had a list.
const SUBSCRIBE_SPREAD_PER_NODE: Seconds = 0.07;

/// Whether the node is subscribed, and when it calls next.
#[derive(Default)]
pub struct RosterSubscription {
    is_subscribed: bool,
    /// When the call in flight was made.
    call_started: Option<Seconds>,
    next_call: Seconds,
    failures: u32,
}

impl RosterSubscription {
    /// Sets the time before which no call is made.
    pub fn schedule_first_subscribe(&mut self, at: Seconds) {
        self.next_call = at;
    }

    /// Whether the node is to call for the list now.
    pub fn subscribe_is_due(&self, now: Seconds, config: &NodeConfig) -> bool {
        // A call that is never answered counts as failed before the longest time without one is over.
        let time_out = config.settings().guarantees.max_subscription_gap * 0.5;
        let is_due = match self.call_started {
            Some(at) => now - at > time_out,
            None => now >= self.next_call,
        };
        is_due && !self.is_subscribed
    }

    /// Notes that the node calls for the list.
    pub fn record_subscribe(&mut self, now: Seconds) {
        self.call_started = Some(now);
    }

    /// Notes that a call failed or the subscription broke. `random` is drawn from 0 to 1: calls that failed
    /// together must not be repeated together.
    pub fn record_failure(&mut self, now: Seconds, random: f64, config: &NodeConfig) {
        let doublings = self.failures.min(MAX_BACKOFF_DOUBLINGS);
        let backoff = (RETRY_BACKOFF * f64::from(1u32 << doublings)).max(subscribe_spread_time(config));
        *self = RosterSubscription {
            next_call: now + backoff * (MIN_BACKOFF_SHARE + random),
            failures: self.failures + 1,
            ..RosterSubscription::default()
        };
    }

    /// Notes that a list or a part of one has arrived from discovery.
    pub fn record_update(&mut self) {
        self.is_subscribed |= self.call_started.take().is_some();
        self.failures = 0;
    }
}

/// The time over which all nodes together distribute their calls for the list.
pub fn subscribe_spread_time(config: &NodeConfig) -> Seconds {
    if config.is_small_deployment() {
        0.0
    } else {
        (SUBSCRIBE_SPREAD_PER_NODE * config.nodes())
            .min(config.settings().guarantees.max_subscription_gap / 2.0)
    }
}
