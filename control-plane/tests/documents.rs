//! Random PUT and PATCH changes of the configuration, valid and invalid, compared with a reference model. The model keeps
//! routes and backends as plain lists, validates every pair of them, and shares no code with the library.
//!
//! `DOCUMENTS_SEED` sets the first seed, and `DOCUMENTS_RUNS` the number of seeds.

use glenfall_control_plane::config::{Config, ConfigChange, NewDocument};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};

const HOSTNAMES: [&str; 3] = ["one.example", "ONE.example", "two.example"];
const PATH_PREFIXES: [&str; 6] = ["/", "/a/", "/a/b/", "/a/b/c/", "/ab/", "/b/"];
const ROUTE_NAMES: [&str; 5] = ["r1", "r2", "r3", "r4", "r5"];
const BACKEND_NAMES: [&str; 3] = ["s", "t", "u"];

#[derive(Clone, Debug, PartialEq)]
struct Route {
    name: String,
    host: String,
    prefix: String,
    deadline: u64,
    /// Backends with their weights. A single backend with the weight -1 stands for a route without a split.
    targets: Vec<(String, i64)>,
    note: u64,
}

#[derive(Clone, Debug, Default)]
struct ReferenceModel {
    rev: u64,
    routes: Vec<Route>,
    backends: Vec<String>,
}

impl Route {
    fn json(&self) -> Value {
        let mut value = json!({
            "name": self.name, "hostname": self.host, "pathPrefix": self.prefix,
            "deadlineMs": self.deadline, "note": self.note,
        });
        match &self.targets[..] {
            [(backend, -1)] => value["backend"] = backend.clone().into(),
            split => {
                let split =
                    split.iter().map(|(backend, weight)| json!({"backend": backend, "weight": weight}));
                value["split"] = split.collect();
            }
        }
        value
    }
}

impl ReferenceModel {
    fn json(&self) -> Value {
        let backends: Vec<Value> = self.backends.iter().map(|name| json!({"name": name})).collect();
        let routes: Vec<Value> = self.routes.iter().map(Route::json).collect();
        json!({"rev": self.rev, "paths": routes, "backends": backends})
    }

    fn is_valid(&self) -> bool {
        let pairs = |n: usize| (0..n).flat_map(|a| (0..a).map(move |b| (a, b)));
        let valid_backends = pairs(self.backends.len()).all(|(a, b)| self.backends[a] != self.backends[b]);
        let valid_routes = pairs(self.routes.len()).all(|(a, b)| {
            let (a, b) = (&self.routes[a], &self.routes[b]);
            let same_prefix = a.host.eq_ignore_ascii_case(&b.host) && a.prefix == b.prefix;
            a.name != b.name && !same_prefix
        });
        let all_valid = self.routes.iter().all(|route| {
            let known_backends = route.targets.iter().all(|(backend, _)| self.backends.contains(backend));
            let single_backend = route.targets.len() == 1 && route.targets[0].1 == -1;
            let has_weight = single_backend || route.targets.iter().any(|(_, weight)| *weight > 0);
            let valid_prefix = route.prefix.starts_with('/') && route.prefix.ends_with('/');
            known_backends && has_weight && valid_prefix && route.deadline > 0
        });
        valid_backends && valid_routes && all_valid
    }

    /// The name of the route with the longest matching prefix among the routes of the host.
    fn route(&self, host: &str, path: &str) -> Option<&str> {
        let routes_of_host = self.routes.iter().filter(|r| r.host.eq_ignore_ascii_case(host));
        routes_of_host
            .filter(|r| path.starts_with(&r.prefix))
            .max_by_key(|r| r.prefix.len())
            .map(|r| r.name.as_str())
    }
}

fn random_route(rng: &mut ChaCha8Rng) -> Route {
    let random_text =
        |rng: &mut ChaCha8Rng, values: &[&str]| values.choose(rng).map_or(String::new(), |s| (*s).to_owned());
    let split = rng.random_bool(0.4);
    let targets = if split {
        let count = rng.random_range(1..=2);
        (0..count).map(|_| (random_text(rng, &BACKEND_NAMES), rng.random_range(0..3))).collect()
    } else {
        vec![(random_text(rng, &BACKEND_NAMES), -1)]
    };
    Route {
        name: random_text(rng, &ROUTE_NAMES),
        host: random_text(rng, &HOSTNAMES),
        prefix: if rng.random_bool(0.03) { "/a".into() } else { random_text(rng, &PATH_PREFIXES) },
        deadline: if rng.random_bool(0.03) { 0 } else { rng.random_range(1..2000) },
        targets,
        note: rng.random(),
    }
}

