//! Datagrams between nodes. They may be lost, so nothing depends on the arrival of one.

use std::net::SocketAddr;

use tokio::net::UdpSocket;

use crate::config::Config;

/// Largest message between nodes, in bytes.
const MAX_MESSAGE_BYTES: usize = 256;

/// A message from another node.
pub struct Datagram {
    /// The number of the sending node.
    pub from: u32,
    /// The content.
    pub bytes: Vec<u8>,
}

/// The socket on which this node exchanges messages with its peers.
pub struct PeerSocket {
    socket: UdpSocket,
    own_addr: SocketAddr,
    /// Addresses by node number, including this node's.
    peers: Vec<SocketAddr>,
    /// An address that reaches every node at once, where there is one.
    broadcast_addr: Option<SocketAddr>,
}

impl PeerSocket {
    /// Opens the socket; `None` if the configuration does not let nodes exchange messages.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn bind(config: &Config) -> std::io::Result<Option<Self>> {
        let Some(listen) = config.peer_listen.filter(|_| config.settings.limits.peer_messages) else {
            return Ok(None);
        };
        let socket = UdpSocket::bind(listen).await?;
        let own_addr = socket.local_addr()?;
        let peers = config.peers.clone();
        Ok(Some(PeerSocket { socket, own_addr, peers, broadcast_addr: config.broadcast_addr }))
    }

    /// Sends to all other nodes. A datagram that the socket does not accept at once is dropped, as the network
    /// may do too.
    pub fn broadcast(&self, bytes: &[u8]) {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return;
        }
        let receivers = match &self.broadcast_addr {
            Some(addr) => std::slice::from_ref(addr),
            None => &self.peers,
        };
        for addr in receivers.iter().filter(|addr| **addr != self.own_addr) {
            let _ = self.socket.try_send_to(bytes, *addr);
        }
    }

    /// Waits for the next message from another node. Datagrams from unknown senders or above `MAX_MESSAGE_BYTES`
    /// are dropped.
    pub async fn receive(&self) -> Datagram {
        let mut buffer = [0; MAX_MESSAGE_BYTES + 1];
        loop {
            // An error here means that an earlier datagram was not delivered.
            let Ok((length, sender)) = self.socket.recv_from(&mut buffer).await else {
                tokio::task::yield_now().await;
                continue;
            };
            // A broadcast also reaches this node itself, and must not count as the observation of a second
            // node.
            if sender == self.own_addr {
                continue;
            }
            let Some(from) = self.peers.iter().position(|peer| *peer == sender) else { continue };
            if length <= MAX_MESSAGE_BYTES {
                return Datagram { from: from as u32, bytes: buffer[..length].to_vec() };
            }
        }
    }
}
