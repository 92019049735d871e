//! The replicated chain that stores the configuration, and the agreement on views that repairs the chain.
//!
//! Some of the voters, at least a quorum, form the chain of the current view (chain replication, van Renesse and
//! Schneider, 2004). A change enters at the head, each member makes it durable before it forwards it, and the tail
//! commits it.
//!
//! Each view has a ballot, under which one proposer proposes it (Paxos). The proposer gathers promises from a quorum,
//! which fence all views with lower ballots. It takes the newest accepted record among the promises, and has all members
//! of the new chain make that record durable; then the view is started. In terms of Paxos, the chain is the quorum of
//! phase 2, as in *Vertical Paxos and Primary-Backup Replication* (2009).
//!
//! Safety follows from two invariants:
//!
//! - A committed record is durable at all members of a chain, which contains a quorum. A later proposer has promises
//!   from a quorum, so at least one of them contains this record or a newer one: no committed change is lost.
//! - A member does not participate in a view with a ballot below the one that it has promised. So an old head or tail
//!   can neither commit a change nor confirm a read once a newer view has a quorum of promises.
//!
//! A view is active only while all links between its members are up and no member has restarted. A lost link, a
//! restart, a draining member or a stalled disk leads to a new view. A voter that has lost its disk ([`Start::Wiped`])
//! may have lost a promise with it: it has no vote until a view that includes it has started. While there are too few
//! voters to tolerate the required number of losses ([`ChainSettings::tolerated_losses`]), no change is acknowledged.
//!
//! The module does no input or output and reads no clock. The caller passes in events and the time, and carries out the
//! [`Output`]s.
//!
//! | module | content |
//! | --- | --- |
//! | `ballot` | ballots, and the acceptor's promises |
//! | `quorum` | quorums of one or two voter sets |
//! | `proposal` | the proposer's state machine |
//! | `view_change` | when a view is proposed, installed and started |
//! | `replication` | replication of changes along the chain |
//! | `quorum_read` | reads and rejections that the chain confirms |
//! | `client_calls` | client calls until they are answered |
//! | `reconfiguration` | changes of the voter set |
//! | `peers` | heartbeats and failure detection |
//! | `message` | messages and outputs |
//! | `state` | durable state |
//! | `settings` | timeouts and bounds |
//! | `view` | views and their state at a node |

mod ballot;
mod client_calls;
mod message;
mod peers;
mod proposal;
mod quorum;
mod quorum_read;
mod reconfiguration;
mod replication;
mod settings;
mod state;
mod view;
mod view_change;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::Millis;
use ballot::ProposerBackoff;
use client_calls::{PendingCall, QueuedChange};
use peers::Peers;
use proposal::{Accepted, Proposal};
use reconfiguration::RequestedVoters;
use replication::InFlight;
use view::InstalledView;

pub use crate::ids::NodeId;
pub use crate::record::Record;
pub use client_calls::{Call, Outcome};
pub use message::{Claim, Heartbeat, Message, Output};
pub use quorum::JointConfig;
pub use reconfiguration::{VoterChange, VoterChangeError};
pub use settings::{ChainSettings, SyncTooShort, HEARTBEAT_INTERVAL};
pub use state::{HardState, Start};
pub use view::View;

/// A disk write that is not durable yet.
#[derive(Clone, Debug)]
struct DiskWrite {
    number: u64,
    started_at: Millis,
    /// Outputs to emit once the write is durable.
    follow_up: Vec<Output>,
}

