//! Start-up of the edge and the shield, and the parts that both of these proxies start with.

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

/// File descriptors reserved for files, sessions and the runtime.
const RESERVED_DESCRIPTORS: usize = 300;
/// Minimum number of file descriptors for connections, even if `maxFds` leaves fewer.
const MIN_CONNECTION_DESCRIPTORS: usize = 16;
/// Fraction of the process's memory limit for responses in flight, in addition to the cache. Request bodies, responses
/// and the cache together leave at least a quarter for connections and everything else.
const RESPONSE_MEMORY_SHARE: f64 = 0.25;

/// The error that ended a role.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RoleError {
    /// The settings lack what the role needs.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A listener could not be started at its address.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// The parts of a process that an edge and a shield have in common.
struct ProxyProcess {
    settings: Rc<Settings>,
    watch_client: Rc<WatchClient>,
    pool: Rc<Pool>,
    /// Maximum number of connections from clients, and likewise of connections to servers and shields.
    max_connections: usize,
    /// True once a termination signal was received.
    stopping: watch::Receiver<bool>,
}

impl ProxyProcess {
    /// Creates the parts, and starts two tasks: one closes idle connections of the pool, the other begins draining on a
    /// termination signal.
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

/// Starts a task that begins draining on a termination signal. The returned channel is true from then on.
fn stop_on_signal(watch_client: &Rc<WatchClient>) -> watch::Receiver<bool> {
    let (sender, stopping) = watch::channel(false);
    let watch_client = Rc::clone(watch_client);
    spawn_local(async move {
        wait_for_termination().await;
        tracing::info!("termination signal received: draining");
        watch_client.start_draining();
        sender.send_replace(true);
        // Receivers that begin to wait later would fail if the sender were dropped.
        std::future::pending::<()>().await;
    });
    stopping
}
