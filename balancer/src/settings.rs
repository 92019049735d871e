//! Settings: all that a [`Balancer`](crate::Balancer) is given at its start.
//!
//! Nothing in this file decides anything. Times are in seconds.

use crate::interface::Seconds;

/// May a request run more than once?
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Repeats do no harm.
    Safe,
    /// Servers of one [`DeduplicationScope`] drop repeats for a while.
    Keyed,
    /// Must never run twice. Unknown effects are handled as this one.
    Unsafe,
}

/// Which servers drop the repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All servers.
    All,
    /// Those in one zone.
    Zone,
    /// Those in one cell.
    Cell,
}

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// An answer within this time earns its full value.
    pub latency_target: Seconds,
    /// The client waits this long, over all its attempts.
    pub deadline: Seconds,
    /// Value of an answer within the latency target.
    pub value: f64,
    /// Share of the value that an answer after the latency target still earns.
    pub late_value: f64,
    /// May it run again?
    pub effect: Effect,
    /// Where repeats are dropped, for keyed classes.
    pub deduplication_scope: DeduplicationScope,
    /// How long repeats are dropped, from the first send that may have run.
    pub deduplication_window: Seconds,
    /// The answer is a stream.
    pub streamed: bool,
}

/// A tenant and its share.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Requests a second within its share, over all nodes.
    pub quota: f64,
}

/// How the list of servers reaches the node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Membership {
    /// Changes arrive unrequested.
    #[default]
    Pushed,
    /// Only after [`Action::Subscribe`](crate::Action::Subscribe) or
    /// [`Action::FetchRoster`](crate::Action::FetchRoster).
    OnRequest,
}

/// What servers do with a key that they lack.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum CacheMode {
    /// They fetch it from the origin and forward writes to it.
    #[default]
    ReadThrough,
    /// They answer [`Status::NotCached`](crate::Status::NotCached); the node sends the request to the origin,
    /// which is a roster entry of this kind.
    Aside {
        /// Kind of the origin.
        origin_kind: String,
    },
}

/// What [`RosterEntry::weight`](crate::RosterEntry::weight) holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WeightSource {
    /// Always the same number.
    #[default]
    Off,
    /// The registered size.
    Nominal,
    /// Approximately the size.
    Rough,
    /// Size over load; changes from list to list.
    Live,
}

/// How many retries, which are attempts beyond each request's first, a node may make in any window of a
/// stated length.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryBudgetRule {
    /// Length of the window.
    pub window: Seconds,
    /// This many in any window ...
    pub min_retries: f64,
    /// ... and this many more for each request accepted in it.
    pub retry_ratio: f64,
}

/// Figures of the rules that every node keeps.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Guarantees {
    /// A final answer counts until this long past the client's deadline.
    pub answer_grace: Seconds,
    /// Longest time without a subscription or a fetch of the list.
    pub max_subscription_gap: Seconds,
    /// A started server has this share of its capacity, or more.
    pub initial_capacity_share: f64,
    /// A started server has reached its full capacity after this long.
    pub slow_start_duration: Seconds,
    /// Sends to a draining server end within this time.
    pub drain_grace: Seconds,
    /// Load of more than this many times its present capacity ...
    pub overload_multiple: f64,
    /// ... for this long brings a just-started server down.
    pub overload_duration: Seconds,
    /// The rule on retries, where there is one.
    pub retry_budget: Option<RetryBudgetRule>,
    /// Idle connections to a draining server are closed within this time, where that is a rule.
    pub close_on_drain: Option<Seconds>,
}

