//! The cache key.

use std::sync::Arc;

/// The cache key of an object: service, host, path and query.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ObjectKey {
    /// The service whose servers have the object.
    pub service: Arc<str>,
    /// The host, as the client named it.
    pub host: Arc<str>,
    /// Path and query.
    pub path: Arc<str>,
}

impl ObjectKey {
    /// Whether a purge of this host and path covers the object, whose query is ignored.
    pub fn matches_location(&self, hostname: &str, path: &str) -> bool {
        let path_without_query = self.path.split_once('?').map_or(&*self.path, |(path, _)| path);
        path_without_query == path && self.host.eq_ignore_ascii_case(hostname)
    }
}
