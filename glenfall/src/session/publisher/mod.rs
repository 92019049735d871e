//! Sessions: an agent or a control node pushes numbered changes to those below it and counts what they have
//! applied. It grants them leases on copies out of its own, and keeps in mind what it has granted also once a session is
//! lost: until then its other side may serve from copies.

mod leased;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::pin::pin;
use std::time::Duration;

use glenfall_control_plane::invariant::Invariant;
use glenfall_control_plane::lease::Grants;
use glenfall_control_plane::messages::{Member, PublisherMessage, SubscriberMessage, Update};
use glenfall_control_plane::Millis;
use tokio::sync::{oneshot, Notify};
use tokio::time::{interval, timeout, timeout_at, Instant, MissedTickBehavior};

use crate::session::link::{FrameReader, Outbox, KEEPALIVE_INTERVAL};

/// Sessions that one node holds at most: all proxies of a large system.
const MOST: usize = 1024;
/// A session that has not applied for so long what was waited for ends: it begins anew.
pub const LONGEST_BEHIND: Duration = Duration::from_secs(5);
/// A session that ends for another reason is looked at for so long: its other side may have closed it.
const CLOSING: Duration = Duration::from_millis(50);

struct Session {
    outbox: Outbox<PublisherMessage>,
    /// Ends the session where it is taken off the list.
    _stands: oneshot::Sender<Infallible>,
    node: String,
    member: Option<Member>,
    /// What it is told of configurations is the newest.
    proved: bool,
    sent: u64,
    applied: u64,
    report: Vec<(String, u64)>,
    /// The last reading of the other side's clock, and when it came.
    renewal: Option<Renewal>,
}

#[derive(Clone, Copy)]
struct Renewal {
    sent_at: Millis,
    received: Millis,
}

/// Changes that a session has not applied though they were waited for.
struct Overdue {
    /// The first of them, and since when.
    first: u64,
    since: Instant,
    last: u64,
}

/// Where the other side of a session is.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// On this machine, whose kernel closes a connection only where the process at the other side has closed it or has
    /// ended.
    SameMachine,
    /// On another one: a connection may end while its other side goes on.
    Network,
}

/// Why a session ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Ended {
    /// The other side closed the connection, or is no more.
    Closed,
    /// Anything else: it may be there and not know yet.
    Lost,
}

/// What `status` tells of a session.
pub struct SessionStatus {
    /// The subscriber's name.
    pub node: String,
    /// The proxy that it speaks for.
    pub member: Option<Member>,
    /// Changes pushed.
    pub sent: u64,
    /// Changes that it has acknowledged.
    pub applied: u64,
    /// It holds a lease on copies.
    pub leased: bool,
    /// Its counters.
    pub report: Vec<(String, u64)>,
}

/// The sessions of one publisher.
pub struct Sessions {
    all: RefCell<BTreeMap<u64, Session>>,
    next: Cell<u64>,
    applied: Notify,
    /// What was waited for in vain, by session: until it is applied, no lease is granted.
    overdue: RefCell<BTreeMap<u64, Overdue>>,
    began: Instant,
    /// Until when this process may grant leases.
    vouches_until: Cell<Millis>,
    /// Leases are granted anew whenever that moves, not only when the other side asks.
    relays: bool,
    /// Leases by session, also of those that have ended.
    grants: RefCell<Grants<u64>>,
}

impl Default for Sessions {
    fn default() -> Self {
        Sessions {
            all: RefCell::default(),
            next: Cell::new(0),
            applied: Notify::new(),
            overdue: RefCell::default(),
            began: Instant::now(),
            vouches_until: Cell::new(0),
            relays: false,
            grants: RefCell::default(),
        }
    }
}

impl Sessions {
    /// Sessions on the same machine, whose leases follow each renewal of this process's own at once.
    pub fn relaying() -> Self {
        Sessions { relays: true, ..Sessions::default() }
    }

    fn now(&self) -> Millis {
        self.began.elapsed().as_millis() as Millis
    }

    /// This process's own lease lasts until then: leases of sessions are part of it. A moment and not a time that is left,
    /// so that a pause of the process before this call makes no lease longer. Where it had none, sessions that have asked
    /// for theirs meanwhile get them now: until they ask again, edges with a lease could not use their copies.
    pub fn vouch_until(&self, until: Instant) {
        let now = self.now();
        let had_none = self.vouches_until.get() <= now;
        self.vouches_until.set(until.saturating_duration_since(self.began).as_millis() as Millis);
        if self.relays || had_none {
            for (id, session) in self.all.borrow().iter() {
                let _ = self.grant(*id, session);
            }
        }
    }

