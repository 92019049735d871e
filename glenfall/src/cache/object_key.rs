//! The cache key.

use std::sync::Arc;

use glenfall_control_plane::config::canonical_host;

/// The cache key of an object: service, host, path and query.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ObjectKey {
    /// The service whose servers have the object.
    pub service: Arc<str>,
    /// The host in its canonical form: see [`canonical_host`].
    pub host: Arc<str>,
    /// Path and query.
    pub path: Arc<str>,
}

impl ObjectKey {
    /// Whether a request can have this key. The keys of earlier versions had the host as the client named it.
    pub fn is_canonical(&self) -> bool {
        *self.host == *canonical_host(&self.host)
    }

    /// Whether a purge of this host and path covers the object, whose query is ignored.
    pub fn matches_location(&self, hostname: &str, path: &str) -> bool {
        let path_without_query = self.path.split_once('?').map_or(&*self.path, |(path, _)| path);
        path_without_query == path && *self.host == *canonical_host(hostname)
    }
}
