//! A control node: its part of the chain, the registry of servers, the sessions of the agents and of the
//! shield beside it, and the links to its peers.

pub mod api;
pub mod backup;
mod lease;
mod membership;
mod peers;
pub mod purge_log;
mod purging;
mod quorum_reads;
pub mod relay;
pub mod store;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use glenfall_control_plane::chain::{Chain, Message, Outcome, Output, Record, Start};
use glenfall_control_plane::fleet::VersionedFleet;
use glenfall_control_plane::invariant::Invariant;
use glenfall_control_plane::messages::{ConnectionOpening, Member, PeerMessage, PublisherMessage, Update};
use glenfall_control_plane::purge_history::{PurgeHistory, PURGE_RETENTION};
use glenfall_control_plane::registry::Registry;
use glenfall_control_plane::Millis;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch, Notify};
use tokio::task::spawn_local;
use tokio::time::{interval, sleep, timeout, Instant, MissedTickBehavior};

use crate::http_server;
use crate::session::link::{self, FrameReader, Outbox};
use crate::session::publisher::{Reach, Sessions};
use crate::settings::Settings;
use lease::Leases;
use peers::Peers;
use purge_log::PurgeLog;
use purging::PurgeWrites;
use relay::BeatRelay;
use store::writer::HardStateWriter;
use store::Found;

/// How often the state machines are asked what time has brought.
const TICK: Duration = Duration::from_millis(25);
/// What the clock shows at the start: what came before it, as others tell, has its time as well.
const BEFORE: Millis = 10 * PURGE_RETENTION;
/// How often silent servers are looked for.
const EXPIRE: Duration = Duration::from_millis(250);
/// Changes of the fleet within this time are pushed as one, and within so much more for each server and member: what a
/// change costs its receivers grows with the fleet, and at a start there is one after another.
const GATHER: Duration = Duration::from_millis(10);
const GATHER_FOR_EACH: Duration = Duration::from_micros(50);
/// How long the word of a server that leaves waits for all who have to know it.
const DRAIN: Duration = Duration::from_millis(400);
/// A node that has not reached a majority for so long turns agents away. Shorter, and each mend of the chain
/// would; longer, and agents hear of a configuration too late.
const CUT_OFF: Duration = Duration::from_millis(700);
/// A quorum read that has not come back by then is asked again: longer than a way down a chain. Each ends by itself, so
/// that six at most wait at a time.
const READ_AGAIN: Duration = Duration::from_millis(150);
/// An agent waits so long for what it is told to be proved the newest: the first view after the loss of all control
/// nodes takes 0.2 to 0.7 s, a mend of the chain 1.2 s. Then it had better try another node.
const OPENING: Duration = Duration::from_millis(1500);
/// Descriptors that a control node keeps for sessions, peers and files; callers have the rest. Servers keep their connections
/// between heartbeats, so that few places would have them opened anew each time.
const OTHER_DESCRIPTORS: usize = 1500;
const LEAST_CALLERS: usize = 256;
/// Bytes of documents under way: some of the largest that are taken.
const MOST_BODIES: usize = 32 << 20;
/// After the signal to stop: calls still come for a moment, and the chain is mended meanwhile.
const LEAVING: Duration = Duration::from_millis(600);

/// A control node.
pub struct Control {
    boot: Rc<Settings>,
    began: Instant,
    chain: RefCell<Chain>,
    writes: HardStateWriter,
    calls: RefCell<BTreeMap<u64, oneshot::Sender<Outcome>>>,
    next_call: Cell<u64>,
    registry: RefCell<Registry>,
    relay: BeatRelay,
    purges: RefCell<PurgeHistory>,
    purge_log: PurgeLog,
    next_purge: Cell<u64>,
    purge_writes: PurgeWrites,
    /// Peers that have told all the purges that they remember, and whether with this node they are a majority: then it
    /// knows every purge that was acknowledged, and whoever hears from it what was missed has missed nothing else.
    told_purges: RefCell<BTreeSet<Ipv4Addr>>,
    vouches: Cell<bool>,
    /// Tells this process from the last at its address.
    life: u64,
    sessions: Sessions,
    leases: Leases,
    peers: Peers,
    fleet: RefCell<VersionedFleet>,
    /// The members with their sessions here, as peers have been told.
    told_members: RefCell<Vec<Member>>,
    fleet_changed: Notify,
    stop: watch::Sender<bool>,
    /// When this node was last seen to reach a majority.
    reached: Cell<Instant>,
    cut_off: watch::Sender<bool>,
    /// How often this node was to be made sure of the newest configuration; up to which of these it is; and the word
    /// that there are more.
    asked_newest: Cell<u64>,
    newest_known: watch::Sender<u64>,
    newest_wanted: Notify,
    /// Number of the view last told of in the log; 0 where none stands.
    told_view: Cell<u64>,
    /// What was committed here last.
    published: RefCell<Option<Arc<Record>>>,
}

