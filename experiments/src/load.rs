//! The clients: requests come whether or not those before were answered, and are tried again as the protocol
//! allows.

use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use glenfall::http::headers::{DEADLINE, TRY_ID};
use glenfall::http::response::ServerResponse;
use glenfall::memory_budget::MemoryBudget;
use glenfall::upstream::pool::{ExchangeParams, Pool, SendError};
use glenfall_balancer::mix;
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, StatusCode};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Zipf};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, Instant};

use crate::ledger::Ledger;
use crate::plan::{ClassPlan, Kind, Plan};
use crate::report::{Ended, Seen};

/// Clients of an experiment; each keeps to an edge for its first tries.
const CLIENTS: u64 = 200;
/// Requests under way at most: beyond it the tool itself would be what is slow, and says so.
const MOST: u32 = 20_000;
/// Connections that the clients hold together.
const CONNECTIONS: usize = 2000;
/// All clients' answers.
const ROOM: usize = 512 << 20;

pub struct Load {
    plan: Plan,
    edges: Vec<SocketAddrV4>,
    pool: Rc<Pool>,
    ledger: Rc<Ledger>,
    seen: Rc<RefCell<Seen>>,
    under_way: Cell<u32>,
    next: Cell<u64>,
}

impl Load {
    pub fn new(
        plan: &Plan,
        edges: Vec<SocketAddrV4>,
        ledger: &Rc<Ledger>,
        seen: &Rc<RefCell<Seen>>,
    ) -> Rc<Load> {
        Rc::new(Load {
            plan: plan.clone(),
            edges,
            pool: Pool::new(CONNECTIONS, MemoryBudget::new(ROOM)),
            ledger: Rc::clone(ledger),
            seen: Rc::clone(seen),
            under_way: Cell::new(0),
            next: Cell::new(0),
        })
    }

    /// Offers the plan's load, and waits for what is under way at the end.
    pub async fn run(self: &Rc<Self>) {
        let began = Instant::now();
        let end = began + Duration::from_secs_f64(self.plan.seconds);
        let mut arriving = Vec::new();
        for number in 0..self.plan.classes.len() {
            arriving.push(spawn_local(Rc::clone(self).arrive(number, began, end)));
        }
        for task in arriving {
            // It ends with the time.
            let _ = task.await;
        }
        while self.under_way.get() > 0 {
            sleep(Duration::from_millis(10)).await;
        }
    }

    async fn arrive(self: Rc<Self>, number: usize, began: Instant, end: Instant) {
        let class = self.plan.classes[number].clone();
        let mut rng = ChaCha8Rng::seed_from_u64(mix(self.plan.seed ^ mix(number as u64)));
        let Ok(law) = Zipf::new(f64::from(class.objects), class.skew) else { return };
        let mut at = began;
        loop {
            let rate = class.per_s * self.plan.factor((at - began).as_secs_f64());
            let pause = Exp::new(rate.max(0.01)).map_or(1.0, |law| law.sample(&mut rng));
            // A phase may end within a long pause.
            at += Duration::from_secs_f64(pause.min(1.0));
            if at >= end {
                return;
            }
            sleep_until(at).await;
            if pause > 1.0 {
                continue;
            }
            let (object, client) = (law.sample(&mut rng) as u64, rng.random_range(0..CLIENTS));
            let second = (at - began).as_secs() as usize;
            if self.under_way.get() >= MOST {
                self.seen.borrow_mut().overrun += 1;
                continue;
            }
            self.under_way.set(self.under_way.get() + 1);
            let load = Rc::clone(&self);
            spawn_local(async move {
                load.client(number, second, object, client).await;
                load.under_way.set(load.under_way.get() - 1);
            });
        }
    }

