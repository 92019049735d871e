//! Operators: they send orders, again and to other nodes where no clear answer came, and read. What they are told is
//! held against what was committed.

use std::collections::BTreeMap;

use glenfall_control_plane::chain::{Call, Outcome, Record, VoterChange};
use glenfall_control_plane::config::ConfigChange;
use glenfall_control_plane::Millis;
use rand::Rng;

use crate::violation::Violation;
use crate::world::World;

/// An operator moves on to another node after a second without an answer, and after a failure with a pause that grows.
const PATIENCE: Millis = 1000;
const PAUSE: Millis = 100;
/// So often is an order sent; after that its operator leaves it.
const ATTEMPTS: u32 = 8;
/// Orders that are under way at once.
const UNDER_WAY: usize = 8;

/// An order: a change of the configuration that somebody asks for, sent as often as need be.
struct Order {
    rev: u64,
    builds_on: u64,
    change: ConfigChange,
    /// It is no configuration.
    invalid: bool,
    /// Answers that are lost on their way to the operator.
    lost: u32,
    /// When it is sent next; `None` once it was answered, or is left.
    next: Option<Millis>,
    attempts: u32,
    /// The node that it went to last.
    at: u8,
    committed: bool,
    refused: bool,
}

/// What a call is made for.
#[derive(Clone, Copy)]
pub(crate) enum Purpose {
    /// To send the order of this number.
    Order(u64),
    Read,
    /// To read for the sessions that wait, up to the opening of this number.
    Sessions {
        covers: u64,
    },
}

/// A call that has not been answered.
struct PendingCall {
    at: u8,
    incarnation: u64,
    purpose: Purpose,
    /// The newest version that was acknowledged when it began, and the newest that was committed.
    acknowledged: u64,
    committed: u64,
}

#[derive(Default)]
pub(crate) struct Operators {
    orders: Vec<Order>,
    asked: BTreeMap<u64, PendingCall>,
    next_call: u64,
    /// What each call was answered.
    outcomes: BTreeMap<u64, Outcome>,
    /// Acknowledged orders, by the version that they build on.
    acknowledged: BTreeMap<u64, u64>,
    newest_acknowledged: u64,
    /// The newest version that was committed.
    newest_committed: u64,
    /// The newest version that operators heard of: also one that was in force without an answer.
    heard: u64,
}

/// The order that a document is made by.
fn order_of(document: &[u8]) -> Option<u64> {
    #[derive(serde::Deserialize)]
    struct Made {
        order: u64,
    }
    serde_json::from_slice::<Made>(document).ok().map(|made| made.order)
}

impl World {
    /// What came of a call.
    pub fn outcome(&self, call: u64) -> Option<&Outcome> {
        self.operators.outcomes.get(&call)
    }

    /// The newest acknowledged version.
    pub fn newest(&self) -> u64 {
        self.operators.newest_acknowledged
    }

    /// A record is in force somewhere, for the first time or not.
    pub(crate) fn commits(&mut self, record: &Record) {
        let (seq, rev, order) = (record.seq, record.rev, order_of(&record.document));
        if let Some((first, by)) = self.committed.get(&seq).copied() {
            let same = (first, by) == (rev, order);
            return self.require(same, || Violation::TwoCommitted { seq, first, second: rev });
        }
        let before = self.committed.range(..seq).next_back().map(|(seq, (rev, _))| (*seq, *rev));
        self.committed.insert(seq, (rev, order));
        self.operators.newest_committed = self.operators.newest_committed.max(rev);
        let below = before.is_none_or(|(_, before)| before < rev);
        self.require(below, || Violation::NotAbove { seq, rev });
        let taken = order.and_then(|order| self.operators.orders.get_mut(order as usize));
        if let Some(taken) = taken {
            taken.committed = true;
            let (refused, invalid, builds_on) = (taken.refused, taken.invalid, taken.builds_on);
            self.require(!refused, || Violation::RefusedThenTaken { rev });
            let upon =
                if seq == 1 { Some(0) } else { before.filter(|(b, _)| b + 1 == seq).map(|(_, rev)| rev) };
            self.require(upon.is_none_or(|upon| upon == builds_on), || Violation::BuiltOnOther {
                rev,
                builds_on,
            });
            self.require(!invalid, || Violation::InvalidTaken { rev });
        }
    }

    /// A call at a node; `None` where nobody listens there. A process that is paused finds it when it goes on.
    pub(crate) fn ask(&mut self, n: u8, what: Call, purpose: Purpose) -> Option<u64> {
        self.chain(n)?;
        let incarnation = self.machine(n).incarnation;
        let ops = &mut self.operators;
        ops.next_call += 1;
        let (call, acknowledged, committed) = (ops.next_call, ops.newest_acknowledged, ops.newest_committed);
        ops.asked.insert(call, PendingCall { at: n, incarnation, purpose, acknowledged, committed });
        if self.is_paused(n) {
            self.machine(n).calls.push((call, what));
        } else {
            self.with(n, |chain, now| chain.call(now, call, what));
        }
        Some(call)
    }

