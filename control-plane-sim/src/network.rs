//! The simulated network: a link between any two machines, with a channel of messages in each direction. Links delay
//! messages, break and come up again; partitions silence them in both directions or one.
//!
//! Each channel draws from a random stream of its own, so that an event on one link changes nothing on the others.

use std::collections::VecDeque;
use std::ops::Range;

use glenfall_control_plane::chain::Message;
use glenfall_control_plane::Millis;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::rng;

/// A link on which nothing comes is given up by its end after so long, less what has passed since the last message.
const SILENCE: Range<Millis> = 1000..1500;
/// An end that can be notified of a lost link hears of it within so long.
pub(crate) const NOTIFIED_WITHIN: Millis = 20;
/// How long a message is under way, in general and where its packet is lost and sent again.
const DELAY: Range<Millis> = 1..12;
const RETRANSMITTED: Millis = 200;
/// One in so many packets is lost.
const PACKETS_FOR_ONE_LOST: u32 = 50;

/// One direction of a link.
struct Channel {
    /// Messages in order: when each arrives, and the connection that it was sent on.
    messages: VecDeque<(Millis, u64, Message)>,
    /// Nothing arrives in this time; what was sent comes after it, if the connection lasts.
    silent: Range<Millis>,
    /// What is sent before then takes so much longer.
    delayed_until: Millis,
    delayed_by: Millis,
    /// The connection that the receiver hears on, until it is notified that it is lost.
    open: Option<u64>,
    rng: ChaCha8Rng,
}

impl Channel {
    fn send(&mut self, now: Millis, connection: u64, message: Message) {
        let previous = self.messages.back().map_or(0, |(at, ..)| *at);
        let lost = self.rng.random_ratio(1, PACKETS_FOR_ONE_LOST);
        let usual = if lost { RETRANSMITTED } else { self.rng.random_range(DELAY) };
        let delay = if now < self.delayed_until { usual + self.delayed_by } else { usual };
        let silent_until = if self.silent.contains(&now) { self.silent.end } else { 0 };
        let at = (now + delay).max(previous).max(silent_until + delay);
        self.messages.push_back((at, connection, message));
    }

    /// The next message that has arrived by now on the connection that is open.
    fn receive(&mut self, now: Millis) -> Option<Message> {
        loop {
            let (_, connection, message) = self.messages.pop_front_if(|(at, ..)| *at <= now)?;
            if self.open == Some(connection) {
                return Some(message);
            }
        }
    }

    fn silence(&mut self, now: Millis, lasts: Millis) {
        self.silent = now..(now + lasts).max(self.silent.end);
        let (end, mut previous) = (self.silent.end, 0);
        for (at, ..) in &mut self.messages {
            previous = (*at).max(end + 1).max(previous);
            *at = previous;
        }
    }

    fn notification_delay(&mut self) -> Millis {
        self.rng.random_range(0..NOTIFIED_WITHIN)
    }
}

/// A link, its present or last connection, and until when no other comes up.
#[derive(Clone, Default)]
struct Link {
    up: bool,
    connection: u64,
    partitioned_until: Millis,
}

/// A machine is notified that the link to a peer has come up, or is lost.
#[derive(Clone, Copy)]
pub(crate) struct Notice {
    at: Millis,
    on: u8,
    pub(crate) peer: u8,
    pub(crate) up: bool,
}

/// How the end of a link at one machine learns that the link is lost.
#[derive(Clone, Copy)]
struct End {
    on: u8,
    notified_after: Millis,
    /// What is under way to it still arrives.
    delivers: bool,
}

/// What the network has to know of a machine.
#[derive(Clone, Copy)]
pub(crate) struct Endpoint {
    pub(crate) running: bool,
    pub(crate) paused_since: Option<Millis>,
}

/// All links between the machines of a cluster.
pub(crate) struct Network {
    nodes: u8,
    channels: Vec<Channel>,
    links: Vec<Link>,
    notices: Vec<Notice>,
}

impl Network {
    pub(crate) fn new(seed: u64, nodes: u8) -> Network {
        let places = (u64::from(nodes) + 1).pow(2);
        let channel = |stream| Channel {
            messages: VecDeque::new(),
            silent: 0..0,
            delayed_until: 0,
            delayed_by: 0,
            open: None,
            rng: rng::stream(seed, rng::CHANNELS + stream),
        };
        Network {
            nodes,
            channels: (0..places).map(channel).collect(),
            links: vec![Link::default(); places as usize],
            notices: Vec::new(),
        }
    }

