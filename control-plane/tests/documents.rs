//! Changes of documents against a plain reference: random PUT and PATCH, valid and not. The reference keeps
//! routes and services as lists of its own and judges them by looking at every pair; it shares no code with the
//! library. `DOCUMENTS_SEED` and `DOCUMENTS_RUNS` choose other runs.

use glenfall_control_plane::config::{Config, ConfigChange, NewDocument};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};

const HOSTS: [&str; 3] = ["one.example", "ONE.example", "two.example"];
const PREFIXES: [&str; 6] = ["/", "/a/", "/a/b/", "/a/b/c/", "/ab/", "/b/"];
const NAMES: [&str; 5] = ["r1", "r2", "r3", "r4", "r5"];
const SERVICES: [&str; 3] = ["s", "t", "u"];

#[derive(Clone, Debug, PartialEq)]
struct Item {
    name: String,
    host: String,
    prefix: String,
    deadline: u64,
    /// Service and weight; a lone service with weight -1 is no split.
    to: Vec<(String, i64)>,
    note: u64,
}

#[derive(Clone, Debug, Default)]
struct Reference {
    rev: u64,
    routes: Vec<Item>,
    services: Vec<String>,
}

impl Item {
    fn json(&self) -> Value {
        let mut value = json!({
            "name": self.name, "hostname": self.host, "pathPrefix": self.prefix,
            "deadlineMs": self.deadline, "note": self.note,
        });
        match &self.to[..] {
            [(service, -1)] => value["backend"] = service.clone().into(),
            split => {
                let split =
                    split.iter().map(|(service, weight)| json!({"backend": service, "weight": weight}));
                value["split"] = split.collect();
            }
        }
        value
    }
}

impl Reference {
    fn json(&self) -> Value {
        let services: Vec<Value> = self.services.iter().map(|name| json!({"name": name})).collect();
        let routes: Vec<Value> = self.routes.iter().map(Item::json).collect();
        json!({"rev": self.rev, "paths": routes, "backends": services})
    }

    fn is_valid(&self) -> bool {
        let pairs = |n: usize| (0..n).flat_map(|a| (0..a).map(move |b| (a, b)));
        let services = pairs(self.services.len()).all(|(a, b)| self.services[a] != self.services[b]);
        let routes = pairs(self.routes.len()).all(|(a, b)| {
            let (a, b) = (&self.routes[a], &self.routes[b]);
            let same_place = a.host.eq_ignore_ascii_case(&b.host) && a.prefix == b.prefix;
            a.name != b.name && !same_place
        });
        let each = self.routes.iter().all(|route| {
            let known = route.to.iter().all(|(service, _)| self.services.contains(service));
            let lone = route.to.len() == 1 && route.to[0].1 == -1;
            let weighs = lone || route.to.iter().any(|(_, weight)| *weight > 0);
            let slashes = route.prefix.starts_with('/') && route.prefix.ends_with('/');
            known && weighs && slashes && route.deadline > 0
        });
        services && routes && each
    }

    /// Of the routes of the host, the one with the longest prefix.
    fn route(&self, host: &str, path: &str) -> Option<&str> {
        let here = self.routes.iter().filter(|r| r.host.eq_ignore_ascii_case(host));
        here.filter(|r| path.starts_with(&r.prefix)).max_by_key(|r| r.prefix.len()).map(|r| r.name.as_str())
    }
}

fn item(rng: &mut ChaCha8Rng) -> Item {
    let any = |rng: &mut ChaCha8Rng, of: &[&str]| of.choose(rng).map_or(String::new(), |s| (*s).to_owned());
    let split = rng.random_bool(0.4);
    let to = if split {
        let count = rng.random_range(1..=2);
        (0..count).map(|_| (any(rng, &SERVICES), rng.random_range(0..3))).collect()
    } else {
        vec![(any(rng, &SERVICES), -1)]
    };
    Item {
        name: any(rng, &NAMES),
        host: any(rng, &HOSTS),
        prefix: if rng.random_bool(0.03) { "/a".into() } else { any(rng, &PREFIXES) },
        deadline: if rng.random_bool(0.03) { 0 } else { rng.random_range(1..2000) },
        to,
        note: rng.random(),
    }
}

