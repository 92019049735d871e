//! Messages between nodes about failing and overloaded servers.

use crate::interface::ServerId;

/// First byte of an [`Overloaded`](PeerMessage::Overloaded) message, followed by the server's name. A
/// [`Failing`](PeerMessage::Failing) message consists of the name only.
const OVERLOADED_TAG: u8 = b'~';

/// A message from one node to all others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerMessage {
    /// The server failed or did not answer.
    Failing(ServerId),
    /// The server has more requests in progress than it can answer in time.
    Overloaded(ServerId),
}

impl PeerMessage {
    /// The message as sent on the wire.
    pub fn encode(&self) -> Vec<u8> {
        match self {
            PeerMessage::Failing(server) => server.0.as_bytes().to_vec(),
            PeerMessage::Overloaded(server) => {
                std::iter::once(OVERLOADED_TAG).chain(server.0.bytes()).collect()
            }
        }
    }

    /// Decodes a message; `None` if the server's name is not UTF-8.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (name, message): (&[u8], fn(ServerId) -> Self) = match bytes {
            [OVERLOADED_TAG, name @ ..] => (name, PeerMessage::Overloaded),
            name => (name, PeerMessage::Failing),
        };
        let name = std::str::from_utf8(name).ok()?;
        Some(message(ServerId(name.into())))
    }
}