/// What the deployment allows; by default nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Limits {
    /// [`Action::Cancel`](crate::Action::Cancel) is allowed.
    pub cancel: bool,
    /// [`Action::HealthCheck`](crate::Action::HealthCheck) is allowed.
    pub health_checks: bool,
    /// [`Action::NotifyPeers`](crate::Action::NotifyPeers) is allowed.
    pub peer_messages: bool,
    /// A request may have two attempts in flight at once. The rules never need it.
    pub hedging: bool,
    /// Clients are given the advice of [`Action::Refuse`](crate::Action::Refuse).
    pub retry_after: bool,
    /// Longest advice that clients heed.
    pub max_retry_after: Seconds,
    /// Attempts for one request.
    pub max_attempts: u32,
    /// A connection that is not up by then fails.
    pub connect_timeout: Seconds,
    /// Servers close connections that have lain idle for this long; 0 where they do not say.
    pub idle_timeout: Seconds,
}

/// What some habits cost, in parts of the result; by default nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prices {
    /// Open connections: a hundred at each server, all the time.
    pub connection: f64,
    /// New connections: one for each request.
    pub handshake: f64,
}

/// All that a node is given at its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Nodes that share the servers, this one included.
    pub nodes: u32,
    /// The zone of this node.
    pub zone: String,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// How the list of servers arrives.
    pub membership: Membership,
    /// What servers do with a key that they lack.
    pub cache: CacheMode,
    /// What roster weights mean.
    pub weights: WeightSource,
    /// Figures of the rules.
    pub guarantees: Guarantees,
    /// What is allowed.
    pub limits: Limits,
    /// What is paid for.
    pub prices: Prices,
    /// Events are handed over at most this often.
    pub event_interval: Seconds,
}

/// A setting that makes no sense. The texts name settings as the settings' file does.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// There must be this node at least.
    #[error("balancers: at least 1 expected, got 0")]
    NoNodes,
    /// There must be a class for requests.
    #[error("classes: at least one expected, got none")]
    NoClasses,
    /// The window of the retry budget is not a positive time.
    #[error("budget span: a time above 0 expected, got {0}")]
    RetryWindow(Seconds),
    /// A figure is negative or not finite.
    #[error("{name}: a number of 0 or more expected, got {value}")]
    Number {
        /// The figure's name.
        name: &'static str,
        /// Its value.
        value: f64,
    },
    /// A class has a latency target or a deadline of 0.
    #[error("class {0}: aim and deadline above 0 expected")]
    ClassTimes(String),
    /// A time is negative or not finite.
    #[error("{name}: a time of 0 or more expected, got {value}")]
    Time {
        /// The time's name.
        name: &'static str,
        /// Its value.
        value: Seconds,
    },
    /// The initial share of a started server's capacity is out of its range.
    #[error("cold from: a share above 0 and up to 1 expected, got {0}")]
    InitialCapacityShare(f64),
}

impl Settings {
    /// Checks that all values make sense.
    ///
    /// # Errors
    ///
    /// The first value that does not.
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
        validate_time("answer grace", guarantees.answer_grace)?;
        validate_time("ask every", guarantees.max_subscription_gap)?;
        validate_time("ramp", guarantees.slow_start_duration)?;
        validate_time("drain grace", guarantees.drain_grace)?;
        validate_time("fall time", guarantees.overload_duration)?;
        validate_time("round", self.event_interval)?;
        validate_time("max retry after", limits.max_retry_after)?;
        validate_time("connect timeout", limits.connect_timeout)?;
        validate_time("idle close", limits.idle_timeout)?;
        if let Some(within) = guarantees.close_on_drain {
            validate_time("close on drain", within)?;
        }
        self.classes.iter().try_for_each(Class::validate_times)
    }
}

impl Class {
    fn has_zero_times(&self) -> bool {
        self.deadline == 0.0 || self.latency_target == 0.0
    }

    fn validate_times(&self) -> Result<(), SettingsError> {
        validate_time("class deadline", self.deadline)?;
        validate_time("class aim", self.latency_target)?;
        validate_time("window", self.deduplication_window)
    }
}

impl RetryBudgetRule {
    fn validate(&self) -> Result<(), SettingsError> {
        if !(self.window.is_finite() && self.window > 0.0) {
            return Err(SettingsError::RetryWindow(self.window));
        }
        validate_number("budget, free attempts", self.min_retries)?;
        validate_number("budget ratio", self.retry_ratio)
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
