//! Partitions between machines, each in one direction.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use super::socket_owner::MachineProcess;

/// What a partition holds up for longer is lost with its connection: the processes close their connections by then, as the
/// kernel of the sender would have.
const LOST_AFTER: Duration = Duration::from_millis(1500);

/// A direction from one machine to another, by their names.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct MachineDirection {
    /// The sender.
    pub from: String,
    /// The receiver.
    pub to: String,
}

/// Which machines are partitioned from which.
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

    /// Replaces the processes of the system, which callers are recognized by.
    pub fn set_processes(&self, processes: Vec<MachineProcess>) {
        self.processes.replace(processes);
    }

    /// Calls `find` with the processes of the system.
    pub(super) fn with_processes<R>(&self, find: impl FnOnce(&[MachineProcess]) -> R) -> R {
        find(&self.processes.borrow())
    }

    /// Blocks a direction.
    pub fn block(&self, direction: &MachineDirection) {
        self.blocked.borrow_mut().insert(direction.clone());
        self.changes.send_modify(|count| *count += 1);
    }

    /// Unblocks a direction.
    pub fn unblock(&self, direction: &MachineDirection) {
        self.blocked.borrow_mut().remove(direction);
        self.changes.send_modify(|count| *count += 1);
    }

    fn is_blocked(&self, direction: &MachineDirection) -> bool {
        self.blocked.borrow().contains(direction)
    }

    /// Waits until what is sent in a direction arrives; false where it was lost meanwhile.
    pub(super) async fn arrives(&self, direction: &MachineDirection) -> bool {
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
        began_at.elapsed() < LOST_AFTER
    }
}
