//! The chain that keeps the configuration, and the agreed view that mends it.
//!
//! The voters are the seeds of the first start, and after that whoever a view names ([`Members`]). Some of them, a
//! majority at least, form the chain of the current view. A change enters at the head; each member makes it durable before it passes it on; the tail
//! commits it. A view has a number; whoever proposes one gathers promises from a majority, which fence all
//! older views, takes the newest record among them and has it made durable by all members of the new chain
//! before the view stands. Two majorities meet, so that nothing committed is lost and an old head or tail can
//! commit nothing more. This is Paxos with the chain as the accepting quorum.
//!
//! A view stands on unbroken links and one life of each process: a lost link, a restart, a member that leaves
//! or whose disk stalls makes a new view. A voter without its disk ([`Start::Wiped`]) may have forgotten a
//! promise: it gives none until a view that has taken it in stands.
//!
//! The voters change in three views. The first takes the new ones into its chain, which gives them a vote, while the old
//! set counts. The second counts both sets: it stands on a majority of each, and so does any view that follows an
//! attempt at it. Once it stands, the third lets go of the old set. As long as the voters are too
//! few to outlive the losses that are promised ([`Terms::losses`]), nothing is acknowledged.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::{Change, Invalid};
use crate::messages::CallId;
use crate::orders::{Decision, Entry, TakenOrders};
use crate::Millis;

/// A core machine, by its address.
pub type NodeId = Ipv4Addr;

/// How often beats go out, and so the longest wait for news of a peer.
pub const BEAT: Millis = 200;
/// A peer that has not been heard for so long is taken for lost: four beats, and a stall of a small machine.
const SILENCE: Millis = 1000;
/// How long a change of who is there must last before a view is proposed: links come up one after the other.
const SETTLE: Millis = 60;
/// Each voter lets those before it propose first, for so long apiece.
const TURN: Millis = 200;
/// A proposal that has not stood by then is given up, and who did not answer is left out: for a moment the first time,
/// as a machine that comes back has to be in a chain within `syncS`, then for twice as long each time, as each attempt
/// holds changes up.
const PROPOSAL: Millis = 800;
const FIRST_SHUN: Millis = 750;
const LONGEST_SHUN: Millis = 3000;
/// With a majority of promises, the others are waited for no longer than this: a packet that was lost comes
/// again in 200 ms, and a slow disk takes 50 ms to sync a promise, behind another one at times. Who was late is left out
/// for [`LATE`], as a machine that is slow would make view after view, or until another's view with it stands.
const GATHER: Millis = 350;
const LATE: Millis = 1000;
/// A sync that takes longer is a stalled disk: the chain goes on without it.
const STALL: Millis = 600;
/// Where the settings don't say how long a machine has for catching up.
const SYNC: Millis = 4000;
/// What three views take on slow disks (50 ms a sync), with a turn let pass in each: see [`Terms::replaced_after`].
const CHANGE: Millis = 1200;
/// What a further loss in the middle of them adds at most: its silence, and the view that goes on without it.
const MEND: Millis = 1300;
/// A node that stands by stays in a chain that has taken it in for so long, also for those who don't know whose place it
/// is to take: time for the next view to give it a vote.
const LEARNER: Millis = 1000;
/// What an operator asks of the voters is tried for so long; two views take less, unless others are lost meanwhile.
const ASKED: Millis = 3000;
/// A change that has not come through the chain by then has been lost on the way.
const STUCK: Millis = 1500;
/// A call is answered by then, if only with `Unavailable`: callers move on after a second.
const CALL: Millis = 900;
/// Calls that may wait at one node; operators are few.
const MOST_CALLS: usize = 64;

/// The lower half of a view's number is its proposer's address, so that no two propose the same one.
const PROPOSER_BITS: u32 = 32;
/// View numbers rise by 2^32 a view, changes by 1: no system ever comes near this. A number beyond it is nonsense, and
/// would leave no room above it for a view that anybody could propose.
const HIGHEST: u64 = 1 << 62;
/// Voters at most: more only make each change slower. Control nodes at most.
const MOST_VOTERS: usize = 16;
const MOST_NODES: usize = 64;

/// Who counts for a majority.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    pub voters: Vec<NodeId>,
    /// Who did before, while a change is under way; then a majority of each set is one.
    pub before: Vec<NodeId>,
}

impl Members {
    pub fn of(mut voters: Vec<NodeId>) -> Self {
        voters.sort();
        voters.dedup();
        Members { voters, before: Vec::new() }
    }

    /// Whether those that `are` hold a majority.
    pub fn majority(&self, are: impl Fn(&NodeId) -> bool) -> bool {
        let most = |set: &[NodeId]| set.iter().filter(|node| are(node)).count() > set.len() / 2;
        most(&self.voters) && (self.before.is_empty() || most(&self.before))
    }

    pub fn contains(&self, node: NodeId) -> bool {
        self.voters.contains(&node) || self.before.contains(&node)
    }

    /// Whether any so many of them may be lost, with their disks, and nothing with them.
    fn outlive(&self, losses: usize) -> bool {
        let outlives = |set: &[NodeId]| set.len() > 2 * losses;
        outlives(&self.voters) && (self.before.is_empty() || outlives(&self.before))
    }
}

/// What the settings of a node say of the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Machines that may be lost at once without anything acknowledged being lost.
    pub losses: usize,
    /// This node may vote.
    pub eligible: bool,
    /// From so long after the start of its successor on, a machine that was removed counts as a loss no more.
    pub sync: Millis,
}

impl Default for Terms {
    fn default() -> Self {
        Terms { losses: 0, eligible: false, sync: SYNC }
    }
}

impl Terms {
    /// A voter that has been silent for so long gives its seat to a machine that stands by. That may have started in
    /// the moment of the loss, so that the rest of `sync` has to suffice for the change, with all other losses that
    /// are promised in the middle of it; but a machine that merely starts again keeps its seat where there is time.
    pub fn replaced_after(&self) -> Millis {
        let others = self.losses.saturating_sub(1) as Millis;
        let left = self.sync.saturating_sub(CHANGE + others * MEND);
        left.min(self.sync / 2).max(SILENCE)
    }
}

/// What the chain keeps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Counts the changes.
    pub seq: u64,
    /// The version of the document; 0 before the first.
    pub rev: u64,
    /// The newest configuration document; empty before the first.
    pub document: Vec<u8>,
    /// The orders taken last, by which one that is sent again is known.
    pub taken: TakenOrders,
}

/// What must be on disk before what follows from it is said.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Durable {
    pub members: Members,
    /// All promises ever given are known. A node that lost its disk has none until a view has taken it in.
    pub votes: bool,
    /// No part in views below this one.
    pub promised: u64,
    /// The view in which `record` was accepted.
    pub accepted: u64,
    pub record: Arc<Record>,
}