    pub fn read(&mut self, n: u8) -> Option<u64> {
        self.ask(n, Call::Read, Purpose::Read)
    }

    /// An order that is sent once; `rev` is the version that it makes.
    pub fn order(&mut self, n: u8, change: ConfigChange, rev: u64, builds_on: u64) -> Option<u64> {
        let order = self.note_order(n, change, rev, builds_on);
        self.send_order(n, order)
    }

    fn note_order(&mut self, at: u8, change: ConfigChange, rev: u64, builds_on: u64) -> u64 {
        let order = Order {
            rev,
            builds_on,
            change,
            invalid: false,
            lost: 0,
            next: None,
            attempts: 0,
            at,
            committed: false,
            refused: false,
        };
        self.operators.orders.push(order);
        self.operators.orders.len() as u64 - 1
    }

    fn send_order(&mut self, n: u8, order: u64) -> Option<u64> {
        let sent = &self.operators.orders[order as usize];
        let what = Call::Change { builds_on: sent.builds_on, change: sent.change.clone() };
        self.ask(n, what, Purpose::Order(order))
    }

    /// The next order's number, the newest version that operators know, and a document of a version above it.
    fn next_document(&self, raise: u64) -> (u64, u64, String) {
        let order = self.operators.orders.len();
        let builds_on = self.operators.newest_acknowledged.max(self.operators.heard);
        let rev = builds_on + raise;
        (builds_on, rev, format!("{{\"rev\":{rev},\"order\":{order}}}"))
    }

    /// An operator at a node puts a document in force whose version is higher by `raise` than the newest that it knows;
    /// it sends it once.
    pub fn change(&mut self, n: u8, raise: u64) -> Option<u64> {
        let (builds_on, rev, document) = self.next_document(raise);
        self.order(n, ConfigChange::Put(document.into_bytes()), rev, builds_on)
    }

    /// The same, but sent until there is a clear answer; of the answers so many are lost on their way.
    pub fn order_until_answered(&mut self, n: u8, raise: u64, content: Content, lost: u32) {
        let under_way = self.operators.orders.iter().filter(|order| order.next.is_some());
        if under_way.count() >= UNDER_WAY {
            return;
        }
        let (builds_on, rev, document) = self.next_document(raise);
        let change = match content {
            Content::Put => ConfigChange::Put(document.into_bytes()),
            Content::Patch => {
                let order = self.operators.orders.len();
                ConfigChange::Patch(
                    format!("{{\"rev\":{rev},\"upsert\":{{\"order\":{order}}}}}").into_bytes(),
                )
            }
            Content::Invalid => ConfigChange::Put(document.replace('}', ",\"paths\":1}").into_bytes()),
        };
        let order = self.note_order(n, change, rev, builds_on);
        let now = self.now;
        let noted = &mut self.operators.orders[order as usize];
        (noted.invalid, noted.lost, noted.next) = (content == Content::Invalid, lost, Some(now));
        self.attempt_order(order);
    }

    /// An order that was not refused is sent again as it was, counted back from the newest.
    pub fn resend(&mut self, n: u8, back: usize) {
        let orders = &self.operators.orders;
        let Some(order) = orders.len().checked_sub(1 + back).filter(|order| !orders[*order].refused) else {
            return;
        };
        self.counts.repeats += 1;
        self.send_order(n, order as u64);
    }

    /// Sends orders again that had no clear answer for too long.
    pub(crate) fn retry_orders(&mut self) {
        let due = |order: &Order, now| order.next.is_some_and(|next| next <= now);
        for order in 0..self.operators.orders.len() {
            if due(&self.operators.orders[order], self.now) {
                self.attempt_order(order as u64);
            }
        }
    }

    fn attempt_order(&mut self, order: u64) {
        let (now, nodes) = (self.now, self.size.nodes());
        let tried = &mut self.operators.orders[order as usize];
        if tried.attempts >= ATTEMPTS {
            tried.next = None;
            return;
        }
        if tried.attempts > 0 {
            tried.at = tried.at % nodes + 1;
            self.counts.repeats += 1;
        }
        tried.attempts += 1;
        // Nobody listens there: known at once.
        let (at, pause) = (tried.at, PAUSE << tried.attempts.min(3));
        tried.next = Some(now + PATIENCE);
        if self.send_order(at, order).is_none() {
            self.operators.orders[order as usize].next = Some(now + pause);
        }
    }

