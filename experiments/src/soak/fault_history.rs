//! The history of faults by machine. Invariants with a time limit hold only for machines that had no recent fault.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

/// Maximum time until a machine is in contact with control again after a fault of its own or of any core machine:
/// `contactMs`.
pub const CONTACT_TIME: Duration = Duration::from_secs(4);

/// Whether a fault is planned work, during which requests must still be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// Planned work: termination by SIGTERM, or a reload by SIGHUP.
    Planned,
    /// Any other fault.
    Unplanned,
}

/// The faults of one kind at a machine.
#[derive(Default)]
struct MachineFaults {
    /// Number of active faults.
    active: u32,
    /// When a fault ended last; `None` if none has ended yet.
    last_ended_at: Option<Instant>,
}

impl MachineFaults {
    fn is_free_since(&self, since: Instant) -> bool {
        self.active == 0 && self.last_ended_at.is_none_or(|ended_at| ended_at < since)
    }
}

/// The active and past faults of all machines.
pub struct FaultHistory {
    began_at: Instant,
    cores: u8,
    faults: RefCell<BTreeMap<(u8, FaultKind), MachineFaults>>,
}

impl FaultHistory {
    /// Creates an empty history that starts now. The machines 1 to `cores` are those of the core.
    pub fn new(cores: u8) -> Rc<Self> {
        Rc::new(FaultHistory { began_at: Instant::now(), cores, faults: RefCell::default() })
    }

    /// Records that a fault begins, which ends when the returned guard is dropped.
    pub fn begin(self: &Rc<Self>, machine: u8, kind: FaultKind) -> FaultGuard {
        self.faults.borrow_mut().entry((machine, kind)).or_default().active += 1;
        FaultGuard { history: Rc::clone(self), machine, kind }
    }

    fn end(&self, machine: u8, kind: FaultKind) {
        let mut faults = self.faults.borrow_mut();
        let of_machine = faults.entry((machine, kind)).or_default();
        of_machine.active = of_machine.active.saturating_sub(1);
        of_machine.last_ended_at = Some(Instant::now());
    }

    /// Whether a machine has had no active fault of a kind since `since`.
    pub fn is_free_of(&self, kind: FaultKind, machine: u8, since: Instant) -> bool {
        let faults = self.faults.borrow();
        faults.get(&(machine, kind)).is_none_or(|faults| faults.is_free_since(since))
    }

    fn is_free_since(&self, machine: u8, since: Instant) -> bool {
        self.is_free_of(FaultKind::Planned, machine, since)
            && self.is_free_of(FaultKind::Unplanned, machine, since)
    }

    /// Whether a machine has been in contact with control since `since`: from `CONTACT_TIME` before `since` until now,
    /// neither the machine nor any core machine has had an active fault. False if the run began less than
    /// `CONTACT_TIME` before `since`.
    pub fn in_contact_since(&self, machine: u8, since: Instant) -> bool {
        let before = since.checked_sub(CONTACT_TIME).unwrap_or(since);
        let is_free = |machine| self.is_free_since(machine, before);
        since >= self.began_at + CONTACT_TIME && is_free(machine) && (1..=self.cores).all(is_free)
    }

    /// Whether the machines 1 to `last` have all been in contact with control since `since`.
    pub fn all_in_contact_since(&self, last: u8, since: Instant) -> bool {
        (1..=last).all(|machine| self.in_contact_since(machine, since))
    }
}

/// Guard of an active fault of a machine, which ends when the guard is dropped.
pub struct FaultGuard {
    history: Rc<FaultHistory>,
    machine: u8,
    kind: FaultKind,
}

impl Drop for FaultGuard {
    fn drop(&mut self) {
        self.history.end(self.machine, self.kind);
    }
}
