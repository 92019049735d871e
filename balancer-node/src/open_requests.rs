//! Clients' requests that have no final answer yet.

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
    /// The response of a server.
    Served(ServerResponse),
    /// Not served; a repeat is harmless, best after the stated time.
    Refused(Option<Seconds>),
    /// Not served; it may have run.
    Failed,
    /// The host's own answer where the balancer gave none.
    Overdue,
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
    /// The host's number of it.
    pub id: RequestId,
    /// Brings its final answer.
    pub answer: oneshot::Receiver<Answer>,
}

/// The next attempt of a request.
pub struct NextAttempt {
    /// Its index among the attempts of the request.
    pub index: u32,
    /// What is sent.
    pub payload: Rc<Payload>,
    /// When the client gives up.
    pub deadline: Instant,
}

/// All requests without a final answer.
#[derive(Default)]
pub struct OpenRequests {
    next_id: Cell<u64>,
    by_id: RefCell<HashMap<RequestId, OpenRequest>>,
    /// The ids that clients gave the requests.
    client_ids: RefCell<HashSet<HeaderValue>>,
}

impl OpenRequests {
    /// Accepts a request. `None` if one with the client's id is open: servers could not distinguish the two,
    /// and one of the clients might get the other's answer.
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

    /// Counts one more attempt of a request; `None` if it has its final answer.
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
            // A client that has disconnected gets nothing; its pending answer notifies the balancer.
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
