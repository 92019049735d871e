//! Links between control nodes. Each opens a connection to every other one and speaks on it; a peer is there
//! while both connections stand.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use glenfall_control_plane::fleet::MembersUpdate;
use glenfall_control_plane::messages::{
    CallId, ConnectionOpening, Member, PeerMessage, ProcessId, ProxyRole, PurgeRecord,
};
use glenfall_control_plane::registry::{HeartbeatOutcome, ObservedServer};
use tokio::sync::{oneshot, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

use super::purging::PURGE;
use super::{Control, DRAIN};
use crate::session::link::{self, FrameReader, Outbox, KEEPALIVE_INTERVAL};

/// Pause before a peer is called again.
const AGAIN: Duration = Duration::from_millis(30);
const LONGEST: Duration = Duration::from_millis(800);
/// Control nodes known at most.
const MOST: usize = 64;
/// The members of a peer stay for so long after the link to it was lost: it may be back at once.
const KEPT: Duration = Duration::from_millis(1000);

#[derive(Default)]
struct Link {
    /// The connection opened from here.
    outbox: Option<Outbox<PeerMessage>>,
    /// The connection that the peer opened last and speaks on.
    hears: Option<u64>,
    /// Of the process that opened it.
    life: u64,
    up: bool,
    members: Vec<Member>,
    lost: Option<Instant>,
}

/// A question, by who has not answered it and who has answered for others as well.
struct Asked {
    left: BTreeSet<Ipv4Addr>,
    complete: Vec<Ipv4Addr>,
}

pub struct Peers {
    me: Ipv4Addr,
    life: u64,
    links: RefCell<BTreeMap<Ipv4Addr, Link>>,
    /// What was asked and not answered by all yet. What one of those asked was lost over is not here any more.
    asked: RefCell<BTreeMap<u64, Asked>>,
    next: Cell<u64>,
    answered: Notify,
    /// A peer speaks or stopped speaking: whoever waits to open a connection looks again.
    changed: Notify,
}

/// A question that is remembered until this is dropped, also where whoever waits for its answers has gone.
struct Question<'a> {
    peers: &'a Peers,
    id: u64,
}

impl Drop for Question<'_> {
    fn drop(&mut self) {
        self.peers.asked.borrow_mut().remove(&self.id);
    }
}

impl Peers {
    pub fn new(me: Ipv4Addr, life: u64) -> Self {
        Peers {
            me,
            life,
            links: RefCell::default(),
            asked: RefCell::default(),
            next: Cell::new(1),
            answered: Notify::new(),
            changed: Notify::new(),
        }
    }

    /// All control nodes, this one first.
    pub fn all(&self) -> Vec<Ipv4Addr> {
        std::iter::once(self.me).chain(self.links.borrow().keys().copied()).collect()
    }

    pub fn up(&self) -> Vec<Ipv4Addr> {
        self.links.borrow().iter().filter(|(_, link)| link.up).map(|(ip, _)| *ip).collect()
    }

    /// The processes that are up.
    pub fn instances(&self) -> Vec<ProcessId> {
        let links = self.links.borrow();
        let up = links.iter().filter(|(_, link)| link.up);
        up.map(|(ip, link)| ProcessId { ip: *ip, incarnation: link.life }).collect()
    }

    /// The process of a peer that is up.
    pub fn instance(&self, ip: Ipv4Addr) -> Option<ProcessId> {
        let links = self.links.borrow();
        links.get(&ip).filter(|link| link.up).map(|link| ProcessId { ip, incarnation: link.life })
    }

    pub fn send(&self, to: Ipv4Addr, message: PeerMessage) {
        if let Some(outbox) = self.links.borrow().get(&to).and_then(|link| link.outbox.as_ref()) {
            // A link that takes nothing more is found lost by its own task.
            let _ = outbox.send(message);
        }
    }

    pub fn tell(&self, message: &PeerMessage) {
        for ip in self.up() {
            self.send(ip, message.clone());
        }
    }

    /// Asks these peers and waits until each has answered this very call; gives those whose answers were complete.
    /// `None` where one was lost, or took too long.
    pub async fn ask(
        &self,
        whom: &[Ipv4Addr],
        question: impl Fn(CallId) -> PeerMessage,
        most: Duration,
    ) -> Option<Vec<Ipv4Addr>> {
        let id = self.next.replace(self.next.get() + 1);
        let asked = Asked { left: whom.iter().copied().collect(), complete: Vec::new() };
        self.asked.borrow_mut().insert(id, asked);
        let _question = Question { peers: self, id };
        for ip in whom {
            self.send(*ip, question(CallId { incarnation: self.life, number: id }));
        }
        let done = async {
            loop {
                let answered = self.answered.notified();
                match self.asked.borrow().get(&id) {
                    Some(asked) if asked.left.is_empty() => return,
                    Some(_) => {}
                    None => return,
                }
                answered.await;
            }
        };
        let _ = timeout(most, done).await;
        let asked = self.asked.borrow_mut().remove(&id);
        asked.filter(|asked| asked.left.is_empty()).map(|asked| asked.complete)
    }

