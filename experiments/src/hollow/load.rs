//! What servers and operators call control for, beside the hollow nodes.

use std::cell::Cell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use glenfall::memory_budget::MemoryBudget;
use glenfall::operator::commands::{self, ControlAddresses, OperatorError};
use glenfall::upstream::pool::Pool;
use hyper::Method;
use serde_json::json;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{interval, sleep, Instant, MissedTickBehavior};

use super::nodes::{Early, Seen, LABEL};
use crate::origin;

/// How often servers say that they are there, as the sites have it.
pub const BEAT: Duration = Duration::from_millis(1500);
/// A change is waited for so long everywhere: the bound.
pub const IN_FORCE: Duration = Duration::from_secs(16);
/// Routes go to so many services.
const SERVICES: u32 = 50;
/// How often what is waited for is looked at; times are no finer where they are not nodes' own.
const LOOK: Duration = Duration::from_millis(5);

fn route(number: u32, max_age_s: f64) -> serde_json::Value {
    json!({
        "name": format!("route-{number:04}"), "hostname": format!("site-{:03}.example", number / 4),
        "pathPrefix": format!("/part-{number}/"), "type": "cacheable", "deadlineMs": 4000, "targetMs": 250,
        "prio": number % 3, "backend": format!("service-{}", number % SERVICES), "tries": 2, "maxAgeS": max_age_s,
    })
}

/// A configuration of so many routes.
pub fn document(routes: u32) -> serde_json::Value {
    let service = |n| json!({ "name": format!("service-{n}"), "maxConns": 256, "ratePerS": 900.0 });
    json!({
        "rev": 1,
        "paths": (0..routes).map(|n| route(n, 40.0)).collect::<Vec<_>>(),
        "backends": (0..SERVICES).map(service).collect::<Vec<_>>(),
    })
}

/// The same nodes, another one first.
fn turned(controls: &ControlAddresses, by: usize) -> ControlAddresses {
    let mut all = controls.controls.clone();
    let by = by % all.len().max(1);
    all.rotate_left(by);
    ControlAddresses { controls: all }
}

/// Servers that beat, spread over the control nodes and over time; `failed` counts beats that no node took.
pub fn servers(
    count: u32,
    controls: &ControlAddresses,
    addr: SocketAddrV4,
    failed: &Rc<Cell<u32>>,
) -> Vec<JoinHandle<()>> {
    let one = |number: u32| {
        let controls = turned(controls, number as usize);
        let failed = Rc::clone(failed);
        spawn_local(async move {
            sleep(BEAT * number / count.max(1)).await;
            let pool = Pool::new(4, MemoryBudget::new(1 << 20));
            let uri = format!("/api/servers/server-{number:03}");
            let mut ticks = interval(BEAT);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
            for seq in 1u64.. {
                ticks.tick().await;
                let beat = json!({
                    "backend": format!("service-{}", number % SERVICES), "zone": "zone-1", "rev": "v1",
                    "addr": SocketAddrV4::new(*addr.ip(), addr.port() + number as u16), "capacity": 32,
                    "status": "ready", "warmupLeftMs": 0, "callSeq": seq,
                });
                if !origin::call(&pool, &controls, Method::PUT, &uri, beat.to_string().into()).await {
                    failed.set(failed.get() + 1);
                }
            }
        })
    };
    (0..count).map(one).collect()
}

/// What an operator saw, in milliseconds.
#[derive(Default)]
pub struct Told {
    /// From a call until it was acknowledged.
    pub acknowledged: Vec<f64>,
    /// From a call until a node had it in force, for each node and call.
    pub in_force: Vec<f64>,
    /// Not acknowledged; or acknowledged and not everywhere in `IN_FORCE`.
    pub failed: u32,
    /// Acknowledgements of purges that nodes had not taken: how many such nodes, over all.
    pub early: Early,
}

/// Changes one route after another, at even times; each is waited for at all nodes.
pub async fn change(
    controls: &ControlAddresses,
    seen: &Seen,
    nodes: u32,
    rev: &Cell<u64>,
    per_s: f64,
    lasts: Duration,
) -> Result<Told, OperatorError> {
    let mut told = Told::default();
    let began = Instant::now();
    let mut ticks = interval(Duration::from_secs_f64(1.0 / per_s));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while began.elapsed() < lasts {
        ticks.tick().await;
        let next = rev.get() + 1;
        let patch =
            json!({ "rev": next, "upsert": { "paths": [route(next as u32 % 7, 40.0 + next as f64)] } });
        let (from, called) = (seen.now(), Instant::now());
        let controls = turned(controls, next as usize);
        commands::call_control(
            &controls,
            Method::PATCH,
            "/api/config",
            Some(rev.get()),
            patch.to_string().into(),
        )
        .await?;
        rev.set(next);
        told.acknowledged.push(called.elapsed().as_secs_f64() * 1000.0);
        while seen.took_version(next).len() < nodes as usize && called.elapsed() < IN_FORCE {
            sleep(LOOK).await;
        }
        let took = seen.took_version(next);
        told.failed += u32::from(took.len() < nodes as usize);
        told.in_force.extend(took.iter().map(|at| (at - from) * 1000.0));
    }
    Ok(told)
}

/// Purges at even times, whether or not those before are acknowledged.
pub async fn purge(
    controls: &ControlAddresses,
    seen: &std::sync::Arc<Seen>,
    next: &Cell<usize>,
    per_s: f64,
    lasts: Duration,
) -> Told {
    let mut told = Told::default();
    let pools: Vec<Rc<Pool>> =
        controls.controls.iter().map(|_| Pool::new(64, MemoryBudget::new(1 << 20))).collect();
    let began = Instant::now();
    let mut ticks = interval(Duration::from_secs_f64(1.0 / per_s));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut under_way = Vec::new();
    while began.elapsed() < lasts {
        ticks.tick().await;
        let number = next.replace(next.get() + 1);
        let (controls, seen) = (turned(controls, number), std::sync::Arc::clone(seen));
        let pool = Rc::clone(&pools[number % pools.len()]);
        under_way.push(spawn_local(async move {
            let body = json!({ "label": format!("{LABEL}{number}") }).to_string();
            let called = Instant::now();
            let done = origin::call(&pool, &controls, Method::POST, "/api/purge", body.into()).await;
            (done, called.elapsed(), seen.early(number))
        }));
    }
    for call in under_way {
        match call.await {
            Ok((true, took, early)) => {
                told.acknowledged.push(took.as_secs_f64() * 1000.0);
                told.early.leased += early.leased;
                told.early.in_touch += early.in_touch;
            }
            Ok((false, ..)) | Err(_) => told.failed += 1,
        }
    }
    told
}

/// Waits until something holds; how long that took, in milliseconds, or nothing where it took longer than `most`.
pub async fn until(most: Duration, holds: impl Fn() -> bool) -> Option<f64> {
    let began = Instant::now();
    while began.elapsed() < most {
        if holds() {
            return Some(began.elapsed().as_secs_f64() * 1000.0);
        }
        sleep(LOOK).await;
    }
    None
}