    /// One request of a client, with the tries that it adds.
    async fn client(&self, number: usize, second: usize, object: u64, client: u64) {
        let class = &self.plan.classes[number];
        let path = format!("/{}/{object}", class.name);
        let began = Instant::now();
        let until = began + Duration::from_millis(class.deadline_ms);
        let mut ended = Ended::Failed;
        for turn in 0..=u64::from(class.retries) {
            let edge = self.edges[((client + turn) % self.edges.len() as u64) as usize];
            let id = format!("{:016x}", mix(self.plan.seed ^ mix(self.next.replace(self.next.get() + 1))));
            let sent = Instant::now();
            let reply = self.try_once(class, edge, &path, &id, until).await;
            let again = match &reply {
                Ok(reply) if reply.status().is_success() => {
                    let sealed = reply.headers().contains_key("x-glenfall-seal");
                    self.ledger.got(&path, sent, sealed, reply.body(), class.bytes);
                    let aim = Duration::from_millis(class.aim_ms);
                    ended = if began.elapsed() <= aim { Ended::InAim } else { Ended::Late };
                    None
                }
                Ok(reply) => {
                    let promised = matches!(reply.status().as_u16(), 408 | 421 | 429 | 503);
                    if promised && class.kind == Kind::Mutating {
                        self.ledger.told_not_run(&id);
                    }
                    ended = if promised { Ended::Refused } else { Ended::Failed };
                    let may = promised || class.kind != Kind::Mutating;
                    let never = matches!(reply.status().as_u16(), 400 | 401 | 404 | 413 | 431);
                    (may && !never).then(|| wait_of(reply))
                }
                Err(trouble) => {
                    ended = Ended::Failed;
                    let may = *trouble == SendError::NotSent || class.kind != Kind::Mutating;
                    may.then_some(Duration::ZERO)
                }
            };
            let Some(wait) = again.filter(|wait| Instant::now() + *wait < until) else { break };
            sleep(wait).await;
        }
        self.seen.borrow_mut().add(number, second, ended, began.elapsed());
    }

    async fn try_once(
        &self,
        class: &ClassPlan,
        edge: SocketAddrV4,
        path: &str,
        id: &str,
        until: Instant,
    ) -> Result<ServerResponse, SendError> {
        let request = || {
            let mut request = Request::new(Full::new(Bytes::new()));
            if class.kind == Kind::Mutating {
                *request.method_mut() = Method::POST;
            }
            *request.uri_mut() = path.parse().unwrap_or_default();
            let left = until.saturating_duration_since(Instant::now()).as_millis() as u64;
            let headers = request.headers_mut();
            headers.insert(header::HOST, HeaderValue::from_static(crate::HOST));
            headers.insert(DEADLINE, HeaderValue::from(left.max(1)));
            if let Ok(id) = HeaderValue::from_str(id) {
                headers.insert(TRY_ID, id);
            }
            request
        };
        self.pool.exchange(ExchangeParams::internal(edge, until), request).await
    }

    /// Objects that change, each with its purge.
    pub async fn change_objects(self: Rc<Self>, controls: glenfall::operator::commands::ControlAddresses) {
        let mut rng = ChaCha8Rng::seed_from_u64(mix(self.plan.seed ^ 0xc4a6));
        let rate: f64 = self.plan.classes.iter().map(|class| class.changes_per_s).sum();
        if rate <= 0.0 {
            return;
        }
        loop {
            sleep(Duration::from_secs_f64(1.0 / rate)).await;
            let mut left = rng.random_range(0.0..rate);
            let class = self.plan.classes.iter().find(|class| {
                left -= class.changes_per_s;
                left < 0.0
            });
            let Some(class) = class else { continue };
            // Those that are asked for most.
            let path = format!("/{}/{}", class.name, rng.random_range(1..=class.objects.min(20)));
            let old = self.ledger.change(&path);
            let purge = serde_json::json!({ "hostname": crate::HOST, "urlPath": path }).to_string();
            let told = glenfall::operator::commands::call_control(
                &controls,
                Method::POST,
                "/api/purge",
                None,
                purge.into(),
            )
            .await;
            let mut seen = self.seen.borrow_mut();
            seen.purges += 1;
            match told {
                Ok(_) => self.ledger.purged(&path, old),
                Err(_) => seen.purges_failed += 1,
            }
        }
    }
}

/// How long an answer asks to wait.
fn wait_of(reply: &ServerResponse) -> Duration {
    let stated = reply.headers().get(header::RETRY_AFTER).and_then(|value| value.to_str().ok()?.parse().ok());
    let least = if reply.status() == StatusCode::SERVICE_UNAVAILABLE { 0.02 } else { 0.0 };
    Duration::from_secs_f64(f64::clamp(stated.unwrap_or(least), 0.0, 60.0))
}