/// How a node begins its life.
pub enum Start {
    /// For the first time, with these voters.
    Fresh(Vec<NodeId>),
    /// From its disk.
    Kept(Durable),
    /// Without its disk, or as a node that never was a voter; the voters are learnt.
    Wiped,
}

/// An operator's call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// A change that builds on a version.
    Change { builds_on: u64, change: Change },
    /// The newest committed document.
    Read,
    /// The same, where its change has a higher number than this one.
    ReadNewer { than: u64 },
}

/// What an operator asks of the voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seat {
    /// A machine that stands by becomes a voter.
    Add(NodeId),
    /// A voter gives its place to one that stands by, or leaves where there are more than the losses ask for.
    Remove(NodeId),
}

/// Why the voters stay as they are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    #[error("this node is in no view that stands: ask another one, or again in a moment")]
    NoView,
    #[error("a change of the voters is under way: ask again in a moment")]
    UnderWay,
    #[error("{0} is a voter already")]
    Votes(NodeId),
    #[error("{0} is no voter")]
    NoVoter(NodeId),
    #[error("{0} is not there, or not all voters that are hear it")]
    NotThere(NodeId),
    #[error("the settings of {0} don't say that it may vote")]
    NotEligible(NodeId),
    #[error("{MOST_VOTERS} voters are the most")]
    TooMany,
    #[error("no machine stands by: {left} voters would be left, and {needed} are needed to outlive {losses} losses")]
    NobodyStandsBy { left: usize, needed: usize, losses: usize },
    #[error("only {there} of {voters} voters would be there, which is no majority")]
    NoMajority { there: usize, voters: usize },
}

/// What came of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The change is in force, now or from an earlier call.
    Done {
        rev: u64,
    },
    /// Another version is current.
    Conflict {
        current: u64,
    },
    Invalid(Invalid),
    /// The order may be one of those that were taken too long ago to be known: no clear answer, of any node.
    Forgotten {
        up_to: u64,
    },
    Document(Arc<Record>),
    /// Nothing newer than what the caller knows is committed.
    Unchanged,
    /// No clear answer: try again elsewhere.
    Unavailable,
}

/// A view: its number, its chain, the head first, and who counts from then on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    pub number: u64,
    pub chain: Vec<NodeId>,
    pub members: Members,
}

impl View {
    /// Which one it is, for people: how often a view was proposed before, and who proposed this one.
    pub fn name(&self) -> String {
        format!("{}.{}", self.number >> PROPOSER_BITS, Ipv4Addr::from(self.number as u32))
    }

    fn head(&self) -> Option<NodeId> {
        self.chain.first().copied()
    }

    fn tail(&self) -> Option<NodeId> {
        self.chain.last().copied()
    }

    fn after(&self, node: NodeId) -> Option<NodeId> {
        let place = self.chain.iter().position(|member| *member == node)?;
        self.chain.get(place + 1).copied()
    }

    fn before(&self, node: NodeId) -> Option<NodeId> {
        let place = self.chain.iter().position(|member| *member == node)?;
        self.chain.get(place.checked_sub(1)?).copied()
    }
}

/// What a node says of itself, at every [`BEAT`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    pub members: Members,
    pub promised: u64,
    /// The standing and unbroken view that it is a member of.
    pub view: Option<View>,
    /// Whom it hears.
    pub hears: Vec<NodeId>,
    /// It may have forgotten promises.
    pub wiped: bool,
    /// It may become a voter.
    pub eligible: bool,
    /// It leaves, or its disk stalls: the chain goes on without it.
    pub unfit: bool,
    /// It leaves: whoever stands by takes its seat, if it votes.
    pub leaving: bool,
    /// Number of the newest committed record that it knows.
    pub committed: u64,
}

/// What is said of the newest version, and so has to be proved first: see [`Message::Confirm`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Claim {
    /// The tail answers with what is committed, if its change has a higher number than the one named.
    Committed { than: Option<u64> },
    /// What the head found of a change that it doesn't begin with.
    Found(Outcome),
}

/// What core nodes say to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    Beat(Beat),
    Prepare {
        view: u64,
    },
    /// `accepted` is `None` from a voter that may have forgotten promises: it may join, but has no vote.
    Promise {
        view: u64,
        accepted: Option<u64>,
        members: Members,
        record: Arc<Record>,
    },
    Nack {
        promised: u64,
    },
    Install {
        view: View,
        record: Arc<Record>,
    },
    Installed {
        view: u64,
    },
    Stands {
        view: View,
    },
    /// A change on its way down the chain, for a member that has all before it.
    Update {
        view: u64,
        entry: Arc<Entry>,
    },
    /// From the tail to the chain.
    Acked {
        view: u64,
        seq: u64,
    },
    /// To those who are not in the chain, without the table of orders: they only hand the document on. Whoever comes to
    /// vote has it from `Install`.
    Committed {
        record: Arc<Record>,
    },
    Forward {
        call: CallId,
        what: Call,
    },
    /// Quorum contact for an answer (Raft's ReadIndex): it goes down the chain after the call has begun, each member
    /// passes it on where no promise has fenced the view, and the tail answers. The chain holds a majority, and so does
    /// whoever promised a newer view: they meet in a member that had not promised yet when it passed this on.
    Confirm {
        view: u64,
        origin: NodeId,
        call: CallId,
        claim: Claim,
    },
    Answer {
        call: CallId,
        outcome: Outcome,
    },
}

impl Message {
    /// Whether this is something that a node of this system says at all. What is not has no effect: a peer that is
    /// broken must not take the others along.
    pub fn is_sound(&self) -> bool {
        let number = |number: &u64| *number < HIGHEST;
        // The table of orders is bounded where it is read.
        let record = |record: &Record| number(&record.seq) && record.taken.newest() <= record.rev;
        let voters = |voters: &[NodeId]| voters.len() <= MOST_VOTERS;
        let members = |members: &Members| voters(&members.voters) && voters(&members.before);
        let view = |view: &View| {
            let named = members(&view.members) && !view.members.voters.is_empty();
            // Who is in the chain twice would pass on to itself for ever.
            let once = view.chain.iter().collect::<BTreeSet<_>>().len() == view.chain.len();
            number(&view.number)
                && view.chain.len() <= 2 * MOST_VOTERS
                && !view.chain.is_empty()
                && once
                && named
        };
        match self {
            Message::Beat(beat) => {
                number(&beat.promised)
                    && number(&beat.committed)
                    && members(&beat.members)
                    && beat.hears.len() <= MOST_NODES
                    && beat.view.as_ref().is_none_or(view)
            }
            Message::Prepare { view } | Message::Installed { view } => number(view),
            Message::Promise { view, accepted, members: named, record: r } => {
                number(view) && accepted.as_ref().is_none_or(number) && members(named) && record(r)
            }
            Message::Nack { promised } => number(promised),
            Message::Install { view: v, record: r } => view(v) && record(r),
            Message::Stands { view: v } => view(v),
            Message::Update { view, entry } => number(view) && number(&entry.seq),
            Message::Acked { view, seq } => number(view) && number(seq),
            Message::Committed { record: r } => record(r),
            Message::Confirm { view, claim, .. } => {
                let found = matches!(
                    claim,
                    Claim::Committed { .. }
                        | Claim::Found(Outcome::Done { .. } | Outcome::Conflict { .. } | Outcome::Invalid(_))
                        | Claim::Found(Outcome::Forgotten { .. })
                );
                number(view) && found
            }
            Message::Answer { outcome: Outcome::Document(r), .. } => record(r),
            Message::Forward { .. } | Message::Answer { .. } => true,
        }
    }
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    Send(NodeId, Message),
    /// Make durable, in this order; then call [`Chain::synced`] with the number.
    Persist(u64, Durable),
    Answer(u64, Outcome),
    /// The newest committed record has changed.
    Publish(Arc<Record>),
}

