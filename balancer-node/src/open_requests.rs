//! Client requests that have no final answer yet.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Instant;

use glenfall_balancer::{RequestId, Seconds};
use hyper::header::HeaderValue;
use tokio::sync::oneshot;

use crate::payload::Payload;
use crate::response::ServerResponse;

/// The final answer to a request.
pub enum Answer {
    /// Served by a server, whose response is forwarded.
    Served(ServerResponse),
    /// Not served, and the request has not run: a retry is safe, preferably after the stated time in seconds.
    Refused(Option<Seconds>),
    /// Not served, but the request may have run.
    Failed,
    /// The balancer gave no answer before the deadline.
    DeadlineExceeded,
}

/// A request without its final answer.
struct OpenRequest {
    payload: Rc<Payload>,
    answer: oneshot::Sender<Answer>,
    attempts: u32,
    deadline: Instant,
}

/// A request that has just been accepted.
pub struct Accepted {
    /// The id that the host assigned to the request.
    pub id: RequestId,
    /// Receives the final answer.
    pub answer: oneshot::Receiver<Answer>,
}

/// The next attempt of a request.
pub struct NextAttempt {
    /// The index among the attempts of the request, from 0.
    pub index: u32,
    /// The content to send.
    pub payload: Rc<Payload>,
    /// When the client stops waiting.
    pub deadline: Instant,
}

/// All requests without a final answer.
#[derive(Default)]
pub struct OpenRequests {
    next_id: Cell<u64>,
    by_id: RefCell<HashMap<RequestId, OpenRequest>>,
    /// The ids that clients gave to their requests.
    client_ids: RefCell<HashSet<HeaderValue>>,
}

impl OpenRequests {
    /// Accepts a request. `None` if a request with the same client-supplied id is open: servers could not
    /// distinguish the two, and one client might get the answer to the other's request.
    pub fn accept(&self, payload: Payload, deadline: Instant) -> Option<Accepted> {
        if !self.client_ids.borrow_mut().insert(payload.id.clone()) {
            return None;
        }
        let id = RequestId(self.next_id.get());
        self.next_id.set(id.0 + 1);
        let (sender, answer) = oneshot::channel();
        let request = OpenRequest { payload: Rc::new(payload), answer: sender, attempts: 0, deadline };
        self.by_id.borrow_mut().insert(id, request);
        Some(Accepted { id, answer })
    }

    /// Whether a request has no final answer yet.
    pub fn contains(&self, request: RequestId) -> bool {
        self.by_id.borrow().contains_key(&request)
    }

    /// Counts one more attempt of a request; `None` if the request already has its final answer.
    pub fn begin_attempt(&self, request: RequestId) -> Option<NextAttempt> {
        let mut requests = self.by_id.borrow_mut();
        let request = requests.get_mut(&request)?;
        let index = request.attempts;
        request.attempts += 1;
        Some(NextAttempt { index, payload: Rc::clone(&request.payload), deadline: request.deadline })
    }

    /// Gives a request its final answer, unless it has one.
    pub fn answer(&self, request: RequestId, answer: Answer) {
        if let Some(request) = self.remove(request) {
            // A client that has disconnected gets nothing; dropping its pending answer notifies the balancer.
            let _ = request.answer.send(answer);
        }
    }

    /// Removes a request whose client has disconnected. Returns whether it had no final answer.
    pub fn cancel(&self, request: RequestId) -> bool {
        self.remove(request).is_some()
    }

    fn remove(&self, request: RequestId) -> Option<OpenRequest> {
        let request = self.by_id.borrow_mut().remove(&request)?;
        self.client_ids.borrow_mut().remove(&request.payload.id);
        Some(request)
    }
}
