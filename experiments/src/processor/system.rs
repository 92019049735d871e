//! The system under measurement: starts its processes, sends requests, and measures the costs.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use glenfall::http::headers::TRY_ID_HEADER;
use glenfall::memory_budget::MemoryBudget;
use glenfall::operator::local_system::{LocalSystem, SystemLayout};
use glenfall::upstream::pool::{ExchangeParams, Pool};
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, StatusCode};
use tokio::time::{sleep, Instant};

use super::cases::Case;
use super::cost::{Cost, MeasuredWork, Measurement};
use super::process::{self, ProcessTotals};
use super::report::CaseReport;
use super::trace::Trace;
use super::{ProcessorOptions, MEASURED_ROLES};
use crate::error::LabError;
use crate::execution_log::ExecutionLog;
use crate::experiment::{put_config, start_servers, wait_until_ready};
use crate::origin::HEARTBEAT_INTERVAL;
use crate::plan::{Plan, ROUTE_HOST};

const PROCESSOR_PLAN: &str = include_str!("../../plans/processor.toml");
/// Pause after the start, during which nodes still exchange their state and edges store no responses.
const WARM_UP_TIME: Duration = Duration::from_secs(5);
/// Pause before each case, so that work triggered by earlier requests has finished.
const CASE_PAUSE: Duration = Duration::from_secs(1);
/// Number of unmeasured requests before each case, which open connections and fill caches.
const WARM_UP_REQUESTS: u32 = 20;
/// Timeout of a request.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Body of each write, 300 bytes.
const WRITE_BODY: &[u8] = &[b'b'; 300];
/// Upper bound for the number of core machines and of edge machines in the plan.
const MAX_MACHINES: u8 = 9;
/// Maximum number of connections of the client.
const MAX_CONNECTIONS: usize = 8;
/// Maximum size of responses that the client buffers, in bytes.
const RESPONSE_MEMORY: usize = 1 << 20;

/// A measured process and its role.
#[derive(Clone, Copy)]
struct RoleProcess {
    role: &'static str,
    pid: u32,
}

/// A running system whose costs are measured.
pub struct SystemUnderTest {
    local: LocalSystem,
    /// The edge that requests are sent to.
    edge: SocketAddrV4,
    /// Number of the last request, from 1; numbers are used as request ids and for distinct objects.
    last_request: u32,
}

fn client_pool() -> Rc<Pool> {
    Pool::new(MAX_CONNECTIONS, MemoryBudget::new(RESPONSE_MEMORY))
}

impl SystemUnderTest {
    /// Starts a system with this number of zones, and waits until it is ready and warmed up.
    ///
    /// # Errors
    ///
    /// Returns an error if the system can't be started or does not become ready.
    pub async fn start(zones: u8, net: u8, program: &Path) -> Result<Self, LabError> {
        let plan = Plan::parse(PROCESSOR_PLAN).map_err(std::io::Error::other)?;
        let layout = SystemLayout {
            zones,
            heartbeat_interval_ms: HEARTBEAT_INTERVAL.as_millis() as u64,
            mem_mb: plan.system.mem_mb,
            ..SystemLayout::new(net, plan.system.cores, plan.system.edges)
        };
        let local = LocalSystem::start(layout, program).await?;
        let servers = start_servers(&plan, &local, &Rc::new(ExecutionLog::default())).await?;
        put_config(plan.configuration().to_string(), &local.controls(), HEARTBEAT_INTERVAL).await?;
        wait_until_ready(&plan, &local.controls(), servers.len()).await?;
        sleep(WARM_UP_TIME).await;
        let edge = local.edges()[0];
        Ok(SystemUnderTest { local, edge, last_request: 0 })
    }

    /// Returns the process ids of a role on all machines.
    fn pids(&self, role: &str) -> Vec<u32> {
        let machines =
            (1..=MAX_MACHINES).flat_map(|number| [format!("core-{number}"), format!("edge-{number}")]);
        machines.flat_map(|machine| self.local.pids(&machine, Some(role))).collect()
    }

    fn processes(&self) -> Vec<RoleProcess> {
        let of_role =
            |role: &'static str| self.pids(role).into_iter().map(move |pid| RoleProcess { role, pid });
        MEASURED_ROLES.into_iter().flat_map(of_role).collect()
    }