#[derive(Clone, Debug, Default)]
struct Peer {
    up: bool,
    heard: Millis,
    beat: Beat,
    /// It has said that it leaves, and nothing since.
    left: bool,
    shunned_until: Millis,
    /// The newest record that it was sent on this link because its beats said that it knew an older one, and when:
    /// beats that were under way meanwhile say so too.
    told: (u64, Millis),
    /// How long it was last left out for. Once a view with it stands it has answered, and both are 0 again: else those
    /// who took it in and those who had left it out would make view after view.
    shunned_for: Millis,
}

#[derive(Clone, Debug)]
struct Installed {
    view: View,
    /// All members have made it durable: since when this is known here.
    stands: bool,
    since: Millis,
    /// A member was lost since.
    broken: bool,
}

/// What a voter had accepted when it gave its promise.
#[derive(Clone, Debug)]
struct Accepted {
    number: u64,
    members: Members,
    record: Arc<Record>,
}

#[derive(Clone, Debug)]
struct Proposal {
    number: u64,
    since: Millis,
    target: Vec<NodeId>,
    /// Who is to vote from then on, if others than now.
    wish: Option<Vec<NodeId>>,
    /// `None` from a node that has no vote.
    promises: BTreeMap<NodeId, Option<Accepted>>,
    /// Once the promises are in: the view, and who has made it durable.
    view: Option<(View, BTreeSet<NodeId>)>,
}

#[derive(Clone, Debug)]
struct Waiting {
    what: Call,
    until: Millis,
    /// The view to whose head it went.
    sent: Option<u64>,
}

/// A change on its way through the chain.
#[derive(Clone, Debug)]
struct Pending {
    origin: NodeId,
    call: CallId,
    seq: u64,
    rev: u64,
    since: Millis,
}

/// One node's part.
#[derive(Clone, Debug)]
pub struct Chain {
    me: NodeId,
    /// Tells this process from the others that ever ran here.
    life: u64,
    terms: Terms,
    durable: Durable,
    /// When it was first asked what time has brought.
    began: Option<Millis>,
    leaving: bool,
    installed: Option<Installed>,
    /// The newest view known to stand.
    known: Option<View>,
    committed: Arc<Record>,
    highest: u64,
    peers: BTreeMap<NodeId, Peer>,
    proposal: Option<Proposal>,
    /// Who counts by what a voter had accepted that promised last: it may name others than this node knows of.
    counted: Option<Members>,
    need_since: Option<Millis>,
    /// Who else proposes, and until when it is let.
    hold: Option<(NodeId, Millis)>,
    last_beat: Option<Millis>,
    pending: Option<Pending>,
    /// The voters that an operator wants, and until when this node tries.
    asked: Option<(Vec<NodeId>, Millis)>,
    queue: VecDeque<(NodeId, CallId, u64, Change)>,
    waiting: BTreeMap<u64, Waiting>,
    /// Persists that are under way: number, since when, and what follows.
    syncs: VecDeque<(u64, Millis, Vec<Output>)>,
    next_sync: u64,
    inbox: VecDeque<Message>,
    out: Vec<Output>,
    now: Millis,
}

impl Chain {
    pub fn new(me: NodeId, terms: Terms, start: Start) -> Self {
        let empty =
            |members, votes| Durable { members, votes, promised: 0, accepted: 0, record: Arc::default() };
        let durable = match start {
            Start::Fresh(voters) => empty(Members::of(voters), true),
            Start::Kept(durable) => durable,
            Start::Wiped => empty(Members::default(), false),
        };
        Chain {
            me,
            life: 0,
            terms,
            highest: durable.promised,
            durable,
            began: None,
            leaving: false,
            installed: None,
            known: None,
            committed: Arc::default(),
            peers: BTreeMap::new(),
            proposal: None,
            counted: None,
            need_since: None,
            hold: None,
            last_beat: None,
            pending: None,
            asked: None,
            queue: VecDeque::new(),
            waiting: BTreeMap::new(),
            syncs: VecDeque::new(),
            next_sync: 0,
            inbox: VecDeque::new(),
            out: Vec::new(),
            now: 0,
        }
    }

    /// Says which of all the processes that ever run on this machine this is.
    pub fn in_life(mut self, life: u64) -> Self {
        self.life = life;
        self
    }

    /// Who counts, by the newest view that this node has accepted or knows to stand.
    pub fn members(&self) -> &Members {
        match &self.known {
            Some(known) if known.number > self.durable.accepted => &known.members,
            _ => &self.durable.members,
        }
    }

    /// Whether the voters are enough to outlive what the settings promise.
    pub fn outlives_losses(&self) -> bool {
        self.members().outlive(self.terms.losses)
    }

    /// The newest view known to stand.
    pub fn view(&self) -> Option<&View> {
        self.known.as_ref()
    }

    pub fn committed(&self) -> &Arc<Record> {
        &self.committed
    }

    /// Whether this node reaches a majority of the voters, itself included: what it acknowledges binds all.
    pub fn in_majority(&self) -> bool {
        self.members().majority(|node| *node == self.me || self.hears(*node))
    }

    /// The same by now: timers may be behind where the process was frozen.
    pub fn reaches_majority(&mut self, now: Millis) -> bool {
        self.now = now;
        self.in_majority()
    }

    /// Whether this node and those that have answered it hold a majority, also by what each of them knows of the voters:
    /// this node may have been replaced meanwhile.
    pub fn is_quorum(&self, answered: &[NodeId]) -> bool {
        let holds = |members: &Members| members.majority(|node| *node == self.me || answered.contains(node));
        let told = answered.iter().filter_map(|node| self.peers.get(node)).map(|peer| &peer.beat.members);
        holds(self.members()) && told.filter(|members| !members.voters.is_empty()).all(holds)
    }