/// What the chain begins with, by what was found on disk.
fn start_of(found: Found, bootstrap: bool, seeds: &[Ipv4Addr]) -> Start {
    match found {
        Found::Kept(kept) => Start::Kept(kept),
        Found::Nothing if bootstrap => Start::Fresh(seeds.to_vec()),
        Found::Nothing => Start::Wiped,
        Found::Damaged(why) => {
            tracing::error!(%why, "state set aside; it comes from the chain again, and until then there is no vote");
            Start::Wiped
        }
    }
}

/// Runs a control node until it is told to stop.
pub async fn run(boot: Rc<Settings>) -> Result<(), Box<dyn std::error::Error>> {
    let listen = boot.require_listener("controlAddr", |listeners| listeners.control_addr)?;
    let seeds: Vec<Ipv4Addr> = boot.seed_nodes.iter().map(|seed| *seed.ip()).collect();
    let (synced, syncs) = mpsc::unbounded_channel();
    let control = Rc::new(Control::open(Rc::clone(&boot), &seeds, synced)?);
    let links = TcpListener::bind(boot.listen_address(boot.link_address(boot.bind_ip))).await?;
    let feed = TcpListener::bind(boot.watch_address()).await?;
    for (listener, beside) in [(links, false), (feed, true)] {
        spawn_local(Rc::clone(&control).accept(listener, beside));
    }
    peers::know(&control, &seeds);
    spawn_local(Rc::clone(&control).take_syncs(syncs));
    spawn_local(Rc::clone(&control).tick());
    spawn_local(Rc::clone(&control).push_fleet());
    spawn_local(Rc::clone(&control).follow_newest());
    let terms = http_server::ServerConfig {
        listen,
        max_connections: boot.req_limits.max_fds.saturating_sub(OTHER_DESCRIPTORS).max(LEAST_CALLERS),
        max_body_bytes: MOST_BODIES,
        drain_accept_time: LEAVING,
        grace: boot.grace(),
    };
    let serving =
        http_server::serve(terms, Rc::new(api::Api::new(Rc::clone(&control))), control.stop.subscribe());
    let (served, ()) = tokio::join!(serving, control.leave());
    Ok(served?)
}

impl Control {
    /// A control node with the state that lies in its folder. `synced` hears of each write that is on disk.
    fn open(
        boot: Rc<Settings>,
        seeds: &[Ipv4Addr],
        synced: mpsc::UnboundedSender<u64>,
    ) -> Result<Control, Box<dyn std::error::Error>> {
        let core = boot.chain_settings()?;
        let me = boot.bind_ip;
        let folder = boot.state_dir.clone().ok_or("stateDir: missing; control keeps its state there")?;
        let (store, found) = store::Store::open(&folder)?;
        let start = start_of(found, boot.bootstrap, seeds);
        let leases = Leases::new(matches!(start, Start::Fresh(_)));
        let (purge_log, written) = PurgeLog::open(&folder)?;
        let mut remembered = PurgeHistory::default();
        remembered.record(BEFORE, written);
        let life = crate::session::incarnation();
        Ok(Control {
            began: Instant::now(),
            chain: RefCell::new(Chain::new(me, core, start).with_incarnation(life)),
            writes: HardStateWriter::start(store, synced)?,
            calls: RefCell::default(),
            next_call: Cell::new(0),
            registry: RefCell::new(Registry::new(boot.beat_ms)),
            relay: BeatRelay::default(),
            purges: RefCell::new(remembered),
            purge_log,
            next_purge: Cell::new(0),
            purge_writes: PurgeWrites::default(),
            told_purges: RefCell::default(),
            vouches: Cell::new(false),
            life,
            sessions: Sessions::default(),
            leases,
            peers: Peers::new(me, life),
            fleet: RefCell::default(),
            told_members: RefCell::default(),
            fleet_changed: Notify::new(),
            stop: watch::Sender::new(false),
            reached: Cell::new(Instant::now()),
            cut_off: watch::Sender::new(false),
            asked_newest: Cell::new(0),
            newest_known: watch::Sender::new(0),
            newest_wanted: Notify::new(),
            told_view: Cell::new(0),
            published: RefCell::default(),
            boot,
        })
    }

