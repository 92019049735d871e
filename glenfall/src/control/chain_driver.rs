//! Drives the replicated chain of a control node: passes it the time, messages, calls and completed writes, and carries
//! out the outputs that it returns.

use std::cell::{Cell, Ref, RefCell};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::sync::Arc;

use glenfall_control_plane::chain::{
    Call, Chain, Message, Outcome, Output, Record, VoterChange, VoterChangeError,
};
use glenfall_control_plane::invariant::Invariant;
use glenfall_control_plane::messages::{PeerMessage, Update};
use glenfall_control_plane::Millis;
use tokio::sync::{mpsc, oneshot};

use super::clock::Clock;
use super::peers::links::PeerLinks;
use super::store::writer::HardStateWriter;
use crate::session::publisher::Sessions;

/// Drives the chain.
///
/// Owns the chain, the queue of its writes, and the calls that wait for an outcome. All outputs of the chain are
/// carried out, in their order, before the method that caused them returns.
pub struct ChainDriver {
    clock: Clock,
    chain: RefCell<Chain>,
    writes: HardStateWriter,
    links: Rc<PeerLinks>,
    sessions: Rc<Sessions>,
    /// Calls that the chain has not completed yet, by their numbers.
    pending_calls: RefCell<BTreeMap<u64, oneshot::Sender<Outcome>>>,
    next_call: Cell<u64>,
    /// Number of the last view that was logged; 0 if there was none.
    logged_view: Cell<u64>,
    /// The last record that was published. The next one is checked against it.
    published: RefCell<Option<Arc<Record>>>,
    /// Number of lost hosts that the chain has to tolerate according to the settings.
    tolerated_losses: usize,
}

impl ChainDriver {
    /// Drives `chain`, whose state is written through `writes`.
    pub fn new(
        clock: Clock,
        chain: Chain,
        writes: HardStateWriter,
        links: Rc<PeerLinks>,
        sessions: Rc<Sessions>,
        tolerated_losses: usize,
    ) -> Self {
        ChainDriver {
            clock,
            chain: RefCell::new(chain),
            writes,
            links,
            sessions,
            pending_calls: RefCell::default(),
            next_call: Cell::new(0),
            logged_view: Cell::new(0),
            published: RefCell::default(),
            tolerated_losses,
        }
    }