    /// Whom a peer hears, by what it said last. All of them are up at it, and it says so before anything that it says
    /// after it has lost one.
    pub fn heard_by(&self, peer: NodeId) -> &[NodeId] {
        self.peers.get(&peer).map_or(&[], |peer| &peer.beat.hears)
    }

    // ---- Inputs ----

    pub fn tick(&mut self, now: Millis) -> Vec<Output> {
        self.now = now;
        self.began.get_or_insert(now);
        if self.last_beat.is_none_or(|at| now >= at + BEAT) {
            self.send_beats();
        }
        let late: Vec<u64> =
            self.waiting.iter().filter(|(_, w)| now >= w.until).map(|(call, _)| *call).collect();
        for call in late {
            self.waiting.remove(&call);
            self.out.push(Output::Answer(call, Outcome::Unavailable));
        }
        if self.pending.as_ref().is_some_and(|p| now >= p.since + STUCK) {
            self.break_view();
        }
        let attained = |asked: &Vec<NodeId>| {
            let members = self.members();
            members.voters == *asked && members.before.is_empty()
        };
        if self.asked.as_ref().is_some_and(|(asked, until)| now >= *until || attained(asked)) {
            self.asked = None;
        }
        self.tend_proposal();
        self.consider();
        self.finish()
    }

    pub fn peer_up(&mut self, now: Millis, peer: NodeId) -> Vec<Output> {
        self.now = now;
        let entry = self.peers.entry(peer).or_default();
        (entry.up, entry.heard, entry.told) = (true, now, (0, 0));
        let beat = Message::Beat(self.beat());
        self.out.push(Output::Send(peer, beat));
        self.finish()
    }

    pub fn peer_down(&mut self, now: Millis, peer: NodeId) -> Vec<Output> {
        self.now = now;
        if let Some(entry) = self.peers.get_mut(&peer) {
            entry.up = false;
            entry.beat = Beat::default();
        }
        if self.installed.as_ref().is_some_and(|i| i.view.chain.contains(&peer)) {
            self.break_view();
        }
        if let Some(p) = &mut self.proposal {
            // It may have lost its disk since it promised, and have promised more in between.
            p.promises.remove(&peer);
            if p.view.as_ref().is_some_and(|(view, _)| view.chain.contains(&peer)) {
                self.proposal = None;
            }
        }
        // The others reach it in this node's place from now on.
        self.send_beats();
        self.consider();
        self.finish()
    }

    pub fn message(&mut self, now: Millis, from: NodeId, message: Message) -> Vec<Output> {
        if !message.is_sound() {
            return Vec::new();
        }
        self.now = now;
        self.peers.entry(from).or_default().heard = now;
        self.handle(from, message);
        self.finish()
    }

    pub fn synced(&mut self, now: Millis, number: u64) -> Vec<Output> {
        self.now = now;
        while self.syncs.front().is_some_and(|(first, ..)| *first <= number) {
            if let Some((_, _, then)) = self.syncs.pop_front() {
                for output in then {
                    self.emit(output);
                }
            }
        }
        self.finish()
    }

    /// Takes a call under a number of its own in this life.
    pub fn call(&mut self, now: Millis, call: u64, what: Call) -> Vec<Output> {
        self.now = now;
        if self.waiting.len() >= MOST_CALLS {
            self.out.push(Output::Answer(call, Outcome::Unavailable));
        } else {
            self.waiting.insert(call, Waiting { what, until: now + CALL, sent: None });
            self.dispatch();
        }
        self.finish()
    }

    /// The node is about to stop: the others mend the chain without it, at once.
    pub fn leave(&mut self, now: Millis) -> Vec<Output> {
        self.now = now;
        self.leaving = true;
        self.send_beats();
        self.finish()
    }

    /// An operator asks for other voters: gives those that there will be, once views with them stand
    /// ([`Chain::members`] tells), or says why not. Safe whoever dies on the way: each view carries the set, and the
    /// wish is forgotten with this node.
    pub fn ask_voters(&mut self, now: Millis, seat: Seat) -> Result<Vec<NodeId>, Refused> {
        self.now = now;
        let stands = self.installed.as_ref().is_some_and(|i| i.stands && !i.broken);
        let members = self.members();
        if !stands || !members.contains(self.me) || !self.in_majority() {
            return Err(Refused::NoView);
        }
        if !members.before.is_empty() || self.asked.is_some() {
            return Err(Refused::UnderWay);
        }
        let (reached, mut voters) = (self.reached(), members.voters.clone());
        match seat {
            Seat::Add(node) if voters.contains(&node) => return Err(Refused::Votes(node)),
            Seat::Add(_) if voters.len() >= MOST_VOTERS => return Err(Refused::TooMany),
            Seat::Add(node) if !self.peers.get(&node).is_some_and(|p| p.up) => {
                return Err(Refused::NotThere(node));
            }
            Seat::Add(node) if !self.peers.get(&node).is_some_and(|p| p.beat.eligible) => {
                return Err(Refused::NotEligible(node));
            }
            Seat::Add(node) if !reached.contains(&node) => return Err(Refused::NotThere(node)),
            Seat::Add(node) => voters.push(node),
            Seat::Remove(node) if !voters.contains(&node) => return Err(Refused::NoVoter(node)),
            Seat::Remove(node) => {
                voters.retain(|voter| *voter != node);
                let (left, losses) = (voters.len(), self.terms.losses);
                let needed = 2 * losses + 1;
                if left < needed {
                    let instead = reached.iter().find(|node| !members.contains(**node));
                    voters.push(*instead.ok_or(Refused::NobodyStandsBy { left, needed, losses })?);
                }
            }
        }
        voters.sort();
        let wanted = Members::of(voters.clone());
        // A new one is taken into the chain first, and has a vote by then.
        let is_there =
            |node: &NodeId| reached.contains(node) && !(members.contains(*node) && self.wiped_node(*node));
        if !wanted.majority(is_there) {
            let there = voters.iter().filter(|node| is_there(node)).count();
            return Err(Refused::NoMajority { there, voters: voters.len() });
        }
        self.asked = Some((voters.clone(), now + ASKED));
        Ok(voters)
    }

    /// Control nodes that may vote and don't, and are there.
    pub fn standing_by(&self) -> Vec<NodeId> {
        let members = self.members();
        let eligible = self.peers.iter().filter(|(id, peer)| peer.beat.eligible && self.hears(**id));
        eligible.map(|(id, _)| *id).filter(|id| !members.contains(*id)).collect()
    }