    fn place(&self, a: u8, b: u8) -> usize {
        usize::from(a) * (usize::from(self.nodes) + 1) + usize::from(b)
    }

    fn channel(&mut self, from: u8, to: u8) -> &mut Channel {
        let place = self.place(from, to);
        &mut self.channels[place]
    }

    fn link(&mut self, a: u8, b: u8) -> &mut Link {
        let place = self.place(a.min(b), a.max(b));
        &mut self.links[place]
    }

    fn peers(&self, n: u8) -> impl Iterator<Item = u8> {
        (1..=self.nodes).filter(move |peer| *peer != n)
    }

    // ---- Messages ----

    /// Sends a message, if there is such a link and it is up.
    pub(crate) fn send(&mut self, now: Millis, from: u8, to: u8, message: Message) {
        if from == to || to == 0 || to > self.nodes || !self.link(from, to).up {
            return;
        }
        let connection = self.link(from, to).connection;
        self.channel(from, to).send(now, connection, message);
    }

    /// The next message that has arrived by now.
    pub(crate) fn receive(&mut self, now: Millis, from: u8, to: u8) -> Option<Message> {
        self.channel(from, to).receive(now)
    }

    /// All messages under way.
    pub(crate) fn messages(&self) -> impl Iterator<Item = &Message> {
        self.channels.iter().flat_map(|channel| &channel.messages).map(|(_, _, message)| message)
    }

    // ---- Notices ----

    pub(crate) fn has_notice(&self, on: u8) -> bool {
        self.notices.iter().any(|notice| notice.on == on)
    }

    /// The next notice that is due at a machine. One of a lost link closes its end.
    pub(crate) fn next_notice(&mut self, now: Millis, on: u8) -> Option<Notice> {
        let due = self.notices.iter().position(|notice| notice.on == on && notice.at <= now)?;
        let notice = self.notices.remove(due);
        if !notice.up {
            self.channel(notice.peer, on).open = None;
        }
        Some(notice)
    }

    // ---- Lost links ----

    fn break_link(&mut self, now: Millis, ends: [End; 2]) {
        let [first, second] = ends;
        if !std::mem::take(&mut self.link(first.on, second.on).up) {
            return;
        }
        for (End { on, notified_after, delivers }, peer) in [(first, second.on), (second, first.on)] {
            if !delivers {
                self.channel(peer, on).messages.clear();
            }
            // Not before it was notified that the link is up.
            let earlier = self.notices.iter().filter(|notice| notice.on == on && notice.peer == peer);
            let earliest = earlier.map(|notice| notice.at).max().unwrap_or(0);
            let at = (now + notified_after).max(earliest);
            self.notices.push(Notice { at, on, peer, up: false });
        }
    }

    /// A connection is reset, with what is under way on it.
    pub(crate) fn reset(&mut self, now: Millis, a: u8, b: u8) {
        let ends = [(a, b), (b, a)].map(|(on, peer)| {
            let notified_after = self.channel(on, peer).notification_delay();
            End { on, notified_after, delivers: false }
        });
        self.break_link(now, ends);
    }

    /// Two machines hear nothing of each other for so long.
    pub(crate) fn partition(&mut self, now: Millis, a: u8, b: u8, lasts: Millis) {
        self.link(a, b).partitioned_until = now + lasts;
        let ends = [(a, b), (b, a)].map(|(on, peer)| {
            let notified_after = self.channel(on, peer).rng.random_range(SILENCE);
            End { on, notified_after, delivers: false }
        });
        // Where it ends before anybody has noticed, packets that were lost are sent again.
        if lasts < SILENCE.start {
            self.silence(now, a, b, lasts);
            return self.silence(now, b, a, lasts);
        }
        self.break_link(now, ends);
    }

    /// Nothing of one machine arrives at another for so long; the other direction works.
    pub(crate) fn silence(&mut self, now: Millis, from: u8, to: u8, lasts: Millis) {
        self.channel(from, to).silence(now, lasts);
    }

    /// What one machine sends to another until then takes so much longer.
    pub(crate) fn delay(&mut self, from: u8, to: u8, by: Millis, until: Millis) {
        let channel = self.channel(from, to);
        (channel.delayed_by, channel.delayed_until) = (by, until);
    }

