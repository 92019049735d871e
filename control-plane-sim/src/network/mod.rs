//! The simulated network: a link between any two machines, with a channel of messages in each direction. Links break
//! and reconnect; partitions block them in both directions or one.
//!
//! Each channel draws from a random stream of its own, so that an event on one link changes nothing on the others.

mod channel;

use std::ops::Range;

use glenfall_control_plane::chain::Message;
use glenfall_control_plane::Millis;
use rand::Rng;

use channel::{Channel, MAX_NOTIFICATION_DELAY};

/// Time from the beginning of a fault until an end closes the link because it receives nothing. It is shorter than the
/// read timeout of a connection by the time that has already passed since the last message.
const READ_TIMEOUT: Range<Millis> = 1000..1500;
/// A link that can connect does so with a probability of one in this many at each step.
const STEPS_PER_CONNECT: u32 = 5;
/// An end whose read timeout has begun to expire closes the link with a probability of one in this many at each step.
const STEPS_PER_TIMEOUT: u32 = 25;

/// A link between two machines.
#[derive(Clone, Default)]
struct Link {
    up: bool,
    /// The number of the current connection, or of the last one.
    connection: u64,
    /// No connection is made before this time.
    partitioned_until: Millis,
}

/// A notification to a machine that the link to a peer is up, or lost.
#[derive(Clone, Copy)]
pub(crate) struct LinkNotification {
    due_at: Millis,
    machine: u8,
    pub(crate) peer: u8,
    pub(crate) up: bool,
}

/// How the loss of a link affects its end at one machine.
#[derive(Clone, Copy)]
struct LinkEndLoss {
    machine: u8,
    /// The time until the machine is notified of the loss.
    notified_after: Millis,
    /// Whether the messages in flight to the machine still arrive.
    delivers_in_flight: bool,
}

/// The state of a machine that its links depend on.
#[derive(Clone, Copy)]
pub(crate) struct Endpoint {
    pub(crate) running: bool,
    pub(crate) paused_since: Option<Millis>,
}

/// The machine at one end of a link, and its state.
#[derive(Clone, Copy)]
struct LinkEnd {
    machine: u8,
    endpoint: Endpoint,
}

/// All links between the machines of a cluster.
pub(crate) struct Network {
    nodes: u8,
    /// Indexed by sender and receiver, see [`Network::pair_index`].
    channels: Vec<Channel>,
    /// Indexed by the lower and the higher machine number, see [`Network::pair_index`].
    links: Vec<Link>,
    notifications: Vec<LinkNotification>,
}

impl Network {
    pub(crate) fn new(seed: u64, nodes: u8) -> Network {
        let pairs = (u64::from(nodes) + 1).pow(2);
        Network {
            nodes,
            channels: (0..pairs).map(|index| Channel::new(seed, index)).collect(),
            links: vec![Link::default(); pairs as usize],
            notifications: Vec::new(),
        }
    }

    fn pair_index(&self, a: u8, b: u8) -> usize {
        usize::from(a) * (usize::from(self.nodes) + 1) + usize::from(b)
    }

    fn channel(&mut self, from: u8, to: u8) -> &mut Channel {
        let index = self.pair_index(from, to);
        &mut self.channels[index]
    }

    fn link(&mut self, a: u8, b: u8) -> &mut Link {
        let index = self.pair_index(a.min(b), a.max(b));
        &mut self.links[index]
    }

    fn peers(&self, machine: u8) -> impl Iterator<Item = u8> {
        (1..=self.nodes).filter(move |peer| *peer != machine)
    }

    // ---- Messages ----

    /// Sends a message. Drops it if there is no link between the machines or the link is down.
    pub(crate) fn send(&mut self, now: Millis, from: u8, to: u8, message: Message) {
        if from == to || to == 0 || to > self.nodes || !self.link(from, to).up {
            return;
        }
        let connection = self.link(from, to).connection;
        self.channel(from, to).send(now, connection, message);
    }

    /// Returns the next message that has arrived by now.
    pub(crate) fn receive(&mut self, now: Millis, from: u8, to: u8) -> Option<Message> {
        self.channel(from, to).receive(now)
    }

