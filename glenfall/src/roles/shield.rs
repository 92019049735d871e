//! Start-up of the shield role.

use std::rc::Rc;
use std::time::Duration;

use glenfall_control_plane::messages::ProxyRole;
use tokio::task::spawn_local;

use super::{ProxyProcess, RoleError};
use crate::http_server::{self, ServerConfig};
use crate::settings::Settings;
use crate::shield::{Shield, ShieldHandler, CACHE_MEMORY_SHARE};

/// How long a draining shield accepts connections. Edges are notified of the draining within milliseconds, and then open
/// no more connections.
const DRAIN_ACCEPT_TIME: Duration = Duration::from_millis(1200);

/// Runs a shield until a signal ends it.
pub(crate) async fn run(settings: Rc<Settings>) -> Result<(), RoleError> {
    let process = ProxyProcess::start(settings, ProxyRole::Shield, CACHE_MEMORY_SHARE);
    let ProxyProcess { settings, watch_client, pool, max_connections, stopping } = process;
    let shield = Shield::new(&settings, Rc::clone(&watch_client), pool);
    spawn_local({
        let shield = Rc::clone(&shield);
        async move { watch_client.run(&*shield).await }
    });
    let config = ServerConfig {
        listen: settings.listen_address(settings.shield_address()),
        max_connections,
        max_body_bytes: 0,
        drain_accept_time: DRAIN_ACCEPT_TIME.min(settings.grace()),
        shutdown_timeout: settings.grace(),
    };
    Ok(http_server::serve(config, Rc::new(ShieldHandler(shield)), stopping).await?)
}