    /// Returns the maximum number of threads in a process of each role.
    pub fn threads_by_role(&self) -> BTreeMap<&'static str, usize> {
        let max_threads = |role| {
            let counts = self.pids(role).into_iter().map(|pid| process::threads(pid).len());
            counts.max().unwrap_or(0)
        };
        MEASURED_ROLES.into_iter().map(|role| (role, max_threads(role))).collect()
    }

    /// Measures the cost per second of one idle process of each role.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be traced.
    pub async fn measure_idle(
        &mut self,
        options: &ProcessorOptions,
    ) -> Result<BTreeMap<&'static str, Cost>, LabError> {
        let idle_time = Duration::from_secs_f64(options.idle_s);
        let measured = self.measure_work(options, async |_| sleep(idle_time).await).await?;
        let mut costs = BTreeMap::new();
        for role in MEASURED_ROLES {
            let processes = self.pids(role).len().max(1) as f64;
            costs.insert(role, measured.per_second(role, processes));
        }
        Ok(costs)
    }

    /// Measures the cost of one request of a case for all processes of each role together, without their idle cost.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be traced.
    pub async fn measure(
        &mut self,
        case: Case,
        options: &ProcessorOptions,
        idle: &BTreeMap<&'static str, Cost>,
    ) -> Result<CaseReport, LabError> {
        self.send_requests(case, WARM_UP_REQUESTS).await;
        sleep(CASE_PAUSE).await;
        let send = async |system: &mut SystemUnderTest| system.send_requests(case, options.requests).await;
        let measured = self.measure_work(options, send).await?;
        let mut costs = BTreeMap::new();
        for role in MEASURED_ROLES {
            let processes = self.pids(role).len() as f64;
            let cost = measured.per_request(role, f64::from(options.requests), &idle[role], processes);
            costs.insert(role, cost);
        }
        Ok(CaseReport { name: case.name, costs })
    }

    async fn send_requests(&mut self, case: Case, count: u32) {
        let mut pool = client_pool();
        for _ in 0..count {
            if case.new_connections {
                pool = client_pool();
            }
            self.send_request(case, &pool).await;
        }
    }

    /// Sends one request. Prints a line if it does not succeed, because its cost does not belong to the case.
    async fn send_request(&mut self, case: Case, pool: &Pool) {
        self.last_request += 1;
        let number = self.last_request;
        let until = Instant::now() + RESPONSE_TIMEOUT;
        let params = ExchangeParams::internal(self.edge, until);
        let response = pool.exchange(params, || request(case, number)).await;
        let status = response.map(|response| response.status());
        if status != Ok(StatusCode::OK) {
            eprintln!("{}: request {number} ended with {status:?}", case.name);
        }
    }

    /// Does the same work twice: untraced for wake-ups and processor time, then traced for system calls.
    async fn measure_work(
        &mut self,
        options: &ProcessorOptions,
        mut work: impl AsyncFnMut(&mut SystemUnderTest),
    ) -> Result<MeasuredWork, LabError> {
        let processes = self.processes();
        let before: Vec<ProcessTotals> =
            processes.iter().map(|process| process::totals(process.pid)).collect();
        let began_at = Instant::now();
        work(self).await;
        let mut untraced = Measurement::new(began_at.elapsed());
        for (RoleProcess { role, pid }, before) in processes.iter().zip(before) {
            untraced.add_totals(role, before, process::totals(*pid));
        }
        if options.no_trace {
            return Ok(MeasuredWork { untraced, traced: Measurement::new(Duration::ZERO) });
        }
        let mut traces = Vec::new();
        for RoleProcess { role, pid } in &processes {
            traces.push((*role, Trace::start(*pid).await?));
        }
        let began_at = Instant::now();
        work(self).await;
        let mut traced = Measurement::new(began_at.elapsed());
        for (role, trace) in traces {
            traced.add_calls(role, trace.stop()?);
        }
        Ok(MeasuredWork { untraced, traced })
    }
}

fn request(case: Case, number: u32) -> Request<Full<Bytes>> {
    let object = if case.new_objects { number } else { 0 };
    let body = if case.method == "POST" { WRITE_BODY } else { &[] };
    let mut request = Request::new(Full::new(Bytes::from_static(body)));
    *request.method_mut() = Method::from_bytes(case.method.as_bytes()).unwrap_or_default();
    *request.uri_mut() = format!("/{}/{object}", case.class).parse().unwrap_or_default();
    let headers = request.headers_mut();
    headers.insert(header::HOST, HeaderValue::from_static(ROUTE_HOST));
    headers.insert(TRY_ID_HEADER, HeaderValue::from(number));
    request
}
