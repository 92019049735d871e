//! The operators of a play: they change the configuration, race each other, send again what had no clear answer, read at
//! any node, and purge. What they are told is held against what they sent.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use glenfall::http::response::ServerResponse;
use glenfall::memory_budget::MemoryBudget;
use glenfall::operator::commands::ControlAddresses;
use glenfall::upstream::pool::{ExchangeParams, Pool};
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, StatusCode};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};
use tokio::time::{sleep, timeout, Instant};

use super::observed::{Observed, Promise};
use crate::ledger::Ledger;
use crate::plan::Plan;

/// One call; then another node is called.
const CALL: Duration = Duration::from_secs(1);
/// A call whose answer is to be lost ends within this time, in milliseconds.
const LOST_WITHIN_MS: std::ops::Range<u64> = 1..40;
/// An order without a clear answer is sent again for so long.
const ORDER: Duration = Duration::from_secs(6);
const PURGE: Duration = Duration::from_secs(4);
/// Pause before the next node is called.
const PAUSE: Duration = Duration::from_millis(60);
/// Versions before a version whose routes it still has.
const PARENTS: usize = 2;
/// Answers of control that are held at once.
const ROOM: usize = 64 << 20;
/// Host of the routes that tell orders apart.
const MARKS: &str = "mark.example";

/// The host of the route that a version adds.
pub fn host_of(rev: u64) -> String {
    format!("v{rev}.example")
}

/// What was made of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OrderState {
    /// No clear answer so far: it may be in force or not.
    Unclear,
    Acknowledged,
    Refused,
}

/// A whole configuration, sent as one order.
#[derive(Clone, Debug)]
struct Order {
    mark: u64,
    builds_on: u64,
    rev: u64,
    /// The versions before it that it was made from, the newest last.
    parents: Vec<u64>,
}

/// The newest version that was acknowledged, and when.
#[derive(Clone, Copy)]
pub struct Newest {
    pub rev: u64,
    pub at: Instant,
}

pub struct Operators {
    plan: Plan,
    controls: ControlAddresses,
    observed: Rc<Observed>,
    pool: Rc<Pool>,
    rng: RefCell<ChaCha8Rng>,
    orders: RefCell<BTreeMap<u64, (Order, OrderState)>>,
    /// The order that was acknowledged upon each version.
    winners: RefCell<BTreeMap<u64, u64>>,
    newest: Cell<Option<Newest>>,
    /// What the operators take for the newest version.
    current: RefCell<Order>,
    next_mark: Cell<u64>,
    /// While there are troubles of that kind, answers are lost.
    pub answers_lost: Cell<u32>,
}

impl Operators {
    pub fn new(plan: &Plan, controls: ControlAddresses, observed: &Rc<Observed>, seed: u64) -> Rc<Self> {
        Rc::new(Operators {
            plan: plan.clone(),
            controls,
            observed: Rc::clone(observed),
            pool: Pool::new(64, MemoryBudget::new(ROOM)),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
            orders: RefCell::default(),
            winners: RefCell::default(),
            newest: Cell::new(None),
            current: RefCell::new(Order { mark: 0, builds_on: 0, rev: 0, parents: Vec::new() }),
            next_mark: Cell::new(1),
            answers_lost: Cell::new(0),
        })
    }

    pub fn newest(&self) -> Option<Newest> {
        self.newest.get()
    }

    fn document(&self, order: &Order) -> Value {
        let mut document = self.plan.document();
        document["rev"] = order.rev.into();
        let route = |host: String, prefix: String, name: String| {
            json!({
                "name": name, "hostname": host, "pathPrefix": prefix, "type": "cacheable", "deadlineMs": 1200,
                "targetMs": 300, "prio": 2, "backend": self.plan.classes[0].service, "tries": 2, "maxAgeS": 5,
            })
        };
        let class = &self.plan.classes[0].name;
        if let Some(paths) = document["paths"].as_array_mut() {
            for rev in order.parents.iter().chain([&order.rev]) {
                paths.push(route(host_of(*rev), format!("/{class}/"), format!("version-{rev}")));
            }
            paths.push(route(MARKS.into(), format!("/{}/", order.mark), format!("mark-{}", order.mark)));
        }
        document
    }

    /// The next order upon the newest version that is known.
    fn next_order(&self) -> Order {
        let current = self.current.borrow();
        let mark = self.next_mark.replace(self.next_mark.get() + 1);
        let step = self.rng.borrow_mut().random_range(1..4);
        let mut parents = current.parents.clone();
        if current.rev > 0 {
            parents.push(current.rev);
        }
        let parents = parents.split_off(parents.len().saturating_sub(PARENTS));
        Order { mark, builds_on: current.rev, rev: current.rev + step, parents }
    }

