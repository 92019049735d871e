//! The replicated chain that keeps the configuration, and the agreement on views that repairs it.
//!
//! Some of the voters, a majority at least, form the chain of the current view (chain replication): a change enters at
//! the head, each member makes it durable before it passes it on, and the tail commits it. A view has a ballot. A
//! proposer gathers promises from a majority, which fence all older views, takes the newest record among them, and has
//! all members of the new chain make it durable before the view stands. Two majorities meet, so that nothing committed
//! is lost, and an old head or tail can commit nothing more: this is Paxos with the chain as the accepting quorum.
//!
//! A view stands on unbroken links and one incarnation of each process: a lost link, a restart, a member that leaves or
//! whose disk stalls makes a new view. A voter without its disk ([`Start::Wiped`]) may have forgotten a promise: it
//! gives none until a view that has taken it in stands. As long as the voters are too few to outlive the promised
//! losses ([`ChainSettings::losses`]), nothing is acknowledged.
//!
//! Pure: no sockets, no disk, no clock. The caller passes events and the time in, and carries out the [`Output`]s.
//!
//! | module | job |
//! | --- | --- |
//! | `ballot` | ballots and promises |
//! | `quorum` | majorities of one or two voter sets |
//! | `proposal` | the proposer's state machine |
//! | `view_change` | when a view is proposed, installed and started |
//! | `replication` | changes on their way down the chain |
//! | `quorum_read` | reads and refusals that the chain confirms |
//! | `client_calls` | calls that wait for their answers |
//! | `reconfiguration` | changes of the voters |
//! | `peers` | heartbeats and failure detection |
//! | `message` | messages and outputs |
//! | `state`, `settings`, `view` | what is on disk; time limits and bounds; views |

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
use ballot::Deference;
use client_calls::{QueuedChange, WaitingCall};
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

/// A disk write that is under way.
#[derive(Clone, Debug)]
struct DiskWrite {
    number: u64,
    since: Millis,
    /// What follows once it is durable.
    then: Vec<Output>,
}

/// One control node's part in the chain.
#[derive(Clone, Debug)]
pub struct Chain {
    me: NodeId,
    /// Tells this process from the others that ever ran here.
    incarnation: u64,
    settings: ChainSettings,
    hard_state: HardState,
    /// The first tick.
    started_at: Option<Millis>,
    leaving: bool,
    /// The view accepted last.
    installed: Option<InstalledView>,
    /// The newest view known to stand.
    known_view: Option<View>,
    committed: Arc<Record>,
    highest_ballot: u64,
    peers: Peers,
    proposal: Option<Proposal>,
    /// The voters by the newest state among the promises gathered last: it may name others than this node knows of.
    accepted_config: Option<JointConfig>,
    /// Since when a new view is needed and possible.
    needed_since: Option<Millis>,
    deference: Option<Deference>,
    last_heartbeat: Option<Millis>,
    /// As the head: the change that is on its way.
    in_flight: Option<InFlight>,
    requested_voters: Option<RequestedVoters>,
    /// As the head: the changes that wait for the one in flight.
    head_queue: VecDeque<QueuedChange>,
    /// The calls that went in here, by their numbers.
    calls: BTreeMap<u64, WaitingCall>,
    disk_writes: VecDeque<DiskWrite>,
    last_write: u64,
    /// Messages of this node to itself.
    inbox: VecDeque<Message>,
    outputs: Vec<Output>,
    now: Millis,
}

