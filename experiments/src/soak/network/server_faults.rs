//! Faults of the network in front of a server.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::watch;

/// What the network of a server does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerNetworkFault {
    /// Everything passes.
    None,
    /// Nothing passes, in either direction.
    Unresponsive,
    /// Requests arrive, and connections are reset in place of responses.
    LosesResponses,
    /// Connections are reset as they are opened.
    ResetsConnections,
}

struct SharedFault {
    current: Cell<ServerNetworkFault>,
    changes: watch::Sender<()>,
}

/// The network of a server, with the fault that it has now.
#[derive(Clone)]
pub struct ServerNetwork(Rc<SharedFault>);

impl ServerNetwork {
    /// Creates a network without a fault.
    pub fn new() -> Self {
        let current = Cell::new(ServerNetworkFault::None);
        ServerNetwork(Rc::new(SharedFault { current, changes: watch::Sender::new(()) }))
    }

    /// Replaces the fault.
    pub fn set_fault(&self, fault: ServerNetworkFault) {
        self.0.current.set(fault);
        self.0.changes.send_replace(());
    }

    /// Returns the fault that it has now.
    pub fn fault(&self) -> ServerNetworkFault {
        self.0.current.get()
    }

    /// Waits until a request passes; false where the connection is reset.
    pub(super) async fn passes_request(&self) -> bool {
        self.wait_until_responsive().await;
        self.fault() != ServerNetworkFault::ResetsConnections
    }

    /// Waits until a response passes; false where the connection is reset.
    pub(super) async fn passes_response(&self) -> bool {
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