    async fn call(
        &self,
        at: usize,
        method: Method,
        path: &'static str,
        builds_on: Option<u64>,
        body: Bytes,
    ) -> Option<ServerResponse> {
        let control = self.controls.controls[at % self.controls.controls.len()];
        let request = || {
            let mut request = Request::new(Full::new(body.clone()));
            *request.method_mut() = method.clone();
            *request.uri_mut() = hyper::Uri::from_static(path);
            request.headers_mut().insert(header::HOST, HeaderValue::from_static("control"));
            if let Some(rev) = builds_on {
                request.headers_mut().insert(header::IF_MATCH, HeaderValue::from(rev));
            }
            request
        };
        let params = ExchangeParams::internal(control, Instant::now() + CALL);
        let reply = self.pool.exchange(params, request);
        let is_lost = {
            let mut rng = self.rng.borrow_mut();
            let share = if self.answers_lost.get() > 0 { 0.6 } else { 0.05 };
            rng.random_bool(share).then(|| Duration::from_millis(rng.random_range(LOST_WITHIN_MS)))
        };
        match is_lost {
            // The connection ends with what is dropped.
            Some(within) => timeout(within, reply).await.ok()?.ok(),
            None => reply.await.ok(),
        }
    }

    fn any_node(&self) -> usize {
        self.rng.borrow_mut().random_range(0..self.controls.controls.len())
    }

    /// Sends an order until it has a clear answer; whether it was acknowledged.
    async fn order(&self, order: &Order) -> bool {
        let body = Bytes::from(self.document(order).to_string());
        self.orders.borrow_mut().insert(order.mark, (order.clone(), OrderState::Unclear));
        let began = Instant::now();
        while began.elapsed() < ORDER {
            let at = self.any_node();
            let reply = self.call(at, Method::PUT, "/api/config", Some(order.builds_on), body.clone()).await;
            match reply.map(|reply| reply.status()) {
                Some(StatusCode::OK) => {
                    self.acknowledged(order);
                    return true;
                }
                Some(status) if status.is_client_error() => {
                    self.refused(order);
                    return false;
                }
                _ => sleep(PAUSE).await,
            }
        }
        self.observed.count("order without a clear answer");
        false
    }

    fn acknowledged(&self, order: &Order) {
        self.observed.count("order acknowledged");
        if let Some((_, state)) = self.orders.borrow_mut().get_mut(&order.mark) {
            *state = OrderState::Acknowledged;
        }
        let before = self.winners.borrow_mut().insert(order.builds_on, order.mark);
        if let Some(before) = before.filter(|before| *before != order.mark) {
            let told = format!("orders {before} and {} upon version {}", order.mark, order.builds_on);
            self.observed.broken(Promise::OneChangeWins, told);
        }
        self.note_newest(order.rev);
        if self.current.borrow().rev < order.rev {
            self.current.replace(order.clone());
        }
    }

    fn refused(&self, order: &Order) {
        self.observed.count("order refused");
        if let Some((_, state)) = self.orders.borrow_mut().get_mut(&order.mark) {
            *state = OrderState::Refused;
        }
    }

    /// Reads the configuration at a node; what is read is held against what was acknowledged before. `None` where the node
    /// gives none.
    async fn read_at(&self, at: usize) -> Option<Order> {
        let before = self.newest.get();
        let reply = self.call(at, Method::GET, "/api/config", None, Bytes::new()).await?;
        if reply.status() != StatusCode::OK {
            self.observed.count(if reply.status().is_server_error() { "read refused" } else { "read: 4xx" });
            if before.is_some() && reply.status().is_client_error() {
                self.observed
                    .broken(Promise::ReadIsNewest, format!("{} after an acknowledgement", reply.status()));
            }
            return None;
        }
        self.observed.count("read answered");
        let document: Value = serde_json::from_slice(reply.body()).unwrap_or_default();
        let rev = document["rev"].as_u64().unwrap_or(0);
        if let Some(before) = before.filter(|before| rev < before.rev) {
            self.observed.broken(
                Promise::ReadIsNewest,
                format!("{rev} at node {at}, after {} was acknowledged", before.rev),
            );
        }
        let paths = document["paths"].as_array().cloned().unwrap_or_default();
        let names = || paths.iter().filter_map(|path| path["name"].as_str());
        let mark = names().find_map(|name| name.strip_prefix("mark-")?.parse::<u64>().ok());
        let found = mark.and_then(|mark| self.orders.borrow().get(&mark).cloned());
        let Some((order, state)) = found else {
            self.observed
                .broken(Promise::DocumentIsSent, format!("version {rev} with mark {mark:?} was never sent"));
            return None;
        };
        if state == OrderState::Refused || document != self.document(&order) {
            let told = format!("version {rev}, order {}: {state:?}, not as sent", order.mark);
            self.observed.broken(Promise::DocumentIsSent, told);
        }
        self.note_newest(order.rev);
        Some(order)
    }

    /// What was acknowledged or read is in force, and nothing older is read any more.
    fn note_newest(&self, rev: u64) {
        if self.newest.get().is_none_or(|newest| newest.rev < rev) {
            self.newest.set(Some(Newest { rev, at: Instant::now() }));
        }
    }