/// The state machine of one control node.
#[derive(Clone, Debug)]
pub struct Chain {
    node_id: NodeId,
    /// Distinguishes this process from all others that run at this address.
    incarnation: u64,
    settings: ChainSettings,
    hard_state: HardState,
    /// Time of the first tick.
    started_at: Option<Millis>,
    draining: bool,
    /// The newest view that this node has accepted.
    installed: Option<InstalledView>,
    /// The newest view that is known to have started.
    known_view: Option<View>,
    committed: Arc<Record>,
    highest_ballot: u64,
    peers: Peers,
    proposal: Option<Proposal>,
    /// The voters of the newest accepted state among the promises that were last gathered. They may differ from the
    /// voters that this node knows.
    accepted_config: Option<JointConfig>,
    /// Since when a new view has been needed and this node has been able to propose it; `None` otherwise.
    view_needed_since: Option<Millis>,
    proposer_backoff: Option<ProposerBackoff>,
    last_heartbeat_at: Option<Millis>,
    /// At the head: the change that is being replicated.
    in_flight: Option<InFlight>,
    requested_voters: Option<RequestedVoters>,
    /// At the head: the changes that wait for the one in flight.
    head_queue: VecDeque<QueuedChange>,
    /// The calls that this node has received and not answered yet, by their numbers.
    calls: BTreeMap<u64, PendingCall>,
    disk_writes: VecDeque<DiskWrite>,
    /// Number of the last disk write that was started.
    last_write: u64,
    /// Messages from this node to itself.
    inbox: VecDeque<Message>,
    outputs: Vec<Output>,
    now: Millis,
}

impl Chain {
    /// Creates a node with incarnation 0.
    pub fn new(node_id: NodeId, settings: ChainSettings, start: Start) -> Self {
        let hard_state = HardState::from(start);
        Chain {
            node_id,
            incarnation: 0,
            settings,
            highest_ballot: hard_state.promised,
            hard_state,
            started_at: None,
            draining: false,
            installed: None,
            known_view: None,
            committed: Arc::default(),
            peers: Peers::default(),
            proposal: None,
            accepted_config: None,
            view_needed_since: None,
            proposer_backoff: None,
            last_heartbeat_at: None,
            in_flight: None,
            requested_voters: None,
            head_queue: VecDeque::new(),
            calls: BTreeMap::new(),
            disk_writes: VecDeque::new(),
            last_write: 0,
            inbox: VecDeque::new(),
            outputs: Vec::new(),
            now: 0,
        }
    }

    /// Sets the incarnation, which distinguishes this process from all others that run at this address.
    pub fn with_incarnation(mut self, incarnation: u64) -> Self {
        self.incarnation = incarnation;
        self
    }

    // ---- State ----

    /// The voters of the newest view that this node has accepted or knows to have started.
    pub fn members(&self) -> &JointConfig {
        match &self.known_view {
            Some(known) if known.number > self.hard_state.accepted => &known.members,
            _ => &self.hard_state.members,
        }
    }

    /// Whether there are enough voters to tolerate the losses that the settings require
    /// ([`ChainSettings::tolerated_losses`]).
    pub fn tolerates_losses(&self) -> bool {
        self.members().tolerates(self.settings.tolerated_losses)
    }

    /// The newest view that is known to have started; `None` until this node learns of one.
    pub fn view(&self) -> Option<&View> {
        self.known_view.as_ref()
    }

    /// The newest committed record that this node knows.
    pub fn committed(&self) -> &Arc<Record> {
        &self.committed
    }

    // ---- Events ----

    /// Advances the time, and checks timeouts. The caller has to tick at short intervals.
    pub fn tick(&mut self, now: Millis) -> Vec<Output> {
        self.now = now;
        self.started_at.get_or_insert(now);
        if self.last_heartbeat_at.is_none_or(|last| now >= last + HEARTBEAT_INTERVAL) {
            self.send_heartbeats();
        }
        self.expire_calls();
        self.expire_in_flight();
        self.expire_voter_request();
        self.advance_proposal();
        self.propose_if_due();
        self.take_outputs()
    }

    /// Handles the event that the link to a peer is up.
    pub fn peer_connected(&mut self, now: Millis, peer: NodeId) -> Vec<Output> {
        self.now = now;
        self.link_up(peer);
        self.take_outputs()
    }

