//! The load on control processes besides the hollow nodes: heartbeats of servers, and changes and purges by operators.

use std::cell::Cell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use glenfall::memory_budget::MemoryBudget;
use glenfall::operator::commands::{self, ControlAddresses, OperatorError};
use glenfall::upstream::pool::Pool;
use hyper::Method;
use serde_json::{json, Value};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{interval, sleep, Instant, MissedTickBehavior};

use super::observations::{EarlyAcknowledgement, Observations, PURGE_LABEL_PREFIX};
use super::waiting::{milliseconds_since, POLL_INTERVAL};
use crate::origin;

/// The heartbeat interval of servers, as in production sites.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1500);
/// The documented bound for a change to be applied on all nodes.
const APPLY_TIMEOUT: Duration = Duration::from_secs(16);
/// The number of services; routes are distributed over them.
const SERVICE_COUNT: u32 = 50;
/// The number of consecutive routes that share a hostname.
const ROUTES_PER_SITE: u32 = 4;
/// The `maxAgeS` of routes in the initial configuration, in seconds.
const INITIAL_MAX_AGE_S: f64 = 40.0;
/// The number of routes that changes alternate between.
const CHANGED_ROUTES: u32 = 7;
/// Connections from a server to control nodes.
const SERVER_CONNECTIONS: usize = 4;
/// Connections from operators to each control node.
const OPERATOR_CONNECTIONS: usize = 64;
/// Memory of each client for responses from control nodes, in bytes.
const RESPONSE_MEMORY: usize = 1 << 20;

/// Latencies and failures measured by operators. Times are in milliseconds.
#[derive(Default)]
pub struct OperatorMeasurements {
    /// Time from sending each call to its acknowledgement.
    pub acknowledged: Vec<f64>,
    /// Time from sending a call until a node applied it, for each call and node.
    pub applied: Vec<f64>,
    /// Calls that were not acknowledged, or not applied on all nodes within [`APPLY_TIMEOUT`].
    pub failed: u32,
    /// Nodes that had not applied a purge when it was acknowledged, summed over all purges.
    pub early: EarlyAcknowledgement,
}

fn service_name(number: u32) -> String {
    format!("service-{}", number % SERVICE_COUNT)
}

fn route(number: u32, max_age_s: f64) -> Value {
    json!({
        "name": format!("route-{number:04}"),
        "hostname": format!("site-{:03}.example", number / ROUTES_PER_SITE),
        "pathPrefix": format!("/part-{number}/"), "type": "cacheable", "deadlineMs": 4000, "targetMs": 250,
        "prio": number % 3, "backend": service_name(number), "tries": 2, "maxAgeS": max_age_s,
    })
}

/// Returns the initial configuration, with this number of routes.
pub fn document(routes: u32) -> Value {
    let service = |number| json!({ "name": service_name(number), "maxConns": 256, "ratePerS": 900.0 });
    json!({
        "rev": 1,
        "paths": (0..routes).map(|number| route(number, INITIAL_MAX_AGE_S)).collect::<Vec<_>>(),
        "backends": (0..SERVICE_COUNT).map(service).collect::<Vec<_>>(),
    })
}

/// Returns the control nodes rotated left by `by` positions, so that another one is called first.
fn rotated(controls: &ControlAddresses, by: usize) -> ControlAddresses {
    let mut all = controls.controls.clone();
    let by = by % all.len().max(1);
    all.rotate_left(by);
    ControlAddresses { controls: all }
}

// ---- Servers ----

/// Starts servers that send heartbeats, spread evenly over the control nodes and over the heartbeat interval. `failed`
/// counts the heartbeats that no control node accepted.
pub fn start_servers(
    count: u32,
    controls: &ControlAddresses,
    first_address: SocketAddrV4,
    failed: &Rc<Cell<u32>>,
) -> Vec<JoinHandle<()>> {
    let start = |number: u32| {
        let controls = rotated(controls, number as usize);
        let address = SocketAddrV4::new(*first_address.ip(), first_address.port() + number as u16);
        let failed = Rc::clone(failed);
        spawn_local(async move {
            sleep(HEARTBEAT_INTERVAL * number / count.max(1)).await;
            send_heartbeats(number, controls, address, failed).await;
        })
    };
    (0..count).map(start).collect()
}