    fn answer(&self, from: Ipv4Addr, id: CallId, complete: bool) {
        if id.incarnation != self.life {
            tracing::debug!(peer = %from, "answers what the last process here asked");
            return;
        }
        if let Some(asked) = self.asked.borrow_mut().get_mut(&id.number) {
            if asked.left.remove(&from) && complete {
                asked.complete.push(from);
            }
        }
        self.answered.notify_waiters();
    }

    /// Members that have their sessions at peers.
    pub fn members(&self) -> Vec<Member> {
        self.links.borrow().values().flat_map(|link| link.members.iter().cloned()).collect()
    }

    /// Lets go of the members of peers that are lost; says whether there were any.
    pub fn expire(&self) -> bool {
        let mut changed = false;
        for link in self.links.borrow_mut().values_mut() {
            if link.lost.is_some_and(|lost| lost.elapsed() >= KEPT) && !link.members.is_empty() {
                link.members.clear();
                changed = true;
            }
        }
        changed
    }
}

/// Takes note of control nodes and keeps connections to them.
pub fn know(control: &Rc<Control>, ips: &[Ipv4Addr]) {
    for ip in ips.iter().copied().filter(|ip| *ip != control.peers.me) {
        let mut links = control.peers.links.borrow_mut();
        if links.contains_key(&ip) || links.len() >= MOST {
            continue;
        }
        links.insert(ip, Link::default());
        spawn_local(speak(Rc::clone(control), ip));
    }
}

/// Keeps a connection to a peer for as long as the process runs.
async fn speak(control: Rc<Control>, ip: Ipv4Addr) {
    let mut pause = AGAIN;
    loop {
        let peers = &control.peers;
        let first =
            ConnectionOpening::Peer { ip: peers.me, incarnation: peers.life, known_peers: peers.all() };
        if let Ok((read, write)) = link::open(control.boot.link_address(ip), &first).await {
            pause = AGAIN;
            let outbox = Outbox::start(write);
            if let Some(link) = peers.links.borrow_mut().get_mut(&ip) {
                link.outbox = Some(outbox.clone());
            }
            both_up(&control, ip);
            // The peer says nothing here but that it is there.
            let mut frames = FrameReader::new(read);
            tokio::select! {
                () = async { while frames.next_in_time::<PeerMessage>().await.is_ok() {} } => {}
                () = outbox.closed() => {}
            }
            if let Some(link) = peers.links.borrow_mut().get_mut(&ip) {
                link.outbox = None;
            }
            lost(&control, ip);
        } else {
            pause = (pause * 2).min(LONGEST);
        }
        tokio::select! {
            () = sleep(pause) => {}
            // It speaks again, so that it can be called.
            () = peers.changed.notified() => {}
        }
    }
}

/// Hears a peer until its connection ends.
pub async fn listen(
    control: &Rc<Control>,
    ip: Ipv4Addr,
    life: u64,
    mut frames: FrameReader,
    outbox: &Outbox<PeerMessage>,
) {
    let connection = control.peers.next.replace(control.peers.next.get() + 1);
    let before = {
        let mut links = control.peers.links.borrow_mut();
        let Some(link) = links.get_mut(&ip) else { return };
        link.hears.replace(connection)
    };
    if before.is_some() {
        // It has opened a new one; what was said on the old one may be lost.
        lost(control, ip);
    }
    if let Some(link) = control.peers.links.borrow_mut().get_mut(&ip) {
        link.life = life;
    }
    tracing::debug!(peer = %ip, life, "peer speaks");
    control.peers.changed.notify_waiters();
    both_up(control, ip);
    let current = || control.peers.links.borrow().get(&ip).is_some_and(|link| link.hears == Some(connection));
    let hear = async {
        while let Ok(message) = frames.next_in_time().await {
            if !current() {
                return;
            }
            take(control, ip, message);
        }
    };
    let tell = async {
        while outbox.send(PeerMessage::KeepAlive) {
            sleep(KEEPALIVE_INTERVAL).await;
        }
    };
    tokio::select! {
        () = hear => {}
        () = tell => {}
    }
    // Not where a newer one has taken its place meanwhile.
    if current() {
        if let Some(link) = control.peers.links.borrow_mut().get_mut(&ip) {
            link.hears = None;
        }
        lost(control, ip);
    }
}

