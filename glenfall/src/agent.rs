//! The agent beside an edge: holds the link to control and feeds the edge over loopback. It remembers the
//! configuration and the fleet, so that an edge that starts again, or control that is away, costs nothing.

use std::cell::RefCell;
use std::future::ready;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use glenfall_control_plane::known_fleet::KnownFleet;
use glenfall_control_plane::lease::{granter_wait, SESSION_LEASE};
use glenfall_control_plane::messages::{
    AgedPurge, ConnectionOpening, PublisherMessage, Purge, SubscriberMessage, Update,
};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::session::lease::HeldLease;
use crate::session::link::{self, FrameReader, Outbox};
use crate::session::publisher::{Reach, Sessions, LONGEST_BEHIND};
use crate::session::subscriber;
use crate::settings::Settings;

/// Pause after all known control nodes were tried in vain; it grows to the longest.
const PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// The proxy has so long to apply a change before the agent goes on.
const APPLY: Duration = Duration::from_secs(1);
/// A proxy that does not apply a purge, or is lost, can serve from copies no more after this time.
const LEASES_END: Duration = Duration::from_millis(granter_wait(SESSION_LEASE) + 100);
/// Proxies have so long to say that they serve from copies no more.
const RELEASE: Duration = Duration::from_millis(200);

#[derive(Default)]
struct Known {
    config: Option<(u64, Arc<Vec<u8>>)>,
    fleet: KnownFleet,
    controls: Vec<Ipv4Addr>,
    /// Control has told all that was missed.
    in_touch: bool,
}

struct Agent {
    boot: Rc<Settings>,
    known: RefCell<Known>,
    proxies: Sessions,
    /// By which leases of the proxies end; it serves nothing itself.
    lease: HeldLease,
    changed: Notify,
}

/// Runs the agent for as long as the process runs.
pub async fn run(boot: Rc<Settings>) -> std::io::Result<()> {
    let listener = TcpListener::bind(boot.watch_address()).await?;
    let agent = Rc::new(Agent {
        boot,
        known: RefCell::default(),
        proxies: Sessions::relaying(),
        lease: HeldLease::default(),
        changed: Notify::new(),
    });
    tokio::join!(agent.accept(listener), agent.follow_control());
    Ok(())
}

