//! The settings of one node, checked, with the figures that follow from them.

use crate::interface::Seconds;
use crate::settings::{CacheMode, Class, DeduplicationScope, Effect, Settings, SettingsError};

/// Housekeeping interval: short against any latency target, long against the interval between events.
pub const HOUSEKEEPING_INTERVAL: Seconds = 0.05;
/// With more nodes than this, each sees little of a server. A time-out then tells of overload only, as it
/// cannot be distinguished from lost answers: any two of 100 nodes soon agreed, ejected half of the fleet and
/// overloaded the others. A refused connection is reported at once instead of after some: it comes seldom to
/// any one node.
const MAX_NODES_OF_SMALL_DEPLOYMENT: f64 = 10.0;

/// Checked settings. The class list ends with an additional class for requests of an unknown one.
pub struct NodeConfig {
    settings: Settings,
    min_latency_target: Seconds,
}

impl NodeConfig {
    /// Checks the settings and derives the other figures from them.
    pub fn new(mut settings: Settings) -> Result<Self, SettingsError> {
        settings.validate()?;
        // Requests of an unknown class are handled as the most restrictive kind.
        let shortest = settings.classes.iter().min_by(|a, b| a.deadline.total_cmp(&b.deadline)).cloned();
        let unknown = |class| Class {
            effect: Effect::Unsafe,
            deduplication_scope: DeduplicationScope::Cell,
            deduplication_window: 0.0,
            ..class
        };
        settings.classes.extend(shortest.map(unknown));
        let min_latency_target =
            settings.classes.iter().map(|class| class.latency_target).fold(f64::MAX, f64::min);
        Ok(NodeConfig { settings, min_latency_target })
    }

    /// The settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The tightest latency target of all classes.
    pub fn min_latency_target(&self) -> Seconds {
        self.min_latency_target
    }

    /// The index of a class in the settings; that of the additional class if it is unknown.
    pub fn class_index(&self, class: Option<usize>) -> usize {
        let unknown = self.settings.classes.len() - 1;
        class.map_or(unknown, |index| index.min(unknown))
    }

    /// The class at an index that [`NodeConfig::class_index`] gave.
    pub fn class(&self, index: usize) -> &Class {
        &self.settings.classes[index]
    }

    /// Number of nodes that share the servers.
    pub fn nodes(&self) -> f64 {
        f64::from(self.settings.nodes)
    }

    /// This node's even share of a figure for all nodes.
    pub fn node_share(&self, total: f64) -> f64 {
        total / self.nodes()
    }

    /// Whether the nodes are so few that each sees much of every server.
    pub fn is_small_deployment(&self) -> bool {
        self.nodes() <= MAX_NODES_OF_SMALL_DEPLOYMENT
    }

    /// Whether cache servers fetch missing keys themselves.
    pub fn caches_read_through(&self) -> bool {
        self.settings.cache == CacheMode::ReadThrough
    }

    /// Over how long a started server warms up.
    pub fn slow_start_duration(&self) -> Seconds {
        self.settings.guarantees.slow_start_duration.max(HOUSEKEEPING_INTERVAL)
    }

    /// Whether the settings state no retry budget, so that the node keeps one of its own.
    pub fn has_own_retry_budget(&self) -> bool {
        self.settings.guarantees.retry_budget.is_none()
    }

    /// Time that is reserved before a deadline: an event may reach the node an interval after it happened,
    /// and its action may be carried out an interval after it is requested.
    pub fn deadline_margin(&self) -> Seconds {
        2.0 * self.settings.event_interval
    }
}
