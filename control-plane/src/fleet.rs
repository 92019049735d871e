//! Who there is: the servers, the shields and the edges, as control tells proxies. Told whole once, at the start of
//! a session, and by what has changed from then on: a change costs as much as it is large, whatever the size of the
//! fleet. Changes are numbered, and one that does not build on what the receiver has is turned away.

use std::cmp::Ordering;
use std::collections::BTreeSet;

use glenfall_balancer::mix;
use serde::{Deserialize, Serialize};

use crate::nodes::{Member, Server};

/// All servers, shields and edges, each list in the order of names.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// The sender has heard of all there are: who is absent is gone. Otherwise it only adds.
    pub complete: bool,
    pub servers: Vec<Server>,
    pub shields: Vec<Member>,
    /// What stands for each edge.
    pub edges: Vec<u64>,
    /// How many core machines there are by rights, each with a shield.
    pub cores: u32,
}

/// What stands for an edge among all edges, by the name of its machine.
pub fn edge_hash(node: &str) -> u64 {
    node.bytes().fold(0, |hash, byte| mix(hash ^ u64::from(byte)))
}

impl Fleet {
    /// Servers, shields and edges together.
    pub fn entries(&self) -> usize {
        self.servers.len() + self.shields.len() + self.edges.len()
    }

    /// Brings what was put together from several lists into order; of two that have the same name the first stays.
    pub fn sort(&mut self) {
        self.servers.sort_by(|a, b| a.id.cmp(&b.id));
        self.servers.dedup_by(|a, b| a.id == b.id);
        self.shields.sort_by(|a, b| a.node.cmp(&b.node));
        self.shields.dedup_by(|a, b| a.node == b.node);
        self.edges.sort_unstable();
        self.edges.dedup();
    }
}

/// The entries of a list in order that have come or are others now, and the names of those that have gone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ListDelta<T, N> {
    upserted: Vec<T>,
    removed: Vec<N>,
}

impl<T: Clone, N: Clone + Ord> ListDelta<T, N> {
    fn between(old: &[T], new: &[T], name: impl Fn(&T) -> &N, same: impl Fn(&T, &T) -> bool) -> Self {
        let (mut put, mut gone) = (Vec::new(), Vec::new());
        let (mut old, mut new) = (old.iter().peekable(), new.iter().peekable());
        loop {
            let order = match (old.peek(), new.peek()) {
                (None, None) => return ListDelta { upserted: put, removed: gone },
                (Some(_), None) => Ordering::Less,
                (None, Some(_)) => Ordering::Greater,
                (Some(a), Some(b)) => name(a).cmp(name(b)),
            };
            let before = if order.is_le() { old.next() } else { None };
            let after = if order.is_ge() { new.next() } else { None };
            match (before, after) {
                (Some(before), None) => gone.push(name(before).clone()),
                (Some(before), Some(after)) if same(before, after) => {}
                (_, Some(after)) => put.push(after.clone()),
                (None, None) => {}
            }
        }
    }

    fn apply(&self, list: &mut Vec<T>, name: impl Fn(&T) -> &N) {
        if !self.removed.is_empty() {
            let gone: BTreeSet<&N> = self.removed.iter().collect();
            list.retain(|entry| !gone.contains(name(entry)));
        }
        for entry in &self.upserted {
            match list.binary_search_by(|known| name(known).cmp(name(entry))) {
                Ok(at) => list[at] = entry.clone(),
                Err(at) => list.insert(at, entry.clone()),
            }
        }
    }

    fn is_empty(&self) -> bool {
        self.upserted.is_empty() && self.removed.is_empty()
    }
}

/// What makes a fleet the next one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetDelta {
    base_version: u64,
    version: u64,
    complete: bool,
    cores: u32,
    servers: ListDelta<Server, String>,
    shields: ListDelta<Member, String>,
    edges: ListDelta<u64, u64>,
}

impl FleetDelta {
    /// Whether it only adds or replaces entries.
    pub fn removes_nothing(&self) -> bool {
        self.servers.removed.is_empty() && self.shields.removed.is_empty() && self.edges.removed.is_empty()
    }

    /// Whether its teller has heard of all there are.
    pub fn is_complete(&self) -> bool {
        self.complete
    }
}

/// What is told of a fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetUpdate {
    Snapshot { version: u64, fleet: Fleet },
    Delta(FleetDelta),
}

