//! The heartbeats of a server, by which control knows that it is there, and its deregistration.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use glenfall::memory_budget::MemoryBudget;
use glenfall::operator::commands::ControlAddresses;
use glenfall::upstream::pool::Pool;
use hyper::Method;
use serde_json::json;
use tokio::time::{sleep, timeout, Instant};

use super::control_calls::call_from;
use super::Origin;

/// How often a server sends a heartbeat.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// A server serves on for this time after its draining or deregistration was acknowledged; later no request may arrive.
pub(super) const DRAIN_TIME: Duration = Duration::from_secs(3);
/// How often it is looked whether a server is to drain.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Connections to control.
const MAX_CONNECTIONS: usize = 8;
/// Bytes of responses of control that are buffered.
const RESPONSE_MEMORY: usize = 1 << 20;

/// The calls of a server to control.
struct Registration<'a> {
    origin: &'a Origin,
    pool: Rc<Pool>,
    uri: String,
    controls: &'a ControlAddresses,
    address: SocketAddrV4,
    zone: String,
}

impl Registration<'_> {
    /// Sends a heartbeat; whether a control node accepted it.
    async fn send_heartbeat(&self, seq: u64, draining: bool) -> bool {
        let plan = &self.origin.plan;
        let status = if draining { "draining" } else { "ready" };
        let heartbeat = json!({
            "backend": plan.name, "addr": self.address, "zone": self.zone, "rev": "v1",
            "capacity": plan.slots, "status": status, "warmupLeftMs": 0, "callSeq": seq,
        });
        self.call(Method::PUT, heartbeat.to_string().into()).await
    }

    async fn deregister(&self) -> bool {
        self.call(Method::DELETE, Bytes::new()).await
    }

    /// Calls control nodes in turn until one accepts the call, beginning with the one that accepted the last.
    async fn call(&self, method: Method, body: Bytes) -> bool {
        let first = self.origin.last_control.get();
        let accepted_by = call_from(first, &self.pool, self.controls, method, &self.uri, body).await;
        self.origin.last_control.set(accepted_by.unwrap_or(first));
        accepted_by.is_some()
    }
}

impl Origin {
    /// Sends heartbeats until the server has drained or deregistered, and has served on for the time that it has to.
    pub(super) async fn send_heartbeats(
        &self,
        address: SocketAddrV4,
        zone: String,
        controls: &ControlAddresses,
    ) {
        let pool = Pool::new(MAX_CONNECTIONS, MemoryBudget::new(RESPONSE_MEMORY));
        let uri = format!("/api/servers/{}", self.id);
        let registration = Registration { origin: self, pool, uri, controls, address, zone };
        for seq in 1u64.. {
            let draining = self.draining.get();
            if draining && self.deregisters_at_once.get() {
                while !registration.deregister().await {
                    sleep(HEARTBEAT_INTERVAL).await;
                }
                return self.serve_on().await;
            }
            let accepted = registration.send_heartbeat(seq, draining).await;
            if draining && accepted {
                self.serve_on().await;
                registration.deregister().await;
                return;
            }
            self.wait_for_next_heartbeat(draining).await;
        }
    }

    /// Serves on after the draining or deregistration was acknowledged.
    async fn serve_on(&self) {
        self.drain_acknowledged_at.set(Some(Instant::now()));
        sleep(DRAIN_TIME + self.linger_time.get()).await;
    }

    /// Waits until the next heartbeat is due, or the server begins to drain.
    async fn wait_for_next_heartbeat(&self, draining: bool) {
        let drain_begins = async {
            while !self.draining.get() || draining {
                sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        let _ = timeout(HEARTBEAT_INTERVAL, drain_begins).await;
    }

    /// Notes a request that arrives after the server no longer has to serve.
    pub(super) fn note_arrival_after_drain(&self) {
        let acknowledged_at = self.drain_acknowledged_at.get();
        if acknowledged_at.is_some_and(|acknowledged_at| acknowledged_at.elapsed() > DRAIN_TIME) {
            self.arrivals_after_drain.set(self.arrivals_after_drain.get() + 1);
        }
    }
}
