//! The listed servers, the slot array over them and their total capacity.

use std::collections::BTreeMap;

use crate::interface::{RosterEntry, Seconds, ServerId};
use crate::node_config::NodeConfig;
use crate::rjch::{ServerWeight, SlotArray};
use crate::server::Server;
use crate::settings::WeightSource;

/// Sums over the servers that requests may be placed on.
#[derive(Default)]
struct PlaceableCapacity {
    servers: f64,
    capacity: f64,
    usable_capacity: f64,
    /// Mean key share of the servers, weighted by usable capacity.
    key_share: f64,
}

/// All listed servers, and those that have left the list but still have attempts in flight.
#[derive(Default)]
pub struct ServerPool {
    servers: BTreeMap<ServerId, Server>,
    slots: SlotArray,
    placeable: PlaceableCapacity,
    /// The largest total capacity seen so far.
    fleet_capacity: f64,
    in_flight: u32,
}

impl ServerPool {
    /// The server with this name.
    pub fn get(&self, server: &ServerId) -> Option<&Server> {
        self.servers.get(server)
    }

    /// The server with this name, mutable.
    pub fn get_mut(&mut self, server: &ServerId) -> Option<&mut Server> {
        self.servers.get_mut(server)
    }

    /// All servers, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = (&ServerId, &Server)> {
        self.servers.iter()
    }

    /// The slot array over the cache servers.
    pub fn slots(&self) -> &SlotArray {
        &self.slots
    }

    /// Number of this node's attempts in flight to all servers.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Number of servers that requests may be placed on.
    pub fn placeable_servers(&self) -> f64 {
        self.placeable.servers
    }

    /// Total usable capacity of the servers that requests may be placed on.
    pub fn usable_capacity(&self) -> f64 {
        self.placeable.usable_capacity
    }

    /// Mean key share of the servers that requests may be placed on, weighted by usable capacity.
    pub fn mean_key_share(&self) -> f64 {
        self.placeable.key_share
    }

    /// The largest total capacity that this node has seen, taken as that of the complete fleet.
    pub fn fleet_capacity(&self) -> f64 {
        self.fleet_capacity
    }

    /// Counts an attempt that is sent to `server`. `answer_time` is the mean over the fleet.
    pub fn begin_attempt(&mut self, server: &ServerId, now: Seconds, answer_time: Seconds) {
        self.in_flight += 1;
        if let Some(server) = self.servers.get_mut(server) {
            server.begin_attempt(now, answer_time);
        }
    }

    /// Counts the end of an attempt.
    pub fn end_attempt(&mut self, server: &ServerId, now: Seconds) {
        self.in_flight -= 1;
        if let Some(server) = self.servers.get_mut(server) {
            server.end_attempt(now);
        }
    }

    /// Marks servers that are not in a complete list as gone.
    pub fn mark_unlisted_as_gone(&mut self, entries: &[RosterEntry]) {
        for (id, server) in &mut self.servers {
            if !entries.iter().any(|entry| entry.server == *id) {
                server.mark_gone();
            }
        }
    }

    /// Adds or updates one server. `allowance` is the initial slow-start allowance if it has just started.
    pub fn apply_entry(&mut self, entry: RosterEntry, allowance: f64, config: &NodeConfig, now: Seconds) {
        let id = entry.server.clone();
        let server =
            self.servers.entry(id).or_insert_with(|| Server::new(entry.clone(), allowance, config, now));
        server.update_entry(entry, allowance, config);
    }

    /// Removes servers that have left the list and have no attempts in flight.
    pub fn remove_gone(&mut self) {
        self.servers.retain(|_, server| !server.is_gone() || server.in_flight() > 0.0);
    }

    /// Computes all capacities as of `now` and updates the slot array. A server's points depend on its
    /// capacity and stay while it is listed; the load that it is sent depends on its usable capacity.
    pub fn refresh(&mut self, config: &NodeConfig, now: Seconds) {
        let resized = self.refresh_capacities(config);
        for server in self.servers.values_mut() {
            server.refresh_usable_capacity(now, config);
        }
        self.placeable = self.sum_placeable();
        self.fleet_capacity = self.fleet_capacity.max(self.placeable.capacity);
        if !resized.is_empty() {
            self.slots.update(&resized);
        }
    }

    /// Computes the capacities and returns the servers whose capacity has changed.
    fn refresh_capacities(&mut self, config: &NodeConfig) -> Vec<ServerWeight> {
        let weights = config.settings().weights;
        let is_weighted = matches!(weights, WeightSource::Nominal | WeightSource::Rough);
        let max_weight = self.servers.values().map(|server| server.entry().weight).fold(0.0, f64::max);
        // The largest weight, rounded down to a power of two, so that the scale does not change when similar
        // servers join or leave.
        let scale = if is_weighted && max_weight > 0.0 { max_weight.log2().floor().exp2() } else { 1.0 };
        let mut resized = Vec::new();
        for (id, server) in &mut self.servers {
            let capacity = match server.entry().weight {
                _ if server.is_gone() || server.is_origin(&config.settings().cache) => 0.0,
                weight if is_weighted && weight > 0.0 => weight / scale,
                _ => 1.0,
            };
            if server.set_capacity(capacity) {
                resized.push(ServerWeight { server: id.clone(), weight: capacity });
            }
        }
        resized
    }

    fn sum_placeable(&self) -> PlaceableCapacity {
        let mut sum = PlaceableCapacity::default();
        for server in self.servers.values().filter(|server| server.is_placeable()) {
            sum.servers += 1.0;
            sum.capacity += server.capacity();
            sum.usable_capacity += server.usable_capacity();
            sum.key_share += server.usable_capacity() * server.key_share.value();
        }
        sum.key_share /= sum.usable_capacity.max(f64::MIN_POSITIVE);
        sum
    }

    /// Lets reduced key shares recover over the time `elapsed`.
    pub fn recover_key_shares(&mut self, now: Seconds, elapsed: Seconds) {
        for server in self.servers.values_mut() {
            server.key_share.recover(now, elapsed);
        }
    }

    /// Refills the allowances of servers that are warming up, for the time `elapsed`. The refill rate of a
    /// server is `multiple` times its usable capacity times the request rate per unit of capacity. The latter
    /// is `request_rate` divided by the total capacity, but at least `min_rate`.
    pub fn refill_slow_start(&mut self, request_rate: f64, min_rate: f64, multiple: f64, elapsed: Seconds) {
        let placeable_capacity = self.placeable.capacity;
        for server in self.servers.values_mut().filter(|server| server.is_warming_up()) {
            let mean_rate = request_rate / placeable_capacity.max(server.capacity());
            let rate = multiple * server.usable_capacity() * mean_rate.max(min_rate);
            server.slow_start.refill(rate * elapsed);
        }
    }
}
