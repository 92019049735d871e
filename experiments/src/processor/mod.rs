//! What the system costs the processor: wake-ups, system calls, kilobytes through the kernel and processor time, for one
//! request of each kind and for each process without any. The system is real processes on loopback; the servers and the
//! client are in this one, and not counted.

mod counts;
mod report;

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use clap::Args;
use glenfall::http::headers::TRY_ID;
use glenfall::memory_budget::MemoryBudget;
use glenfall::operator::local_system::{LocalSystem, SystemLayout};
use glenfall::upstream::pool::{ExchangeParams, Pool};
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, StatusCode};
use tokio::time::{sleep, Instant};

use crate::experiment::{configured, settled, start_servers, LabError};
use crate::ledger::Ledger;
use crate::origin::BEAT;
use crate::plan::Plan;
use counts::{Calls, Totals, Trace};
pub use report::ProcessorReport;
use report::{CaseReport, Cost};

const PLAN: &str = include_str!("../../plans/processor.toml");
const ROLES: [&str; 4] = ["edge", "agent", "shield", "control"];
/// Third byte of the machines' addresses of the first system; the second has the next.
const NET: u8 = 12;
/// Edges keep copies only of objects whose shield is in another zone: with one zone they keep none, and with this many no
/// edge shares the zone of a shield.
const ONE_ZONE: u8 = 1;
const ZONES_APART: u8 = 5;
/// After the start: nodes still tell each other all that they know, and edges keep no copies for a while.
const STARTED: Duration = Duration::from_secs(5);
/// Before each case, so that what the one before began is over.
const PAUSE: Duration = Duration::from_secs(1);
const ANSWERED: Duration = Duration::from_secs(5);
const BODY: &[u8] = &[b'b'; 300];

#[derive(Args, Clone, Debug)]
pub struct ProcessorPlan {
    /// Requests of each case, one after the other
    #[arg(long, default_value_t = 300)]
    requests: u32,
    /// Seconds without requests
    #[arg(long, default_value_t = 10.0)]
    idle_s: f64,
    /// Count no system calls, where there is no `strace`
    #[arg(long)]
    no_trace: bool,
}

/// Requests of one kind.
#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    method: &'static str,
    class: &'static str,
    /// Each request is for an object of its own, or all for one.
    new_objects: bool,
    /// Each request comes on a connection of its own.
    new_connections: bool,
}

const AT_SHIELDS: [Case; 6] = [
    case("shield's copy", "GET", "read", false, false),
    case("shield's copy, new connection", "GET", "read", false, true),
    case("shield's copy of 120 kB", "GET", "large", false, false),
    case("miss", "GET", "read", true, false),
    case("write", "POST", "write", true, false),
    case("write, new connection", "POST", "write", true, true),
];
const AT_EDGES: [Case; 2] = [
    case("edge's copy", "GET", "read", false, false),
    case("edge's copy, new connection", "GET", "read", false, true),
];

const fn case(
    name: &'static str,
    method: &'static str,
    class: &'static str,
    new_objects: bool,
    new_connections: bool,
) -> Case {
    Case { name, method, class, new_objects, new_connections }
}

/// Counts a span in which the processes did something: all that they did, by role.
struct Span {
    seconds: f64,
    costs: BTreeMap<&'static str, Cost>,
}

/// A system that is up.
struct System {
    local: LocalSystem,
    edge: SocketAddrV4,
    /// Number of the next object or try.
    next: u32,
}

/// Measures all cases with this program.
pub async fn play(plan: &ProcessorPlan, program: &Path) -> Result<ProcessorReport, LabError> {
    let mut cases = Vec::new();
    let mut one_zone = System::start(ONE_ZONE, NET, program).await?;
    let idle = one_zone.idle(plan).await?;
    cases.push(CaseReport { name: "at rest, a process and second", costs: idle.clone() });
    for case in AT_SHIELDS {
        cases.push(one_zone.measure(case, plan, &idle).await?);
    }
    let threads = one_zone.threads();
    drop(one_zone);
    let mut zones_apart = System::start(ZONES_APART, NET + 1, program).await?;
    for case in AT_EDGES {
        cases.push(zones_apart.measure(case, plan, &idle).await?);
    }
    Ok(ProcessorReport {
        requests: plan.requests,
        idle_s: plan.idle_s,
        traced: !plan.no_trace,
        threads,
        cases,
    })
}

