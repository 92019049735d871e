//! The settings that a [`Balancer`](crate::Balancer) is started with, and their validation.
//!
//! Times are in seconds.

use crate::interface::Seconds;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Running it again is harmless.
    Safe,
    /// Servers within the [`DeduplicationScope`] drop duplicates for the class's `deduplication_window`.
    Keyed,
    /// The request must never run twice. Unknown effects are handled as this one.
    Unsafe,
}

/// Which servers drop the duplicates of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All servers drop duplicates of each other's requests.
    All,
    /// Servers in the zone of the server that ran the request.
    Zone,
    /// Servers in the cell of the server that ran the request.
    Cell,
}

/// A class of requests with the same timing, value and effect.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Name as in the settings file.
    pub name: String,
    /// An answer within this time earns its full value.
    pub latency_target: Seconds,
    /// How long the client waits in total, over all attempts.
    pub deadline: Seconds,
    /// Value of an answer within the latency target.
    pub value: f64,
    /// The share of `value` that an answer after the latency target still earns.
    pub late_value: f64,
    /// Whether requests of this class may run more than once.
    pub effect: Effect,
    /// Which servers drop duplicates; for [`Effect::Keyed`].
    pub deduplication_scope: DeduplicationScope,
    /// How long duplicates are dropped, counted from the first send that may have run; for [`Effect::Keyed`].
    pub deduplication_window: Seconds,
    /// Whether answers are streamed.
    pub streamed: bool,
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name as in the settings file.
    pub name: String,
    /// Requests per second that it is entitled to, over all nodes.
    pub quota: f64,
}

/// How the server list reaches the node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Membership {
    /// The host reports changes without a request.
    #[default]
    Pushed,
    /// The host reports the list only after [`Action::Subscribe`](crate::Action::Subscribe) or
    /// [`Action::FetchRoster`](crate::Action::FetchRoster).
    OnRequest,
}

/// What cache servers do with a request for a key that is not cached.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum CacheMode {
    /// They fetch it from the origin and forward writes to it.
    #[default]
    ReadThrough,
    /// They answer [`Status::NotCached`](crate::Status::NotCached), and the node sends the request to the
    /// origin, which is itself listed in the roster.
    Aside {
        /// [`RosterEntry::kind`](crate::RosterEntry::kind) of the origin.
        origin_kind: String,
    },
}

/// What [`RosterEntry::weight`](crate::RosterEntry::weight) contains.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WeightSource {
    /// The same number for all servers; weights are ignored.
    #[default]
    Off,
    /// The configured size of the server.
    Nominal,
    /// An approximate size.
    Rough,
    /// Size divided by load, which changes with each list; weights are ignored.
    Live,
}

/// How many retries a node may make in any time window of a given length. Retries are attempts beyond each
/// request's first.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryBudgetRule {
    /// Length of the window.
    pub window: Seconds,
    /// Retries that are always allowed in a window.
    pub min_retries: f64,
    /// Additional retries for each request accepted in the window.
    pub retry_ratio: f64,
}

/// Parameters of the rules that every node must follow.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Guarantees {
    /// How long after the client's deadline a final answer still counts.
    pub answer_grace: Seconds,
    /// Longest time that a node may be without a subscription or a fetch of the server list.
    pub max_subscription_gap: Seconds,
    /// The share of its capacity that a server has at least when it has just started; above 0 and at most 1.
    pub initial_capacity_share: f64,
    /// How long after its start a server reaches its full capacity.
    pub slow_start_duration: Seconds,
    /// How long after the drain notice a node may still send to a draining server.
    pub drain_grace: Seconds,
    /// A load above this multiple of its present capacity, for `overload_duration`, brings down a server that
    /// has just started.
    pub overload_multiple: f64,
    /// How long the load must exceed `overload_multiple` to bring the server down.
    pub overload_duration: Seconds,
    /// The rule on retries; `None` if the deployment has none.
    pub retry_budget: Option<RetryBudgetRule>,
    /// The time within which idle connections to a draining server must be closed; `None` if they may stay
    /// open.
    pub close_on_drain: Option<Seconds>,
}

/// What the deployment allows and its limits; the default allows nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Limits {
    /// Whether [`Action::Cancel`](crate::Action::Cancel) is allowed.
    pub cancel: bool,
    /// Whether [`Action::HealthCheck`](crate::Action::HealthCheck) is allowed.
    pub health_checks: bool,
    /// Whether [`Action::NotifyPeers`](crate::Action::NotifyPeers) is allowed.
    pub peer_messages: bool,
    /// Whether a request may have two attempts in flight at once. No rule requires hedging.
    pub hedging: bool,
    /// Whether clients receive the `retry_after` advice of [`Action::Refuse`](crate::Action::Refuse).
    pub retry_after: bool,
    /// Longest `retry_after` advice that clients follow.
    pub max_retry_after: Seconds,
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
    /// A connection that is not established within this time fails.
    pub connect_timeout: Seconds,
    /// How long a connection may be idle before servers close it; 0 if unknown.
    pub idle_timeout: Seconds,
}