    /// The state of the chain. The guard must be dropped before an `await` and before a call of another method.
    pub fn state(&self) -> Ref<'_, Chain> {
        self.chain.borrow()
    }

    /// Whether this node has received heartbeats of a majority of the voters within the last second. This is not
    /// sufficient for decisions that other nodes must observe: these require that a majority acknowledges the request
    /// itself.
    pub fn has_quorum(&self) -> bool {
        let now = self.clock.now();
        self.chain.borrow_mut().has_quorum_at(now)
    }

    /// Advances the time of the chain. `before_heartbeat` is called before heartbeats are sent, so that the messages
    /// that it sends can share their packets.
    pub fn tick(&self, before_heartbeat: impl FnOnce(Millis)) {
        let now = self.clock.now();
        let outputs = self.chain.borrow_mut().tick(now);
        let is_heartbeat = |output: &Output| matches!(output, Output::Send(_, Message::Heartbeat(_)));
        if outputs.iter().any(is_heartbeat) {
            before_heartbeat(now);
        }
        self.carry_out(outputs);
    }

    /// Passes a message of a peer to the chain.
    pub fn message_received(&self, from: Ipv4Addr, message: Message) {
        self.step(|chain, now| chain.message_received(now, from, message));
    }

    /// Tells the chain that a peer has connected.
    pub fn peer_connected(&self, peer: Ipv4Addr) {
        self.step(|chain, now| chain.peer_connected(now, peer));
    }

    /// Tells the chain that a peer has disconnected. The chain then forms a new view, which recovers from the loss of
    /// messages that were in transit.
    pub fn peer_disconnected(&self, peer: Ipv4Addr) {
        self.step(|chain, now| chain.peer_disconnected(now, peer));
    }

    /// Requests that the chain replaces this node, which is shutting down.
    pub fn leave(&self) {
        self.step(Chain::start_draining);
    }

    /// Reports completed disk writes to the chain, for as long as the writer thread runs.
    pub async fn report_completed_writes(self: Rc<Self>, mut completed: mpsc::UnboundedReceiver<u64>) {
        while let Some(number) = completed.recv().await {
            self.step(|chain, now| chain.write_completed(now, number));
        }
    }

    /// Passes a call to the chain, and waits for the outcome.
    pub async fn call(&self, call: Call) -> Outcome {
        let number = self.next_call.replace(self.next_call.get() + 1);
        let (outcome_sender, outcome) = oneshot::channel();
        self.pending_calls.borrow_mut().insert(number, outcome_sender);
        self.step(|chain, now| chain.call(now, number, call));
        outcome.await.unwrap_or(Outcome::Unavailable)
    }

    /// Requests a change of the voters; returns the set of voters after the change.
    ///
    /// # Errors
    ///
    /// When the chain rejects the change.
    pub fn request_voter_change(&self, change: VoterChange) -> Result<Vec<Ipv4Addr>, VoterChangeError> {
        let now = self.clock.now();
        self.chain.borrow_mut().request_voter_change(now, change)
    }

    fn step(&self, event: impl FnOnce(&mut Chain, Millis) -> Vec<Output>) {
        let now = self.clock.now();
        // The borrow of the chain ends before its outputs are carried out, as these may read the chain.
        let outputs = event(&mut self.chain.borrow_mut(), now);
        self.carry_out(outputs);
    }

    fn carry_out(&self, outputs: Vec<Output>) {
        self.log_view_change();
        for output in outputs {
            match output {
                Output::Send(peer, message) => self.links.send(peer, PeerMessage::Chain(message)),
                Output::Persist(number, state) => self.writes.submit(number, state),
                Output::Answer(call, outcome) => self.complete_call(call, outcome),
                Output::Publish(record) => self.publish(&record),
            }
        }
    }

    fn complete_call(&self, call: u64, outcome: Outcome) {
        if let Some(caller) = self.pending_calls.borrow_mut().remove(&call) {
            // The caller may have stopped waiting.
            let _ = caller.send(outcome);
        }
    }

    fn publish(&self, record: &Arc<Record>) {
        self.check_committed(record);
        if record.rev > 0 {
            tracing::info!(rev = record.rev, seq = record.seq, "configuration committed");
            self.sessions.push(&config_update(record));
        }
    }

    /// Checks the order of a committed record after the previous one, which may be from an earlier view.
    fn check_committed(&self, record: &Arc<Record>) {
        let Some(previous) = self.published.replace(Some(Arc::clone(record))) else { return };
        let detail =
            || format!("rev {}, seq {} after {}, {}", record.rev, record.seq, previous.rev, previous.seq);
        let is_ordered = (previous.rev, previous.seq) <= (record.rev, record.seq);
        Invariant::CommittedOrder.check(is_ordered, detail);
        let is_same_document = previous.rev != record.rev || previous.document == record.document;
        Invariant::OneDocument.check(is_same_document, detail);
    }

    fn log_view_change(&self) {
        let chain = self.chain.borrow();
        let number = chain.view().map_or(0, |view| view.number);
        if self.logged_view.replace(number) == number {
            return;
        }
        let Some(view) = chain.view() else {
            tracing::warn!("no active view");
            return;
        };
        let (members, voters) = (&view.chain, &view.members.voters);
        tracing::info!(view = view.name(), chain = ?members, ?voters, "view active");
        if !chain.tolerates_losses() {
            tracing::warn!(
                tolerated_losses = self.tolerated_losses,
                "too few voters to tolerate the configured number of losses: changes are not acknowledged"
            );
        }
    }
}

/// The update that sends a committed configuration to sessions.
pub fn config_update(record: &Record) -> Update {
    Update::Config { rev: record.rev, document: Arc::new(record.document.clone()) }
}