    /// A process ends: what it sent still arrives, and the operating system notifies its peers.
    pub(crate) fn kill(&mut self, now: Millis, n: u8) {
        for peer in self.peers(n) {
            let notified_after = self.channel(n, peer).notification_delay();
            let own = End { on: n, notified_after: 0, delivers: false };
            self.break_link(now, [own, End { on: peer, notified_after, delivers: true }]);
        }
        self.close_ends(n);
    }

    /// A machine loses power: its peers find out by its silence.
    pub(crate) fn power_off(&mut self, now: Millis, n: u8) {
        for peer in self.peers(n) {
            let notified_after = self.channel(n, peer).rng.random_range(SILENCE);
            let own = End { on: n, notified_after: 0, delivers: false };
            self.break_link(now, [own, End { on: peer, notified_after, delivers: false }]);
        }
        self.close_ends(n);
    }

    fn close_ends(&mut self, n: u8) {
        self.notices.retain(|notice| notice.on != n);
        for peer in self.peers(n) {
            self.channel(peer, n).open = None;
        }
    }

    /// A machine starts: it knows nothing of earlier connections, and resets them.
    pub(crate) fn start(&mut self, now: Millis, n: u8) {
        for notice in self.notices.iter_mut().filter(|notice| notice.peer == n) {
            notice.at = notice.at.min(now + 2 * NOTIFIED_WITHIN);
        }
    }

    /// All partitions end, and what they held up arrives soon, in order.
    pub(crate) fn heal(&mut self, now: Millis) {
        for link in &mut self.links {
            link.partitioned_until = 0;
        }
        for channel in &mut self.channels {
            channel.silent.end = channel.silent.end.min(now);
            channel.delayed_until = 0;
            channel.messages.iter_mut().for_each(|(at, ..)| *at = (*at).min(now + RETRANSMITTED));
        }
    }

    // ---- Time ----

    /// Links that are silent for too long break; others come up where both ends run and nothing partitions them.
    pub(crate) fn tick(&mut self, now: Millis, endpoints: &[Endpoint]) {
        let endpoint = |n: u8| endpoints[usize::from(n) - 1];
        for a in 1..=self.nodes {
            for b in a + 1..=self.nodes {
                let ends = [(a, endpoint(a)), (b, endpoint(b))];
                if self.link(a, b).up {
                    self.give_up_silent(now, ends);
                } else if self.can_connect(now, ends) && self.channel(a, b).rng.random_ratio(1, 5) {
                    self.connect(now, a, b);
                }
            }
        }
    }

    fn can_connect(&mut self, now: Millis, ends: [(u8, Endpoint); 2]) -> bool {
        let [(a, _), (b, _)] = ends;
        let running = ends.iter().all(|(_, end)| end.running && end.paused_since.is_none());
        let open = [(a, b), (b, a)].iter().all(|(from, to)| self.channel(*from, *to).silent.end <= now);
        let notified = !self.notices.iter().any(|n| [(n.on, n.peer), (n.peer, n.on)].contains(&(a, b)));
        running && open && notified && self.link(a, b).partitioned_until <= now
    }

    fn connect(&mut self, now: Millis, a: u8, b: u8) {
        let link = self.link(a, b);
        link.up = true;
        link.connection += 1;
        let connection = link.connection;
        for (on, peer) in [(a, b), (b, a)] {
            let channel = self.channel(peer, on);
            channel.messages.clear();
            channel.open = Some(connection);
            let at = now + channel.notification_delay();
            self.notices.push(Notice { at, on, peer, up: true });
        }
    }

    /// Ends a link of which one end has heard nothing for too long.
    fn give_up_silent(&mut self, now: Millis, ends: [(u8, Endpoint); 2]) {
        let [first, second] = ends;
        for ((on, _), (peer, endpoint)) in [(first, second), (second, first)] {
            let channel = self.channel(peer, on);
            let silenced = (channel.silent.end > now).then_some(channel.silent.start);
            let since = endpoint.paused_since.or(silenced);
            let due = since.is_some_and(|since| now >= since + SILENCE.start);
            if due && channel.rng.random_ratio(1, 25) {
                // It closes the connection, and the other end is notified where its process is not paused.
                let notified_after = self.channel(on, peer).notification_delay();
                let own = End { on, notified_after: 0, delivers: true };
                return self.break_link(now, [own, End { on: peer, notified_after, delivers: true }]);
            }
        }
    }
}
