//! Placement: chooses the server that a request is sent to.

use super::Balancer;
use crate::cached_keys::CacheLocation;
use crate::interface::{Key, ServerId};
use crate::request::Request;
use crate::rjch::{cap, splitmix64, unit_fraction};
use crate::server::{Server, FLEET_MIN_IN_FLIGHT};

/// Minimum cap of a node at one server in mode `Aside`, where a miss after a jump costs another attempt and a
/// request to the origin.
const MIN_CAP_ASIDE: f64 = 3.0;
/// Minimum cap of a node at one server in mode `ReadThrough`.
const MIN_CAP_READ_THROUGH: f64 = 1.0;
/// For a request over quota a server's limit is divided by 1 + this x mean answer time / latency target: by
/// about two in normal operation and by four in an overload.
const OVER_QUOTA_LIMIT_FACTOR: f64 = 6.0;

/// Whether a server can take the request that is being placed.
enum Availability {
    Available,
    /// The server is excluded by the rules or by an earlier attempt of the request.
    Excluded,
    /// The server is ejected or at its concurrency limit.
    Limited,
    /// The server is at its bounded-load cap.
    Full,
}

impl Balancer {
    /// The first server below its cap along the key's slots; `None` if all are full.
    pub(super) fn choose_server(&self, request: &Request) -> Option<ServerId> {
        // In mode `ReadThrough` a miss uses capacity. While the complete fleet is slow, a jump would not
        // reach a less loaded server but cause a miss that slows it further, so requests wait.
        let fleet_is_slow = self.config.caches_read_through() && self.latency.is_busy();
        let must_not_jump = fleet_is_slow || request.over_quota;
        let limit_divisor = self.limit_divisor(request);
        let slot_count = self.popularity.slot_count(request.key, self.servers.placeable_servers(), self.now);
        let first_slot = (request.slot_fraction * slot_count) as u64;
        let may_own = |jumps, id: &ServerId, hash| {
            self.servers.get(id).is_some_and(|server| self.takes_key(server, request.key, jumps, hash))
        };
        for id in self.servers.slots().walk(request.key, first_slot, may_own) {
            let server = self.servers.get(id)?;
            match self.availability(request, id, server, limit_divisor) {
                Availability::Available => return Some(id.clone()),
                Availability::Limited if must_not_jump => return None,
                Availability::Excluded | Availability::Limited | Availability::Full => {}
            }
        }
        None
    }

    /// The divisor of servers' concurrency limits for this request.
    fn limit_divisor(&self, request: &Request) -> f64 {
        if request.over_quota {
            1.0 + OVER_QUOTA_LIMIT_FACTOR * self.latency.answer_time() / self.config.min_latency_target()
        } else {
            1.0
        }
    }

    fn availability(
        &self,
        request: &Request,
        id: &ServerId,
        server: &Server,
        limit_divisor: f64,
    ) -> Availability {
        let has_failed = request.has_failed_at(id, server.health.is_down());
        if has_failed || !self.rules().may_send(request, id, server) {
            return Availability::Excluded;
        }
        let is_ejected = server.health.is_ejected(self.now);
        if is_ejected || !server.limit_allows_attempt(limit_divisor, self.latency.answer_time(), self.now) {
            return Availability::Limited;
        }
        if server.in_flight() < self.cap(server) {
            Availability::Available
        } else {
            Availability::Full
        }
    }

    /// The cap max(floor, ⌈(1+ε)n/k⌉), with n/k weighted by the server's usable capacity.
    fn cap(&self, server: &Server) -> f64 {
        let min_cap = if self.config.caches_read_through() { MIN_CAP_READ_THROUGH } else { MIN_CAP_ASIDE };
        let share = server.usable_capacity() / self.servers.usable_capacity();
        let floor = self.config.node_share(FLEET_MIN_IN_FLIGHT).ceil().max(min_cap);
        cap(self.servers.in_flight() + 1, share, floor)
    }

    /// Whether the server takes the key after this many jumps. A server that is warming up takes a stable
    /// subset of its keys, in proportion to its usable capacity and within its allowance, and no overflow of
    /// other servers. An overloaded server takes a stable subset in proportion to its key share over the mean
    /// key share: if all servers are equally overloaded, no server could take the keys over, and each takes
    /// all of its own.
    fn takes_key(&self, server: &Server, key: Key, jumps: u64, hash: u32) -> bool {
        let fraction = unit_fraction(splitmix64(key.0 ^ u64::from(hash)));
        let offered_capacity = server.usable_capacity() * server.key_share.value();
        let is_warming_up = server.is_warming_up();
        server.usable_capacity() > 0.0
            && fraction * server.capacity() * self.servers.mean_key_share() < offered_capacity
            && (!is_warming_up || (jumps == 0 && server.slow_start.allows_attempt()))
    }

    /// The origin, if it has capacity for one more fetch (mode `Aside`). Writes are few and are not limited.
    pub(super) fn choose_origin(&self, request: &Request) -> Option<ServerId> {
        let rules = self.rules();
        let cache = &self.config.settings().cache;
        self.servers
            .iter()
            .filter(|(id, server)| server.is_origin(cache) && rules.may_send(request, id, server))
            .filter(|(_, server)| request.write || server.is_below_limit())
            .min_by(|(_, a), (_, b)| a.in_flight().total_cmp(&b.in_flight()))
            .map(|(id, _)| id.clone())
    }

    /// Whether the server is assumed to have the key in its cache.
    pub(super) fn is_cached(&self, key: Key, server: &ServerId) -> bool {
        let location = CacheLocation { key, server: server.clone() };
        self.cached_keys.contains(&location, self.now)
    }
}
