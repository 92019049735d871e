//! RJ-CH, random jump consistent hashing (Chen, Coleman, Shrivastava, "Revisiting Consistent Hashing with
//! Bounded Loads"): the slot array, the cap, and the walk of a key whose home server is at its cap. Used by
//! the balancer's placement in `balancer/src/balancer/placement.rs` and by the edge's choice of a shield in
//! `balancer/src/shields.rs`.

use crate::interface::{Key, ServerId};

/// Length m of the slot array: many times the number of points of a large fleet, so that few points collide.
const SLOT_COUNT: usize = 1 << 16;
/// Points of a server of weight 1. The servers' shares of the keys vary by about 1/sqrt(128), or 9 %.
const POINTS_PER_WEIGHT: f64 = 128.0;
/// ε of the cap. Each jump costs a miss at the slow origin, so the cap only prevents overload and does not
/// try to even out the load.
const CAP_EPSILON: f64 = 0.7;
/// Maximum number of slots tried for a request before all servers count as full. In an overload each queued
/// request examines up to this many slots times [`MAX_POINTS_PER_SLOT`] points; 32 x 32 used more CPU than
/// the node has.
const MAX_JUMPS: u64 = 16;
/// Maximum number of points examined for each slot.
const MAX_POINTS_PER_SLOT: usize = 8;

/// The cap C = max(floor, ⌈(1+ε)·n·share⌉) of a server that has `share` of the total capacity (1/k for k
/// equal servers). `in_flight` is n, the node's own requests in flight including the new one.
pub fn cap(in_flight: u32, share: f64, floor: f64) -> f64 {
    ((1.0 + CAP_EPSILON) * f64::from(in_flight) * share).ceil().max(floor)
}

/// The splitmix64 finaliser, written out so that other implementations compute the same homes.
pub fn splitmix64(mut hash: u64) -> u64 {
    hash = hash.wrapping_add(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// A hash as a fraction from 0 to 1.
pub fn unit_fraction(hash: u64) -> f64 {
    hash as f64 / u64::MAX as f64
}

/// h(key, attempt) of the paper.
fn slot_of(key: Key, attempt: u64) -> usize {
    (splitmix64(splitmix64(key.0) ^ attempt.wrapping_mul(0xd6e8_feb8_6659_fd93)) % SLOT_COUNT as u64) as usize
}

/// The weight by which a server gets points in the slot array.
#[derive(Clone, Debug)]
pub struct ServerWeight {
    /// The name of the server.
    pub server: ServerId,
    /// Its weight; 0 removes its points.
    pub weight: f64,
}

/// A point of a server in the slot array. Points are ordered by their fields in the order of declaration: if
/// two points share a slot, the one with the smaller hash comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Point {
    slot: u16,
    hash: u32,
    /// Index in [`SlotArray::members`].
    member: u16,
}

/// The points of all servers. They depend only on the servers' names and weights, not on any order or seed.
#[derive(Debug, Default)]
pub struct SlotArray {
    /// Always sorted.
    points: Vec<Point>,
    members: Vec<Option<ServerId>>,
}

impl SlotArray {
    /// Sets the points of the given servers according to their weights. The points of all others stay.
    pub fn update(&mut self, changes: &[ServerWeight]) {
        self.remove(changes);
        let mut search_from = 0;
        for change in changes.iter().filter(|change| change.weight > 0.0) {
            search_from = self.free_member(search_from);
            self.members[search_from] = Some(change.server.clone());
            self.points.extend(points_of(change, search_from as u16));
        }
        // The stable sort only needs one merge for the part that is already sorted.
        self.points.sort();
    }

    /// Removes the given servers and their points.
    fn remove(&mut self, changes: &[ServerWeight]) {
        let mut is_removed = vec![false; self.members.len()];
        for (member, is_removed) in self.members.iter_mut().zip(&mut is_removed) {
            let changes_weight = |id: &ServerId| changes.iter().any(|change| change.server == *id);
            *is_removed = member.as_ref().is_some_and(changes_weight);
            if *is_removed {
                *member = None;
            }
        }
        self.points.retain(|point| !is_removed[usize::from(point.member)]);
    }

    /// The first free index in `members` at or after `from`; the list grows if there is none.
    fn free_member(&mut self, from: usize) -> usize {
        let used = self.members[from..].iter().take_while(|member| member.is_some()).count();
        let free = from + used;
        if free == self.members.len() {
            self.members.push(None);
        }
        free
    }

    /// The owner of slot h(key, attempt): the server of the nearest point clockwise for which `may_own` is
    /// true.
    fn owner(&self, key: Key, attempt: u64, may_own: impl Fn(&ServerId, u32) -> bool) -> Option<&ServerId> {
        let slot = slot_of(key, attempt);
        let first = self.points.partition_point(|point| usize::from(point.slot) < slot);
        let (before, after) = self.points.split_at(first);
        let mut nearest = after.iter().chain(before).take(MAX_POINTS_PER_SLOT);
        nearest.find_map(|point| self.member_of(point).filter(|id| may_own(id, point.hash)))
    }

    fn member_of(&self, point: &Point) -> Option<&ServerId> {
        self.members[usize::from(point.member)].as_ref()
    }

    /// The owners of h(key, first), h(key, first + 1) and so on, in the order in which a key tries them.
    /// `may_own` decides whether a server may own the slot; it is called with the number of jumps, from 0,
    /// the server and the hash of its point.
    pub fn walk<'a>(
        &'a self,
        key: Key,
        first: u64,
        may_own: impl Fn(u64, &ServerId, u32) -> bool + 'a,
    ) -> impl Iterator<Item = &'a ServerId> + 'a {
        (0..MAX_JUMPS)
            .filter_map(move |jumps| self.owner(key, first + jumps, |id, hash| may_own(jumps, id, hash)))
    }
}

/// The points of a server, derived from its name and weight.
fn points_of(server: &ServerWeight, member: u16) -> impl Iterator<Item = Point> {
    let name_hash = server.server.0.bytes().fold(0, |hash, byte| splitmix64(hash ^ u64::from(byte)));
    let count = (POINTS_PER_WEIGHT * server.weight).round().max(1.0) as u64;
    (0..count).map(move |index| {
        let hash = splitmix64(name_hash ^ splitmix64(index));
        Point { slot: (hash % SLOT_COUNT as u64) as u16, hash: (hash >> 32) as u32, member }
    })
}