/// A random change, and the state that the model has after it; `None` where the change is not valid JSON.
fn random_change(rng: &mut ChaCha8Rng, current: &ReferenceModel) -> (ConfigChange, Option<ReferenceModel>) {
    let mut next = current.clone();
    // The new version is mostly above the current one, and at times equal or below.
    next.rev = (current.rev + rng.random_range(0..9)).saturating_sub(1);
    let patch = rng.random_bool(0.6);
    let document = if patch {
        let upserted_routes: Vec<Route> = (0..rng.random_range(0..3)).map(|_| random_route(rng)).collect();
        let removed_routes: Vec<&str> =
            ROUTE_NAMES.iter().filter(|_| rng.random_bool(0.15)).copied().collect();
        let removed_backends: Vec<&str> =
            BACKEND_NAMES.iter().filter(|_| rng.random_bool(0.05)).copied().collect();
        let added_backends: Vec<&str> =
            BACKEND_NAMES.iter().filter(|_| rng.random_bool(0.3)).copied().collect();
        next.routes.retain(|route| !removed_routes.contains(&route.name.as_str()));
        next.backends.retain(|backend| !removed_backends.contains(&backend.as_str()));
        for backend in &added_backends {
            if !next.backends.iter().any(|known| known == backend) {
                next.backends.push((*backend).to_owned());
            }
        }
        for upserted in &upserted_routes {
            match next.routes.iter_mut().find(|route| route.name == upserted.name) {
                Some(route) => *route = upserted.clone(),
                None => next.routes.push(upserted.clone()),
            }
        }
        let backends: Vec<Value> = added_backends.iter().map(|name| json!({"name": name})).collect();
        let routes: Vec<Value> = upserted_routes.iter().map(Route::json).collect();
        json!({
            "rev": next.rev,
            "upsert": {"paths": routes, "backends": backends},
            "remove": {"paths": removed_routes, "backends": removed_backends},
        })
    } else {
        next.routes = (0..rng.random_range(0..4)).map(|_| random_route(rng)).collect();
        next.backends =
            BACKEND_NAMES.iter().map(|s| (*s).to_owned()).filter(|_| rng.random_bool(0.9)).collect();
        if rng.random_bool(0.03) {
            next.backends.push("s".into());
        }
        next.json()
    };
    let mut bytes = document.to_string().into_bytes();
    let is_truncated = rng.random_bool(0.05);
    if is_truncated {
        bytes.truncate(rng.random_range(0..bytes.len()));
    }
    let change = if patch { ConfigChange::Patch(bytes) } else { ConfigChange::Put(bytes) };
    (change, (!is_truncated).then_some(next))
}

#[test]
fn config_changes_match_a_reference_model() {
    let env_number =
        |name: &str, default: u64| std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default);
    let (first, runs) = (env_number("DOCUMENTS_SEED", 0), env_number("DOCUMENTS_RUNS", 200));
    let (mut applied, mut rejected) = (0, 0);
    for seed in first..first + runs {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut current, mut document) = (ReferenceModel::default(), Vec::new());
        for step in 0..60 {
            let case = format!("seed {seed}, step {step}");
            let (change, next) = random_change(&mut rng, &current);
            let expected = next.filter(|next| next.is_valid() && next.rev > current.rev);
            match (change.apply(&document, current.rev), expected) {
                (Ok(NewDocument { rev, document: new_document }), Some(next)) => {
                    assert_eq!(rev, next.rev, "{case}");
                    let value: Value = serde_json::from_slice(&new_document).unwrap();
                    assert_eq!(value, next.json(), "{case}");
                    let config = Config::parse(&new_document).unwrap();
                    for host in HOSTNAMES.iter().chain(&["three.example"]) {
                        for path in ["/", "/a", "/a/", "/a/b", "/a/b/c/d", "/ab/x", "/b/b/", "*", "/c"] {
                            let found = config.route(host, path).map(|route| route.name.as_str());
                            assert_eq!(found, next.route(host, path), "{case}: {host}{path}");
                        }
                    }
                    (current, document) = (next, new_document);
                    applied += 1;
                }
                (Err(error), None) => {
                    assert!(!error.to_string().contains('\n'), "{case}: {error}");
                    rejected += 1;
                }
                (new_document, expected) => {
                    panic!("{case}: {change:?} gave {new_document:?}, the model expects {expected:?}")
                }
            }
        }
    }
    assert!(applied * 10 > rejected && rejected * 10 > applied, "{applied} applied, {rejected} rejected");
}