/// A change and what the reference makes of it; `None` where its text is no document.
fn change(rng: &mut ChaCha8Rng, now: &Reference) -> (ConfigChange, Option<Reference>) {
    let mut next = now.clone();
    // The new version is mostly above the current one, and at times equal or below.
    next.rev = (now.rev + rng.random_range(0..9)).saturating_sub(1);
    let patch = rng.random_bool(0.6);
    let text = if patch {
        let upserts: Vec<Item> = (0..rng.random_range(0..3)).map(|_| item(rng)).collect();
        let removes: Vec<&str> = NAMES.iter().filter(|_| rng.random_bool(0.15)).copied().collect();
        let gone: Vec<&str> = SERVICES.iter().filter(|_| rng.random_bool(0.05)).copied().collect();
        let new: Vec<&str> = SERVICES.iter().filter(|_| rng.random_bool(0.3)).copied().collect();
        next.routes.retain(|route| !removes.contains(&route.name.as_str()));
        next.services.retain(|service| !gone.contains(&service.as_str()));
        for service in &new {
            if !next.services.iter().any(|known| known == service) {
                next.services.push((*service).to_owned());
            }
        }
        for upsert in &upserts {
            match next.routes.iter_mut().find(|route| route.name == upsert.name) {
                Some(route) => *route = upsert.clone(),
                None => next.routes.push(upsert.clone()),
            }
        }
        let services: Vec<Value> = new.iter().map(|name| json!({"name": name})).collect();
        let routes: Vec<Value> = upserts.iter().map(Item::json).collect();
        json!({
            "rev": next.rev,
            "upsert": {"paths": routes, "backends": services},
            "remove": {"paths": removes, "backends": gone},
        })
    } else {
        next.routes = (0..rng.random_range(0..4)).map(|_| item(rng)).collect();
        next.services = SERVICES.iter().map(|s| (*s).to_owned()).filter(|_| rng.random_bool(0.9)).collect();
        if rng.random_bool(0.03) {
            next.services.push("s".into());
        }
        next.json()
    };
    let mut bytes = text.to_string().into_bytes();
    let cut = rng.random_bool(0.05);
    if cut {
        bytes.truncate(rng.random_range(0..bytes.len()));
    }
    let change = if patch { ConfigChange::Patch(bytes) } else { ConfigChange::Put(bytes) };
    (change, (!cut).then_some(next))
}

#[test]
fn changes_of_documents_match_a_plain_reference() {
    let number = |name: &str, or: u64| std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(or);
    let (first, runs) = (number("DOCUMENTS_SEED", 0), number("DOCUMENTS_RUNS", 200));
    let (mut applied, mut rejected) = (0, 0);
    for seed in first..first + runs {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut now, mut document) = (Reference::default(), Vec::new());
        for step in 0..60 {
            let at = format!("seed {seed}, step {step}");
            let (change, next) = change(&mut rng, &now);
            let good = next.filter(|next| next.is_valid() && next.rev > now.rev);
            match (change.apply(&document, now.rev), good) {
                (Ok(NewDocument { rev, document: made }), Some(next)) => {
                    assert_eq!(rev, next.rev, "{at}");
                    let value: Value = serde_json::from_slice(&made).unwrap();
                    assert_eq!(value, next.json(), "{at}");
                    let config = Config::read(&made).unwrap();
                    for host in HOSTS.iter().chain(&["three.example"]) {
                        for path in ["/", "/a", "/a/", "/a/b", "/a/b/c/d", "/ab/x", "/b/b/", "*", "/c"] {
                            let found = config.route(host, path).map(|route| route.name.as_str());
                            assert_eq!(found, next.route(host, path), "{at}: {host}{path}");
                        }
                    }
                    (now, document) = (next, made);
                    applied += 1;
                }
                (Err(why), None) => {
                    assert!(!why.to_string().contains('\n'), "{at}: {why}");
                    rejected += 1;
                }
                (made, good) => panic!("{at}: {change:?} gave {made:?}, the reference says {good:?}"),
            }
        }
    }
    assert!(applied * 10 > rejected && rejected * 10 > applied, "{applied} applied, {rejected} rejected");
}