/// A change that does not build on what is here: something was missed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a change of the fleet builds on number {expected}, and number {here} is here")]
pub struct Gap {
    pub expected: u64,
    pub here: u64,
}

/// A fleet and how often it has changed at whoever tells of it.
#[derive(Clone, Debug, Default)]
pub struct VersionedFleet {
    version: u64,
    fleet: Fleet,
}

impl VersionedFleet {
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    pub fn snapshot(&self) -> FleetUpdate {
        FleetUpdate::Snapshot { version: self.version, fleet: self.fleet.clone() }
    }

    /// Makes `next` the fleet; gives what those who know the last one have to be told. How warm a server is changes
    /// with time alone, and is told when it comes.
    pub fn advance_to(&mut self, next: Fleet) -> Option<FleetUpdate> {
        let warmth_aside = |a: &Server, b: &Server| {
            (&a.backend, a.addr, &a.zone, a.capacity, a.ready)
                == (&b.backend, b.addr, &b.zone, b.capacity, b.ready)
        };
        let old = &self.fleet;
        let change = FleetDelta {
            base_version: self.version,
            version: self.version + 1,
            complete: next.complete,
            cores: next.cores,
            servers: ListDelta::between(&old.servers, &next.servers, |s| &s.id, warmth_aside),
            shields: ListDelta::between(&old.shields, &next.shields, |m| &m.node, |a, b| a == b),
            edges: ListDelta::between(&old.edges, &next.edges, |edge| edge, |a, b| a == b),
        };
        let nothing = change.servers.is_empty() && change.shields.is_empty() && change.edges.is_empty();
        if nothing && (old.complete, old.cores) == (next.complete, next.cores) {
            return None;
        }
        (self.version, self.fleet) = (change.version, next);
        Some(FleetUpdate::Delta(change))
    }

    /// Takes a change that another one numbers, of the very fleet that is here; gives what those who know the last one
    /// have to be told.
    pub fn adopt(&mut self, change: &FleetDelta) -> FleetUpdate {
        let change = FleetDelta { base_version: self.version, version: self.version + 1, ..change.clone() };
        self.apply(&change);
        FleetUpdate::Delta(change)
    }

    /// Takes what was told.
    pub fn apply_update(&mut self, told: FleetUpdate) -> Result<(), Gap> {
        match told {
            FleetUpdate::Snapshot { version, fleet } => (self.version, self.fleet) = (version, fleet),
            FleetUpdate::Delta(change) => {
                if change.base_version != self.version {
                    return Err(Gap { expected: change.base_version, here: self.version });
                }
                self.apply(&change);
            }
        }
        Ok(())
    }

    fn apply(&mut self, change: &FleetDelta) {
        change.servers.apply(&mut self.fleet.servers, |server| &server.id);
        change.shields.apply(&mut self.fleet.shields, |member| &member.node);
        change.edges.apply(&mut self.fleet.edges, |edge| edge);
        (self.fleet.complete, self.fleet.cores) = (change.complete, change.cores);
        self.version = change.version;
    }
}

/// Members with their sessions at one control node, as it tells its peers: whole when a link comes up, and by what
/// has changed from then on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembersUpdate {
    whole: bool,
    difference: ListDelta<Member, String>,
}

impl MembersUpdate {
    /// The members of a list in any order, each name once; the last of a name stays.
    pub fn listed(members: Vec<Member>) -> Vec<Member> {
        let by_name: std::collections::BTreeMap<_, _> =
            members.into_iter().map(|member| (member.node.clone(), member)).collect();
        by_name.into_values().collect()
    }

    pub fn snapshot(members: &[Member]) -> Self {
        MembersUpdate {
            whole: true,
            difference: ListDelta { upserted: members.to_vec(), removed: Vec::new() },
        }
    }

    /// `None` where nothing has changed.
    pub fn delta(old: &[Member], new: &[Member]) -> Option<Self> {
        let difference = ListDelta::between(old, new, |member| &member.node, |a, b| a == b);
        (!difference.is_empty()).then_some(MembersUpdate { whole: false, difference })
    }

    pub fn apply(&self, members: &mut Vec<Member>) {
        if self.whole {
            members.clear();
        }
        self.difference.apply(members, |member| &member.node);
    }
}
