//! Lookup of the route that matches a request.

use std::collections::HashMap;

use super::host::canonical_host;
use crate::config::document::Route;

/// Indexes of routes, by path prefix.
type RoutesByPrefix = HashMap<String, usize>;

/// Index of the routes of a document, by host and path prefix.
#[derive(Clone, Debug, Default)]
pub(super) struct RouteTable {
    /// Routes by canonical host.
    by_host: HashMap<String, RoutesByPrefix>,
}

impl RouteTable {
    /// Builds the index. Each pair of host and prefix is expected to occur once.
    pub(super) fn new(routes: &[Route]) -> Self {
        let mut table = RouteTable::default();
        for (index, route) in routes.iter().enumerate() {
            let prefixes = table.by_host.entry(route.hostname.to_ascii_lowercase()).or_default();
            prefixes.insert(route.path_prefix.clone(), index);
        }
        table
    }

    /// Index of the route of this host that has the longest matching path prefix. `host` may have a port.
    pub(super) fn find(&self, host: &str, path: &str) -> Option<usize> {
        let prefixes = self.by_host.get(&*canonical_host(host))?;
        // Prefixes end with a slash, so that only the parts of the path that end with a slash can match.
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(index) = prefixes.get(&path[..=slash]) {
                return Some(*index);
            }
            end = slash;
        }
        None
    }
}