impl Agent {
    async fn accept(self: &Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    spawn_local(Rc::clone(self).feed(stream));
                }
                Err(_) => sleep(PAUSE).await,
            }
        }
    }

    async fn feed(self: Rc<Self>, stream: TcpStream) {
        if link::tune(&stream).is_err() {
            return;
        }
        let (read, write) = stream.into_split();
        let mut frames = FrameReader::new(read);
        if !matches!(frames.next_in_time().await, Ok(ConnectionOpening::Session)) {
            return;
        }
        let greet = || {
            let known = self.known.borrow();
            // What was purged while the proxy was away is not known one by one.
            let mut news = vec![Update::Purges(vec![AgedPurge { purge: Purge::Everything, age_ms: 0 }])];
            news.extend(known.config.clone().map(|(rev, document)| Update::Config { rev, document }));
            news.extend(known.fleet.snapshot().map(Update::Fleet));
            news.push(Update::Connected(known.in_touch));
            (Vec::new(), news)
        };
        self.proxies
            .serve(Reach::SameMachine, frames, Outbox::start(write), greet, ready(Some(Vec::new())), || {
                self.changed.notify_one();
            })
            .await;
    }

    fn hello(&self) -> SubscriberMessage {
        SubscriberMessage::Hello {
            node: self.boot.node.clone(),
            member: self.proxies.members().into_iter().next(),
        }
    }

    async fn follow_control(self: &Rc<Self>) {
        let mut pause = PAUSE;
        let mut turn = self.boot.node.bytes().map(usize::from).sum::<usize>();
        loop {
            let controls = self.controls();
            let mut met = false;
            for step in 0..controls.len() {
                let addr = controls[(turn + step) % controls.len()];
                let Ok((read, write)) = link::open(addr, &ConnectionOpening::Session).await else { continue };
                met = true;
                let outbox = Outbox::start(write);
                let take = async |down| self.take(down).await;
                let report = || {
                    let proxies = self.proxies.seen().into_iter().flat_map(|seen| seen.report);
                    proxies.chain(link::report("agent_")).collect()
                };
                tracing::info!(control = %addr, "control found");
                let (hello, now) = (|| self.hello(), || self.lease.now());
                tokio::select! {
                    () = subscriber::follow(FrameReader::new(read), outbox.clone(), hello, now, &self.changed, take) => {}
                    () = subscriber::send_reports(&outbox, report) => {}
                }
                tracing::warn!(control = %addr, "control lost");
                self.release(&outbox).await;
                // The next one, not the one just lost.
                turn = turn + step + 1;
                break;
            }
            pause = if met { PAUSE } else { (pause * 2).min(LONGEST_PAUSE) };
            sleep(pause).await;
        }
    }

    /// Where control may be: the nodes that control itself named, then the seeds as the file has them now.
    fn controls(&self) -> Vec<SocketAddrV4> {
        let boot = Settings::load();
        let seeds = boot.as_ref().map_or(&self.boot.seed_nodes, |boot| &boot.seed_nodes);
        let known = self.known.borrow();
        let mut addrs: Vec<SocketAddrV4> = Vec::new();
        for ip in known.controls.iter().copied().chain(seeds.iter().map(|seed| *seed.ip())) {
            let addr = self.boot.link_address(ip);
            if !addrs.contains(&addr) {
                addrs.push(addr);
            }
        }
        addrs
    }

    /// Ends the leases that came from a control node, and tells it so where it can still be told.
    async fn release(&self, outbox: &Outbox<SubscriberMessage>) {
        self.touch(false);
        if self.proxies.purged(RELEASE).await {
            // It may be gone; then it waits for the end of the lease.
            let _ = outbox.send(SubscriberMessage::LeaseReleased);
        }
    }

    fn touch(&self, yes: bool) {
        if !yes {
            self.lease.end();
            self.proxies.vouch_until(self.lease.until());
        }
        self.known.borrow_mut().in_touch = yes;
        self.proxies.push(&Update::Connected(yes));
    }

    /// Takes what control tells; false where it does not build on what is known.
    async fn take(&self, down: PublisherMessage) -> bool {
        let news = match down {
            PublisherMessage::ControlNodes(controls) => {
                self.known.borrow_mut().controls = controls;
                return true;
            }
            PublisherMessage::Push { update: news, .. } => news,
            PublisherMessage::LeaseGranted { sent_at, duration: lasts } => {
                self.lease.renew(sent_at, lasts);
                self.proxies.vouch_until(self.lease.until());
                return true;
            }
            PublisherMessage::Draining | PublisherMessage::Ping => return true,
        };
        let news = match news {
            Update::Config { rev, document } => {
                let mut known = self.known.borrow_mut();
                if known.config.as_ref().is_some_and(|(known, _)| *known >= rev) {
                    return true;
                }
                known.config = Some((rev, Arc::clone(&document)));
                Update::Config { rev, document }
            }
            Update::Fleet(told) => match self.known.borrow_mut().fleet.apply_update(told) {
                Ok(Some(told)) => Update::Fleet(told),
                Ok(None) => return true,
                Err(gap) => {
                    tracing::warn!(%gap, "the session with control begins anew");
                    return false;
                }
            },
            // The first thing that control tells is all that may have been missed.
            Update::Purges(purges) => {
                self.purge(purges).await;
                return true;
            }
            Update::Connected(yes) => {
                self.touch(yes);
                return true;
            }
        };
        self.proxies.push(&news);
        if !self.proxies.applied(APPLY).await {
            self.proxies.drop_behind(LONGEST_BEHIND);
        }
        true
    }
}

impl Agent {
    /// Ends once no proxy can serve from copies that these purges end.
    async fn purge(&self, purges: Vec<AgedPurge>) {
        self.proxies.push(&Update::Purges(purges));
        if !self.proxies.purged(APPLY).await {
            self.proxies.drop_behind(LONGEST_BEHIND);
            // Whoever is late is granted no lease.
            let _ = self.proxies.purged(LEASES_END).await;
        }
    }
}
