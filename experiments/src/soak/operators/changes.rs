//! The configuration changes that operators send, and their documents.

use serde_json::{json, Value};

use crate::plan::Plan;

/// Number of preceding versions whose routes a version still contains.
const MAX_PARENTS: usize = 2;
/// Host of the marker routes, which distinguish changes that make the same version.
const MARKER_HOST: &str = "mark.example";
/// Prefix of the names of marker routes; the number of the change follows.
const MARKER_NAME_PREFIX: &str = "mark-";

/// Returns the host of the route that a version adds.
pub fn host_of_version(rev: u64) -> String {
    format!("v{rev}.example")
}

/// A change, which replaces the complete configuration.
#[derive(Clone, Debug)]
pub struct ConfigChange {
    /// Unique number of the change. Several changes may make the same version.
    pub number: u64,
    /// The version that the change is based on.
    pub builds_on: u64,
    /// The version that the change makes.
    pub rev: u64,
    /// The preceding versions whose routes the change contains, newest last.
    parents: Vec<u64>,
}

impl ConfigChange {
    /// Returns the state before the first change, version 0.
    pub fn initial() -> ConfigChange {
        ConfigChange { number: 0, builds_on: 0, rev: 0, parents: Vec::new() }
    }

    /// Returns a change that is based on this one, and increases the version by `version_step`.
    pub fn next(&self, number: u64, version_step: u64) -> ConfigChange {
        let mut parents = self.parents.clone();
        if self.rev > 0 {
            parents.push(self.rev);
        }
        let parents = parents.split_off(parents.len().saturating_sub(MAX_PARENTS));
        ConfigChange { number, builds_on: self.rev, rev: self.rev + version_step, parents }
    }

    /// Returns the configuration document: that of the plan, plus a route for this version and each of its parents,
    /// and the marker route.
    pub fn document(&self, plan: &Plan) -> Value {
        let mut document = plan.configuration();
        document["rev"] = self.rev.into();
        let backend = &plan.classes[0].service;
        let class = &plan.classes[0].name;
        if let Some(routes) = document["paths"].as_array_mut() {
            for rev in self.parents.iter().chain([&self.rev]) {
                let (host, prefix) = (host_of_version(*rev), format!("/{class}/"));
                routes.push(route(&host, &prefix, &format!("version-{rev}"), backend));
            }
            let (prefix, name) =
                (format!("/{}/", self.number), format!("{MARKER_NAME_PREFIX}{}", self.number));
            routes.push(route(MARKER_HOST, &prefix, &name, backend));
        }
        document
    }
}

fn route(host: &str, prefix: &str, name: &str, backend: &str) -> Value {
    json!({
        "name": name, "hostname": host, "pathPrefix": prefix, "type": "cacheable", "deadlineMs": 1200,
        "targetMs": 300, "prio": 2, "backend": backend, "tries": 2, "maxAgeS": 5,
    })
}

/// Returns the number of the change that made a document; `None` if the document has no marker route.
pub fn change_number(document: &Value) -> Option<u64> {
    let routes = document["paths"].as_array()?;
    let mut names = routes.iter().filter_map(|route| route["name"].as_str());
    names.find_map(|name| name.strip_prefix(MARKER_NAME_PREFIX)?.parse().ok())
}

/// A kind of invalid document.
#[derive(Clone, Copy, Debug)]
pub enum InvalidDocument {
    /// A route refers to a backend that does not exist.
    UnknownBackend,
    /// A route has a deadline of zero.
    ZeroDeadline,
    /// Two routes are identical.
    DuplicateRoute,
    /// The version is not higher than the one that the change is based on.
    SameVersion,
    /// The second half of the document is missing.
    Truncated,
}

impl InvalidDocument {
    /// All kinds, to draw from.
    pub const ALL: [InvalidDocument; 5] = [
        InvalidDocument::UnknownBackend,
        InvalidDocument::ZeroDeadline,
        InvalidDocument::DuplicateRoute,
        InvalidDocument::SameVersion,
        InvalidDocument::Truncated,
    ];

    /// Returns the document of a change with this defect.
    pub fn of(self, change: &ConfigChange, plan: &Plan) -> String {
        let mut document = change.document(plan);
        match self {
            InvalidDocument::UnknownBackend => document["paths"][0]["backend"] = "nobody".into(),
            InvalidDocument::ZeroDeadline => document["paths"][0]["deadlineMs"] = 0.into(),
            InvalidDocument::DuplicateRoute => document["paths"][1] = document["paths"][0].clone(),
            InvalidDocument::SameVersion => document["rev"] = change.builds_on.into(),
            InvalidDocument::Truncated => {
                let text = document.to_string();
                return text[..text.len() / 2].to_owned();
            }
        }
        document.to_string()
    }
}
