//! Request handling of an origin server: waits for a slot, takes a random processing time, and responds with the
//! requested object.

use std::cell::Cell;
use std::time::Duration;

use glenfall::http::headers::{DEADLINE_HEADER, TRY_ID_HEADER};
use glenfall::http_server::{plain_response, retry_later_response, FullRequest, FullResponse};
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::StatusCode;
use rand::Rng;
use rand_distr::{Distribution, LogNormal};
use tokio::sync::SemaphorePermit;
use tokio::time::{sleep, sleep_until, Instant};

use super::Origin;
use crate::execution_log::body;
use crate::plan::{ClassPlan, RouteKind};

/// Delay that rejected clients are told to wait before a retry.
const REJECTION_RETRY_AFTER: Duration = Duration::from_millis(100);

/// The processing of a request, drawn at random.
struct Work {
    duration: Duration,
    fails: bool,
}

/// Counts a request as queued until this guard is dropped.
struct QueuedRequest<'a>(&'a Cell<u32>);

impl<'a> QueuedRequest<'a> {
    fn new(queued: &'a Cell<u32>) -> Self {
        queued.set(queued.get() + 1);
        QueuedRequest(queued)
    }
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

fn header_text<'a>(request: &'a FullRequest, name: &str) -> Option<&'a str> {
    request.head.headers.get(name).and_then(|value| value.to_str().ok())
}

impl Origin {
    pub(super) async fn serve(&self, request: &FullRequest) -> FullResponse {
        self.arrivals.set(self.arrivals.get() + 1);
        self.count_arrival_after_drain();
        let wanted_server = header_text(request, "x-glenfall-want-server");
        if wanted_server.is_some_and(|wanted| wanted != self.id) {
            return self.reject(StatusCode::MISDIRECTED_REQUEST, "another server");
        }
        let Some(class) = self.class_of(request) else {
            return self.reject(StatusCode::MISDIRECTED_REQUEST, "another service");
        };
        let Some(id) = header_text(request, TRY_ID_HEADER.as_str()) else {
            return self.reject(StatusCode::BAD_REQUEST, "no id");
        };
        let slot = match self.wait_for_slot(request, class).await {
            Ok(slot) => slot,
            Err(rejection) => return rejection,
        };
        if class.kind == RouteKind::Mutating {
            self.execution_log.record_execution(id);
        }
        let version = self.execution_log.version(request.head.uri.path());
        let work = self.draw_work();
        sleep(work.duration).await;
        drop(slot);
        match work.fails {
            true => plain_response(StatusCode::INTERNAL_SERVER_ERROR, "as it happens"),
            false => self.respond(request, class, version),
        }
    }

    /// Returns the class named in the path of a request; `None` if it does not belong to this service.
    fn class_of(&self, request: &FullRequest) -> Option<&ClassPlan> {
        let name = request.head.uri.path().split('/').nth(1)?;
        let class = self.classes.iter().find(|class| class.name == name);
        class.filter(|class| class.service == self.plan.name)
    }

    /// Waits for a slot until the deadline of a request. Returns a rejection if the queue is full or the deadline
    /// passes.
    async fn wait_for_slot(
        &self,
        request: &FullRequest,
        class: &ClassPlan,
    ) -> Result<Option<SemaphorePermit<'_>>, FullResponse> {
        let timeout_ms = header_text(request, DEADLINE_HEADER.as_str()).and_then(|ms| ms.parse().ok());
        let until = Instant::now() + Duration::from_millis(timeout_ms.unwrap_or(class.deadline_ms));
        if self.slots.available_permits() == 0 && self.queued.get() >= self.plan.queue {
            return Err(self.reject(StatusCode::SERVICE_UNAVAILABLE, "full"));
        }
        let _queued = QueuedRequest::new(&self.queued);
        tokio::select! {
            // The semaphore is never closed.
            slot = self.slots.acquire() => Ok(slot.ok()),
            () = sleep_until(until) => Err(self.reject(StatusCode::SERVICE_UNAVAILABLE, "waited too long")),
        }
    }

    /// Returns a response that marks the request as not executed and invites a retry.
    fn reject(&self, status: StatusCode, reason: &'static str) -> FullResponse {
        self.rejections.set(self.rejections.get() + 1);
        let mut response = retry_later_response(status, reason, REJECTION_RETRY_AFTER);
        response.headers_mut().insert("x-glenfall-not-run", HeaderValue::from_static("1"));
        response
    }

    fn draw_work(&self) -> Work {
        let mut rng = self.rng.borrow_mut();
        let log_mean = (self.plan.work_ms / 1000.0).ln() - self.plan.work_log_deviation.powi(2) / 2.0;
        let distribution = LogNormal::new(log_mean, self.plan.work_log_deviation);
        let seconds = distribution.map_or(0.0, |distribution| distribution.sample(&mut *rng));
        let duration = Duration::from_secs_f64(seconds * self.slowdown.get());
        Work { duration, fails: rng.random_bool(self.plan.error_share) }
    }

    fn respond(&self, request: &FullRequest, class: &ClassPlan, version: u64) -> FullResponse {
        let etag = format!("\"{version}\"");
        let is_unchanged = header_text(request, header::IF_NONE_MATCH.as_str()) == Some(etag.as_str());
        let mut response = if is_unchanged {
            plain_response(StatusCode::NOT_MODIFIED, "")
        } else {
            FullResponse::new(Full::new(body(request.head.uri.path(), version, class.bytes)))
        };
        let headers = response.headers_mut();
        for (name, value) in [("etag", etag.as_str()), ("x-glenfall-seal", self.id.as_str())] {
            if let Ok(value) = HeaderValue::from_str(value) {
                headers.insert(name, value);
            }
        }
        response
    }
}
