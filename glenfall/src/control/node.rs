//! Assembles a control node from its parts, and runs its periodic tasks and its shutdown.

use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use glenfall_control_plane::chain::{Chain, Start};
use glenfall_control_plane::messages::{ProcessId, PublisherMessage};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::{interval, sleep, timeout, Instant, MissedTickBehavior};

use super::chain_driver::ChainDriver;
use super::clock::Clock;
use super::departure_log::DepartureLog;
use super::fleet_publisher::FleetPublisher;
use super::local_members::LocalMembers;
use super::peers::Peers;
use super::purge_coordinator::{PurgeCoordinator, PurgeDependencies};
use super::purge_log::PurgeLog;
use super::purge_log_completeness::PurgeLogCompleteness;
use super::quorum_contact::QuorumContact;
use super::quorum_reads::QuorumReads;
use super::server_registry::ServerRegistry;
use super::server_replication::{ReplicationDependencies, ServerReplication};
use super::store::writer::HardStateWriter;
use super::store::{RecoveredState, Store};
use super::voter_leases::VoterLeaseManager;
use crate::session::publisher::Sessions;
use crate::settings::Settings;

/// Interval of the ticks by which the state machines learn of the passage of time.
pub const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Interval of the checks for expired servers and members.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

/// A control node.
///
/// Owns one instance of each part, and whether the node is shutting down. All other state is private to the parts.
pub struct Control {
    pub(super) settings: Rc<Settings>,
    pub(super) clock: Clock,
    pub(super) sessions: Rc<Sessions>,
    pub(super) peers: Peers,
    pub(super) local_members: LocalMembers,
    pub(super) chain: Rc<ChainDriver>,
    pub(super) quorum: QuorumContact,
    pub(super) quorum_reads: Rc<QuorumReads>,
    pub(super) leases: Rc<VoterLeaseManager>,
    pub(super) purges: Rc<PurgeCoordinator>,
    pub(super) purge_log_completeness: PurgeLogCompleteness,
    pub(super) registry: Rc<ServerRegistry>,
    pub(super) fleet: Rc<FleetPublisher>,
    pub(super) servers: Rc<ServerReplication>,
    shutting_down: watch::Sender<bool>,
}

/// The parts that most other parts use.
struct SharedParts {
    clock: Clock,
    peers: Peers,
    sessions: Rc<Sessions>,
    chain: Rc<ChainDriver>,
}

/// The addresses of the control nodes in `seedNodes` of the settings.
pub fn seed_addresses(settings: &Settings) -> Vec<Ipv4Addr> {
    settings.seed_nodes.iter().map(|seed| *seed.ip()).collect()
}

/// The initial state of the chain, depending on what was found on disk.
fn chain_start(recovered: RecoveredState, bootstrap: bool, seeds: &[Ipv4Addr]) -> Start {
    match recovered {
        RecoveredState::Intact(state) => Start::Recovered(state),
        RecoveredState::Missing if bootstrap => Start::Fresh(seeds.to_vec()),
        RecoveredState::Missing => Start::Wiped,
        RecoveredState::Damaged(cause) => {
            tracing::error!(
                %cause,
                "damaged state set aside: this node does not vote until it has received the state of the chain"
            );
            Start::Wiped
        }
    }
}

impl Control {
    /// Opens a control node with the state in its state directory. Once a write of the chain is on disk, its number is
    /// sent to `completed_write_sender`; it covers all earlier writes.
    ///
    /// # Errors
    ///
    /// When the settings name no state directory, or the state in it can't be opened.
    pub fn open(
        settings: Rc<Settings>,
        seeds: &[Ipv4Addr],
        completed_write_sender: mpsc::UnboundedSender<u64>,
    ) -> Result<Control, Box<dyn std::error::Error>> {
        let chain_settings = settings.chain_settings()?;
        let folder = settings
            .state_dir
            .clone()
            .ok_or("stateDir: not set; a control node needs a directory for its state")?;
        let (store, recovered) = Store::open(&folder)?;
        let start = chain_start(recovered, settings.bootstrap, seeds);
        let is_first_start = matches!(start, Start::Fresh(_));
        let (purge_log, logged_purges) = PurgeLog::open(&folder)?;
        let (departure_log, departed) = DepartureLog::open(&folder)?;
        let local = ProcessId { ip: settings.bind_ip, incarnation: crate::session::incarnation() };
        let clock = Clock::start();
        let peers = Peers::new(Rc::clone(&settings), local);
        let sessions = Rc::new(Sessions::default());
        let chain = Rc::new(ChainDriver::new(
            clock,
            Chain::new(local.ip, chain_settings, start).with_incarnation(local.incarnation),
            HardStateWriter::start(store, completed_write_sender)?,
            Rc::clone(&peers.links),
            Rc::clone(&sessions),
            settings.survive.hosts,
        ));
        let leases = Rc::new(VoterLeaseManager::new(
            clock,
            Rc::clone(&chain),
            Rc::clone(&peers.links),
            Rc::clone(&sessions),
            is_first_start,
        ));
        let purge_dependencies = PurgeDependencies {
            clock,
            links: Rc::clone(&peers.links),
            requests: Rc::clone(&peers.requests),
            sessions: Rc::clone(&sessions),
            leases: Rc::clone(&leases),
        };
        let required_disks = settings.survive.hosts + 1;
        let purges = PurgeCoordinator::new(purge_dependencies, purge_log, logged_purges, required_disks);
        let shared = SharedParts { clock, peers, sessions, chain };
        let registry = ServerRegistry::new(clock, settings.beat_ms, departed);
        Ok(Control::assemble(settings, shared, leases, purges, registry, departure_log))
    }