    /// Finds out what is in force.
    async fn look(&self) {
        let began = Instant::now();
        while began.elapsed() < ORDER {
            let at = self.any_node();
            if let Some(order) = self.read_at(at).await {
                // What is read is in force, whatever its sender was told.
                self.current.replace(order);
                return;
            }
            sleep(PAUSE).await;
        }
    }

    /// Puts the first configuration in force; false where it is not taken.
    pub async fn begin(&self) -> bool {
        let order = self.next_order();
        for _ in 0..10 {
            if self.order(&order).await {
                return true;
            }
        }
        false
    }

    /// Changes the configuration again and again.
    pub async fn change(self: Rc<Self>) {
        loop {
            let pause = self.rng.borrow_mut().random_range(300..1400);
            sleep(Duration::from_millis(pause)).await;
            let kind = self.rng.borrow_mut().random_range(0..10);
            match kind {
                0 | 1 => self.race().await,
                2 => self.send_invalid().await,
                _ => {
                    let order = self.next_order();
                    if !self.order(&order).await {
                        self.look().await;
                    } else if kind < 5 {
                        self.send_again(&order).await;
                    }
                }
            }
        }
    }

    /// Two operators change the configuration at the same time, upon the same version.
    async fn race(&self) {
        let (first, mut second) = (self.next_order(), self.next_order());
        if self.rng.borrow_mut().random_bool(0.5) {
            second.rev = first.rev;
        }
        let (first, second) = tokio::join!(self.order(&first), self.order(&second));
        if first && second {
            self.observed.broken(Promise::OneChangeWins, "both of a race were acknowledged".into());
        }
        self.look().await;
    }

    /// An order that was acknowledged is sent again, with no other sent since.
    async fn send_again(&self, order: &Order) {
        let body = Bytes::from(self.document(order).to_string());
        let at = self.any_node();
        let reply = self.call(at, Method::PUT, "/api/config", Some(order.builds_on), body).await;
        if let Some(status) = reply.map(|reply| reply.status()).filter(|status| status.is_client_error()) {
            self.observed.broken(Promise::AcknowledgedStays, format!("order {}: {status}", order.mark));
        }
    }

    async fn send_invalid(&self) {
        let order = self.next_order();
        let mut document = self.document(&order);
        let kind = self.rng.borrow_mut().random_range(0..5);
        match kind {
            0 => document["paths"][0]["backend"] = "nobody".into(),
            1 => document["paths"][0]["deadlineMs"] = 0.into(),
            2 => document["paths"][1] = document["paths"][0].clone(),
            3 => document["rev"] = order.builds_on.into(),
            _ => {}
        }
        let text = document.to_string();
        let text = if kind == 4 { text[..text.len() / 2].to_owned() } else { text };
        let at = self.any_node();
        let reply = self.call(at, Method::PUT, "/api/config", Some(order.builds_on), text.into()).await;
        if reply.is_some_and(|reply| reply.status().is_success()) {
            self.observed.broken(Promise::InvalidIsRefused, format!("an invalid document of kind {kind}"));
        }
    }

    /// Reads at any node, again and again.
    pub async fn read(self: Rc<Self>) {
        loop {
            let (at, pause) = (self.any_node(), self.rng.borrow_mut().random_range(100..500));
            let _ = self.read_at(at).await;
            sleep(Duration::from_millis(pause)).await;
        }
    }

    /// At the end each node gives the newest configuration.
    pub async fn read_back(&self, most: Duration) {
        self.answers_lost.set(0);
        for at in 0..self.controls.controls.len() {
            let began = Instant::now();
            while self.read_at(at).await.is_none() {
                if began.elapsed() > most {
                    self.observed
                        .broken(Promise::ReadIsNewest, format!("nothing is read at node {at} in the end"));
                    break;
                }
                sleep(PAUSE).await;
            }
        }
    }

    /// Objects change, each with its purge.
    pub async fn purge(self: Rc<Self>, ledger: Rc<Ledger>) {
        loop {
            let (pause, object) = {
                let mut rng = self.rng.borrow_mut();
                (rng.random_range(100..500), rng.random_range(1..=8))
            };
            sleep(Duration::from_millis(pause)).await;
            let path = format!("/{}/{object}", self.plan.classes[0].name);
            let old = ledger.change(&path);
            let body = Bytes::from(json!({ "hostname": crate::HOST, "urlPath": path }).to_string());
            let began = Instant::now();
            let mut acknowledged = false;
            while !acknowledged && began.elapsed() < PURGE {
                let at = self.any_node();
                let reply = self.call(at, Method::POST, "/api/purge", None, body.clone()).await;
                acknowledged = reply.is_some_and(|reply| reply.status().is_success());
                if !acknowledged {
                    sleep(PAUSE).await;
                }
            }
            self.observed.count(if acknowledged { "purge acknowledged" } else { "purge without an answer" });
            if acknowledged {
                ledger.purged(&path, old);
            }
        }
    }
}
