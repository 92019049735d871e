//! Sessions: an agent or a control node pushes numbered changes to those below it and counts what they have
//! applied.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use glenfall_plane::messages::{Down, Member, News, Up};
use tokio::sync::{oneshot, Notify};
use tokio::time::{interval, timeout, MissedTickBehavior};

use crate::link::{Frames, Outbox, PING};

/// Sessions that one node holds at most: all proxies of a large system.
const MOST: usize = 1024;

struct Session {
    outbox: Outbox<Down>,
    /// Ends the session where it is taken off the list.
    _stands: oneshot::Sender<Infallible>,
    node: String,
    member: Option<Member>,
    /// What it is told of configurations is the newest.
    proved: bool,
    sent: u64,
    applied: u64,
    report: Vec<(String, u64)>,
}

/// What `status` tells of a session.
pub struct Seen {
    pub node: String,
    pub member: Option<Member>,
    pub sent: u64,
    pub applied: u64,
    pub report: Vec<(String, u64)>,
}

#[derive(Default)]
pub struct Sessions {
    all: RefCell<BTreeMap<u64, Session>>,
    next: Cell<u64>,
    applied: Notify,
    /// What was waited for in vain, by session.
    overdue: RefCell<BTreeMap<u64, u64>>,
}

impl Sessions {
    /// Serves one session until it is lost. `greet` is what the other side has to know first. It is told of
    /// configurations once `proved` has ended, beginning with what that gives; where it gives nothing, the session ends.
    /// `changed` is called whenever members come, change or go.
    pub async fn serve(
        &self,
        mut frames: Frames,
        outbox: Outbox<Down>,
        greet: impl FnOnce() -> (Vec<Down>, Vec<News>),
        proved: impl Future<Output = Option<Vec<News>>>,
        changed: impl Fn(),
    ) {
        let Ok(Up::Hello { node, member }) = frames.next_in_time().await else { return };
        if self.all.borrow().len() >= MOST {
            tracing::warn!(%node, "session turned away: too many");
            return;
        }
        let id = self.next.replace(self.next.get() + 1);
        let (first, news) = greet();
        let (stands, mut ended) = oneshot::channel();
        let mut session = Session {
            outbox: outbox.clone(),
            _stands: stands,
            node,
            member,
            proved: false,
            sent: 0,
            applied: 0,
            report: Vec::new(),
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
        let mut ping = interval(PING);
        ping.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut proved = pin!(proved);
        let mut waits = true;
        loop {
            tokio::select! {
                news = &mut proved, if waits => {
                    waits = false;
                    let Some(news) = news else { return };
                    if let Some(session) = self.all.borrow_mut().get_mut(&id) {
                        session.proved = true;
                        if !news.into_iter().all(|news| session.push(news)) {
                            return;
                        }
                    }
                }
                up = frames.next_in_time() => {
                    let Ok(up) = up else { return };
                    self.hear(id, up, &changed);
                }
                _ = ping.tick() => {
                    if !outbox.send(Down::Ping) {
                        return;
                    }
                }
                () = outbox.closed() => return,
                // Off the list it would be told nothing more, and still take itself for in touch.
                _ = &mut ended => return,
            }
        }
    }

    fn hear(&self, id: u64, up: Up, changed: &impl Fn()) {
        let mut all = self.all.borrow_mut();
        let Some(session) = all.get_mut(&id) else { return };
        match up {
            Up::Ping => {}
            Up::Report(report) => session.report = report,
            Up::Applied(number) => {
                session.applied = session.applied.max(number);
                self.applied.notify_waiters();
            }
            Up::Hello { node, member } => {
                (session.node, session.member) = (node, member);
                drop(all);
                changed();
            }
        }
    }

    /// Pushes a change to all.
    pub fn push(&self, news: &News) {
        // A session whose queue is full would miss this, and with the next one seem to have applied it: it ends here, and
        // begins anew with all.
        let told = |session: &Session| session.proved || !matches!(news, News::Config { .. });
        self.all.borrow_mut().retain(|_, session| !told(session) || session.push(news.clone()));
    }

    pub fn tell(&self, down: &Down) {
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
        let mut overdue = self.overdue.borrow_mut();
        for (id, sent) in due {
            let number = overdue.entry(id).or_default();
            *number = sent.max(*number);
        }
        all
    }

    /// Takes off the end of a list of sessions, each with what it was sent, those that have applied it or are gone.
    fn let_go_of_done(&self, due: &mut Vec<(u64, u64)>) {
        let all = self.all.borrow();
        while due.pop_if(|(id, sent)| all.get(id).is_none_or(|s| s.applied >= *sent)).is_some() {}
    }

    /// Ends the sessions that have not applied what was waited for in vain: what they hold can't be vouched for. What
    /// they were sent meanwhile is on its way, and says nothing against them.
    pub fn drop_behind(&self) {
        let mut all = self.all.borrow_mut();
        for (id, number) in self.overdue.take() {
            if all.get(&id).is_some_and(|session| session.applied < number) {
                if let Some(session) = all.remove(&id) {
                    tracing::warn!(node = %session.node, "session ended: it does not apply what it is sent");
                }
            }
        }
    }

    pub fn members(&self) -> Vec<Member> {
        self.all.borrow().values().filter_map(|session| session.member.clone()).collect()
    }

    pub fn seen(&self) -> Vec<Seen> {
        let all = self.all.borrow();
        let seen = |s: &Session| Seen {
            node: s.node.clone(),
            member: s.member.clone(),
            sent: s.sent,
            applied: s.applied,
            report: s.report.clone(),
        };
        all.values().map(seen).collect()
    }
}

impl Session {
    fn push(&mut self, news: News) -> bool {
        self.sent += 1;
        self.outbox.send(Down::Push { number: self.sent, news })
    }
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

/// The lower side of a session: says hello, hands each change to `take`, and tells that it is applied. Returns when
/// the session is lost, the other side leaves, or `take` says that what came can't be built on: it begins anew then.
pub async fn follow(
    mut frames: Frames,
    outbox: Outbox<Up>,
    hello: impl Fn() -> Up,
    changed: &Notify,
    mut take: impl AsyncFnMut(Down) -> bool,
) {
    if !outbox.send(hello()) {
        return;
    }
    let mut ping = interval(PING);
    ping.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            down = frames.next_in_time::<Down>() => {
                let Ok(down) = down else { return };
                let number = match &down {
                    Down::Push { number, .. } => Some(*number),
                    Down::Leaving => return,
                    _ => None,
                };
                if !matches!(down, Down::Ping) && !take(down).await {
                    return;
                }
                if number.is_some_and(|number| !outbox.send(Up::Applied(number))) {
                    return;
                }
            }
            () = changed.notified() => {
                if !outbox.send(hello()) {
                    return;
                }
            }
            _ = ping.tick() => {
                if !outbox.send(Up::Ping) {
                    return;
                }
            }
        }
    }
}