    /// Connects the parts, and adds those that start without stored state.
    fn assemble(
        settings: Rc<Settings>,
        shared: SharedParts,
        leases: Rc<VoterLeaseManager>,
        purges: PurgeCoordinator,
        registry: ServerRegistry,
        departure_log: DepartureLog,
    ) -> Control {
        let SharedParts { clock, peers, sessions, chain } = shared;
        let registry = Rc::new(registry);
        let quorum_reads = Rc::new(QuorumReads::new(Rc::clone(&chain)));
        let fleet = Rc::new(FleetPublisher::new(
            Rc::clone(&chain),
            Rc::clone(&registry),
            Rc::clone(&sessions),
            Rc::clone(&peers.members),
        ));
        let servers = ServerReplication::new(ReplicationDependencies {
            clock,
            chain: Rc::clone(&chain),
            links: Rc::clone(&peers.links),
            requests: Rc::clone(&peers.requests),
            quorum_reads: Rc::clone(&quorum_reads),
            registry: Rc::clone(&registry),
            fleet: Rc::clone(&fleet),
            sessions: Rc::clone(&sessions),
            departure_log,
        });
        let (links, local) = (&peers.links, peers.links.local().ip);
        Control {
            quorum: QuorumContact::new(Rc::clone(&chain), Rc::clone(links)),
            local_members: LocalMembers::new(Rc::clone(&sessions), Rc::clone(links), Rc::clone(&fleet)),
            purge_log_completeness: PurgeLogCompleteness::new(local, Rc::clone(&chain), Rc::clone(&sessions)),
            purges: Rc::new(purges),
            servers: Rc::new(servers),
            shutting_down: watch::Sender::new(false),
            settings,
            clock,
            sessions,
            peers,
            chain,
            quorum_reads,
            leases,
            registry,
            fleet,
        }
    }

    /// Starts the tasks that run until the process ends.
    pub fn start(self: &Rc<Self>, completed_writes: mpsc::UnboundedReceiver<u64>) {
        spawn_local(Rc::clone(&self.chain).report_completed_writes(completed_writes));
        spawn_local(Rc::clone(self).run_ticks());
        // The servers that have departed are published before any session opens.
        self.fleet.publish_now();
        spawn_local(Rc::clone(&self.fleet).run());
        spawn_local(Rc::clone(&self.quorum_reads).run());
    }

    /// Whether the termination signal was received.
    pub fn is_shutting_down(&self) -> bool {
        *self.shutting_down.borrow()
    }

    /// A receiver whose value becomes true when the termination signal is received.
    pub fn subscribe_to_shutdown(&self) -> watch::Receiver<bool> {
        self.shutting_down.subscribe()
    }

    /// Waits for the termination signal, and then until the chain no longer needs this node or the grace period ends.
    pub async fn shut_down_on_signal(&self) {
        crate::signals::wait_for_termination().await;
        tracing::info!("shutdown started");
        self.chain.leave();
        self.sessions.broadcast(&PublisherMessage::Draining);
        self.shutting_down.send_replace(true);
        let replaced = async {
            while self.chain.state().is_needed() {
                sleep(TICK_INTERVAL).await;
            }
        };
        // After the grace period the process exits even if it has not been replaced.
        let _ = timeout(self.settings.grace(), replaced).await;
    }

    /// Opens connections to those of `nodes` that are not known yet.
    pub fn connect_to(self: &Rc<Self>, nodes: &[Ipv4Addr]) {
        self.peers.connections.connect_to(nodes, self);
    }

    async fn run_ticks(self: Rc<Self>) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last_expiry = Instant::now();
        loop {
            ticks.tick().await;
            self.tick();
            if last_expiry.elapsed() >= EXPIRY_INTERVAL {
                last_expiry = Instant::now();
                self.expire();
            }
        }
    }

    fn tick(&self) {
        self.chain.tick(|now| self.servers.relay_heartbeats(now));
        self.leases.renew(self.is_shutting_down());
        // Called with each tick, as open sessions must be closed on isolation even if no new session begins.
        self.quorum.update();
        self.registry.set_accepting(self.chain.has_quorum());
    }

    fn expire(self: &Rc<Self>) {
        if self.quorum.was_isolated() {
            self.connect_to_current_seeds();
        }
        self.purge_log_completeness.update();
        if self.registry.expire() || self.peers.members.expire() || self.fleet.completeness_changed() {
            self.fleet.notify_changed();
        }
    }

    /// Reloads the settings file and connects to its seed nodes. Without this, a node whose seeds at the start are all
    /// down, and whose address no other node knows, would never find another node.
    fn connect_to_current_seeds(self: &Rc<Self>) {
        if let Ok(settings) = Settings::load() {
            self.connect_to(&seed_addresses(&settings));
        }
    }
}
