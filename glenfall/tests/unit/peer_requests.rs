//! Requests of a control node to several peers, and what counts as their acknowledgement.

use std::future::Future;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use glenfall::control::peers::links::PeerLinks;
use glenfall::control::peers::requests::{PeerRequests, RequestError};
use glenfall_control_plane::messages::{CallId, PeerMessage, ProcessId};
use tokio::time::sleep;

const LOCAL_PROCESS: ProcessId = ProcessId { ip: Ipv4Addr::LOCALHOST, incarnation: 7 };
const FIRST_PEER: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);
const SECOND_PEER: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 3);
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);

/// Sends a request to both peers while `peers` acts on their behalf, and returns how the request ended. No connection
/// is open, so that nothing is transmitted.
fn request_both<F: Future<Output = ()>>(
    peers: impl FnOnce(Rc<PeerRequests>) -> F,
) -> Result<Vec<Ipv4Addr>, RequestError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    runtime.expect("a runtime").block_on(async {
        let requests = Rc::new(PeerRequests::new(Rc::new(PeerLinks::new(LOCAL_PROCESS))));
        let message = |_| PeerMessage::KeepAlive;
        let both = [FIRST_PEER, SECOND_PEER];
        let request = requests.send_to_all(&both, message, REQUEST_TIMEOUT);
        let (result, ()) = tokio::join!(request, peers(Rc::clone(&requests)));
        result
    })
}

/// The id of the first request of a process of this incarnation.
fn first_request(incarnation: u64) -> CallId {
    CallId { incarnation, number: 1 }
}

#[test]
fn a_request_succeeds_once_each_peer_has_acknowledged_it() {
    let result = request_both(|requests| async move {
        requests.acknowledged(SECOND_PEER, first_request(LOCAL_PROCESS.incarnation), true);
        sleep(REQUEST_TIMEOUT / 2).await;
        requests.acknowledged(FIRST_PEER, first_request(LOCAL_PROCESS.incarnation), false);
    });
    assert_eq!(result, Ok(vec![SECOND_PEER]));
}

#[test]
fn a_request_that_times_out_names_the_peers_that_have_not_acknowledged_it() {
    let result = request_both(|requests| async move {
        requests.acknowledged(FIRST_PEER, first_request(LOCAL_PROCESS.incarnation), true);
        sleep(REQUEST_TIMEOUT * 2).await;
        requests.acknowledged(SECOND_PEER, first_request(LOCAL_PROCESS.incarnation), true);
    });
    assert_eq!(result, Err(RequestError::TimedOut { unacknowledged: vec![SECOND_PEER] }));
}

#[test]
fn a_request_fails_when_a_peer_is_disconnected_before_it_acknowledges_even_if_it_does_later() {
    let result = request_both(|requests| async move {
        requests.peer_disconnected(SECOND_PEER);
        requests.acknowledged(SECOND_PEER, first_request(LOCAL_PROCESS.incarnation), true);
        requests.acknowledged(FIRST_PEER, first_request(LOCAL_PROCESS.incarnation), true);
    });
    let Err(RequestError::Disconnected { disconnected, .. }) = result else { panic!("{result:?}") };
    assert_eq!(disconnected, SECOND_PEER);
}

#[test]
fn a_peer_that_is_disconnected_after_its_acknowledgement_does_not_fail_the_request() {
    let result = request_both(|requests| async move {
        requests.acknowledged(SECOND_PEER, first_request(LOCAL_PROCESS.incarnation), true);
        requests.peer_disconnected(SECOND_PEER);
        requests.acknowledged(FIRST_PEER, first_request(LOCAL_PROCESS.incarnation), true);
    });
    assert_eq!(result, Ok(vec![SECOND_PEER, FIRST_PEER]));
}

#[test]
fn an_acknowledgement_of_an_earlier_incarnation_or_another_request_is_ignored() {
    let result = request_both(|requests| async move {
        for peer in [FIRST_PEER, SECOND_PEER] {
            requests.acknowledged(peer, first_request(LOCAL_PROCESS.incarnation - 1), true);
            requests.acknowledged(peer, CallId { incarnation: LOCAL_PROCESS.incarnation, number: 2 }, true);
        }
    });
    assert_eq!(result, Err(RequestError::TimedOut { unacknowledged: vec![FIRST_PEER, SECOND_PEER] }));
}