    /// Grants a session a lease upon its last request; false where it has not asked, or none can be granted.
    fn grant(&self, id: u64, session: &Session) -> bool {
        let Some(Renewal { sent_at, received }) = session.renewal else { return false };
        if self.overdue.borrow().contains_key(&id) {
            return false;
        }
        let until = self.vouches_until.get();
        let granted = self.grants.borrow_mut().grant_part(self.now(), id, received, until);
        let Some(lasts) = granted else { return false };
        session.outbox.send(PublisherMessage::LeaseGranted { sent_at, duration: lasts })
    }

    /// When the last lease that sessions have is over; `None` where none has one.
    pub fn last_lease_ends(&self) -> Option<Duration> {
        let now = self.now();
        let end = self.grants.borrow().last_end(now, |_| true);
        end.map(|end| Duration::from_millis(end - now))
    }

    /// Serves one session until it is lost. `greet` is what the other side has to know first. It is told of
    /// configurations once `proved` has ended, beginning with what that gives; where it gives nothing, the session ends.
    /// `changed` is called whenever members come, change or go.
    pub async fn serve(
        &self,
        reach: Reach,
        mut frames: FrameReader,
        outbox: Outbox<PublisherMessage>,
        greet: impl FnOnce() -> (Vec<PublisherMessage>, Vec<Update>),
        proved: impl Future<Output = Option<Vec<Update>>>,
        changed: impl Fn(),
    ) {
        let Ok(SubscriberMessage::Hello { node, member }) = frames.next_in_time().await else { return };
        if self.all.borrow().len() >= MOST {
            tracing::warn!(%node, "session turned away: too many");
            return;
        }
        let id = self.next.replace(self.next.get() + 1);
        let (first, news) = greet();
        let (stands, ended) = oneshot::channel();
        let mut session = Session {
            outbox: outbox.clone(),
            _stands: stands,
            node,
            member,
            proved: false,
            sent: 0,
            applied: 0,
            report: Vec::new(),
            renewal: None,
        };
        let greeted =
            first.into_iter().all(|down| outbox.send(down)) && news.into_iter().all(|n| session.push(n));
        if !greeted {
            return;
        }
        tracing::info!(node = %session.node, "session begins");
        self.all.borrow_mut().insert(id, session);
        let _guard = Guard { sessions: self, id, changed: &changed };
        changed();
        let served = self.serve_listed(id, &mut frames, &outbox, proved, ended, &changed).await;
        if reach == Reach::SameMachine && (served == Ended::Closed || closed_in_time(&mut frames).await) {
            self.grants.borrow_mut().release(&id);
        }
    }

