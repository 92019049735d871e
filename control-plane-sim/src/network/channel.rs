//! One direction of a link. Messages arrive in order, each after a random delay.

use std::collections::VecDeque;
use std::ops::Range;

use glenfall_control_plane::chain::Message;
use glenfall_control_plane::Millis;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::rng;

/// Upper bound of the time until a reachable end is notified that a link is up or lost.
pub(super) const MAX_NOTIFICATION_DELAY: Millis = 20;
/// How long a message takes if no packet is lost.
const TRANSIT_DELAY: Range<Millis> = 1..12;
/// How long a message takes if its packet is lost and retransmitted.
pub(super) const RETRANSMISSION_DELAY: Millis = 200;
/// One in this many packets is lost.
const PACKETS_PER_LOSS: u32 = 50;

/// A message that has not arrived yet.
struct InFlightMessage {
    arrives_at: Millis,
    /// The number of the connection that the message was sent on.
    connection: u64,
    message: Message,
}

/// One direction of a link.
pub(super) struct Channel {
    messages: VecDeque<InFlightMessage>,
    /// Nothing arrives within this range of time. Messages sent in it arrive later, if the connection lasts.
    blocked: Range<Millis>,
    /// Messages that are sent before this time take longer by `extra_delay`.
    delayed_until: Millis,
    extra_delay: Millis,
    /// The connection that the receiver reads from; `None` once the receiver is notified that it is lost.
    open_connection: Option<u64>,
    pub(super) rng: ChaCha8Rng,
}

impl Channel {
    pub(super) fn new(seed: u64, index: u64) -> Channel {
        Channel {
            messages: VecDeque::new(),
            blocked: 0..0,
            delayed_until: 0,
            extra_delay: 0,
            open_connection: None,
            rng: rng::stream(seed, rng::FIRST_CHANNEL_STREAM + index),
        }
    }

    pub(super) fn send(&mut self, now: Millis, connection: u64, message: Message) {
        let previous = self.messages.back().map_or(0, |message| message.arrives_at);
        let lost = self.rng.random_ratio(1, PACKETS_PER_LOSS);
        let normal_delay = if lost { RETRANSMISSION_DELAY } else { self.rng.random_range(TRANSIT_DELAY) };
        let delay = if now < self.delayed_until { normal_delay + self.extra_delay } else { normal_delay };
        let blocked_until = if self.blocked.contains(&now) { self.blocked.end } else { 0 };
        let arrives_at = (now + delay).max(previous).max(blocked_until + delay);
        self.messages.push_back(InFlightMessage { arrives_at, connection, message });
    }

    /// Returns the next message that has arrived by now on the open connection.
    pub(super) fn receive(&mut self, now: Millis) -> Option<Message> {
        loop {
            let next = self.messages.pop_front_if(|message| message.arrives_at <= now)?;
            if self.open_connection == Some(next.connection) {
                return Some(next.message);
            }
        }
    }

    /// Returns the messages that have not arrived yet.
    pub(super) fn messages(&self) -> impl Iterator<Item = &Message> {
        self.messages.iter().map(|in_flight| &in_flight.message)
    }

    /// Opens a connection for reading. Messages of earlier connections are lost.
    pub(super) fn open(&mut self, connection: u64) {
        self.messages.clear();
        self.open_connection = Some(connection);
    }

    /// Closes the receiver's end: nothing is read until the next connection opens.
    pub(super) fn close(&mut self) {
        self.open_connection = None;
    }

    /// Drops the messages that have not arrived yet.
    pub(super) fn drop_messages(&mut self) {
        self.messages.clear();
    }

    /// Blocks the channel for `duration`: messages in flight arrive after that, in order.
    pub(super) fn block(&mut self, now: Millis, duration: Millis) {
        self.blocked = now..(now + duration).max(self.blocked.end);
        let (end, mut previous) = (self.blocked.end, 0);
        for message in &mut self.messages {
            previous = message.arrives_at.max(end + 1).max(previous);
            message.arrives_at = previous;
        }
    }

    pub(super) fn is_blocked(&self, now: Millis) -> bool {
        self.blocked.end > now
    }

    /// Returns since when the channel has been blocked, or `None` if it is not blocked now.
    pub(super) fn blocked_since(&self, now: Millis) -> Option<Millis> {
        self.is_blocked(now).then_some(self.blocked.start)
    }

    /// Adds `extra_delay` to each message that is sent before `until`.
    pub(super) fn delay(&mut self, extra_delay: Millis, until: Millis) {
        self.extra_delay = extra_delay;
        self.delayed_until = until;
    }

    /// Ends all faults. Blocked messages arrive within [`RETRANSMISSION_DELAY`], in order.
    pub(super) fn heal(&mut self, now: Millis) {
        self.blocked.end = self.blocked.end.min(now);
        self.delayed_until = 0;
        for message in &mut self.messages {
            message.arrives_at = message.arrives_at.min(now + RETRANSMISSION_DELAY);
        }
    }

    /// Draws the time until an end is notified that the link is up or lost.
    pub(super) fn notification_delay(&mut self) -> Millis {
        self.rng.random_range(0..MAX_NOTIFICATION_DELAY)
    }
}
