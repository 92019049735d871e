//! The validated settings of one node and values derived from them.

use crate::interface::Seconds;
use crate::settings::{CacheMode, Class, DeduplicationScope, Effect, Settings, SettingsError};

/// Housekeeping interval: much shorter than any latency target, much longer than the event interval.
pub const HOUSEKEEPING_INTERVAL: Seconds = 0.05;
/// With more nodes than this, each sees little of a server's traffic, and failures are detected differently.
/// Timeouts do not count as failures, because they cannot be distinguished from lost answers: among 100
/// nodes, any two that saw a timeout soon ejected a server, until half of the fleet was ejected and the
/// others were overloaded. A refused connection is reported at once instead of after several, because each
/// node sees one only rarely.
const MAX_NODES_OF_SMALL_DEPLOYMENT: f64 = 10.0;

/// Validated settings. The class list ends with an additional class for requests of an unknown class.
pub struct NodeConfig {
    settings: Settings,
    min_latency_target: Seconds,
}

impl NodeConfig {
    /// Validates the settings and derives the other values from them.
    pub fn new(mut settings: Settings) -> Result<Self, SettingsError> {
        settings.validate()?;
        // Requests of an unknown class get the shortest deadline and the most restrictive effect.
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

    /// The settings, with the additional class for requests of an unknown class.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The shortest latency target of all classes.
    pub fn min_latency_target(&self) -> Seconds {
        self.min_latency_target
    }

    /// The index of a class in the settings; that of the additional class if it is unknown.
    pub fn class_index(&self, class: Option<usize>) -> usize {
        let unknown = self.settings.classes.len() - 1;
        class.map_or(unknown, |index| index.min(unknown))
    }

    /// The class at an index returned by [`NodeConfig::class_index`].
    pub fn class(&self, index: usize) -> &Class {
        &self.settings.classes[index]
    }

    /// Number of nodes that share the servers.
    pub fn nodes(&self) -> f64 {
        f64::from(self.settings.nodes)
    }

    /// An even share of `total` for this node: `total` divided by the number of nodes.
    pub fn node_share(&self, total: f64) -> f64 {
        total / self.nodes()
    }

    /// Whether the nodes are so few that each sees a large part of every server's traffic.
    pub fn is_small_deployment(&self) -> bool {
        self.nodes() <= MAX_NODES_OF_SMALL_DEPLOYMENT
    }

    /// Whether cache servers fetch missing keys themselves.
    pub fn caches_read_through(&self) -> bool {
        self.settings.cache == CacheMode::ReadThrough
    }

    /// How long a started server takes to warm up; never 0.
    pub fn slow_start_duration(&self) -> Seconds {
        self.settings.guarantees.slow_start_duration.max(HOUSEKEEPING_INTERVAL)
    }

    /// Whether the default retry budget applies, because the settings state none.
    pub fn uses_default_retry_budget(&self) -> bool {
        self.settings.guarantees.retry_budget.is_none()
    }

    /// Time reserved before a deadline. An event may reach the node one event interval after it happened, and
    /// the resulting action may be carried out another interval later.
    pub fn deadline_margin(&self) -> Seconds {
        2.0 * self.settings.event_interval
    }
}
