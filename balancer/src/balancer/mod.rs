//! The state machine of one node: handles events, updates the decision modules and collects actions.
//!
//! Settings are in `balancer/src/settings.rs`, events and actions in `balancer/src/interface.rs`. Each
//! decision has its own module, which owns its state; the submodules here apply the decisions to requests.
//!
//! Placement follows RJ-CH (Chen, Coleman, Shrivastava, "Revisiting Consistent Hashing with Bounded Loads"):
//! a key goes to the owner of slot h(key, 0) of a fixed array; if that server is at its cap, to the owner of
//! h(key, 1), then h(key, 2) and so on. Comments state when an exception to this applies.

mod admission;
mod hedging;
mod membership;
mod observation;
mod outcomes;
mod placement;

use std::collections::{BTreeMap, VecDeque};

use crate::cached_keys::CachedKeys;
use crate::connections::ConnectionTracker;
use crate::interface::{Action, Event, RequestId, Seconds, TimerToken};
use crate::jitter::Jitter;
use crate::key_popularity::KeyPopularity;
use crate::latency::FleetLatency;
use crate::node_config::{NodeConfig, HOUSEKEEPING_INTERVAL};
use crate::origin_fetches::OriginFetches;
use crate::peer_message::PeerMessage;
use crate::request::Request;
use crate::retry_budget::RetryBudget;
use crate::roster_subscription::{subscribe_spread_time, RosterSubscription};
use crate::send_rules::SendRules;
use crate::server_pool::ServerPool;
use crate::settings::{Settings, SettingsError};
use crate::smoothing::RECENT_PERIOD;
use crate::tenant_quota::TenantQuotas;

/// Token of the housekeeping timer. The token of a request's timer is the request's id plus 1.
const HOUSEKEEPING_TOKEN: TimerToken = TimerToken(0);
/// Interval at which expired cached keys and unpopular keys are removed.
const PURGE_INTERVAL: Seconds = RECENT_PERIOD;
/// Servers that are warming up are sent this share of the load that overloads a just-started server. The
/// margin is for popular keys, which all nodes request and which could overload the server on their own.
const SLOW_START_LOAD_SHARE: f64 = 0.5;

/// The decisions of one node.
pub struct Balancer {
    config: NodeConfig,
    jitter: Jitter,
    now: Seconds,
    /// Actions of the event that is being handled.
    actions: Vec<Action>,
    is_started: bool,
    next_purge: Seconds,
    subscription: RosterSubscription,
    servers: ServerPool,
    connections: ConnectionTracker,
    latency: FleetLatency,
    requests: BTreeMap<RequestId, Request>,
    /// Requests that wait for a server, oldest first.
    queue: VecDeque<RequestId>,
    quotas: TenantQuotas,
    retry_budget: RetryBudget,
    popularity: KeyPopularity,
    cached_keys: CachedKeys,
    fetches: OriginFetches,
}

impl Balancer {
    /// The state of a node that has just started. `seed` is used for jitter only, never for placing keys.
    ///
    /// # Errors
    ///
    /// Invalid settings; see [`Settings::validate`].
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        let config = NodeConfig::new(settings)?;
        let settings = config.settings();
        Ok(Balancer {
            jitter: Jitter::new(seed),
            now: 0.0,
            actions: Vec::new(),
            is_started: false,
            next_purge: 0.0,
            subscription: RosterSubscription::default(),
            servers: ServerPool::default(),
            connections: ConnectionTracker::default(),
            latency: FleetLatency::new(config.min_latency_target()),
            requests: BTreeMap::new(),
            queue: VecDeque::new(),
            quotas: TenantQuotas::new(settings.tenants.len()),
            retry_budget: RetryBudget::new(settings.guarantees.retry_budget, settings.event_interval),
            popularity: KeyPopularity::default(),
            cached_keys: CachedKeys::default(),
            fetches: OriginFetches::new(config.nodes()),
            config,
        })
    }

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Seconds, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        if !self.is_started {
            self.start();
        }
        self.apply(event);
        actions.append(&mut self.actions);
    }

    fn start(&mut self) {
        self.is_started = true;
        self.schedule_housekeeping();
        let first_subscribe = self.now + self.jitter.next_fraction() * subscribe_spread_time(&self.config);
        self.subscription.schedule_first_subscribe(first_subscribe);
        self.subscribe_if_due();
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Roster(update) => self.on_roster(update),
            Event::Request(new) => self.on_request(new),
            Event::StreamStarted { request, attempt: _ } => self.on_stream_started(request),
            Event::Outcome(outcome) => self.on_outcome(outcome),
            Event::RequestCancelled(request) => self.finish(request),
            Event::Timer(HOUSEKEEPING_TOKEN) => self.on_housekeeping(),
            // The deadline of a request is near.
            Event::Timer(TimerToken(token)) => self.end(RequestId(token - 1)),
            Event::Message { bytes, .. } => self.on_message(&bytes),
            Event::HealthChecked { .. } => {}
        }
    }

    fn on_stream_started(&mut self, request: RequestId) {
        if let Some(request) = self.requests.get_mut(&request) {
            request.streaming = true;
        }
    }

    fn on_message(&mut self, bytes: &[u8]) {
        match PeerMessage::decode(bytes) {
            Some(PeerMessage::Overloaded(server)) => {
                self.reduce_key_share(&server);
            }
            Some(PeerMessage::Failing(server)) => self.record_failure(&server),
            None => {}
        }
    }

    fn schedule_housekeeping(&mut self) {
        self.actions.push(Action::SetTimer { token: HOUSEKEEPING_TOKEN, after: HOUSEKEEPING_INTERVAL });
    }

    fn on_housekeeping(&mut self) {
        self.schedule_housekeeping();
        if self.now >= self.next_purge {
            self.cached_keys.forget_expired(self.now);
            self.popularity.forget_unpopular_keys(self.now);
            self.next_purge = self.now + PURGE_INTERVAL;
        }
        self.servers.refresh(&self.config, self.now);
        self.refresh_allowances();
        self.subscribe_if_due();
        self.send_hedged_requests();
        if self.connections.drain_close_is_due(self.now) {
            self.close_draining_connections();
        }
        self.dispatch_queued(usize::MAX);
    }

    /// Decays the measured rates of tenants, lets the key shares of overloaded servers recover and refills
    /// the slow-start allowances.
    fn refresh_allowances(&mut self) {
        let remaining = 1.0 - HOUSEKEEPING_INTERVAL / self.config.slow_start_duration();
        self.quotas.decay_rates(remaining);
        self.servers.recover_key_shares(self.now, HOUSEKEEPING_INTERVAL);
        let request_rate = self.popularity.recent_requests(self.now) / RECENT_PERIOD;
        let multiple = self.config.settings().guarantees.overload_multiple * SLOW_START_LOAD_SHARE;
        self.servers.refill_slow_start(request_rate, self.min_rate(), multiple, HOUSEKEEPING_INTERVAL);
    }

    /// Lower bound on the requests per second that a fully warmed-up server of capacity 1 can answer for this
    /// node. Derived from the tenants' quotas, which are shares of the capacity of the complete fleet: the
    /// current request rate is a poor estimate while many servers, or the node itself, have just started.
    fn min_rate(&self) -> f64 {
        let quotas = self.config.settings().tenants.iter().map(|tenant| tenant.quota).sum::<f64>();
        self.config.node_share(quotas) / self.servers.fleet_capacity().max(1.0)
    }

    fn rules(&self) -> SendRules<'_> {
        SendRules { config: &self.config, servers: &self.servers, now: self.now }
    }
}
