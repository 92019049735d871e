//! The mechanism of RJ-CH (Chen, Coleman, Shrivastava, "Revisiting Consistent Hashing with Bounded Loads"): a
//! slot array, the cap, and the walk of a key whose home is at its cap. Both the balancer's placement in
//! `balancer/src/balancer/placement.rs` and the edge's choice of a shield in `balancer/src/shields.rs` use
//! it.

use crate::interface::{Key, ServerId};

/// Length m of the slot array: many times the points of a large fleet, so that few points collide.
const SLOT_COUNT: usize = 1 << 16;
/// Points of a server of weight 1; shares of the keys vary by about 1/sqrt(128), 9 %.
const POINTS_PER_WEIGHT: f64 = 128.0;
/// ε of the cap. A jump costs a miss at the slow origin: the cap is to prevent overload, not to even out.
const CAP_EPSILON: f64 = 0.7;
/// Slots tried before a key finds all servers full. In an overload each queued request costs this many slots
/// times [`MAX_POINTS_PER_SLOT`]: 32 x 32 took more than the node's CPU.
const MAX_JUMPS: u64 = 16;
/// Points that may be passed over at each slot.
const MAX_POINTS_PER_SLOT: usize = 8;

/// The cap C = max(floor, ⌈(1+ε)·n·share⌉) of a server that has `share` of the total capacity, 1/k where k
/// are equal; `in_flight` is n, the node's own requests in flight with the new one.
pub fn cap(in_flight: u32, share: f64, floor: f64) -> f64 {
    ((1.0 + CAP_EPSILON) * f64::from(in_flight) * share).ceil().max(floor)
}

/// The splitmix64 finaliser, written out so that every port computes the same homes.
pub fn mix(mut hash: u64) -> u64 {
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
    (mix(mix(key.0) ^ attempt.wrapping_mul(0xd6e8_feb8_6659_fd93)) % SLOT_COUNT as u64) as usize
}

/// The weight by which a server gets points in the slot array.
#[derive(Clone, Debug)]
pub struct ServerWeight {
    /// The server.
    pub server: ServerId,
    /// Its weight; 0 takes its points away.
    pub weight: f64,
}

/// A point of a server in the slot array. The order of the fields is the order of points: where two points
/// fall on one slot, the smaller hash wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Point {
    slot: u16,
    hash: u32,
    /// Index in [`SlotArray::members`].
    member: u16,
}

/// Where the points of the servers lie. Depends on their names and weights alone, not on any order or seed.
#[derive(Debug, Default)]
pub struct SlotArray {
    /// Sorted.
    points: Vec<Point>,
    members: Vec<Option<ServerId>>,
}

impl SlotArray {
    /// Gives servers as many points as go with their weights. The points of all others stay.
    pub fn update(&mut self, changes: &[ServerWeight]) {
        self.remove(changes);
        let mut search_from = 0;
        for change in changes.iter().filter(|change| change.weight > 0.0) {
            search_from = self.free_member(search_from);
            self.members[search_from] = Some(change.server.clone());
            self.points.extend(points_of(change, search_from as u16));
        }
        // A stable sort, because what is sorted already then costs one merge only.
        self.points.sort();
    }

    /// Takes away the servers that change, with their points.
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

    /// The index of the first free member from an index on; the list grows if there is none.
    fn free_member(&mut self, from: usize) -> usize {
        let used = self.members[from..].iter().take_while(|member| member.is_some()).count();
        let free = from + used;
        if free == self.members.len() {
            self.members.push(None);
        }
        free
    }

    /// The owner of slot h(key, attempt): that of the nearest point clockwise that takes the key.
    fn owner(&self, key: Key, attempt: u64, takes: impl Fn(&ServerId, u32) -> bool) -> Option<&ServerId> {
        let slot = slot_of(key, attempt);
        let first = self.points.partition_point(|point| usize::from(point.slot) < slot);
        let (before, after) = self.points.split_at(first);
        let mut nearest = after.iter().chain(before).take(MAX_POINTS_PER_SLOT);
        nearest.find_map(|point| self.member_of(point).filter(|id| takes(id, point.hash)))
    }

    fn member_of(&self, point: &Point) -> Option<&ServerId> {
        self.members[usize::from(point.member)].as_ref()
    }

    /// Owners of h(key, first), h(key, first + 1) and so on, in the order in which an overflowing key tries
    /// them; `takes` is called with the number of jumps, from 0, the server and the hash of its point.
    pub fn walk<'a>(
        &'a self,
        key: Key,
        first: u64,
        takes: impl Fn(u64, &ServerId, u32) -> bool + 'a,
    ) -> impl Iterator<Item = &'a ServerId> + 'a {
        (0..MAX_JUMPS)
            .filter_map(move |jumps| self.owner(key, first + jumps, |id, hash| takes(jumps, id, hash)))
    }
}

/// The points of a server, which go by its name and weight.
fn points_of(server: &ServerWeight, member: u16) -> impl Iterator<Item = Point> {
    let name_hash = server.server.0.bytes().fold(0, |hash, byte| mix(hash ^ u64::from(byte)));
    let count = (POINTS_PER_WEIGHT * server.weight).round().max(1.0) as u64;
    (0..count).map(move |index| {
        let hash = mix(name_hash ^ mix(index));
        Point { slot: (hash % SLOT_COUNT as u64) as u16, hash: (hash >> 32) as u32, member }
    })
}
