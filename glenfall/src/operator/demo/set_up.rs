//! The demo's configuration, and the wait until all processes have applied it.

use bytes::Bytes;
use hyper::Method;
use serde_json::{json, Value};
use tokio::time::{sleep, Instant};

use super::{DemoError, CORE_MACHINES, DEMO_HOST, EDGE_MACHINES, RETRY_INTERVAL, STEP_TIMEOUT, STUB_SERVERS};
use crate::operator::commands::{call_control, status, ControlAddresses, OperatorError};

/// Sets the first configuration, as soon as a control node accepts it.
pub(super) async fn put_config(controls: &ControlAddresses) -> Result<(), DemoError> {
    let document = Bytes::from(config().to_string());
    let started = Instant::now();
    loop {
        match call_control(controls, Method::PUT, "/api/config", Some(0), document.clone()).await {
            Ok(_) => return Ok(()),
            Err(OperatorError::NoDefiniteResponse) if started.elapsed() < STEP_TIMEOUT => {}
            Err(error) => return Err(error.into()),
        }
    }
}

/// A configuration with a route for reads and one for writes, both to one service.
fn config() -> Value {
    json!({
        "rev": 1,
        "paths": [route("pages", "/pages/", "cacheable"), route("orders", "/orders/", "mutating")],
        "backends": [{ "name": "demo", "healthPath": "/health", "maxConns": 64 }],
        "reqLimits": {},
    })
}

fn route(name: &str, prefix: &str, kind: &str) -> Value {
    json!({
        "name": name, "hostname": DEMO_HOST, "pathPrefix": prefix, "type": kind, "deadlineMs": 2000,
        "targetMs": 200, "prio": 1, "backend": "demo", "tries": 2, "maxAgeS": 60.0,
    })
}

/// Waits until every control node knows all shields and servers, and every session has applied these updates and holds a
/// lease. An edge with a lease does not use the cache of a shield without one.
pub(super) async fn await_published(controls: &ControlAddresses) -> Result<(), DemoError> {
    let started = Instant::now();
    while started.elapsed() < STEP_TIMEOUT {
        let text = status(controls).await?;
        let nodes: Vec<Value> = serde_json::from_str(&text).unwrap_or_default();
        if is_published(&nodes) {
            return Ok(());
        }
        sleep(RETRY_INTERVAL).await;
    }
    Err(DemoError::StepFailed { step: "publication of all shields and servers to all processes" })
}

fn is_published(nodes: &[Value]) -> bool {
    let session_count: usize = nodes.iter().map(|node| sessions(node).len()).sum();
    let is_complete = |node: &Value| {
        ready_count(&node["shields"]) == Some(CORE_MACHINES.into())
            && ready_count(&node["servers"]) == Some(STUB_SERVERS.into())
            && node["sessions"].is_array()
            && sessions(node).iter().all(is_up_to_date)
    };
    session_count == usize::from(CORE_MACHINES + EDGE_MACHINES) && nodes.iter().all(is_complete)
}

fn sessions(node: &Value) -> &[Value] {
    node["sessions"].as_array().map_or(&[], Vec::as_slice)
}

/// How many members of a list are ready; `None` if the value is not a list.
fn ready_count(list: &Value) -> Option<usize> {
    let members = list.as_array()?;
    Some(members.iter().filter(|member| member["ready"] == true).count())
}

/// Whether a session has applied all updates pushed to it, and holds a lease.
fn is_up_to_date(session: &Value) -> bool {
    session["applied"] == session["pushed"] && session["leased"] == true
}