    /// Whether the core still counts on this node: it is in the newest chain that stands, or that it has accepted; or it
    /// votes, and another takes its seat, or could. A node that leaves waits for both.
    pub fn is_needed(&self) -> bool {
        let installed = self.installed.as_ref().map(|installed| &installed.view);
        let newest = [installed, self.known.as_ref()].into_iter().flatten().max_by_key(|view| view.number);
        let in_chain = newest.is_some_and(|view| view.chain.contains(&self.me) && view.chain.len() > 1);
        let stands_by = |id: &NodeId| self.peers.get(id).is_some_and(|peer| !peer.beat.unfit);
        let members = self.members();
        // While both sets count, the one before is counted with it.
        let changing = || !members.before.is_empty() || self.standing_by().iter().any(stands_by);
        in_chain || members.contains(self.me) && changing()
    }

    // ---- Sending ----

    /// Carries out what a sync was waited for, or says it at once.
    fn emit(&mut self, output: Output) {
        match output {
            Output::Send(to, message) if to == self.me => self.inbox.push_back(message),
            output => self.out.push(output),
        }
    }

    fn send(&mut self, to: NodeId, message: Message) {
        self.emit(Output::Send(to, message));
    }

    /// Makes the present state durable; `then` follows once it is.
    fn persist(&mut self, then: Vec<Output>) {
        self.next_sync += 1;
        self.out.push(Output::Persist(self.next_sync, self.durable.clone()));
        self.syncs.push_back((self.next_sync, self.now, then));
    }

    fn finish(&mut self) -> Vec<Output> {
        while let Some(message) = self.inbox.pop_front() {
            self.handle(self.me, message);
        }
        std::mem::take(&mut self.out)
    }

    fn beat(&self) -> Beat {
        let installed = self.installed.as_ref().filter(|i| i.stands && !i.broken);
        Beat {
            members: self.members().clone(),
            promised: self.highest,
            view: installed.map(|i| i.view.clone()),
            hears: self.peers.keys().copied().filter(|peer| self.hears(*peer)).collect(),
            wiped: !self.durable.votes,
            eligible: self.terms.eligible,
            unfit: self.unfit(),
            leaving: self.leaving,
            committed: self.committed.seq,
        }
    }

    fn send_beats(&mut self) {
        self.last_beat = Some(self.now);
        let beat = self.beat();
        let up: Vec<NodeId> = self.peers.iter().filter(|(_, p)| p.up).map(|(id, _)| *id).collect();
        for peer in up {
            self.out.push(Output::Send(peer, Message::Beat(beat.clone())));
        }
    }

    // ---- Who is there ----

    fn unfit(&self) -> bool {
        self.leaving || self.syncs.front().is_some_and(|(_, since, _)| self.now >= since + STALL)
    }

    /// The peer is connected and has been heard lately.
    fn hears(&self, peer: NodeId) -> bool {
        self.peers.get(&peer).is_some_and(|p| p.up && self.now < p.heard + SILENCE)
    }

    /// The peer can take part: it is there, hears this node too, and is fit.
    fn takes_part(&self, peer: NodeId) -> bool {
        self.hears(peer)
            && self.peers.get(&peer).is_some_and(|p| {
                p.beat.hears.contains(&self.me) && !p.beat.unfit && self.now >= p.shunned_until
            })
    }

    /// Who may be in the chain: the voters, and who may become one.
    fn candidates(&self) -> Vec<NodeId> {
        let members = self.members();
        let standing_by = self.peers.iter().filter(|(_, peer)| peer.beat.eligible).map(|(id, _)| *id);
        let mut all: Vec<NodeId> =
            members.voters.iter().chain(&members.before).copied().chain(standing_by).collect();
        all.sort();
        all.dedup();
        all
    }

    /// Of the candidates, this node, and in order each that all chosen before it hear and that hears them: members of
    /// the newest chain that stood first, as nobody who is whole is left out for one who comes back and is not heard by
    /// all yet; then the other voters; then those who stand by.
    fn reached(&self) -> Vec<NodeId> {
        let mut chosen = Vec::new();
        let members = self.members();
        if !members.contains(self.me) || self.unfit() {
            return chosen;
        }
        let mut others: Vec<NodeId> = self.candidates();
        others.retain(|node| *node != self.me && self.takes_part(*node));
        let stood = |node: &NodeId| self.known.as_ref().is_some_and(|view| view.chain.contains(node));
        others.sort_by_key(|node| (!members.contains(*node), !stood(node), *node));
        for node in others {
            let heard_by = |other: &NodeId| {
                self.peers.get(other).is_some_and(|p| p.beat.hears.contains(&node))
                    && self.peers.get(&node).is_some_and(|p| p.beat.hears.contains(other))
            };
            if chosen.iter().all(heard_by) {
                chosen.push(node);
            }
        }
        chosen.push(self.me);
        chosen.sort();
        chosen
    }

    /// Who should vote, if others than now: as many as the losses ask for, and in the place of each that has been away
    /// for long one that stands by. `None` while a change is under way.
    fn wish(&self, reached: &[NodeId]) -> Option<Vec<NodeId>> {
        let members = self.members();
        if !members.before.is_empty() {
            return None;
        }
        if let Some((asked, _)) = &self.asked {
            let there = |node: &NodeId| members.voters.contains(node) || reached.contains(node);
            return (*asked != members.voters && asked.iter().all(there)).then(|| asked.clone());
        }
        let mut standing_by = reached.iter().copied().filter(|node| !members.contains(*node));
        // Those that have been away for longest first: they are the least likely to come back. Who leaves in order says
        // so, and its seat is taken before it has gone: it may be gone for good, and then counts no more at once.
        let mut wish = members.voters.clone();
        wish.sort_by_key(|voter| std::cmp::Reverse(self.away(*voter)));
        let left = |voter: &NodeId| self.peers.get(voter).is_some_and(|peer| peer.left);
        let gives_up = |voter: &NodeId| left(voter) || self.away(*voter) >= self.terms.replaced_after();
        let wanted = (2 * self.terms.losses + 1).min(MOST_VOTERS);
        let mut beyond = wish.len().saturating_sub(wanted);
        wish = wish
            .into_iter()
            .filter_map(|voter| {
                if !gives_up(&voter) {
                    return Some(voter);
                }
                let instead = standing_by.next();
                // Where an operator's word has made more voters than the losses ask for, one that is lost and has no
                // successor would only count against a majority.
                if instead.is_none() && beyond > 0 {
                    beyond -= 1;
                    return None;
                }
                instead.or(Some(voter))
            })
            .collect();
        let missing = wanted.saturating_sub(wish.len());
        wish.extend(standing_by.take(missing));
        wish.sort();
        (wish != members.voters).then_some(wish)
    }

    /// How long a voter has not been heard; 0 where it is there.
    pub fn away(&self, node: NodeId) -> Millis {
        if node == self.me || self.hears(node) {
            return 0;
        }
        let heard = self.peers.get(&node).map_or(0, |peer| peer.heard);
        self.now.saturating_sub(heard.max(self.began.unwrap_or(self.now)))
    }