/// The cost of connections, as shares of the total result; by default 0.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prices {
    /// Cost of keeping 100 connections open at each server all the time.
    pub connection: f64,
    /// Cost of opening a new connection for each request.
    pub handshake: f64,
}

/// The settings of one node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Number of nodes that share the servers, including this one.
    pub nodes: u32,
    /// The zone of this node.
    pub zone: String,
    /// Request classes, indexed by [`ClassId`](crate::ClassId); at least one.
    pub classes: Vec<Class>,
    /// Tenants, indexed by [`TenantId`](crate::TenantId); may be empty.
    pub tenants: Vec<Tenant>,
    /// How the node gets the server list.
    pub membership: Membership,
    /// What cache servers do on a cache miss.
    pub cache: CacheMode,
    /// What the weights in the roster mean.
    pub weights: WeightSource,
    /// Parameters of the rules.
    pub guarantees: Guarantees,
    /// What the deployment allows.
    pub limits: Limits,
    /// The cost of connections.
    pub prices: Prices,
    /// Minimum interval between two batches of events from the host.
    pub event_interval: Seconds,
}

/// An invalid setting. The messages name it as the settings file does.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// The number of nodes is 0; it includes this node.
    #[error("balancers: expected at least 1, got 0")]
    NoNodes,
    /// The list of request classes is empty.
    #[error("grades: expected one or more classes, got none")]
    NoClasses,
    /// The window of the retry budget is not a positive time.
    #[error("budget-span-s: expected a time above 0, got {0}")]
    RetryWindow(Seconds),
    /// A number is negative or not finite.
    #[error("{name}: expected a number of 0 or more, got {value}")]
    Number {
        /// The name of the setting.
        name: &'static str,
        /// The invalid value.
        value: f64,
    },
    /// A class has a latency target or a deadline of 0.
    #[error("class {0}: expected target-s and hard-limit-s above 0")]
    ClassTimes(String),
    /// A time is negative or not finite.
    #[error("{name}: expected a time of 0 or more, got {value}")]
    Time {
        /// The name of the setting.
        name: &'static str,
        /// The invalid value.
        value: Seconds,
    },
    /// The initial capacity share of a started server is not above 0 and at most 1.
    #[error("cold-from: expected a share above 0 and up to 1, got {0}")]
    InitialCapacityShare(f64),
}

impl Settings {
    /// Validates all values.
    ///
    /// # Errors
    ///
    /// The first invalid value that is found.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.nodes == 0 {
            return Err(SettingsError::NoNodes);
        }
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if let Some(budget) = &self.guarantees.retry_budget {
            budget.validate()?;
        }
        if let Some(class) = self.classes.iter().find(|class| class.has_zero_times()) {
            return Err(SettingsError::ClassTimes(class.name.clone()));
        }
        self.validate_times()?;
        let share = self.guarantees.initial_capacity_share;
        if !(share > 0.0 && share <= 1.0) {
            return Err(SettingsError::InitialCapacityShare(share));
        }
        Ok(())
    }

    fn validate_times(&self) -> Result<(), SettingsError> {
        let (guarantees, limits) = (&self.guarantees, &self.limits);
        validate_time("grace-to-answer-s", guarantees.answer_grace)?;
        validate_time("ask-every-s", guarantees.max_subscription_gap)?;
        validate_time("ramp-time-s", guarantees.slow_start_duration)?;
        validate_time("drain-grace-s", guarantees.drain_grace)?;
        validate_time("fall-s", guarantees.overload_duration)?;
        validate_time("round-s", self.event_interval)?;
        validate_time("max-retry-after-s", limits.max_retry_after)?;
        validate_time("dial-timeout-s", limits.connect_timeout)?;
        validate_time("idle-close-s", limits.idle_timeout)?;
        if let Some(within) = guarantees.close_on_drain {
            validate_time("close-on-drain-within-s", within)?;
        }
        self.classes.iter().try_for_each(Class::validate_times)
    }
}

impl Class {
    fn has_zero_times(&self) -> bool {
        self.deadline == 0.0 || self.latency_target == 0.0
    }

    fn validate_times(&self) -> Result<(), SettingsError> {
        validate_time("hard-limit-s", self.deadline)?;
        validate_time("target-s", self.latency_target)?;
        validate_time("key-ttl-s", self.deduplication_window)
    }
}

impl RetryBudgetRule {
    fn validate(&self) -> Result<(), SettingsError> {
        if !(self.window.is_finite() && self.window > 0.0) {
            return Err(SettingsError::RetryWindow(self.window));
        }
        validate_number("extra-free", self.min_retries)?;
        validate_number("resend-ratio", self.retry_ratio)
    }
}

fn validate_number(name: &'static str, value: f64) -> Result<(), SettingsError> {
    if is_finite_and_not_negative(value) {
        Ok(())
    } else {
        Err(SettingsError::Number { name, value })
    }
}

fn validate_time(name: &'static str, value: Seconds) -> Result<(), SettingsError> {
    if is_finite_and_not_negative(value) {
        Ok(())
    } else {
        Err(SettingsError::Time { name, value })
    }
}

fn is_finite_and_not_negative(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}