    /// Serves a session that is on the list until it ends.
    async fn serve_listed(
        &self,
        id: u64,
        frames: &mut FrameReader,
        outbox: &Outbox<PublisherMessage>,
        proved: impl Future<Output = Option<Vec<Update>>>,
        mut dropped: oneshot::Receiver<Infallible>,
        changed: &impl Fn(),
    ) -> Ended {
        let mut proved = pin!(proved);
        let mut waits = true;
        let mut ping = interval(KEEPALIVE_INTERVAL);
        ping.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                news = &mut proved, if waits => {
                    waits = false;
                    if !self.prove(id, news) {
                        return Ended::Lost;
                    }
                }
                up = frames.next_in_time() => match up {
                    Ok(up) => {
                        if self.hear(id, up, changed) {
                            ping.reset();
                        }
                    }
                    Err(error) => return Ended::by(&error),
                },
                _ = ping.tick() => {
                    if !outbox.send(PublisherMessage::Ping) {
                        return Ended::Lost;
                    }
                }
                () = outbox.closed() => return Ended::Lost,
                // Off the list it would be told nothing more, and still take itself for in touch.
                _ = &mut dropped => return Ended::Lost,
            }
        }
    }

    /// Tells a session of configurations from now on, beginning with these; false where it ends.
    fn prove(&self, id: u64, news: Option<Vec<Update>>) -> bool {
        let Some(news) = news else { return false };
        match self.all.borrow_mut().get_mut(&id) {
            Some(session) => {
                session.proved = true;
                news.into_iter().all(|news| session.push(news))
            }
            None => true,
        }
    }

    /// Takes what a session says; true where it was answered with a lease.
    fn hear(&self, id: u64, up: SubscriberMessage, changed: &impl Fn()) -> bool {
        let mut all = self.all.borrow_mut();
        let Some(session) = all.get_mut(&id) else { return false };
        match up {
            SubscriberMessage::Ping => {}
            SubscriberMessage::RenewLease { sent_at } => {
                let asked_before =
                    session.renewal.replace(Renewal { sent_at, received: self.now() }).is_some();
                return !(self.relays && asked_before) && self.grant(id, session);
            }
            SubscriberMessage::LeaseReleased => {
                session.renewal = None;
                self.grants.borrow_mut().release(&id);
                self.applied.notify_waiters();
            }
            SubscriberMessage::Counters(counters) => {
                session.report = counters.into_iter().map(|counter| (counter.name, counter.value)).collect();
            }
            SubscriberMessage::Applied(number) => {
                let sent = session.sent;
                Invariant::AppliedWasSent.check(number <= sent, || format!("{number} of {sent}"));
                session.applied = session.applied.max(number);
                if self.note_applied(id, session.applied) {
                    // It asked for a lease meanwhile, and was to get none before.
                    let _ = self.grant(id, session);
                }
                self.applied.notify_waiters();
            }
            SubscriberMessage::Hello { node, member } => {
                (session.node, session.member) = (node, member);
                drop(all);
                changed();
            }
        }
        false
    }

    /// Pushes a change to all.
    pub fn push(&self, news: &Update) {
        // A session whose queue is full would miss this, and with the next one seem to have applied it: it ends here, and
        // begins anew with all.
        let told = |session: &Session| session.proved || !matches!(news, Update::Config { .. });
        self.all.borrow_mut().retain(|_, session| !told(session) || session.push(news.clone()));
    }

    /// Says something to all that is no change.
    pub fn tell(&self, down: &PublisherMessage) {
        for session in self.all.borrow().values() {
            let _ = session.outbox.send(down.clone());
        }
    }

    /// Waits until every session that stands has applied what it was sent so far; false where that takes
    /// longer than `most`.
    pub async fn applied(&self, most: Duration) -> bool {
        let mut due: Vec<(u64, u64)> = self.all.borrow().iter().map(|(id, s)| (*id, s.sent)).collect();
        let wait = async {
            loop {
                let applied = self.applied.notified();
                // What is done stays done, so that each session is looked at once and not at each word of any other.
                self.let_go_of_done(&mut due);
                if due.is_empty() {
                    return;
                }
                applied.await;
            }
        };
        let all = timeout(most, wait).await.is_ok();
        self.note_overdue(&due);
        all
    }

    /// Waits until nobody who was ever granted a lease here can serve from copies that a purge pushed before ends: each
    /// has applied what it was sent, or its lease is over; false where that takes longer than `most`. Those that are late
    /// get no other lease until they have applied it, so that the next one who waits does not wait for them for long.
    pub async fn purged(&self, most: Duration) -> bool {
        let until = Instant::now() + most;
        let mut due = self.holders();
        loop {
            let applied = self.applied.notified();
            let now = self.now();
            self.let_go_of_done_or_ended(now, &mut due);
            let Some((last, _)) = due.last() else { return true };
            let end = self.grants.borrow().ends(now, last).unwrap_or(now);
            let end = Instant::now() + Duration::from_millis(end - now);
            if timeout_at(end.min(until), applied).await.is_err() && Instant::now() >= until {
                self.let_go_of_done_or_ended(self.now(), &mut due);
                due.retain(|(id, sent)| !self.is_purged(self.now(), *id, *sent));
                self.note_overdue(&due);
                return due.is_empty();
            }
        }
    }

    /// The sessions that have leases, ended ones too, each with what it was sent.
    fn holders(&self) -> Vec<(u64, u64)> {
        let all = self.all.borrow();
        let mut grants = self.grants.borrow_mut();
        let now = self.now();
        grants.forget_ended(now);
        grants.holders(now).map(|id| (id, all.get(&id).map_or(u64::MAX, |session| session.sent))).collect()
    }

    fn is_purged(&self, now: Millis, id: u64, sent: u64) -> bool {
        let applied = self.all.borrow().get(&id).is_some_and(|session| session.applied >= sent);
        applied || self.grants.borrow().ends(now, &id).is_none()
    }

    fn let_go_of_done_or_ended(&self, now: Millis, due: &mut Vec<(u64, u64)>) {
        while due.pop_if(|(id, sent)| self.is_purged(now, *id, *sent)).is_some() {}
    }

    fn note_overdue(&self, due: &[(u64, u64)]) {
        let all = self.all.borrow();
        let mut overdue = self.overdue.borrow_mut();
        let is_behind = |id: &u64, sent: u64| all.get(id).is_some_and(|session| session.applied < sent);
        for (id, sent) in due.iter().filter(|(id, sent)| is_behind(id, *sent)) {
            let now = Instant::now();
            let known = overdue.entry(*id).or_insert(Overdue { first: *sent, since: now, last: *sent });
            known.last = known.last.max(*sent);
        }
    }

    /// Whether a session that was behind has now applied all that was waited for.
    fn note_applied(&self, id: u64, applied: u64) -> bool {
        let mut all = self.overdue.borrow_mut();
        let Some(overdue) = all.get_mut(&id) else { return false };
        if applied >= overdue.last {
            all.remove(&id);
            return true;
        }
        if applied >= overdue.first {
            (overdue.first, overdue.since) = (overdue.last, Instant::now());
        }
        false
    }

    /// Takes off the end of a list of sessions, each with what it was sent, those that have applied it or are gone.
    fn let_go_of_done(&self, due: &mut Vec<(u64, u64)>) {
        let all = self.all.borrow();
        while due.pop_if(|(id, sent)| all.get(id).is_none_or(|s| s.applied >= *sent)).is_some() {}
    }

    /// Ends the sessions that have not applied for so long what was waited for in vain. What they were sent meanwhile is on
    /// its way, and says nothing against them.
    pub fn drop_behind(&self, behind_for: Duration) {
        let mut all = self.all.borrow_mut();
        self.overdue.borrow_mut().retain(|id, overdue| {
            let keeps = overdue.since.elapsed() < behind_for;
            if let Some(session) = (!keeps).then(|| all.remove(id)).flatten() {
                tracing::warn!(node = %session.node, "session ended: it does not apply what it is sent");
            }
            keeps
        });
    }

    /// The proxies of all sessions.
    pub fn members(&self) -> Vec<Member> {
        self.all.borrow().values().filter_map(|session| session.member.clone()).collect()
    }

    /// All sessions, for `status`.
    pub fn seen(&self) -> Vec<SessionStatus> {
        let (all, grants, now) = (self.all.borrow(), self.grants.borrow(), self.now());
        let seen = |(id, s): (&u64, &Session)| SessionStatus {
            node: s.node.clone(),
            member: s.member.clone(),
            sent: s.sent,
            applied: s.applied,
            leased: grants.ends(now, id).is_some(),
            report: s.report.clone(),
        };
        all.iter().map(seen).collect()
    }
}

