//! Registration of a server at control: heartbeats, draining and deregistration.

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

/// Interval between heartbeats of a server.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// How long a server continues to serve after its draining or deregistration was acknowledged. No request may arrive
/// later.
pub(super) const DRAIN_TIME: Duration = Duration::from_secs(3);
/// Interval between checks whether a server is to drain.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of connections to control.
const MAX_CONNECTIONS: usize = 8;
/// Maximum size of buffered responses from control, in bytes.
const RESPONSE_MEMORY: usize = 1 << 20;

/// Makes the calls of a server to control.
struct Registration<'a> {
    origin: &'a Origin,
    pool: Rc<Pool>,
    uri: String,
    controls: &'a ControlAddresses,
    address: SocketAddrV4,
    zone: String,
}

impl Registration<'_> {
    /// Sends a heartbeat. Returns whether a control node accepted it.
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

    /// Calls control nodes in turn until one accepts the call, starting with the one that accepted the last call.
    async fn call(&self, method: Method, body: Bytes) -> bool {
        let first = self.origin.last_control.get();
        let accepted_by = call_from(first, &self.pool, self.controls, method, &self.uri, body).await;
        self.origin.last_control.set(accepted_by.unwrap_or(first));
        accepted_by.is_some()
    }
}

impl Origin {
    /// Sends heartbeats until the server has drained or deregistered, and its drain and linger times have passed.
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
                return self.wait_for_drain().await;
            }
            let accepted = registration.send_heartbeat(seq, draining).await;
            if draining && accepted {
                self.wait_for_drain().await;
                registration.deregister().await;
                return;
            }
            self.wait_for_next_heartbeat(draining).await;
        }
    }

    /// Records that the draining or deregistration was acknowledged, and waits for the drain and linger times.
    async fn wait_for_drain(&self) {
        self.drain_acknowledged_at.set(Some(Instant::now()));
        sleep(DRAIN_TIME + self.linger_time.get()).await;
    }

    /// Waits until the next heartbeat is due, or until draining begins if it has not yet.
    async fn wait_for_next_heartbeat(&self, draining: bool) {
        let drain_begins = async {
            while !self.draining.get() || draining {
                sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        let _ = timeout(HEARTBEAT_INTERVAL, drain_begins).await;
    }

    /// Counts a request if it arrives after the drain time.
    pub(super) fn count_arrival_after_drain(&self) {
        let acknowledged_at = self.drain_acknowledged_at.get();
        if acknowledged_at.is_some_and(|acknowledged_at| acknowledged_at.elapsed() > DRAIN_TIME) {
            self.arrivals_after_drain.set(self.arrivals_after_drain.get() + 1);
        }
    }
}
