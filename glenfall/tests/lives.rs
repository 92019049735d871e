//! A control node that has started again, and a peer that still answers what its last process asked.

mod common;

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use common::{request, wait_until, System, EDGE_MACHINE};
use glenfall_control_plane::messages::{CallId, ConnectionOpening, PeerMessage};
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Often enough for nobody to take this peer for lost.
const ALIVE: Duration = Duration::from_millis(200);

fn say(stream: &Mutex<TcpStream>, message: &impl Serialize) -> Option<()> {
    let text = postcard::to_stdvec(message).unwrap();
    let frame = [&(text.len() as u32).to_le_bytes()[..], &text].concat();
    stream.lock().unwrap().write_all(&frame).ok()
}

fn hear<T: DeserializeOwned>(stream: &mut TcpStream) -> Option<T> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    let mut text = vec![0; u32::from_le_bytes(length) as usize];
    stream.read_exact(&mut text).ok()?;
    Some(postcard::from_bytes(&text).expect("a message of the system"))
}

fn keep_alive(stream: &Arc<Mutex<TcpStream>>) {
    let stream = Arc::clone(stream);
    thread::spawn(move || {
        while say(&stream, &PeerMessage::KeepAlive).is_some() {
            thread::sleep(ALIVE);
        }
    });
}

/// A peer of the test's own on the edge's machine: what it is asked comes out of the channel.
fn listen(at: SocketAddrV4) -> Receiver<(Ipv4Addr, CallId)> {
    let listener = TcpListener::bind(at).unwrap();
    let (tell, asked) = channel();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let tell = tell.clone();
            keep_alive(&Arc::new(Mutex::new(stream.try_clone().unwrap())));
            thread::spawn(move || {
                let Some(ConnectionOpening::Peer { ip, .. }) = hear(&mut stream) else { return };
                while let Some(message) = hear::<PeerMessage>(&mut stream) {
                    if let PeerMessage::Purges { id: Some(id), .. } = message {
                        let _ = tell.send((ip, id));
                    }
                }
            });
        }
    });
    asked
}

#[test]
fn what_a_peer_owes_the_last_process_acknowledges_nothing_in_this_one() {
    let core = System::start(&["control"], &[]);
    core.wait_for_chain(&[1, 2, 3], 3);
    let link = |n| SocketAddrV4::new(*core.control_addr(n).ip(), core.control_addr(1).port() - 3);
    let asked = listen(link(EDGE_MACHINE));
    let stream = TcpStream::connect(link(1)).unwrap();
    let mut reader = stream.try_clone().unwrap();
    thread::spawn(move || while hear::<PeerMessage>(&mut reader).is_some() {});
    let stream = Arc::new(Mutex::new(stream));
    say(
        &stream,
        &ConnectionOpening::Peer { ip: *link(EDGE_MACHINE).ip(), incarnation: 9, known_peers: Vec::new() },
    )
    .unwrap();
    keep_alive(&stream);
    // Whether a purge is acknowledged where the peer answers so.
    let purged = |change: fn(CallId) -> CallId| {
        while asked.try_recv().is_ok() {}
        thread::scope(|scope| {
            let told = scope.spawn(|| {
                request(core.control_addr(1), "POST /api/purge", "Host: c\r\n", r#"{"label": "x"}"#)
            });
            let id = asked.recv_timeout(Duration::from_secs(10)).ok().map(|(_, id)| id);
            id.and_then(|id| say(&stream, &PeerMessage::Acknowledged { id: change(id), complete: true }));
            (id, told.join().unwrap().map(|heard| heard.0))
        })
    };
    wait_until("the peer is asked, and its answer acknowledges", || purged(|id| id).1 == Some(200));
    let (id, told) = purged(|id| CallId { incarnation: id.incarnation ^ 1, ..id });
    assert!(id.is_some() && told != Some(200), "the same number in another life: {id:?}, {told:?}");
    let (id, told) = purged(|id| CallId { number: id.number + 1, ..id });
    assert!(id.is_some() && told != Some(200), "another number in this life: {id:?}, {told:?}");
    wait_until("its own answer still acknowledges", || purged(|id| id).1 == Some(200));
}