fn both_up(control: &Rc<Control>, ip: Ipv4Addr) {
    {
        let mut links = control.peers.links.borrow_mut();
        let Some(link) = links.get_mut(&ip) else { return };
        if link.up || link.outbox.is_none() || link.hears.is_none() {
            return;
        }
        (link.up, link.lost) = (true, None);
    }
    tracing::info!(peer = %ip, "peer up");
    let now = control.now();
    let peers = &control.peers;
    peers.send(ip, PeerMessage::Members(MembersUpdate::snapshot(&control.told_members.borrow())));
    peers.send(ip, PeerMessage::Servers(control.registry.borrow().snapshot(now)));
    peers.send(
        ip,
        PeerMessage::Purges { id: None, purges: control.purges.borrow().snapshot(now), already_asked: None },
    );
    control.sessions.tell(&glenfall_control_plane::messages::PublisherMessage::ControlNodes(peers.all()));
    let outputs = control.chain.borrow_mut().peer_up(now, ip);
    control.carry_out(outputs);
}

/// One of the two connections is lost. The other stays: its end would take the new one along, and that again the
/// other, for as long as both nodes go on calling each other. What was said on the lost one is made up for by
/// the view that the chain makes.
fn lost(control: &Rc<Control>, ip: Ipv4Addr) {
    {
        let mut links = control.peers.links.borrow_mut();
        let Some(link) = links.get_mut(&ip) else { return };
        if !link.up {
            return;
        }
        (link.up, link.lost) = (false, Some(Instant::now()));
    }
    tracing::warn!(peer = %ip, "peer lost");
    // It may have sessions, and has not said that they know.
    control.peers.asked.borrow_mut().retain(|_, asked| !asked.left.contains(&ip));
    control.peers.answered.notify_waiters();
    // What is purged until it is back it has to tell of then.
    control.told_purges.borrow_mut().remove(&ip);
    control.vouch();
    let outputs = {
        let now = control.now();
        control.chain.borrow_mut().peer_down(now, ip)
    };
    control.carry_out(outputs);
}

fn take(control: &Rc<Control>, from: Ipv4Addr, message: PeerMessage) {
    let now = control.now();
    match message {
        PeerMessage::Chain(message) if !message.is_sound() => {
            tracing::warn!(peer = %from, "peer says what no node of this system says; ignored");
        }
        PeerMessage::Chain(message) => {
            let outputs = control.chain.borrow_mut().message(now, from, message);
            control.carry_out(outputs);
        }
        PeerMessage::Members(members) => {
            if let Some(link) = control.peers.links.borrow_mut().get_mut(&from) {
                members.apply(&mut link.members);
                // A shield is a member through the control node beside it.
                link.members.retain(|m| m.proxy != ProxyRole::Shield || *m.http.ip() == from);
            }
            control.fleet_changed.notify_one();
        }
        PeerMessage::Servers(entries) => take_servers(control, from, entries),
        PeerMessage::ReplicateServer { id, entry, forward } => {
            let heard = control.registry.borrow_mut().observe(now, 0, entry.clone());
            if heard == HeartbeatOutcome::Changed {
                control.push_fleet_now();
            }
            let on = move |id| PeerMessage::ReplicateServer { id, entry: entry.clone(), forward: false };
            confirm_urgent(control, (from, id), forward.then_some(on));
        }
        PeerMessage::Purges { id, purges, already_asked: asked } => {
            tell_written(control, from, &purges, control.take_purges(purges.clone()));
            match id {
                None => {
                    control.told_purges.borrow_mut().insert(from);
                    control.vouch();
                }
                Some(id) => confirm_purges(control, (from, id), purges, asked),
            }
        }
        PeerMessage::PurgeDurable { incarnation, number } if incarnation == control.life => {
            control.purge_writes.note(from, number)
        }
        PeerMessage::PurgeDurable { .. } => {}
        PeerMessage::Acknowledged { id, complete } => control.peers.answer(from, id, complete),
        PeerMessage::RenewLease { id } => control.grant_lease(from, id),
        PeerMessage::LeaseGranted { id, duration } => control.lease_granted(from, id, duration),
        PeerMessage::LeaseReleased => control.lease_released(from),
        PeerMessage::KeepAlive => {}
    }
}

