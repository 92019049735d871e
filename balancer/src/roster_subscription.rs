//! The node's subscription to the server list, for [`Membership::OnRequest`](crate::Membership::OnRequest).

use crate::interface::Seconds;
use crate::node_config::NodeConfig;

/// Mean delay before a failed subscribe call is first retried; doubles with each failure, at most
/// [`MAX_BACKOFF_DOUBLINGS`] times.
const RETRY_BACKOFF: Seconds = 0.2;
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// Jitter of the delay: it is multiplied by a random factor from this to 1 more than this.
const MIN_BACKOFF_SHARE: f64 = 0.5;
/// In a large deployment, subscribe calls are spread over this much time for each node. Discovery handles
/// them one at a time, in about 52 ms each, including those that have failed meanwhile. When 100 nodes
/// called at once, and again after each failure, discovery fell so far behind that 62 of them never got a
/// list.
const SUBSCRIBE_SPREAD_PER_NODE: Seconds = 0.07;

/// Whether the node is subscribed, and when it makes its next subscribe call.
#[derive(Default)]
pub struct RosterSubscription {
    is_subscribed: bool,
    /// When the call in flight was made; `None` if there is none.
    call_started: Option<Seconds>,
    next_call: Seconds,
    failures: u32,
}

impl RosterSubscription {
    /// Sets the time of the first subscribe call.
    pub fn schedule_first_subscribe(&mut self, at: Seconds) {
        self.next_call = at;
    }

    /// Whether the node must make a subscribe call now.
    pub fn subscribe_is_due(&self, now: Seconds, config: &NodeConfig) -> bool {
        // A call without an answer counts as failed well before `max_subscription_gap` has passed.
        let call_timeout = config.settings().guarantees.max_subscription_gap * 0.5;
        let is_due = match self.call_started {
            Some(at) => now - at > call_timeout,
            None => now >= self.next_call,
        };
        is_due && !self.is_subscribed
    }

    /// Records that the node makes a subscribe call.
    pub fn record_subscribe(&mut self, now: Seconds) {
        self.call_started = Some(now);
    }

    /// Records that a call failed or the subscription broke. `random` is a random number from 0 to 1 for the
    /// jitter: calls that failed at the same time must not be retried at the same time.
    pub fn record_failure(&mut self, now: Seconds, random: f64, config: &NodeConfig) {
        let doublings = self.failures.min(MAX_BACKOFF_DOUBLINGS);
        let backoff = (RETRY_BACKOFF * f64::from(1u32 << doublings)).max(subscribe_spread_time(config));
        *self = RosterSubscription {
            next_call: now + backoff * (MIN_BACKOFF_SHARE + random),
            failures: self.failures + 1,
            ..RosterSubscription::default()
        };
    }

    /// Records that a complete or partial list has arrived from discovery.
    pub fn record_update(&mut self) {
        self.is_subscribed |= self.call_started.take().is_some();
        self.failures = 0;
    }
}

/// The time over which the subscribe calls of all nodes are spread; 0 in a small deployment.
pub fn subscribe_spread_time(config: &NodeConfig) -> Seconds {
    if config.is_small_deployment() {
        0.0
    } else {
        (SUBSCRIBE_SPREAD_PER_NODE * config.nodes())
            .min(config.settings().guarantees.max_subscription_gap / 2.0)
    }
}
