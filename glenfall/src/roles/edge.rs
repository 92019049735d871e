//! Start-up of the edge role: the proxy for clients, and the readiness endpoint.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use glenfall_control_plane::messages::ProxyRole;
use tokio::task::spawn_local;

use super::{ProxyProcess, RoleError};
use crate::edge::{Edge, EdgeHandler, ReadinessHandler, CACHE_MEMORY_SHARE};
use crate::http_server::{self, ServerConfig};
use crate::settings::Settings;

/// Fraction of an edge's memory limit for the bodies of requests in flight. The remainder is for the cache, connections
/// and responses.
const REQUEST_BODY_MEMORY_SHARE: f64 = 0.4;
/// How long a draining edge accepts connections. Load balancers probe the readiness endpoint once a second and stop
/// sending connections after the second failed probe; connections that arrive until then are still accepted.
const DRAIN_ACCEPT_TIME: Duration = Duration::from_millis(3200);
/// Maximum number of connections to the readiness endpoint.
const MAX_READINESS_CONNECTIONS: usize = 16;

/// Runs an edge until a signal ends it.
pub(crate) async fn run(settings: Rc<Settings>) -> Result<(), RoleError> {
    let listen = settings.require_listener("http", |listeners| listeners.http)?;
    let ready_listen = settings.require_listener("readyAddr", |listeners| listeners.ready_addr)?;
    let process = ProxyProcess::start(settings, ProxyRole::Edge, CACHE_MEMORY_SHARE);
    let edge = Edge::new(&process.settings, Rc::clone(&process.watch_client), Rc::clone(&process.pool));
    spawn_local({
        let (watch_client, edge) = (Rc::clone(&process.watch_client), Rc::clone(&edge));
        async move { watch_client.run(&*edge).await }
    });
    let readiness = http_server::serve(
        readiness_config(ready_listen, &process.settings),
        Rc::new(ReadinessHandler(Rc::clone(&process.watch_client))),
        process.stopping.clone(),
    );
    let proxy = http_server::serve(
        proxy_config(listen, &process),
        Rc::new(EdgeHandler(edge)),
        process.stopping.clone(),
    );
    // The role ends with the first of the two to end. The proxy ends once it has drained, the readiness endpoint at the
    // end of the grace period, and either of them at once if it can't bind its address.
    tokio::select! {
        served = proxy => Ok(served?),
        ended = readiness => Ok(ended?),
    }
}

fn proxy_config(listen: SocketAddrV4, process: &ProxyProcess) -> ServerConfig {
    let settings = &process.settings;
    ServerConfig {
        listen,
        max_connections: process.max_connections,
        max_body_bytes: settings.memory_share(REQUEST_BODY_MEMORY_SHARE),
        drain_accept_time: DRAIN_ACCEPT_TIME.min(settings.grace()),
        shutdown_timeout: settings.grace(),
    }
}

/// The readiness endpoint accepts connections until the grace period ends, so that every probe sees the draining state.
fn readiness_config(listen: SocketAddrV4, settings: &Settings) -> ServerConfig {
    ServerConfig {
        listen,
        max_connections: MAX_READINESS_CONNECTIONS,
        max_body_bytes: 0,
        drain_accept_time: settings.grace(),
        shutdown_timeout: settings.grace(),
    }
}