impl Chain {
    /// A node that starts.
    pub fn new(me: NodeId, settings: ChainSettings, start: Start) -> Self {
        let hard_state = HardState::from(start);
        Chain {
            me,
            incarnation: 0,
            settings,
            highest_ballot: hard_state.promised,
            hard_state,
            started_at: None,
            leaving: false,
            installed: None,
            known_view: None,
            committed: Arc::default(),
            peers: Peers::default(),
            proposal: None,
            accepted_config: None,
            needed_since: None,
            deference: None,
            last_heartbeat: None,
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

    /// Sets the incarnation, which tells this process from all others that ever run on this machine.
    pub fn with_incarnation(mut self, incarnation: u64) -> Self {
        self.incarnation = incarnation;
        self
    }

    // ---- State ----

    /// The voters, by the newest view that this node has accepted or knows to stand.
    pub fn members(&self) -> &JointConfig {
        match &self.known_view {
            Some(known) if known.number > self.hard_state.accepted => &known.members,
            _ => &self.hard_state.members,
        }
    }

    /// Whether the voters are enough to outlive the losses that the settings promise.
    pub fn tolerates_losses(&self) -> bool {
        self.members().survives(self.settings.losses)
    }

    /// The newest view known to stand.
    pub fn view(&self) -> Option<&View> {
        self.known_view.as_ref()
    }

    /// The newest committed record that this node knows.
    pub fn committed(&self) -> &Arc<Record> {
        &self.committed
    }

    // ---- Events ----

    /// Time has passed.
    pub fn tick(&mut self, now: Millis) -> Vec<Output> {
        self.now = now;
        self.started_at.get_or_insert(now);
        if self.last_heartbeat.is_none_or(|last| now >= last + HEARTBEAT_INTERVAL) {
            self.send_heartbeats();
        }
        self.expire_calls();
        self.expire_in_flight();
        self.expire_voter_request();
        self.advance_proposal();
        self.propose_if_due();
        self.take_outputs()
    }

    /// A link to a peer stands.
    pub fn peer_up(&mut self, now: Millis, peer: NodeId) -> Vec<Output> {
        self.now = now;
        self.link_up(peer);
        self.take_outputs()
    }

    /// The link to a peer is lost.
    pub fn peer_down(&mut self, now: Millis, peer: NodeId) -> Vec<Output> {
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
        // The others reach it in this node's place from now on.
        self.send_heartbeats();
        self.propose_if_due();
        self.take_outputs()
    }

    /// A peer's message has arrived. What is malformed is ignored.
    pub fn message(&mut self, now: Millis, from: NodeId, message: Message) -> Vec<Output> {
        if !message.is_sound() {
            return Vec::new();
        }
        self.now = now;
        self.peers.entry(from).heard = now;
        self.handle(from, message);
        self.take_outputs()
    }

    /// All disk writes up to this number are durable.
    pub fn synced(&mut self, now: Millis, number: u64) -> Vec<Output> {
        self.now = now;
        while let Some(write) = self.disk_writes.pop_front_if(|write| write.number <= number) {
            for output in write.then {
                self.emit(output);
            }
        }
        self.take_outputs()
    }

    /// A client calls, under a number of its own in this incarnation.
    pub fn call(&mut self, now: Millis, call: u64, what: Call) -> Vec<Output> {
        self.now = now;
        self.accept_call(call, what);
        self.take_outputs()
    }

    /// The node is about to stop: the others repair the chain without it, at once.
    pub fn leave(&mut self, now: Millis) -> Vec<Output> {
        self.now = now;
        self.leaving = true;
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
            Message::Forward { call, what } => self.handle_forward(from, call, what),
            Message::Confirm { view, origin, call, claim } => self.handle_confirm(view, origin, call, claim),
            Message::Answer { call, outcome } => self.handle_answer(call, outcome),
        }
    }

    // ---- Outputs ----

    /// Gives an output to the caller; a message of this node to itself goes to its inbox.
    fn emit(&mut self, output: Output) {
        match output {
            Output::Send(to, message) if to == self.me => self.inbox.push_back(message),
            output => self.outputs.push(output),
        }
    }

    fn send(&mut self, to: NodeId, message: Message) {
        self.emit(Output::Send(to, message));
    }

    /// Makes the present state durable; `then` follows once it is.
    fn persist(&mut self, then: Vec<Output>) {
        self.last_write += 1;
        self.outputs.push(Output::Persist(self.last_write, self.hard_state.clone()));
        self.disk_writes.push_back(DiskWrite { number: self.last_write, since: self.now, then });
    }

    /// Handles what this node has sent itself, and gives the outputs to the caller.
    fn take_outputs(&mut self) -> Vec<Output> {
        while let Some(message) = self.inbox.pop_front() {
            self.handle(self.me, message);
        }
        std::mem::take(&mut self.outputs)
    }
}