    fn wiped_node(&self, node: NodeId) -> bool {
        if node == self.me {
            !self.durable.votes
        } else {
            self.peers.get(&node).is_some_and(|p| p.beat.wiped)
        }
    }

    /// A member of the installed view was lost: it does not stand any more, until a new one does.
    fn break_view(&mut self) {
        if let Some(installed) = &mut self.installed {
            installed.broken = true;
        }
    }

    // ---- Proposing ----

    /// Proposes a view where one is needed and it is this node's turn.
    fn consider(&mut self) {
        let reached = self.reached();
        let wish = self.wish(&reached);
        let members = self.members();
        let mut target = reached;
        let learns = |node: &NodeId| {
            let taken_in = |i: &Installed| i.view.chain.contains(node) && self.now < i.since + LEARNER;
            self.installed.as_ref().is_some_and(taken_in)
        };
        let counts = |node: &NodeId| self.counted.as_ref().is_some_and(|counted| counted.contains(*node));
        target.retain(|node| {
            members.contains(*node)
                || counts(node)
                || learns(node)
                || wish.as_ref().is_some_and(|wish| wish.contains(node))
        });
        let votes = |node: &NodeId| target.contains(node) && !self.wiped_node(*node);
        let able = members.majority(votes) && self.durable.votes;
        let changing = wish.is_some() || !members.before.is_empty();
        let member = self.installed.as_ref().filter(|i| i.stands && !i.broken).map(|i| &i.view.chain);
        let lost = member.is_some_and(|chain| chain.iter().any(|m| *m != self.me && !self.hears(*m)));
        if lost {
            self.break_view();
            return self.consider();
        }
        // Who is not in a chain that stands waits to be taken in by those who are. One that was let go of may still take
        // an old view for standing.
        let known = self.known.as_ref().map_or(0, |view| view.number);
        let without = |view: &View| view.number >= known && !view.chain.contains(&self.me);
        let others_stand = member.is_none()
            && self.peers.iter().any(|(id, p)| self.hears(*id) && p.beat.view.as_ref().is_some_and(without));
        let needed = changing || member.is_none_or(|chain| *chain != target);
        // Who is not in the chain that stands proposes nothing, nor does anybody else what only this node was asked for.
        let proposes = |node: &NodeId| {
            members.contains(*node)
                && !self.wiped_node(*node)
                && member.is_none_or(|chain| chain.contains(node))
        };
        let before = target.iter().filter(|node| **node < self.me && proposes(node)).count();
        let before = if self.asked.is_some() { 0 } else { before };
        if !able || others_stand || !needed || self.proposal.is_some() {
            self.need_since = None;
            return;
        }
        let since = *self.need_since.get_or_insert(self.now);
        let held = self.hold.is_some_and(|(by, until)| self.now < until && self.hears(by));
        if !held && self.now >= since + SETTLE + TURN * before as Millis {
            self.propose(target, wish);
        }
    }

    fn propose(&mut self, target: Vec<NodeId>, wish: Option<Vec<NodeId>>) {
        let number = (((self.highest >> PROPOSER_BITS) + 1) << PROPOSER_BITS) | u64::from(u32::from(self.me));
        self.highest = number;
        self.need_since = None;
        self.proposal = Some(Proposal {
            number,
            since: self.now,
            target: target.clone(),
            wish,
            promises: BTreeMap::new(),
            view: None,
        });
        for node in target {
            self.send(node, Message::Prepare { view: number });
        }
    }

    /// Goes on with a proposal whose promises are in, and gives up one that takes too long.
    fn tend_proposal(&mut self) {
        // Whom it has been sent to, and who was lost since, will not answer; the next one goes on without.
        let view = self.proposal.as_ref().and_then(|p| p.view.as_ref());
        if view.is_some_and(|(view, _)| view.chain.iter().any(|m| *m != self.me && !self.hears(*m))) {
            self.proposal = None;
        }
        let Some(p) = &mut self.proposal else { return };
        if self.now >= p.since + PROPOSAL {
            let answered: Vec<NodeId> = match &p.view {
                Some((_, installed)) => installed.iter().copied().collect(),
                None => p.promises.keys().copied().collect(),
            };
            let silent: Vec<NodeId> = p
                .target
                .iter()
                .copied()
                .filter(|node| !answered.contains(node) && *node != self.me)
                .collect();
            for node in silent {
                if let Some(peer) = self.peers.get_mut(&node) {
                    peer.shunned_for = (peer.shunned_for * 2).clamp(FIRST_SHUN, LONGEST_SHUN);
                    peer.shunned_until = self.now + peer.shunned_for;
                }
            }
            self.proposal = None;
            return;
        }
        if p.view.is_some() {
            return;
        }
        let all = p.target.iter().all(|node| p.promises.contains_key(node));
        if !(all || self.now >= p.since + GATHER) {
            return;
        }
        let newest = p.promises.values().flatten().max_by_key(|a| (a.number, a.record.seq));
        let Some(Accepted { number, members: counted, record }) = newest else { return };
        // Who counts is what the newest of them had accepted, whatever the proposer knew, and who has to be asked next.
        self.counted = Some(counted.clone());
        if !counted.majority(|node| p.promises.get(node).is_some_and(Option::is_some)) {
            return;
        }
        let chain: Vec<NodeId> = p.promises.keys().copied().collect();
        let stood = self.known.as_ref().is_some_and(|known| known.number >= *number);
        let wish = p.wish.as_ref().filter(|_| counted.before.is_empty());
        let votes = |node: &NodeId| p.promises.get(node).is_some_and(Option::is_some);
        // New ones are taken into the chain of a view with the old set first, which gives them a vote. Counted without
        // one, they would be lost to the new set if all power went before the view stands, and with one disk more it
        // could never have a majority again.
        let attained = |wish: &&Vec<NodeId>| {
            wish.iter().all(|node| counted.contains(*node) || votes(node))
                && Members::of((*wish).clone()).majority(votes)
        };
        let members = match wish.filter(attained) {
            Some(wish) => Members { voters: wish.clone(), before: counted.voters.clone() },
            // A change that only some may have seen is made whole before the old set is let go of.
            None if !stood => counted.clone(),
            None => Members { voters: counted.voters.clone(), before: Vec::new() },
        };
        let record = Arc::clone(record);
        let view = View { number: p.number, chain, members };
        p.view = Some((view.clone(), BTreeSet::new()));
        // Taken in again later, not by the next proposal.
        for node in p.target.iter().filter(|node| !p.promises.contains_key(node)) {
            if let Some(peer) = self.peers.get_mut(node) {
                peer.shunned_until = self.now + LATE;
            }
        }
        for node in view.chain.clone() {
            let record = Arc::clone(&record);
            self.send(node, Message::Install { view: view.clone(), record });
        }
    }