impl System {
    async fn start(zones: u8, net: u8, program: &Path) -> Result<System, LabError> {
        let plan = Plan::read(PLAN).map_err(std::io::Error::other)?;
        let layout = SystemLayout {
            net,
            cores: plan.system.cores,
            seeds: plan.system.cores,
            edges: plan.system.edges,
            zones,
            beat_ms: BEAT.as_millis() as u64,
            mem_mb: plan.system.mem_mb,
            losses: 0,
            relayed: false,
        };
        let local = LocalSystem::start(layout, program).await?;
        let servers = start_servers(&plan, &local, &Rc::new(Ledger::default())).await?;
        configured(&plan, &local.controls()).await?;
        settled(&plan, &local.controls(), servers.len()).await?;
        sleep(STARTED).await;
        let edge = local.edges()[0];
        Ok(System { local, edge, next: 0 })
    }

    /// The processes of a role, on all machines.
    fn pids(&self, role: &str) -> Vec<u32> {
        let nodes = (1..=9).flat_map(|number| [format!("core-{number}"), format!("edge-{number}")]);
        nodes.flat_map(|node| self.local.pids(&node, Some(role))).collect()
    }

    /// Threads of a process of each role, the most of any.
    fn threads(&self) -> BTreeMap<&'static str, usize> {
        let most =
            |role| self.pids(role).into_iter().map(|pid| counts::threads(pid).len()).max().unwrap_or(0);
        ROLES.into_iter().map(|role| (role, most(role))).collect()
    }

    /// What a process of each role costs in a second without requests.
    async fn idle(&mut self, plan: &ProcessorPlan) -> Result<BTreeMap<&'static str, Cost>, LabError> {
        let rest = Duration::from_secs_f64(plan.idle_s);
        let spans = self.counted(plan, async |_| sleep(rest).await).await?;
        let mut costs = BTreeMap::new();
        for role in ROLES {
            let processes = self.pids(role).len().max(1) as f64;
            costs.insert(role, spans.per_second(role, processes));
        }
        Ok(costs)
    }

    /// What one request of a case costs the processes of each role together, beside what they cost at rest.
    async fn measure(
        &mut self,
        case: Case,
        plan: &ProcessorPlan,
        idle: &BTreeMap<&'static str, Cost>,
    ) -> Result<CaseReport, LabError> {
        // Connections are open, and copies there.
        self.send_all(case, 20).await;
        sleep(PAUSE).await;
        let spans = self.counted(plan, async |system| system.send_all(case, plan.requests).await).await?;
        let mut costs = BTreeMap::new();
        for role in ROLES {
            let processes = self.pids(role).len() as f64;
            costs.insert(role, spans.per_request(role, f64::from(plan.requests), &idle[role], processes));
        }
        Ok(CaseReport { name: case.name, costs })
    }

    async fn send_all(&mut self, case: Case, count: u32) {
        let mut pool = client();
        for _ in 0..count {
            if case.new_connections {
                pool = client();
            }
            self.send(case, &pool).await;
        }
    }

    /// Sends one request; one that is not answered with success would be another case.
    async fn send(&mut self, case: Case, pool: &Pool) {
        self.next += 1;
        let number = if case.new_objects { self.next } else { 0 };
        let request = || {
            let body = if case.method == "POST" { BODY } else { &[] };
            let mut request = Request::new(Full::new(Bytes::from_static(body)));
            *request.method_mut() = Method::from_bytes(case.method.as_bytes()).unwrap_or_default();
            *request.uri_mut() = format!("/{}/{number}", case.class).parse().unwrap_or_default();
            let headers = request.headers_mut();
            headers.insert(header::HOST, HeaderValue::from_static(crate::HOST));
            headers.insert(TRY_ID, HeaderValue::from(self.next));
            request
        };
        let until = Instant::now() + ANSWERED;
        let reply = pool.exchange(ExchangeParams::internal(self.edge, until), request).await;
        let status = reply.map(|reply| reply.status());
        if status != Ok(StatusCode::OK) {
            eprintln!("{}: request {} ended with {status:?}", case.name, self.next);
        }
    }

    /// Has something done twice: once to count wake-ups and processor time, once traced.
    async fn counted(
        &mut self,
        plan: &ProcessorPlan,
        mut act: impl AsyncFnMut(&mut System),
    ) -> Result<Spans, LabError> {
        let pids: Vec<(&'static str, u32)> =
            ROLES.iter().flat_map(|role| self.pids(role).into_iter().map(|pid| (*role, pid))).collect();
        let before: Vec<Totals> = pids.iter().map(|(_, pid)| counts::totals(*pid)).collect();
        let began = Instant::now();
        act(self).await;
        let mut plain = Span::new(began.elapsed());
        for ((role, pid), before) in pids.iter().zip(before) {
            plain.add_totals(role, before, counts::totals(*pid));
        }
        if plan.no_trace {
            return Ok(Spans { plain, traced: Span::new(Duration::ZERO) });
        }
        let mut traces = Vec::new();
        for (role, pid) in &pids {
            traces.push((*role, Trace::start(*pid).await?));
        }
        let began = Instant::now();
        act(self).await;
        let mut traced = Span::new(began.elapsed());
        for (role, trace) in traces {
            traced.add_calls(role, trace.stop()?);
        }
        Ok(Spans { plain, traced })
    }
}