async fn send_heartbeats(
    number: u32,
    controls: ControlAddresses,
    address: SocketAddrV4,
    failed: Rc<Cell<u32>>,
) {
    let pool = Pool::new(SERVER_CONNECTIONS, MemoryBudget::new(RESPONSE_MEMORY));
    let uri = format!("/api/servers/server-{number:03}");
    let mut ticks = interval(HEARTBEAT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    for seq in 1u64.. {
        ticks.tick().await;
        let heartbeat = json!({
            "backend": service_name(number), "zone": "zone-1", "rev": "v1", "addr": address, "capacity": 32,
            "status": "ready", "warmupLeftMs": 0, "callSeq": seq,
        });
        let body = heartbeat.to_string().into();
        if !origin::call_any_control(&pool, &controls, Method::PUT, &uri, body).await {
            failed.set(failed.get() + 1);
        }
    }
}

// ---- Operators ----

/// Changes one route after another at a constant rate, starting from version `base_rev`. Waits after each change until
/// all nodes have applied it, or [`APPLY_TIMEOUT`] has passed.
///
/// # Errors
///
/// Returns an error if a change is not acknowledged.
pub async fn change_config(
    controls: &ControlAddresses,
    observations: &Observations,
    nodes: u32,
    base_rev: u64,
    per_s: f64,
    duration: Duration,
) -> Result<OperatorMeasurements, OperatorError> {
    let mut measurements = OperatorMeasurements::default();
    let began_at = Instant::now();
    let mut ticks = interval(Duration::from_secs_f64(1.0 / per_s));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut rev = base_rev;
    while began_at.elapsed() < duration {
        ticks.tick().await;
        let (sent_s, sent_at) = (observations.now(), Instant::now());
        change_route(&rotated(controls, rev as usize + 1), rev).await?;
        rev += 1;
        measurements.acknowledged.push(milliseconds_since(sent_at));
        while observations.applied_at(rev).len() < nodes as usize && sent_at.elapsed() < APPLY_TIMEOUT {
            sleep(POLL_INTERVAL).await;
        }
        let applied_at = observations.applied_at(rev);
        measurements.failed += u32::from(applied_at.len() < nodes as usize);
        measurements.applied.extend(applied_at.iter().map(|at| (at - sent_s) * 1000.0));
    }
    Ok(measurements)
}

/// Changes one route in version `rev`, which creates version `rev + 1`.
async fn change_route(controls: &ControlAddresses, rev: u64) -> Result<(), OperatorError> {
    let next = rev + 1;
    let changed = route(next as u32 % CHANGED_ROUTES, INITIAL_MAX_AGE_S + next as f64);
    let patch = json!({ "rev": next, "upsert": { "paths": [changed] } });
    let body = patch.to_string().into();
    commands::call_control(controls, Method::PATCH, "/api/config", Some(rev), body).await?;
    Ok(())
}

struct PurgeResult {
    acknowledged: bool,
    latency_ms: f64,
    early: EarlyAcknowledgement,
}

/// Sends purges at a constant rate without waiting for acknowledgements of earlier ones. `next` is the number of the
/// next purge.
pub async fn purge(
    controls: &ControlAddresses,
    observations: &Arc<Observations>,
    next: &Cell<usize>,
    per_s: f64,
    duration: Duration,
) -> OperatorMeasurements {
    let pool = |_| Pool::new(OPERATOR_CONNECTIONS, MemoryBudget::new(RESPONSE_MEMORY));
    let pools: Vec<Rc<Pool>> = controls.controls.iter().map(pool).collect();
    let began_at = Instant::now();
    let mut ticks = interval(Duration::from_secs_f64(1.0 / per_s));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut in_flight = Vec::new();
    while began_at.elapsed() < duration {
        ticks.tick().await;
        let number = next.replace(next.get() + 1);
        let pool = Rc::clone(&pools[number % pools.len()]);
        let observations = Arc::clone(observations);
        in_flight.push(spawn_local(send_purge(number, rotated(controls, number), pool, observations)));
    }
    let mut measurements = OperatorMeasurements::default();
    for purge in in_flight {
        match purge.await {
            Ok(result) if result.acknowledged => measurements.add_purge(&result),
            _ => measurements.failed += 1,
        }
    }
    measurements
}

async fn send_purge(
    number: usize,
    controls: ControlAddresses,
    pool: Rc<Pool>,
    observations: Arc<Observations>,
) -> PurgeResult {
    let body = json!({ "label": format!("{PURGE_LABEL_PREFIX}{number}") }).to_string();
    let sent_at = Instant::now();
    let acknowledged =
        origin::call_any_control(&pool, &controls, Method::POST, "/api/purge", body.into()).await;
    let latency_ms = milliseconds_since(sent_at);
    PurgeResult { acknowledged, latency_ms, early: observations.early_acknowledgement(number) }
}

impl OperatorMeasurements {
    fn add_purge(&mut self, result: &PurgeResult) {
        self.acknowledged.push(result.latency_ms);
        self.early.leased += result.early.leased;
        self.early.connected += result.early.connected;
    }
}