    // ---- Messages ----

    fn handle(&mut self, from: NodeId, message: Message) {
        match message {
            Message::Beat(beat) => self.take_beat(from, beat),
            Message::Prepare { view } => self.prepare(from, view),
            Message::Promise { view, accepted, members, record } => {
                let asked =
                    |p: &&mut Proposal| p.number == view && p.view.is_none() && p.target.contains(&from);
                if let Some(p) = self.proposal.as_mut().filter(asked) {
                    p.promises.insert(from, accepted.map(|number| Accepted { number, members, record }));
                    self.tend_proposal();
                }
            }
            Message::Nack { promised } => {
                self.highest = self.highest.max(promised);
                let fenced = |i: &Installed| i.view.number < promised && i.view.chain.contains(&from);
                if self.installed.as_ref().is_some_and(fenced) {
                    self.break_view();
                }
                if self.proposal.as_ref().is_some_and(|p| p.number < promised) {
                    self.proposal = None;
                }
            }
            Message::Install { view, record } => self.install(from, view, record),
            Message::Installed { view } => self.note_installed(from, view),
            Message::Stands { view } => self.stands(view),
            Message::Update { view, entry } => self.update(from, view, &entry),
            Message::Acked { view, seq } => {
                let current = self.member_of(view).is_some() && self.durable.record.seq == seq;
                if current {
                    self.commit();
                }
            }
            Message::Committed { record } => self.publish(record),
            Message::Forward { call, what } => self.head_takes(from, call, what),
            Message::Confirm { view, origin, call, claim } => self.confirm(view, origin, call, claim),
            Message::Answer { call, outcome } => {
                // A head that could not tell leaves the call to the next view, or to its end.
                if outcome == Outcome::Unavailable {
                    return;
                }
                // The last process here may have asked under the same number.
                if call.life == self.life && self.waiting.remove(&call.number).is_some() {
                    match &outcome {
                        // A node that the word of it has not reached yet knows it from now on.
                        Outcome::Document(record) if record.seq > self.committed.seq => {
                            self.publish(Arc::clone(record));
                        }
                        _ => {}
                    }
                    self.out.push(Output::Answer(call.number, outcome));
                }
            }
        }
    }