impl Session {
    fn push(&mut self, news: Update) -> bool {
        self.sent += 1;
        self.outbox.send(PublisherMessage::Push { number: self.sent, update: news })
    }
}

impl Ended {
    fn by(error: &io::Error) -> Self {
        use io::ErrorKind::{BrokenPipe, ConnectionReset, UnexpectedEof};
        match error.kind() {
            UnexpectedEof | ConnectionReset | BrokenPipe => Ended::Closed,
            _ => Ended::Lost,
        }
    }
}

/// Whether the other side turns out to have closed a connection on which nothing can be said any more.
async fn closed_in_time(frames: &mut FrameReader) -> bool {
    let read_out = async {
        loop {
            if let Err(error) = frames.next::<SubscriberMessage>().await {
                return Ended::by(&error) == Ended::Closed;
            }
        }
    };
    timeout(CLOSING, read_out).await.unwrap_or(false)
}

/// Takes a session off the list however it ends.
struct Guard<'a, F: Fn()> {
    sessions: &'a Sessions,
    id: u64,
    changed: &'a F,
}

impl<F: Fn()> Drop for Guard<'_, F> {
    fn drop(&mut self) {
        if let Some(session) = self.sessions.all.borrow_mut().remove(&self.id) {
            tracing::info!(node = %session.node, "session ends");
        }
        self.sessions.overdue.borrow_mut().remove(&self.id);
        self.sessions.applied.notify_waiters();
        (self.changed)();
    }
}
