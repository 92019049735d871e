//! The servers, as their own beats tell of them. Soft state: it is rebuilt from beats, and each control node
//! passes on to its peers what it hears.
//!
//! Silence says something of a server only while this node could have heard it. A node that is stopped, or turns servers away
//! as it reaches no majority, is *deaf*: that time counts for no server's silence, and after a stretch of a beat or more the
//! node has not heard of all servers until it has listened for as long as silent ones are remembered.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

use serde::{Deserialize, Serialize};

use crate::nodes::Server;
use crate::Millis;

/// A server that has been silent for so many beats has crashed: one may be lost, and a second late.
const MISSED_BEATS: u64 = 4;
/// Servers and tombstones kept at most; what beats beyond is turned away.
pub const MAX_SERVERS: usize = 4096;
/// A process that has not looked at its clock for so long was stopped, and may have missed what servers said. Shorter than
/// a beat, and longer than a busy machine takes between two looks.
const LONGEST_LOOK: Millis = 400;
/// How long the end of a server is remembered: its last beats may still be under way.
const TOMBSTONE: Millis = 60_000;
/// Longest name that is believed.
const LONGEST_NAME: usize = 128;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Status {
    Ready,
    Draining,
    /// A state that this version does not know takes nothing new.
    #[serde(other)]
    Unknown,
}

/// The body of a beat.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct HeartbeatRequest {
    pub backend: String,
    pub addr: SocketAddrV4,
    #[serde(default)]
    pub zone: String,
    #[serde(default)]
    pub rev: String,
    #[serde(default)]
    pub capacity: u32,
    pub status: Status,
    #[serde(default)]
    pub warmup_left_ms: u64,
    #[serde(default)]
    pub call_seq: u64,
}

/// What is known of a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    pub id: String,
    pub backend: String,
    pub addr: SocketAddrV4,
    pub zone: String,
    pub capacity: u32,
    pub status: EntryStatus,
    pub warmup_left_ms: u64,
    pub call_seq: u64,
}

/// As between control nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EntryStatus {
    Ready,
    Draining,
    Deregistered,
}

impl ServerEntry {
    pub fn of(id: &str, beat: HeartbeatRequest) -> Option<ServerEntry> {
        let fits = |name: &str| name.len() <= LONGEST_NAME;
        if id.is_empty() || !fits(id) || !fits(&beat.backend) || !fits(&beat.zone) {
            return None;
        }
        let status = if beat.status == Status::Ready { EntryStatus::Ready } else { EntryStatus::Draining };
        Some(ServerEntry {
            id: id.to_owned(),
            backend: beat.backend,
            addr: beat.addr,
            zone: beat.zone,
            capacity: beat.capacity,
            status,
            warmup_left_ms: beat.warmup_left_ms,
            call_seq: beat.call_seq,
        })
    }
}

struct Known {
    entry: ServerEntry,
    heard: Millis,
    /// How long this node had been deaf in all by then.
    deaf_before: Millis,
    /// All control nodes that are there know the status that it has now.
    spread: bool,
}

/// What a beat changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// Proxies have to know.
    Changed,
    /// It is alive, no more; peers have to know that too.
    Refreshed,
    /// An old call, overtaken by a later one.
    Stale,
    /// There is no room for it.
    RegistryFull,
}

/// The servers that one control node knows.
pub struct Registry {
    beat: Millis,
    known: BTreeMap<String, Known>,
    hearing: Hearing,
    /// The last calls of servers that have fallen silent, and when they were forgotten: what was sent before may still
    /// be under way, or on the list of a node that was cut off.
    forgotten: BTreeMap<String, (u64, Millis)>,
}

/// When this node could hear servers.
#[derive(Default)]
struct Hearing {
    /// When it was last told whether it listens.
    looked: Option<Millis>,
    /// How long it has been deaf in all, and without a pause until now.
    deaf: Millis,
    stretch: Millis,
    /// Since when it has listened without a long stretch of deafness.
    since: Millis,
}

impl Registry {
    /// `beat` is how often servers call.
    pub fn new(beat: Millis) -> Self {
        Registry {
            beat: beat.max(1),
            known: BTreeMap::new(),
            hearing: Hearing::default(),
            forgotten: BTreeMap::new(),
        }
    }

