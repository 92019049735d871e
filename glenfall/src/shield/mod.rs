//! The shield, a cache node: answers edges' reads from its cache, collapses concurrent misses of one object into one
//! fetch, and fetches from the origin servers.

mod counters;
mod fetch;
mod fetch_result;
mod freshness;
mod handler;
mod object_hash;
mod read;
mod singleflight;
mod warm_start;

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use glenfall_control_plane::config::Config;
use glenfall_control_plane::fleet::Fleet;
use glenfall_control_plane::messages::{AgedPurge, ProxyRole};
use glenfall_control_plane::rate_limit::QuotaHolder;
use hyper::header::HeaderName;
use tokio::task::spawn_local;

use self::counters::Counters;
pub(crate) use self::freshness::max_age;
pub use self::handler::ShieldHandler;
pub use self::object_hash::{object_fraction, object_hash};
use self::singleflight::SingleFlight;
use self::warm_start::WarmStart;
use crate::cache::disk::DiskCache;
use crate::cache::{Cache, ObjectKey, StoredResponse};
use crate::settings::Settings;
use crate::upstream::forward::Forwarder;
use crate::upstream::pool::Pool;
use crate::watch_client::{WatchClient, WatchHandler};

/// The header with the version of the configuration by which an edge has routed a read. The shield never uses an older
/// one for it.
pub const CONFIG_VERSION_HEADER: HeaderName = HeaderName::from_static("x-glenfall-rev");
/// The header of a request that another shield has received before, which may have counted it or sent it to a server.
/// Further sends of it are retries, and spend the retry budget.
pub const REPEATED_REQUEST_HEADER: HeaderName = HeaderName::from_static("x-glenfall-again");
/// Fraction of the process's memory limit for the cache. The rest is for requests in flight. The limit does not
/// cover the control node on the same machine, which is a process of its own.
pub const CACHE_MEMORY_SHARE: f64 = 0.4;

/// A shield: its cache, and the fetches in flight.
pub struct Shield {
    watch_client: Rc<WatchClient>,
    forwarder: Forwarder,
    cache: RefCell<Cache>,
    /// `None` if this machine has no state folder, or the disk cache could not be started.
    disk_cache: Option<DiskCache>,
    warm_start: WarmStart,
    fetches: SingleFlight,
    counters: Counters,
}

impl Shield {
    /// A shield that receives updates through `watch_client` and fetches through `pool`.
    pub fn new(settings: &Rc<Settings>, watch_client: Rc<WatchClient>, pool: Rc<Pool>) -> Rc<Self> {
        let max_bytes = settings.memory_share(CACHE_MEMORY_SHARE);
        let opened = settings.state_dir.as_ref().and_then(|folder| {
            let disk_cache = DiskCache::open(folder, settings.req_limits.disk_mb);
            disk_cache.inspect_err(|error| tracing::warn!(%error, "disk cache unavailable")).ok()
        });
        let (disk_cache, stored_rows) = opened.unzip();
        let shield = Rc::new(Shield {
            watch_client,
            forwarder: Forwarder::new(pool, settings, ProxyRole::Shield),
            cache: RefCell::new(Cache::new(max_bytes)),
            disk_cache,
            warm_start: WarmStart::new(stored_rows.is_some(), max_bytes),
            fetches: SingleFlight::default(),
            counters: Counters::default(),
        });
        if let Some(stored_rows) = stored_rows {
            let shield = Rc::clone(&shield);
            spawn_local(async move {
                let unused = shield.warm_start.load(stored_rows.await.unwrap_or_default());
                shield.remove_from_disk(&unused);
                shield.finish_warm_start();
            });
        }
        shield
    }

    /// Moves the responses that were read from disk to the cache, once they may be used.
    fn finish_warm_start(&self) {
        let Some(stored_responses) = self.warm_start.take_ready() else { return };
        self.counters.warm_start.increment_by(stored_responses.len());
        tracing::info!(stored = stored_responses.len(), "responses from the disk cache are now in use");
        let mut cache = self.cache.borrow_mut();
        for (key, response) in stored_responses.into_entries() {
            // A response fetched since the start is newer.
            if cache.get(&key).is_none() {
                let evicted = cache.insert(key, response);
                self.remove_from_disk(&evicted);
            }
        }
    }

    /// Stores a response in memory and on disk.
    fn store(&self, key: ObjectKey, response: &Rc<StoredResponse>, is_revalidated: bool) {
        if let Some(disk_cache) = &self.disk_cache {
            if is_revalidated {
                disk_cache.set_revalidated(&key, response.age());
            } else {
                disk_cache.put(&key, &response.headers, &response.labels, &response.body, response.age());
            }
        }
        let evicted = self.cache.borrow_mut().insert(key, Rc::clone(response));
        self.remove_from_disk(&evicted);
    }

    fn remove_from_disk(&self, keys: &[ObjectKey]) {
        if let Some(disk_cache) = &self.disk_cache {
            disk_cache.remove(keys);
        }
    }
}

impl WatchHandler for Shield {
    fn config_changed(&self, _config: &Arc<Config>) {}

    fn fleet_changed(&self, fleet: &Fleet) {
        self.forwarder.update(fleet);
        let ready = fleet.shields.iter().filter(|member| member.ready && member.proxy == ProxyRole::Shield);
        // Until it knows the complete fleet, a shield assumes that every core machine has a shield that sends requests.
        let sharing_shields = ready.count().max(if fleet.complete { 1 } else { fleet.cores as usize });
        self.forwarder.set_quota_holder(QuotaHolder::Shield { shield_count: sharing_shields });
    }

    fn purge(&self, purges: &[AgedPurge]) {
        for aged in purges {
            let mut purged = self.cache.borrow_mut().purge(aged);
            purged.extend(self.warm_start.purge(aged));
            self.remove_from_disk(&purged);
            self.fetches.purge(aged);
        }
    }

    /// While disconnected from control, the cache stays in use, and its responses are marked as not covered by a lease.
    /// Only edges that hold no lease either use them.
    fn connection_changed(&self, is_connected: bool) {
        if is_connected {
            self.warm_start.set_caught_up();
            self.finish_warm_start();
        }
    }

    fn counters(&self) -> Vec<(String, u64)> {
        let counts = self.counters.counts(&self.cache.borrow()).into_iter().chain(self.forwarder.report());
        let mut report: Vec<(String, u64)> = counts.map(|(name, count)| (name.to_owned(), count)).collect();
        report.extend(self.counters.latencies());
        report
    }
}
