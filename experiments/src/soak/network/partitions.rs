//! Network partitions between machines, tracked separately for each direction.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use super::socket_owner::MachineProcess;

/// Data that a partition delays for longer than this is lost, and its connection is reset: by this time the
/// processes close unresponsive connections, as the sender's kernel would with a real partition.
const LOSS_DELAY: Duration = Duration::from_millis(1500);

/// Traffic from one machine to another.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct MachineDirection {
    /// Name of the sending machine.
    pub from: String,
    /// Name of the receiving machine.
    pub to: String,
}

/// The active partitions between machines.
pub struct Partitions {
    blocked: RefCell<HashSet<MachineDirection>>,
    changes: watch::Sender<u64>,
    processes: RefCell<Vec<MachineProcess>>,
}

impl Partitions {
    /// Creates a network without partitions.
    pub fn new() -> Rc<Self> {
        Rc::new(Partitions {
            blocked: RefCell::default(),
            changes: watch::Sender::new(0),
            processes: RefCell::default(),
        })
    }

    /// Replaces the list of processes by which the machine of a caller is identified. Call after each restart.
    pub fn set_processes(&self, processes: Vec<MachineProcess>) {
        self.processes.replace(processes);
    }

    /// Calls `find` with the processes of the system.
    pub(super) fn with_processes<R>(&self, find: impl FnOnce(&[MachineProcess]) -> R) -> R {
        find(&self.processes.borrow())
    }

    /// Blocks traffic in a direction. Blocking it twice has no further effect.
    pub fn block(&self, direction: &MachineDirection) {
        self.blocked.borrow_mut().insert(direction.clone());
        self.changes.send_modify(|count| *count += 1);
    }

    /// Lets traffic in a direction pass again, however often it was blocked.
    pub fn unblock(&self, direction: &MachineDirection) {
        self.blocked.borrow_mut().remove(direction);
        self.changes.send_modify(|count| *count += 1);
    }

    fn is_blocked(&self, direction: &MachineDirection) -> bool {
        self.blocked.borrow().contains(direction)
    }

    /// Waits until data sent in a direction can be delivered. Returns false if it was delayed so long that it is lost.
    pub(super) async fn delivered(&self, direction: &MachineDirection) -> bool {
        if !self.is_blocked(direction) {
            return true;
        }
        let began_at = Instant::now();
        let mut changes = self.changes.subscribe();
        while self.is_blocked(direction) {
            if changes.changed().await.is_err() {
                return false;
            }
        }
        began_at.elapsed() < LOSS_DELAY
    }
}
