//! A control node must ignore a peer's acknowledgement of another request, or of a request that its process sent before
//! a restart.

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

/// Short enough that no control node considers this peer lost.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(200);

fn send_frame(stream: &Mutex<TcpStream>, message: &impl Serialize) -> Option<()> {
    let payload = postcard::to_stdvec(message).unwrap();
    let frame = [&(payload.len() as u32).to_le_bytes()[..], &payload].concat();
    stream.lock().unwrap().write_all(&frame).ok()
}

fn receive_frame<T: DeserializeOwned>(stream: &mut TcpStream) -> Option<T> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    let mut payload = vec![0; u32::from_le_bytes(length) as usize];
    stream.read_exact(&mut payload).ok()?;
    Some(postcard::from_bytes(&payload).expect("a valid frame"))
}

fn send_keep_alives(stream: &Arc<Mutex<TcpStream>>) {
    let stream = Arc::clone(stream);
    thread::spawn(move || {
        while send_frame(&stream, &PeerMessage::KeepAlive).is_some() {
            thread::sleep(KEEP_ALIVE_INTERVAL);
        }
    });
}

/// Accepts connections as a peer on the edge's machine. The channel gets the sender and the id of each purge request.
fn start_peer(addr: SocketAddrV4) -> Receiver<(Ipv4Addr, CallId)> {
    let listener = TcpListener::bind(addr).unwrap();
    let (sender, purge_requests) = channel();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let sender = sender.clone();
            send_keep_alives(&Arc::new(Mutex::new(stream.try_clone().unwrap())));
            thread::spawn(move || {
                let Some(ConnectionOpening::Peer { ip, .. }) = receive_frame(&mut stream) else { return };
                while let Some(message) = receive_frame::<PeerMessage>(&mut stream) {
                    if let PeerMessage::Purges { id: Some(id), .. } = message {
                        let _ = sender.send((ip, id));
                    }
                }
            });
        }
    });
    purge_requests
}

#[test]
fn an_acknowledgement_for_an_earlier_process_or_another_request_is_ignored() {
    let system = System::start(&["control"], &[]);
    system.wait_for_chain(&[1, 2, 3], 3);
    // Control nodes accept peers at the base port, three below the port of their API.
    let peer_addr =
        |machine| SocketAddrV4::new(*system.control_addr(machine).ip(), system.control_addr(1).port() - 3);
    let purge_requests = start_peer(peer_addr(EDGE_MACHINE));
    let stream = TcpStream::connect(peer_addr(1)).unwrap();
    let mut reader = stream.try_clone().unwrap();
    thread::spawn(move || while receive_frame::<PeerMessage>(&mut reader).is_some() {});
    let stream = Arc::new(Mutex::new(stream));
    send_frame(
        &stream,
        &ConnectionOpening::Peer {
            ip: *peer_addr(EDGE_MACHINE).ip(),
            incarnation: 9,
            known_peers: Vec::new(),
        },
    )
    .unwrap();
    send_keep_alives(&stream);
    // Sends a purge, which the peer acknowledges with a changed id; returns the original id and the status of the purge.
    let purge_status = |change_id: fn(CallId) -> CallId| {
        while purge_requests.try_recv().is_ok() {}
        thread::scope(|scope| {
            let purge = scope.spawn(|| {
                request(system.control_addr(1), "POST /api/purge", "Host: c\r\n", r#"{"label": "x"}"#)
            });
            let id = purge_requests.recv_timeout(Duration::from_secs(10)).ok().map(|(_, id)| id);
            id.and_then(|id| {
                send_frame(&stream, &PeerMessage::Acknowledged { id: change_id(id), complete: true })
            });
            (id, purge.join().unwrap().map(|response| response.0))
        })
    };
    wait_until("a purge is acknowledged once the peer has acknowledged it", || {
        purge_status(|id| id).1 == Some(200)
    });
    let (id, status) = purge_status(|id| CallId { incarnation: id.incarnation ^ 1, ..id });
    assert!(id.is_some() && status != Some(200), "id with another incarnation: {id:?}, {status:?}");
    let (id, status) = purge_status(|id| CallId { number: id.number + 1, ..id });
    assert!(id.is_some() && status != Some(200), "id with another number: {id:?}, {status:?}");
    wait_until("a purge is acknowledged with an unchanged id again", || purge_status(|id| id).1 == Some(200));
}
