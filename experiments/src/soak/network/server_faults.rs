//! Faults of the network between a server and its callers.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::watch;

/// A fault of the network in front of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerNetworkFault {
    /// No fault: all data is delivered.
    None,
    /// No data is delivered in either direction; connections stay open.
    Unresponsive,
    /// Requests are delivered, and connections are reset instead of delivering responses.
    LosesResponses,
    /// Connections are reset when they are opened or used.
    ResetsConnections,
}

struct SharedFault {
    current: Cell<ServerNetworkFault>,
    changes: watch::Sender<()>,
}

/// The network in front of a server, with its current fault. Clones share the fault.
#[derive(Clone)]
pub struct ServerNetwork(Rc<SharedFault>);

impl ServerNetwork {
    /// Creates a network without a fault.
    pub fn new() -> Self {
        let current = Cell::new(ServerNetworkFault::None);
        ServerNetwork(Rc::new(SharedFault { current, changes: watch::Sender::new(()) }))
    }

    /// Replaces the current fault, also for open connections.
    pub fn set_fault(&self, fault: ServerNetworkFault) {
        self.0.current.set(fault);
        self.0.changes.send_replace(());
    }

    /// Returns the current fault.
    pub fn fault(&self) -> ServerNetworkFault {
        self.0.current.get()
    }

    /// Waits until a request can be delivered. Returns false if the connection is to be reset instead.
    pub(super) async fn request_delivered(&self) -> bool {
        self.wait_until_responsive().await;
        self.fault() != ServerNetworkFault::ResetsConnections
    }

    /// Waits until a response can be delivered. Returns false if the connection is to be reset instead.
    pub(super) async fn response_delivered(&self) -> bool {
        self.wait_until_responsive().await;
        self.fault() == ServerNetworkFault::None
    }

    async fn wait_until_responsive(&self) {
        let mut changes = self.0.changes.subscribe();
        while self.fault() == ServerNetworkFault::Unresponsive {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }
}