/// Tells a peer once all sessions here have applied what they were sent, or have had so long to, and those that this
/// node reaches and the peer does not know it as well.
fn confirm_urgent(
    control: &Rc<Control>,
    (to, id): (Ipv4Addr, CallId),
    on: Option<impl Fn(CallId) -> PeerMessage + 'static>,
) {
    let control = Rc::clone(control);
    // By what the peer heard when it asked: it tells those itself that come up later.
    let beyond = beyond(&control, to);
    spawn_local(async move {
        let most = DRAIN * 3 / 4;
        // A little less for what has been passed on, so that its answer still comes in time.
        let applied = control.sessions.applied(if on.is_some() { most } else { most * 3 / 4 });
        let told = async {
            match &on {
                Some(on) if !beyond.is_empty() => control.peers.ask(&beyond, on, most).await.is_some(),
                _ => true,
            }
        };
        let (_applied, told) = tokio::join!(applied, told);
        if told {
            control.peers.send(to, PeerMessage::Acknowledged { id, complete: true });
        }
    });
}

/// Takes what a peer has heard of servers, and passes on what is news to those whom the peer does not reach: servers that
/// call it alone would count as silent there.
fn take_servers(control: &Rc<Control>, from: Ipv4Addr, entries: Vec<ObservedServer>) {
    let now = control.now();
    let beyond = beyond(control, from);
    let (mut changed, mut news) = (false, Vec::new());
    for observed in entries {
        if !beyond.is_empty() && control.registry.borrow().is_newer(&observed.entry) {
            news.push(observed.clone());
        }
        let heard = control.registry.borrow_mut().observe(now, observed.age_ms, observed.entry);
        changed |= heard == HeartbeatOutcome::Changed;
    }
    if !news.is_empty() {
        for ip in beyond {
            control.peers.send(ip, PeerMessage::Servers(news.clone()));
        }
    }
    if changed {
        control.fleet_changed.notify_one();
    }
}

/// Tells the origin of purges once they are on the disk of this node.
fn tell_written(
    control: &Rc<Control>,
    origin: Ipv4Addr,
    purges: &[PurgeRecord],
    written: Option<oneshot::Receiver<()>>,
) {
    let own = |purge: &&PurgeRecord| purge.origin == origin;
    let names: Vec<(u64, u64)> =
        purges.iter().filter(own).map(|purge| (purge.incarnation, purge.number)).collect();
    let Some(written) = written.filter(|_| !names.is_empty()) else { return };
    let control = Rc::clone(control);
    spawn_local(async move {
        if written.await.is_ok() {
            for (life, number) in names {
                control.peers.send(origin, PeerMessage::PurgeDurable { incarnation: life, number });
            }
        }
    });
}

/// Tells a peer once no session here can serve from copies that purges ended, nor any at those that this node reaches
/// and the peer has not asked.
fn confirm_purges(
    control: &Rc<Control>,
    (to, id): (Ipv4Addr, CallId),
    purges: Vec<PurgeRecord>,
    asked: Option<Vec<ProcessId>>,
) {
    let control = Rc::clone(control);
    // A little less than the peer waits, so that its answer still comes in time.
    let most = PURGE * 4 / 5;
    let Some(mut told) = asked else {
        spawn_local(async move {
            if control.purge_sessions(most * 3 / 4).await {
                control.peers.send(to, PeerMessage::Acknowledged { id, complete: false });
            }
        });
        return;
    };
    let beyond: Vec<ProcessId> =
        control.peers.instances().into_iter().filter(|peer| peer.ip != to && !told.contains(peer)).collect();
    told.extend(control.peers.instance(to));
    told.extend(&beyond);
    let beyond: Vec<Ipv4Addr> = beyond.iter().map(|instance| instance.ip).collect();
    spawn_local(async move {
        let on = |id| PeerMessage::Purges { id: Some(id), purges: purges.clone(), already_asked: None };
        let (passed_on, purged, complete) = tokio::join!(
            control.peers.ask(&beyond, on, most),
            control.purge_sessions(most),
            control.no_lease_but_of(&told, most)
        );
        if passed_on.is_some() && purged {
            control.peers.send(to, PeerMessage::Acknowledged { id, complete });
        }
    });
}

/// Who is up here and not at a peer, as far as is known.
fn beyond(control: &Control, peer: Ipv4Addr) -> Vec<Ipv4Addr> {
    let chain = control.chain.borrow();
    let heard = chain.heard_by(peer);
    control.peers.up().into_iter().filter(|ip| *ip != peer && !heard.contains(ip)).collect()
}
