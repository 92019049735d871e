//! Configuration documents: parsing, validation, changes, and the lookup of the route of a request.
//!
//! A document is stored as the JSON that the operator sent, including fields that this version does not know, so that a
//! later read returns it unchanged. [`Config`] is the parsed form that the data plane uses.

mod change;
mod document;
mod host;
mod routing;
mod validation;

use serde::Deserialize;

use routing::RouteTable;

pub use change::{ConfigChange, NewDocument};
pub use document::{Backend, RequestLimits, Route, RouteKind, WeightedBackend};
pub use host::canonical_host;
pub use validation::InvalidConfig;

/// Maximum size of a document, also after a patch. A document of this size fits into one frame
/// ([`MAX_FRAME_BYTES`](crate::messages::MAX_FRAME_BYTES)) together with the deduplication table and a view. A larger
/// one could not be sent to the other members of the chain.
pub const MAX_DOCUMENT_BYTES: usize = 3 << 20;

/// A parsed and validated document.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Config {
    /// Version of the document; each change raises it.
    pub rev: u64,
    /// The routes, each with a unique name and a unique pair of host and path prefix.
    #[serde(default)]
    pub paths: Vec<Route>,
    /// The services, each with a unique name.
    #[serde(default)]
    pub backends: Vec<Backend>,
    /// Limits of client requests.
    #[serde(default)]
    pub req_limits: RequestLimits,
    /// Index of `paths`.
    #[serde(skip)]
    route_table: RouteTable,
    /// The distinct priorities of all routes, in ascending order of the number: the highest priority first.
    #[serde(skip)]
    priorities: Vec<u32>,
}

impl Config {
    /// Parses and validates a document.
    ///
    /// # Errors
    ///
    /// [`InvalidConfig`] if the document is malformed or inconsistent.
    pub fn parse(document: &[u8]) -> Result<Config, InvalidConfig> {
        let mut config: Config =
            serde_json::from_slice(document).map_err(|error| InvalidConfig::Unreadable(error.to_string()))?;
        validation::check(&config.paths, &config.backends)?;
        config.route_table = RouteTable::new(&config.paths);
        config.priorities = distinct_priorities(&config.paths);
        Ok(config)
    }

    /// The route of a request: among the routes of its host, the one with the longest matching path prefix. A port in
    /// `host` is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let index = self.route_table.find(host, path)?;
        self.paths.get(index)
    }

    /// Rank of a route's priority among all routes, from 0 for the highest priority to 1 for the lowest.
    pub fn priority_rank(&self, route: &Route) -> f64 {
        let higher = self.priorities.iter().filter(|priority| **priority < route.prio).count();
        let lowest_rank = self.priorities.len().saturating_sub(1).max(1);
        higher as f64 / lowest_rank as f64
    }

    /// The service with this name.
    pub fn backend(&self, name: &str) -> Option<&Backend> {
        self.backends.iter().find(|backend| backend.name == name)
    }
}

fn distinct_priorities(routes: &[Route]) -> Vec<u32> {
    let mut priorities: Vec<u32> = routes.iter().map(|route| route.prio).collect();
    priorities.sort_unstable();
    priorities.dedup();
    priorities
}