    /// Returns all messages in flight.
    pub(crate) fn messages(&self) -> impl Iterator<Item = &Message> {
        self.channels.iter().flat_map(Channel::messages)
    }

    // ---- Notifications ----

    pub(crate) fn has_notification(&self, machine: u8) -> bool {
        self.notifications.iter().any(|notification| notification.machine == machine)
    }

    /// Returns the next notification that is due at a machine. A notification of a lost link closes the machine's end.
    pub(crate) fn next_notification(&mut self, now: Millis, machine: u8) -> Option<LinkNotification> {
        let is_due =
            |notification: &LinkNotification| notification.machine == machine && notification.due_at <= now;
        let index = self.notifications.iter().position(is_due)?;
        let notification = self.notifications.remove(index);
        if !notification.up {
            self.channel(notification.peer, machine).close();
        }
        Some(notification)
    }

    // ---- Lost links ----

    fn break_link(&mut self, now: Millis, ends: [LinkEndLoss; 2]) {
        let [first, second] = ends;
        if !std::mem::take(&mut self.link(first.machine, second.machine).up) {
            return;
        }
        self.break_end(now, first, second.machine);
        self.break_end(now, second, first.machine);
    }

    fn break_end(&mut self, now: Millis, end: LinkEndLoss, peer: u8) {
        let LinkEndLoss { machine, notified_after, delivers_in_flight } = end;
        if !delivers_in_flight {
            self.channel(peer, machine).drop_messages();
        }
        // The machine is notified that the link is up before it is notified of the loss.
        let earlier = self.notifications.iter().filter(|n| n.machine == machine && n.peer == peer);
        let earliest = earlier.map(|notification| notification.due_at).max().unwrap_or(0);
        let due_at = (now + notified_after).max(earliest);
        self.notifications.push(LinkNotification { due_at, machine, peer, up: false });
    }

    /// Resets a connection; the messages in flight on it are lost.
    pub(crate) fn reset(&mut self, now: Millis, a: u8, b: u8) {
        let ends = [(a, b), (b, a)].map(|(machine, peer)| {
            let notified_after = self.channel(machine, peer).notification_delay();
            LinkEndLoss { machine, notified_after, delivers_in_flight: false }
        });
        self.break_link(now, ends);
    }

    /// Partitions two machines in both directions.
    pub(crate) fn partition(&mut self, now: Millis, a: u8, b: u8, duration: Millis) {
        self.link(a, b).partitioned_until = now + duration;
        let ends = [(a, b), (b, a)].map(|(machine, peer)| {
            let notified_after = self.channel(machine, peer).rng.random_range(READ_TIMEOUT);
            LinkEndLoss { machine, notified_after, delivers_in_flight: false }
        });
        // If the partition ends before any read timeout, the connection survives and lost packets are retransmitted.
        if duration < READ_TIMEOUT.start {
            self.block(now, a, b, duration);
            self.block(now, b, a, duration);
            return;
        }
        self.break_link(now, ends);
    }

    /// Blocks everything that one machine sends to another; the opposite direction still works.
    pub(crate) fn block(&mut self, now: Millis, from: u8, to: u8, duration: Millis) {
        self.channel(from, to).block(now, duration);
    }

    /// Adds `extra_delay` to each message that one machine sends to another before `until`.
    pub(crate) fn delay(&mut self, from: u8, to: u8, extra_delay: Millis, until: Millis) {
        self.channel(from, to).delay(extra_delay, until);
    }

    /// Ends a process: messages that it has sent still arrive, and the operating system notifies its peers.
    pub(crate) fn kill(&mut self, now: Millis, machine: u8) {
        for peer in self.peers(machine) {
            let notified_after = self.channel(machine, peer).notification_delay();
            let own = LinkEndLoss { machine, notified_after: 0, delivers_in_flight: false };
            self.break_link(
                now,
                [own, LinkEndLoss { machine: peer, notified_after, delivers_in_flight: true }],
            );
        }
        self.close_ends(machine);
    }