    /// Tells the chain which of its writes are on disk.
    async fn take_syncs(self: Rc<Self>, mut syncs: mpsc::UnboundedReceiver<u64>) {
        while let Some(number) = syncs.recv().await {
            let now = self.now();
            let outputs = self.chain.borrow_mut().synced(now, number);
            self.carry_out(outputs);
        }
    }

    /// Waits for the signal to stop, and until the others do without this node.
    async fn leave(&self) {
        crate::signals::terminated().await;
        tracing::info!("leaving");
        let outputs = {
            let now = self.now();
            self.chain.borrow_mut().leave(now)
        };
        self.carry_out(outputs);
        self.sessions.tell(&PublisherMessage::Draining);
        self.stop.send_replace(true);
        let mended = async {
            while self.chain.borrow().is_needed() {
                sleep(TICK).await;
            }
        };
        let _ = timeout(self.boot.grace(), mended).await;
    }

    fn now(&self) -> Millis {
        BEFORE + self.began.elapsed().as_millis() as Millis
    }

    async fn accept(self: Rc<Self>, listener: TcpListener, beside: bool) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    spawn_local(Rc::clone(&self).opened(stream, beside));
                }
                Err(_) => sleep(TICK).await,
            }
        }
    }

    async fn opened(self: Rc<Self>, stream: TcpStream, beside: bool) {
        if link::tune(&stream).is_err() {
            return;
        }
        let (read, write) = stream.into_split();
        let mut frames = FrameReader::new(read);
        match frames.next_in_time().await {
            Ok(ConnectionOpening::Session) => {
                if *self.stop.borrow() || !beside && self.cut_off() {
                    return;
                }
                let greet = || self.greeting();
                // The configuration handed out is the newest, proved after the opening. An agent goes on to another
                // node where that takes long; the shield beside has none.
                let proved = async {
                    let most = if beside { Duration::MAX } else { OPENING };
                    timeout(most, self.knows_newest()).await.ok()?;
                    let record = Arc::clone(self.chain.borrow().committed());
                    Some((record.rev > 0).then(|| config_news(&record)).into_iter().collect())
                };
                let changed = || self.members_changed();
                // The shield beside stays, whatever this node reaches: it knows no other.
                let mut cut_off = self.cut_off.subscribe();
                let kept = async {
                    // It can't fail while this node is here.
                    let _ = cut_off.wait_for(|cut_off| *cut_off && !beside).await;
                };
                let reach = if beside { Reach::SameMachine } else { Reach::Network };
                tokio::select! {
                    () = self.sessions.serve(reach, frames, Outbox::start(write), greet, proved, changed) => {}
                    () = kept => tracing::warn!("session ended: this node does not reach a majority"),
                }
            }
            Ok(ConnectionOpening::Peer { ip, incarnation: life, known_peers: others }) => {
                peers::know(&self, &others);
                peers::know(&self, &[ip]);
                // Each side speaks on the connection that it opened.
                peers::listen(&self, ip, life, frames, &Outbox::start(write)).await;
            }
            Err(_) => {}
        }
    }

    fn greeting(&self) -> (Vec<PublisherMessage>, Vec<Update>) {
        let mut news = vec![Update::Purges(self.purges.borrow().missed(self.now()))];
        news.push(Update::Fleet(self.fleet.borrow().snapshot()));
        news.push(Update::Connected(self.vouches.get()));
        (vec![PublisherMessage::ControlNodes(self.peers.all())], news)
    }

    async fn tick(self: Rc<Self>) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut expire = Instant::now();
        loop {
            ticks.tick().await;
            let now = self.now();
            let outputs = self.chain.borrow_mut().tick(now);
            let heartbeat = |output: &Output| matches!(output, Output::Send(_, Message::Heartbeat(_)));
            if outputs.iter().any(heartbeat) {
                self.relay.take(now).iter().for_each(|beats| self.peers.tell(beats));
            }
            self.carry_out(outputs);
            self.renew_leases();
            // Seen here also where no session asks.
            self.cut_off();
            let listens = self.in_majority();
            self.registry.borrow_mut().set_accepting(now, listens);
            if expire.elapsed() >= EXPIRE {
                expire = Instant::now();
                if *self.cut_off.borrow() {
                    self.know_seeds();
                }
                self.vouch();
                if self.expire_servers()
                    || self.peers.expire()
                    || self.complete() != self.fleet.borrow().fleet().complete
                {
                    self.fleet_changed.notify_one();
                }
            }
        }
    }

    /// Takes the seeds as the settings name them now. They are all that a node is told of others: one that began with
    /// seeds that are down, and that nobody knows, finds none otherwise.
    fn know_seeds(self: &Rc<Self>) {
        if let Ok(boot) = Settings::load() {
            let seeds: Vec<Ipv4Addr> = boot.seed_nodes.iter().map(|seed| *seed.ip()).collect();
            peers::know(self, &seeds);
        }
    }

    /// Does what the chain asks for.
    fn carry_out(&self, outputs: Vec<Output>) {
        self.tell_view();
        for output in outputs {
            match output {
                Output::Send(to, message) => self.peers.send(to, PeerMessage::Chain(message)),
                Output::Persist(number, state) => {
                    self.writes.submit(number, state);
                }
                Output::Answer(call, outcome) => {
                    if let Some(waiting) = self.calls.borrow_mut().remove(&call) {
                        let _ = waiting.send(outcome);
                    }
                }
                Output::Publish(record) => {
                    self.check_committed(&record);
                    if record.rev > 0 {
                        tracing::info!(rev = record.rev, seq = record.seq, "configuration committed");
                        self.sessions.push(&config_news(&record));
                    }
                }
            }
        }
    }

    /// What is committed here follows what was, whichever views came between.
    fn check_committed(&self, record: &Arc<Record>) {
        let Some(before) = self.published.replace(Some(Arc::clone(record))) else { return };
        let told = || format!("rev {}, seq {} after {}, {}", record.rev, record.seq, before.rev, before.seq);
        let rises = (before.rev, before.seq) <= (record.rev, record.seq);
        Invariant::CommittedOrder.check(rises, told);
        let same = before.rev != record.rev || before.document == record.document;
        Invariant::OneDocument.check(same, told);
    }

    fn tell_view(&self) {
        let chain = self.chain.borrow();
        let number = chain.view().map_or(0, |view| view.number);
        if self.told_view.replace(number) == number {
            return;
        }
        let chain_bears = chain.tolerates_losses();
        match chain.view() {
            Some(view) => {
                let (chain, voters) = (&view.chain, &view.members.voters);
                tracing::info!(view = view.name(), ?chain, ?voters, "view stands");
                if !chain_bears {
                    tracing::warn!(
                        losses = self.boot.survive.hosts,
                        "too few voters yet: nothing is acknowledged"
                    );
                }
            }
            None => tracing::warn!("no view stands"),
        }
    }

    /// Whether a majority of the voters was heard within the last second. What binds others needs more: an answer of
    /// each of a majority to the very call.
    fn in_majority(&self) -> bool {
        self.chain.borrow_mut().has_quorum_at(self.now())
    }

    /// Out of touch with the majority for long enough to turn agents away: they may reach nodes that are not,
    /// and what is acknowledged there does not come here.
    fn cut_off(&self) -> bool {
        if self.in_majority() {
            self.reached.set(Instant::now());
        }
        let cut_off = self.reached.get().elapsed() >= CUT_OFF;
        if self.cut_off.send_if_modified(|known| std::mem::replace(known, cut_off) != cut_off) {
            let peers = self.peers.up();
            match cut_off {
                true => tracing::warn!(
                    ?peers,
                    "no majority is reached: servers, operators and agents are turned away"
                ),
                false => tracing::info!(?peers, "a majority is reached again"),
            }
        }
        cut_off
    }
}

fn config_news(record: &Record) -> Update {
    Update::Config { rev: record.rev, document: Arc::new(record.document.clone()) }
}