    /// Handles the event that the link to a peer is down.
    pub fn peer_disconnected(&mut self, now: Millis, peer: NodeId) -> Vec<Output> {
        self.now = now;
        self.link_down(peer);
        if self.installed.as_ref().is_some_and(|installed| installed.view.chain.contains(&peer)) {
            self.break_view();
        }
        if let Some(proposal) = &mut self.proposal {
            proposal.withdraw_promise(peer);
            if proposal.installing_chain().is_some_and(|chain| chain.contains(&peer)) {
                self.proposal = None;
            }
        }
        // The heartbeat no longer lists the peer, so the other nodes learn that this node does not reach it.
        self.send_heartbeats();
        self.propose_if_due();
        self.take_outputs()
    }

    /// Handles a message from a peer. A malformed one is ignored.
    pub fn message_received(&mut self, now: Millis, from: NodeId, message: Message) -> Vec<Output> {
        if !message.is_well_formed() {
            return Vec::new();
        }
        self.now = now;
        self.peers.entry(from).last_received = now;
        self.handle(from, message);
        self.take_outputs()
    }

    /// Handles the event that all disk writes up to this number are durable.
    pub fn write_completed(&mut self, now: Millis, number: u64) -> Vec<Output> {
        self.now = now;
        while let Some(write) = self.disk_writes.pop_front_if(|write| write.number <= number) {
            for output in write.follow_up {
                self.emit(output);
            }
        }
        self.take_outputs()
    }

    /// Accepts a call from a client. `number` is unique in this incarnation, and identifies the call in
    /// [`Output::Answer`].
    pub fn call(&mut self, now: Millis, number: u64, call: Call) -> Vec<Output> {
        self.now = now;
        self.accept_call(number, call);
        self.take_outputs()
    }

    /// Announces that this node is about to stop, so that the others form a chain without it at once.
    pub fn start_draining(&mut self, now: Millis) -> Vec<Output> {
        self.now = now;
        self.draining = true;
        self.send_heartbeats();
        self.take_outputs()
    }

    fn handle(&mut self, from: NodeId, message: Message) {
        match message {
            Message::Heartbeat(heartbeat) => self.handle_heartbeat(from, heartbeat),
            Message::Prepare { view } => self.handle_prepare(from, view),
            Message::Promise { view, accepted, members, record } => {
                let accepted = accepted.map(|ballot| Accepted { ballot, members, record });
                self.handle_promise(from, view, accepted);
            }
            Message::Nack { promised } => self.handle_nack(from, promised),
            Message::Install { view, record } => self.handle_install(from, view, record),
            Message::Installed { view } => self.handle_installed(from, view),
            Message::StartView { view } => self.handle_start_view(view),
            Message::Update { view, entry } => self.handle_update(from, view, &entry),
            Message::Acked { view, seq } => self.handle_ack(view, seq),
            Message::Committed { record } => self.publish(record),
            Message::Forward { id, call } => self.handle_forward(from, id, call),
            Message::Confirm { view, origin, id, claim } => self.handle_confirm(view, origin, id, claim),
            Message::Answer { id, outcome } => self.handle_answer(id, outcome),
        }
    }

    // ---- Outputs ----

    /// Adds an output for the caller. A message from this node to itself goes to the inbox.
    fn emit(&mut self, output: Output) {
        match output {
            Output::Send(to, message) if to == self.node_id => self.inbox.push_back(message),
            output => self.outputs.push(output),
        }
    }

    fn send(&mut self, to: NodeId, message: Message) {
        self.emit(Output::Send(to, message));
    }

    /// Writes the current state to disk, and emits the follow-up once the write is durable.
    fn persist(&mut self, follow_up: Vec<Output>) {
        self.last_write += 1;
        self.outputs.push(Output::Persist(self.last_write, self.hard_state.clone()));
        self.disk_writes.push_back(DiskWrite { number: self.last_write, started_at: self.now, follow_up });
    }

    /// Handles the messages from this node to itself, and returns all outputs.
    fn take_outputs(&mut self) -> Vec<Output> {
        while let Some(message) = self.inbox.pop_front() {
            self.handle(self.node_id, message);
        }
        std::mem::take(&mut self.outputs)
    }
}