    /// Notes whether this node takes what servers say; to be told at short intervals, as a long one without a word means
    /// that the process was stopped.
    pub fn set_accepting(&mut self, now: Millis, listens: bool) {
        let hearing = &mut self.hearing;
        let passed = now.saturating_sub(hearing.looked.unwrap_or(now));
        hearing.looked = Some(now);
        if listens && passed < LONGEST_LOOK {
            hearing.stretch = 0;
            return;
        }
        hearing.deaf += passed;
        hearing.stretch += passed;
        if hearing.stretch >= self.beat {
            hearing.since = now;
        }
    }

    /// Whether every server that there is has been heard of, for a node that began to listen at this time.
    pub fn is_complete(&self, now: Millis, began: Millis) -> bool {
        now >= self.hearing.since.max(began) + self.beat * MISSED_BEATS
    }

    /// Takes what a server said `age` ago.
    pub fn observe(&mut self, now: Millis, age: Millis, entry: ServerEntry) -> HeartbeatOutcome {
        let heard = now.saturating_sub(age);
        if let Some(known) = self.known.get_mut(&entry.id) {
            // A goodbye is final; a drain is not taken back by a beat sent before it.
            let old = entry.status != EntryStatus::Deregistered
                && (known.entry.status == EntryStatus::Deregistered || entry.call_seq < known.entry.call_seq);
            if old {
                return HeartbeatOutcome::Stale;
            }
            let same = |a: &ServerEntry, b: &ServerEntry| {
                (&a.backend, a.addr, &a.zone, a.capacity, a.status)
                    == (&b.backend, b.addr, &b.zone, b.capacity, b.status)
            };
            let changed = !same(&known.entry, &entry);
            known.spread &= known.entry.status == entry.status;
            if heard >= known.heard {
                (known.heard, known.deaf_before) = (heard, self.hearing.deaf);
            }
            known.entry = entry;
            return if changed { HeartbeatOutcome::Changed } else { HeartbeatOutcome::Refreshed };
        }
        if age >= self.remembered(entry.status) {
            // From the list of a node that was frozen.
            return HeartbeatOutcome::Stale;
        }
        if entry.status != EntryStatus::Deregistered {
            let last = self.forgotten.get(&entry.id).map(|(call_seq, _)| *call_seq);
            let overtaken = last.is_some_and(|last| last > 0 && entry.call_seq <= last);
            let owners = || {
                let all = self.known.values().filter(|known| known.entry.status != EntryStatus::Deregistered);
                all.filter(|known| known.entry.addr == entry.addr)
            };
            if overtaken || owners().any(|known| known.heard > heard) {
                return HeartbeatOutcome::Stale;
            }
        }
        if self.known.len() >= MAX_SERVERS {
            return HeartbeatOutcome::RegistryFull;
        }
        if entry.status != EntryStatus::Deregistered {
            // The address has a new owner: who had it before is gone, though it never said so.
            let before = self.known.values_mut().filter(|known| known.entry.addr == entry.addr);
            for known in before.filter(|known| known.entry.status != EntryStatus::Deregistered) {
                (known.entry.status, known.heard) = (EntryStatus::Deregistered, now);
                known.spread = false;
            }
        }
        let deaf_before = self.hearing.deaf;
        self.known.insert(entry.id.clone(), Known { entry, heard, deaf_before, spread: false });
        HeartbeatOutcome::Changed
    }

    /// Whether an entry tells of a later call of its server than is known here: then those should hear of it whom its teller
    /// does not reach. What is told twice is told on once, whatever way it takes.
    pub fn is_newer(&self, entry: &ServerEntry) -> bool {
        self.known.get(&entry.id).is_none_or(|known| entry.call_seq > known.entry.call_seq)
    }