    fn take_beat(&mut self, from: NodeId, beat: Beat) {
        self.highest = self.highest.max(beat.promised);
        if self.durable.members.voters.is_empty() {
            self.durable.members = beat.members.clone();
        }
        if let Some(view) = &beat.view {
            if self.known.as_ref().is_none_or(|known| known.number < view.number) {
                self.known = Some(view.clone());
                self.dispatch();
            }
            // A member that missed the word that the view stands.
            if self.installed.as_ref().is_some_and(|i| i.view == *view && !i.stands) {
                self.stands(view.clone());
            }
        }
        let (behind, newest, now) = (beat.committed < self.committed.seq, self.committed.seq, self.now);
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.left = beat.leaving;
            peer.beat = beat;
            let (told, at) = peer.told;
            if behind && (told < newest || now >= at + SILENCE) {
                peer.told = (newest, now);
                let record = Arc::new(self.committed.without_table());
                self.send(from, Message::Committed { record });
            }
        }
    }

    fn prepare(&mut self, from: NodeId, view: u64) {
        self.highest = self.highest.max(view);
        if from != self.me {
            self.hold = Some((from, self.now + PROPOSAL));
        }
        if !self.durable.votes {
            let (accepted, members, record) = (None, Members::default(), Arc::default());
            return self.send(from, Message::Promise { view, accepted, members, record });
        }
        if view <= self.durable.promised {
            return self.send(from, Message::Nack { promised: self.durable.promised });
        }
        self.durable.promised = view;
        // Older views are fenced from here on.
        self.break_view();
        self.pending = None;
        let accepted = Some(self.durable.accepted);
        let (members, record) = (self.durable.members.clone(), Arc::clone(&self.durable.record));
        self.persist(vec![Output::Send(from, Message::Promise { view, accepted, members, record })]);
    }

    fn install(&mut self, from: NodeId, view: View, record: Arc<Record>) {
        if view.number < self.durable.promised {
            return self.send(from, Message::Nack { promised: self.durable.promised });
        }
        let number = view.number;
        self.highest = self.highest.max(number);
        let (members, votes) = (view.members.clone(), self.durable.votes);
        self.durable = Durable { members, votes, promised: number, accepted: number, record };
        self.pending = None;
        // Whoever sent them sends them again, to the head of this view.
        self.queue.clear();
        let broken = view.chain.iter().any(|member| *member != self.me && !self.hears(*member));
        self.installed = Some(Installed { view, stands: false, since: self.now, broken });
        self.persist(vec![Output::Send(from, Message::Installed { view: number })]);
    }

    fn note_installed(&mut self, from: NodeId, number: u64) {
        let Some(p) = &mut self.proposal else { return };
        let Some((view, installed)) = p.view.as_mut().filter(|(view, _)| view.number == number) else {
            return;
        };
        installed.insert(from);
        if installed.len() < view.chain.len() {
            return;
        }
        let view = view.clone();
        self.proposal = None;
        let peers: Vec<NodeId> = self.peers.keys().copied().collect();
        for peer in peers {
            self.send(peer, Message::Stands { view: view.clone() });
        }
        self.stands(view);
    }

    fn stands(&mut self, view: View) {
        self.hold = None;
        self.counted = None;
        for node in &view.chain {
            if let Some(peer) = self.peers.get_mut(node) {
                (peer.shunned_for, peer.shunned_until) = (0, 0);
            }
        }
        if self.known.as_ref().is_none_or(|known| known.number < view.number) {
            self.known = Some(view.clone());
        }
        // Not where a later promise has fenced it, or a change has been accepted in it already.
        let fenced = self.durable.promised != view.number;
        let first = self.installed.as_mut().filter(|i| i.view == view && !i.stands && !fenced);
        if let Some(installed) = first {
            (installed.stands, installed.since) = (true, self.now);
            // What is needed now is needed of this view: else all who waited for it to stand would propose the next one
            // at once, before it has answered anything.
            self.need_since = None;
            if !self.durable.votes {
                // What it may have forgotten is known to a majority that has accepted this view, or lies below it.
                self.durable.votes = true;
                self.persist(Vec::new());
            }
            let record = Arc::clone(&self.durable.record);
            self.publish(record);
            self.send_beats();
        }
        self.dispatch();
    }

    /// The installed view, if it has this number and nothing has fenced it.
    fn member_of(&self, number: u64) -> Option<&View> {
        let installed = self.installed.as_ref()?;
        (installed.view.number == number && self.durable.promised == number).then_some(&installed.view)
    }

    fn update(&mut self, from: NodeId, number: u64, entry: &Arc<Entry>) {
        let Some(view) = self.member_of(number) else { return };
        let record = &self.durable.record;
        let next = entry.seq == record.seq + 1 && entry.order.rev > record.rev;
        if next && view.before(self.me) == Some(from) {
            self.shown_to_stand(number);
            self.accept(entry);
        }
    }

    /// What comes down the chain shows that its view stands, also where the word of that is still on its way. What the
    /// view began with is committed then, and what follows is not yet.
    fn shown_to_stand(&mut self, number: u64) {
        let Some(view) = self.member_of(number).cloned() else { return };
        if self.installed.as_ref().is_some_and(|i| !i.stands) {
            self.stands(view);
        }
    }

    /// Makes a change durable, then passes it on, or commits it at the tail.
    fn accept(&mut self, entry: &Arc<Entry>) {
        let Some(installed) = &self.installed else { return };
        let (number, seq) = (installed.view.number, entry.seq);
        let then = match installed.view.after(self.me) {
            Some(next) => {
                vec![Output::Send(next, Message::Update { view: number, entry: Arc::clone(entry) })]
            }
            None => {
                // The tail takes its own word too, last, so that it commits after the sync as well.
                let chain = installed.view.chain.iter();
                chain.map(|member| Output::Send(*member, Message::Acked { view: number, seq })).collect()
            }
        };
        self.durable.record = Arc::new(self.durable.record.after(entry));
        self.persist(then);
    }

    /// The whole chain has made the present record durable.
    fn commit(&mut self) {
        let record = Arc::clone(&self.durable.record);
        let tail = self.installed.as_ref().and_then(|i| i.view.tail()) == Some(self.me);
        if tail {
            let chain = self.installed.as_ref().map(|i| i.view.chain.clone()).unwrap_or_default();
            let others: Vec<NodeId> =
                self.peers.iter().filter(|(id, p)| p.up && !chain.contains(id)).map(|(id, _)| *id).collect();
            let told = Arc::new(record.without_table());
            for peer in others {
                self.send(peer, Message::Committed { record: Arc::clone(&told) });
            }
        }
        let done = self.pending.take_if(|p| p.seq == record.seq);
        self.publish(record);
        if let Some(p) = done {
            self.send(p.origin, Message::Answer { call: p.call, outcome: Outcome::Done { rev: p.rev } });
        }
        self.take_next();
    }

    fn publish(&mut self, record: Arc<Record>) {
        if record.seq > self.committed.seq {
            self.committed = Arc::clone(&record);
            self.out.push(Output::Publish(record));
        } else if record.seq == self.committed.seq && record.taken.len() > self.committed.taken.len() {
            // It was told without the table of orders, which a backup needs.
            self.committed = record;
        }
    }

    // ---- Calls ----

    /// Hands waiting calls to the head of the newest view, each once a view.
    fn dispatch(&mut self) {
        let Some(view) = &self.known else { return };
        let Some(head) = view.head() else { return };
        let number = view.number;
        let due = self.waiting.iter_mut().filter(|(_, w)| w.sent.is_none_or(|sent| sent < number));
        let calls: Vec<(u64, Call)> = due
            .map(|(call, w)| {
                w.sent = Some(number);
                (*call, w.what.clone())
            })
            .collect();
        for (call, what) in calls {
            self.send(head, Message::Forward { call: CallId { life: self.life, number: call }, what });
        }
    }

    fn is_head(&self) -> Option<u64> {
        let installed = self.installed.as_ref().filter(|i| i.stands && !i.broken)?;
        let number = installed.view.number;
        (installed.view.head() == Some(self.me) && self.durable.promised == number).then_some(number)
    }

    fn head_takes(&mut self, origin: NodeId, call: CallId, what: Call) {
        let Some(number) = self.is_head() else { return };
        match what {
            Call::Read => self.confirm(number, origin, call, Claim::Committed { than: None }),
            Call::ReadNewer { than } => {
                self.confirm(number, origin, call, Claim::Committed { than: Some(than) });
            }
            Call::Change { builds_on, change } => {
                if self.queue.len() < MOST_CALLS {
                    self.queue.push_back((origin, call, builds_on, change));
                    self.take_next();
                }
            }
        }
    }

    /// Passes a claim on, or answers at the tail. It overtakes no change: one that was acknowledged before the call
    /// began was committed at the tail, and one that has entered since is no part of what the head found.
    fn confirm(&mut self, number: u64, origin: NodeId, call: CallId, claim: Claim) {
        let views = self.installed.iter().map(|i| &i.view).chain(&self.known);
        let head = views.filter(|view| view.number == number).find_map(View::head);
        if let Some(head) = head.filter(|_| self.durable.promised > number) {
            // Where the newer view came to nothing, the head would wait for ever.
            return self.send(head, Message::Nack { promised: self.durable.promised });
        }
        self.shown_to_stand(number);
        let Some(view) = self.member_of(number) else { return };
        let outcome = match (view.after(self.me), claim) {
            (Some(next), claim) => {
                return self.send(next, Message::Confirm { view: number, origin, call, claim });
            }
            (None, Claim::Found(outcome)) => outcome,
            (None, Claim::Committed { than: Some(seq) }) if self.committed.seq <= seq => Outcome::Unchanged,
            // Whoever asks only hands the document on.
            (None, Claim::Committed { than: Some(_) }) => {
                Outcome::Document(Arc::new(self.committed.without_table()))
            }
            (None, Claim::Committed { than: None }) => Outcome::Document(Arc::clone(&self.committed)),
        };
        self.send(origin, Message::Answer { call, outcome });
    }

    /// The head begins with the next change, one at a time: what it builds on is then committed.
    fn take_next(&mut self) {
        while let Some(number) = self.is_head() {
            if self.pending.is_some() || !self.outlives_losses() {
                break;
            }
            let Some((origin, call, builds_on, change)) = self.queue.pop_front() else { return };
            let current = Arc::clone(&self.durable.record);
            let outcome = match current.decide(builds_on, &change) {
                Decision::New(entry) => {
                    let (seq, rev) = (entry.seq, entry.order.rev);
                    self.pending = Some(Pending { origin, call, seq, rev, since: self.now });
                    self.accept(&Arc::new(entry));
                    return;
                }
                Decision::Taken { rev } => Outcome::Done { rev },
                Decision::Forgotten { up_to } => Outcome::Forgotten { up_to },
                Decision::Stale { current } => Outcome::Conflict { current },
                Decision::Invalid(invalid) => Outcome::Invalid(invalid),
            };
            // A refusal tells of the newest version as well, and a newer view may have gone on from here.
            self.confirm(number, origin, call, Claim::Found(outcome));
        }
        if self.is_head().is_none() {
            // Whoever sent them sends them to the next head.
            self.queue.clear();
        }
    }
}
