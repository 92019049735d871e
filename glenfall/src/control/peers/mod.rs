//! The peers of a control node, which are the other control nodes.
//!
//! | module | owns |
//! | --- | --- |
//! | `links` | the state of the two connections to each peer |
//! | `connections` | the tasks that open, accept and read these connections, and the signal to reconnect |
//! | `requests` | requests that wait for acknowledgements of several peers |
//! | `members` | the members whose sessions are at peers |

pub mod connections;
pub mod links;
pub mod members;
pub mod requests;

use std::rc::Rc;

use glenfall_control_plane::messages::ProcessId;

use self::connections::PeerConnections;
use self::links::PeerLinks;
use self::members::PeerMembers;
use self::requests::PeerRequests;
use crate::settings::Settings;

/// Links, connections, requests and members of all peers. Clones share the same state.
#[derive(Clone)]
pub struct Peers {
    /// The state of the link to each peer.
    pub links: Rc<PeerLinks>,
    /// The tasks that keep the connections open.
    pub connections: Rc<PeerConnections>,
    /// Requests to several peers.
    pub requests: Rc<PeerRequests>,
    /// The members whose sessions are at peers.
    pub members: Rc<PeerMembers>,
}

impl Peers {
    /// Starts without peers. `local` identifies this process.
    pub fn new(settings: Rc<Settings>, local: ProcessId) -> Self {
        let links = Rc::new(PeerLinks::new(local));
        Peers {
            connections: Rc::new(PeerConnections::new(settings, Rc::clone(&links))),
            requests: Rc::new(PeerRequests::new(Rc::clone(&links))),
            members: Rc::default(),
            links,
        }
    }
}