    /// A server said goodbye. One that is not known may be on the list of a node that is cut off. `None` where there is
    /// no room for its end.
    pub fn deregister(&mut self, now: Millis, id: &str) -> Option<ServerEntry> {
        if !self.known.contains_key(id) {
            // Half of the room is for servers, whatever callers say that they are.
            if self.known.len() >= MAX_SERVERS / 2 || id.is_empty() || id.len() > LONGEST_NAME {
                return None;
            }
            let entry = ServerEntry {
                id: id.to_owned(),
                backend: String::new(),
                addr: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
                zone: String::new(),
                capacity: 0,
                status: EntryStatus::Deregistered,
                warmup_left_ms: 0,
                call_seq: 0,
            };
            let deaf_before = self.hearing.deaf;
            self.known.insert(id.to_owned(), Known { entry, heard: now, deaf_before, spread: false });
        }
        let known = self.known.get_mut(id)?;
        if known.entry.status != EntryStatus::Deregistered {
            (known.entry.status, known.heard, known.spread) = (EntryStatus::Deregistered, now, false);
        }
        Some(known.entry.clone())
    }

    /// What is known of a server.
    pub fn entry(&self, id: &str) -> Option<&ServerEntry> {
        self.known.get(id).map(|known| &known.entry)
    }

    /// Whether a server has said goodbye, or lost its address to another.
    pub fn is_deregistered(&self, id: &str) -> bool {
        self.entry(id).is_some_and(|entry| entry.status == EntryStatus::Deregistered)
    }

    /// Whether all control nodes that are there have been told what status a server has.
    pub fn is_replicated(&self, id: &str) -> bool {
        self.known.get(id).is_some_and(|known| known.spread)
    }

    /// They have been told, if it is still this one.
    pub fn mark_replicated(&mut self, id: &str, status: EntryStatus) {
        if let Some(known) = self.known.get_mut(id).filter(|known| known.entry.status == status) {
            known.spread = true;
        }
    }

    /// Forgets who has been silent for too long, and the ends of others after a while; gives the names of the silent, of
    /// whom proxies have to know.
    pub fn expire(&mut self, now: Millis) -> Vec<String> {
        let deaf = self.hearing.deaf;
        let is_past = |known: &Known| {
            let deaf_since =
                if known.entry.status == EntryStatus::Deregistered { 0 } else { deaf - known.deaf_before };
            now >= known.heard + deaf_since + self.remembered(known.entry.status)
        };
        let past = self.known.iter().filter(|(_, known)| is_past(known));
        let silent: Vec<(String, u64)> = past.map(|(id, known)| (id.clone(), known.entry.call_seq)).collect();
        self.forgotten.retain(|_, (_, at)| now < *at + TOMBSTONE);
        for (id, call_seq) in &silent {
            self.known.remove(id);
            if self.forgotten.len() < MAX_SERVERS {
                self.forgotten.insert(id.clone(), (*call_seq, now));
            }
        }
        silent.into_iter().map(|(id, _)| id).collect()
    }

    /// How long after it was last heard of a server is known.
    fn remembered(&self, status: EntryStatus) -> Millis {
        match status {
            EntryStatus::Deregistered => TOMBSTONE,
            EntryStatus::Ready | EntryStatus::Draining => self.beat * MISSED_BEATS,
        }
    }

    /// All that are not gone, as proxies see them. With `ended` those as well that have said goodbye or lost their address,
    /// as servers that take nothing: whoever keeps what a list lacks would keep them ready otherwise.
    pub fn servers(&self, now: Millis, ended: bool) -> Vec<Server> {
        let present =
            self.known.values().filter(|known| ended || known.entry.status != EntryStatus::Deregistered);
        present
            .map(|known| Server {
                id: known.entry.id.clone(),
                backend: known.entry.backend.clone(),
                addr: known.entry.addr,
                zone: known.entry.zone.clone(),
                capacity: known.entry.capacity,
                ready: known.entry.status == EntryStatus::Ready,
                warmup_left_ms: known.entry.warmup_left_ms.saturating_sub(now.saturating_sub(known.heard)),
            })
            .collect()
    }

    /// All entries and how long ago each was heard of, for a peer that has just come.
    pub fn snapshot(&self, now: Millis) -> Vec<(ServerEntry, Millis)> {
        self.known.values().map(|known| (known.entry.clone(), now.saturating_sub(known.heard))).collect()
    }
}