    pub(crate) fn answered(&mut self, n: u8, call: u64, outcome: Outcome) {
        let Some(asked) = self.operators.asked.remove(&call) else { return };
        // A process that ended has no more calls.
        assert!(
            asked.at == n && asked.incarnation == self.machine(n).incarnation,
            "an answer comes where the call went in"
        );
        match (asked.purpose, &outcome) {
            (Purpose::Sessions { covers }, outcome) => self.sessions_answered(n, covers, outcome),
            (Purpose::Read, Outcome::Document(record)) => {
                let (read, acknowledged) = (record.rev, asked.acknowledged);
                self.require(read >= acknowledged, || Violation::OldRead { read, acknowledged });
                let known = self.committed.get(&record.seq).is_some_and(|(rev, _)| *rev == read);
                self.require(known || record.seq == 0, || Violation::UncommittedRead { read });
                self.counts.reads += 1;
            }
            (Purpose::Order(order), Outcome::Done { rev }) => self.order_done(order, *rev),
            (Purpose::Order(order), Outcome::Conflict { current }) => {
                self.order_conflicts(&asked, order, *current);
                self.refuse(order);
            }
            (Purpose::Order(order), Outcome::Invalid(_)) => self.refuse(order),
            (Purpose::Order(order), _) => {
                let now = self.now;
                let open = &mut self.operators.orders[order as usize];
                let pause = PAUSE << open.attempts.min(3);
                open.next = open.next.map(|_| now + pause);
            }
            (Purpose::Read, _) => {}
        }
        self.operators.outcomes.insert(call, outcome);
    }

    /// A clear answer, unless it is lost on its way.
    fn close(&mut self, order: u64) {
        let closed = &mut self.operators.orders[order as usize];
        match closed.lost.checked_sub(1) {
            Some(left) if closed.next.is_some() => closed.lost = left,
            _ => closed.next = None,
        }
    }

    fn order_done(&mut self, order: u64, answered: u64) {
        let done = &self.operators.orders[order as usize];
        let (ordered, builds_on, committed) = (done.rev, done.builds_on, done.committed);
        self.require(answered == ordered, || Violation::OtherAcknowledged { ordered, answered });
        let first = *self.operators.acknowledged.entry(builds_on).or_insert(order);
        let other = &self.operators.orders[first as usize];
        if first != order {
            let (first, second) = (other.rev, ordered);
            let violation = match first == second {
                true => Violation::TwoUnderOneNumber { rev: second },
                false => Violation::TwoAcknowledged { builds_on, first, second },
            };
            self.require(false, || violation);
        }
        self.require(committed, || Violation::AcknowledgedUncommitted { rev: ordered });
        self.operators.newest_acknowledged = self.operators.newest_acknowledged.max(ordered);
        self.counts.changes += 1;
        self.close(order);
        let actions = std::mem::take(&mut self.on_acknowledged);
        self.pending_actions.extend(actions.into_iter().map(|action| (self.now, action)));
    }

    fn refuse(&mut self, order: u64) {
        self.counts.refusals += 1;
        let refused = &mut self.operators.orders[order as usize];
        refused.refused = true;
        let (rev, committed) = (refused.rev, refused.committed);
        self.require(!committed, || Violation::TakenRefused { rev });
        self.close(order);
    }

    /// A conflict is a statement on the newest version: it must have been true at a moment of the call.
    fn order_conflicts(&mut self, asked: &PendingCall, order: u64, current: u64) {
        let (builds_on, newest) =
            (self.operators.orders[order as usize].builds_on, self.operators.newest_committed);
        let always = asked.committed == builds_on && newest == builds_on;
        self.require(!always, || Violation::FalseRefusal { builds_on });
        let acknowledged = asked.acknowledged;
        self.require(current >= acknowledged, || Violation::OldRefusal { current, acknowledged });
        let known = current == 0 || self.committed.values().any(|(rev, _)| *rev == current);
        self.require(known, || Violation::UncommittedRefusal { current });
        self.operators.heard = self.operators.heard.max(current);
    }

    /// An operator asks a node for other voters.
    pub fn ask_voters(&mut self, n: u8, seat: VoterChange) {
        let (now, losses) = (self.now, usize::from(self.size.losses));
        if self.is_paused(n) {
            return;
        }
        let Some(chain) = &mut self.machine(n).chain else { return };
        let before = chain.members().voters.len();
        match chain.request_voter_change(now, seat) {
            Ok(voters) => {
                let (voters, needed) = (voters.len(), (2 * losses + 1).min(before));
                self.require(voters >= needed, || Violation::FewVoters { voters, needed });
                self.counts.seats += 1;
            }
            Err(refused) => {
                self.require(!refused.to_string().is_empty(), || Violation::SilentRefusal);
            }
        }
    }

    /// An operator changes what it knows to be in force; sometimes two do at once. Another one reads.
    pub fn operate(&mut self) {
        let (builds_on, nodes) =
            (self.operators.newest_acknowledged.max(self.operators.heard), self.size.nodes());
        for _ in 0..self.rng.random_range(1..=2) {
            let (n, rev) = (self.rng.random_range(1..=nodes), builds_on + self.rng.random_range(1..9));
            let order = self.operators.orders.len();
            let document = format!("{{\"rev\":{rev},\"order\":{order}}}").into_bytes();
            self.order(n, ConfigChange::Put(document), rev, builds_on);
        }
        let reader = self.rng.random_range(1..=nodes);
        self.read(reader);
        self.open_session(reader);
    }
}

/// What an order holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Content {
    #[default]
    Put,
    Patch,
    /// No configuration.
    Invalid,
}
