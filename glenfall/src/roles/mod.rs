//! Start-up of the roles that a machine runs as processes of their own, and what the two proxies have in common.

pub(crate) mod edge;
pub(crate) mod shield;

use std::rc::Rc;

use glenfall_control_plane::messages::ProxyRole;
use tokio::sync::watch;
use tokio::task::spawn_local;

use crate::memory_budget::MemoryBudget;
use crate::settings::{Settings, SettingsError};
use crate::signals::wait_for_termination;
use crate::upstream::pool::Pool;
use crate::watch_client::WatchClient;

/// File descriptors that a process needs for files, sessions and the runtime.
const RESERVED_DESCRIPTORS: usize = 300;
/// File descriptors for connections that a process uses at least, whatever its limit.
const MIN_CONNECTION_DESCRIPTORS: usize = 16;
/// Share of the machine's memory for responses in flight, in addition to the cache. Request bodies, responses and the cache
/// together leave a quarter at least for connections and everything else.
const RESPONSE_MEMORY_SHARE: f64 = 0.25;

/// Why a role has ended.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RoleError {
    /// The settings lack what the role needs.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An address can't be listened at.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// What an edge and a shield start with.
struct ProxyProcess {
    settings: Rc<Settings>,
    watch_client: Rc<WatchClient>,
    pool: Rc<Pool>,
    /// Bound on the connections from clients, and on those to servers and shields.
    max_connections: usize,
    /// True once the process is to stop.
    stopping: watch::Receiver<bool>,
}

impl ProxyProcess {
    /// Starts the watch client's shutdown on a signal, and the closing of connections that stay idle.
    fn start(settings: Rc<Settings>, role: ProxyRole, cache_memory_share: f64) -> Self {
        let descriptors = settings.req_limits.max_fds.saturating_sub(RESERVED_DESCRIPTORS);
        let max_connections = descriptors.max(MIN_CONNECTION_DESCRIPTORS) / 2;
        let response_memory = settings.memory_share(cache_memory_share + RESPONSE_MEMORY_SHARE);
        let pool = Pool::new(max_connections, MemoryBudget::new(response_memory));
        let watch_client = WatchClient::new(Rc::clone(&settings), role);
        spawn_local({
            let pool = Rc::clone(&pool);
            async move { pool.sweep().await }
        });
        let stopping = stop_on_signal(&watch_client);
        ProxyProcess { settings, watch_client, pool, max_connections, stopping }
    }
}

/// Begins draining once a signal ends the process; returns a channel that is true from then on.
fn stop_on_signal(watch_client: &Rc<WatchClient>) -> watch::Receiver<bool> {
    let (sender, stopping) = watch::channel(false);
    let watch_client = Rc::clone(watch_client);
    spawn_local(async move {
        wait_for_termination().await;
        tracing::info!("draining");
        watch_client.start_draining();
        sender.send_replace(true);
        // Dropping the sender would end the waits of receivers that begin later.
        std::future::pending::<()>().await;
    });
    stopping
}
