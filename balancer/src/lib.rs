//! Load balancing for a proxy that distributes keys over cache servers in front of a slow origin: placement
//! by consistent hashing with bounded loads, admission, retries, hedging, outlier ejection and slow start.
//!
//! The crate is a sans-I/O state machine. A host feeds a [`Balancer`] with [`Event`]s and carries out the
//! [`Action`]s that it returns. The crate has no clock, no threads and no I/O; the same events give the same
//! actions.
//!
//! ```
//! use glenfall_balancer::*;
//!
//! # fn main() -> Result<(), SettingsError> {
//! let read = Class {
//!     name: "read".into(),
//!     latency_target: 0.3,
//!     deadline: 1.0,
//!     value: 1.0,
//!     late_value: 0.2,
//!     effect: Effect::Safe,
//!     deduplication_scope: DeduplicationScope::All,
//!     deduplication_window: 0.0,
//!     streamed: false,
//! };
//! let settings = Settings {
//!     nodes: 1,
//!     zone: "hall".into(),
//!     classes: vec![read],
//!     tenants: vec![],
//!     membership: Membership::Pushed,
//!     cache: CacheMode::ReadThrough,
//!     weights: WeightSource::Off,
//!     guarantees: Guarantees {
//!         answer_grace: 0.02,
//!         max_subscription_gap: 10.0,
//!         initial_capacity_share: 0.3,
//!         slow_start_duration: 8.0,
//!         drain_grace: 0.5,
//!         overload_multiple: 3.0,
//!         overload_duration: 1.0,
//!         retry_budget: None,
//!         close_on_drain: None,
//!     },
//!     limits: Limits { cancel: true, max_attempts: 3, hedging: true, ..Limits::default() },
//!     prices: Prices::default(),
//!     event_interval: 0.005,
//! };
//! let mut balancer = Balancer::new(settings, 42)?;
//! let mut actions = Vec::new();
//!
//! let server = RosterEntry {
//!     server: ServerId("10.0.0.1:8080".into()),
//!     state: ServerState::Ready,
//!     weight: 1.0,
//!     ..RosterEntry::default()
//! };
//! balancer.handle(0.0, Event::Roster(RosterUpdate::Complete(vec![server.clone()])), &mut actions);
//!
//! // A request arrives; the balancer sends it to the server.
//! let request = NewRequest {
//!     id: RequestId(1),
//!     time_left: 1.0,
//!     class: Some(ClassId(0)),
//!     tenant: None,
//!     key: Some(Key(7)),
//!     write: false,
//!     work_hint: None,
//! };
//! actions.clear();
//! balancer.handle(0.1, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { server: s, .. } if *s == server.server)));
//!
//! // The server has answered and the host has passed the answer to the client: no action is needed.
//! let outcome = Outcome {
//!     request: RequestId(1),
//!     attempt: AttemptId(0),
//!     status: Status::Success,
//!     elapsed: 0.02,
//!     finished: true,
//!     cache_status: Some(CacheStatus::Hit),
//!     load: None,
//! };
//! actions.clear();
//! balancer.handle(0.12, Event::Outcome(outcome), &mut actions);
//! assert!(actions.is_empty());
//! # Ok(())
//! # }
//! ```
//!
//! # Where to find a decision
//!
//! | question | module |
//! | --- | --- |
//! | How are events handled, and what does housekeeping do? | `balancer/mod.rs` |
//! | Is a request sent, queued, refused or failed? | `balancer/admission.rs` |
//! | Which server does it go to? | `balancer/placement.rs`, over the slot array in `rjch.rs` |
//! | May it be retried, and where? | `send_rules.rs`, `request.rs`, `retry_budget.rs` |
//! | When is a read hedged? | `balancer/hedging.rs` |
//! | What happens when an attempt ends? | `balancer/observation.rs`, `balancer/outcomes.rs` |
//! | How many attempts may be in flight to a server? | `concurrency_limit.rs`, `server.rs` |
//! | When is a server ejected? | `outlier_ejection.rs` |
//! | Which share of its keys does an overloaded server get? | `key_share.rs` |
//! | How much may be sent to a server that has just started? | `slow_start.rs` |
//! | Which requests are over their tenant's quota? | `tenant_quota.rs` |
//! | How many fetches may reach the origin? | `origin_fetches.rs` |
//! | Over how many servers is a hot key distributed? | `key_popularity.rs` |
//! | When are idle connections closed? | `connections.rs`, `balancer/membership.rs` |
//! | When is the list of servers requested? | `roster_subscription.rs`, `balancer/membership.rs` |
//! | What do nodes tell each other about servers? | `peer_message.rs` |
//! | Which shield answers an edge's read? | `shields.rs` |
//!
//! Settings are in `settings.rs`, events and actions in `interface.rs`.

mod balancer;
mod cached_keys;
mod concurrency_limit;
mod connections;
mod interface;
mod jitter;
mod key_popularity;
mod key_share;
mod latency;
mod node_config;
mod origin_fetches;
mod outlier_ejection;
mod peer_message;
mod request;
mod retry_budget;
mod rjch;
mod roster_subscription;
mod send_rules;
mod server;
mod server_pool;
mod settings;
mod shields;
mod slow_start;
mod smoothing;
mod tenant_quota;

pub use balancer::Balancer;
pub use interface::*;
pub use rjch::splitmix64;
pub use settings::*;
pub use shields::Shields;