    /// Cuts the power of a machine: its peers detect the loss by their read timeouts.
    pub(crate) fn power_off(&mut self, now: Millis, machine: u8) {
        for peer in self.peers(machine) {
            let notified_after = self.channel(machine, peer).rng.random_range(READ_TIMEOUT);
            let own = LinkEndLoss { machine, notified_after: 0, delivers_in_flight: false };
            self.break_link(
                now,
                [own, LinkEndLoss { machine: peer, notified_after, delivers_in_flight: false }],
            );
        }
        self.close_ends(machine);
    }

    fn close_ends(&mut self, machine: u8) {
        self.notifications.retain(|notification| notification.machine != machine);
        for peer in self.peers(machine) {
            self.channel(peer, machine).close();
        }
    }

    /// Starts a machine. It resets connections of its earlier process, so that peers are notified of their loss soon.
    pub(crate) fn start(&mut self, now: Millis, machine: u8) {
        for notification in self.notifications.iter_mut().filter(|n| n.peer == machine) {
            notification.due_at = notification.due_at.min(now + 2 * MAX_NOTIFICATION_DELAY);
        }
    }

    /// Ends all partitions and delays.
    pub(crate) fn heal(&mut self, now: Millis) {
        for link in &mut self.links {
            link.partitioned_until = 0;
        }
        for channel in &mut self.channels {
            channel.heal(now);
        }
    }

    // ---- Time ----

    /// Breaks links whose read timeout expires, and connects others if both ends run and no partition separates them.
    pub(crate) fn tick(&mut self, now: Millis, endpoints: &[Endpoint]) {
        let end = |machine: u8| LinkEnd { machine, endpoint: endpoints[usize::from(machine) - 1] };
        for a in 1..=self.nodes {
            for b in a + 1..=self.nodes {
                let ends = [end(a), end(b)];
                if self.link(a, b).up {
                    self.expire_read_timeouts(now, ends);
                } else if self.can_connect(now, ends)
                    && self.channel(a, b).rng.random_ratio(1, STEPS_PER_CONNECT)
                {
                    self.connect(now, a, b);
                }
            }
        }
    }

    fn can_connect(&mut self, now: Millis, ends: [LinkEnd; 2]) -> bool {
        let [a, b] = ends.map(|end| end.machine);
        let is_running = |end: &LinkEnd| end.endpoint.running && end.endpoint.paused_since.is_none();
        let is_pending = |n: &LinkNotification| [(n.machine, n.peer), (n.peer, n.machine)].contains(&(a, b));
        ends.iter().all(is_running)
            && !self.channel(a, b).is_blocked(now)
            && !self.channel(b, a).is_blocked(now)
            && !self.notifications.iter().any(is_pending)
            && self.link(a, b).partitioned_until <= now
    }

    fn connect(&mut self, now: Millis, a: u8, b: u8) {
        let link = self.link(a, b);
        link.up = true;
        link.connection += 1;
        let connection = link.connection;
        for (machine, peer) in [(a, b), (b, a)] {
            let channel = self.channel(peer, machine);
            channel.open(connection);
            let due_at = now + channel.notification_delay();
            self.notifications.push(LinkNotification { due_at, machine, peer, up: true });
        }
    }

    /// Closes a link if one of its ends has received nothing for longer than the read timeout.
    fn expire_read_timeouts(&mut self, now: Millis, ends: [LinkEnd; 2]) {
        let [first, second] = ends;
        for (own, peer) in [(first, second), (second, first)] {
            let channel = self.channel(peer.machine, own.machine);
            let no_messages_since = peer.endpoint.paused_since.or(channel.blocked_since(now));
            let expires = no_messages_since.is_some_and(|since| now >= since + READ_TIMEOUT.start);
            if expires && channel.rng.random_ratio(1, STEPS_PER_TIMEOUT) {
                self.close_link(now, own.machine, peer.machine);
                return;
            }
        }
    }

    /// Closes a connection at one machine; the other end is notified, and a paused process handles that when it
    /// resumes.
    fn close_link(&mut self, now: Millis, machine: u8, peer: u8) {
        let notified_after = self.channel(machine, peer).notification_delay();
        let own = LinkEndLoss { machine, notified_after: 0, delivers_in_flight: true };
        self.break_link(now, [own, LinkEndLoss { machine: peer, notified_after, delivers_in_flight: true }]);
    }
}