/// A client's connections.
fn client() -> Rc<Pool> {
    Pool::new(8, MemoryBudget::new(1 << 20))
}

impl Span {
    fn new(lasted: Duration) -> Span {
        let costs = ROLES.iter().map(|role| (*role, Cost::default())).collect();
        Span { seconds: lasted.as_secs_f64(), costs }
    }

    fn add_totals(&mut self, role: &'static str, before: Totals, after: Totals) {
        let cost = self.costs.entry(role).or_default();
        cost.wakeups += after.wakeups.saturating_sub(before.wakeups) as f64;
        cost.processor_us += after.processor_ns.saturating_sub(before.processor_ns) as f64 / 1000.0;
    }

    fn add_calls(&mut self, role: &'static str, calls: Calls) {
        let cost = self.costs.entry(role).or_default();
        cost.kilobytes += calls.bytes_copied as f64 / 1000.0;
        for (name, count) in calls.by_name {
            *cost.calls.entry(name).or_default() += count as f64;
        }
    }
}

/// The same done plainly and traced: a traced process is slower, and its wake-ups are others.
struct Spans {
    plain: Span,
    traced: Span,
}

impl Spans {
    /// What one process of a role costs in a second.
    fn per_second(&self, role: &str, processes: f64) -> Cost {
        let units = (self.plain.seconds * processes, self.traced.seconds * processes);
        self.per_unit(role, units, &Cost::default(), 0.0)
    }

    /// What one request costs a role, less what its processes cost at rest.
    fn per_request(&self, role: &str, requests: f64, idle: &Cost, processes: f64) -> Cost {
        self.per_unit(role, (requests, requests), idle, processes)
    }

    fn per_unit(&self, role: &str, units: (f64, f64), idle: &Cost, processes: f64) -> Cost {
        let (plain, traced) = (&self.plain.costs[role], &self.traced.costs[role]);
        let (at_rest, traced_rest) = (processes * self.plain.seconds, processes * self.traced.seconds);
        let calls = traced.calls.iter().map(|(name, calls)| {
            let resting = idle.calls.get(name).copied().unwrap_or(0.0) * traced_rest;
            (name.clone(), (calls - resting) / units.1)
        });
        Cost {
            wakeups: (plain.wakeups - idle.wakeups * at_rest) / units.0,
            processor_us: (plain.processor_us - idle.processor_us * at_rest) / units.0,
            calls: calls.collect(),
            kilobytes: (traced.kilobytes - idle.kilobytes * traced_rest) / units.1,
        }
    }
}
