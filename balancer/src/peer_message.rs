//! Messages between nodes about servers that one of them found failing or overloaded.

use crate::interface::ServerId;

/// First byte of a message that a server is overloaded; its name follows. A message that a server fails is
/// its name alone.
const OVERLOADED_TAG: u8 = b'~';

/// What one node tells the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerMessage {
    /// The server gave no answer, or failed.
    Failing(ServerId),
    /// The server holds more than it can answer in time.
    Overloaded(ServerId),
}

impl PeerMessage {
    /// The bytes that are sent.
    pub fn encode(&self) -> Vec<u8> {
        match self {
            PeerMessage::Failing(server) => server.0.as_bytes().to_vec(),
            PeerMessage::Overloaded(server) => {
                std::iter::once(OVERLOADED_TAG).chain(server.0.bytes()).collect()
            }
        }
    }

    /// Reads a message; `None` if its server's name is not UTF-8.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (name, message): (&[u8], fn(ServerId) -> Self) = match bytes {
            [OVERLOADED_TAG, name @ ..] => (name, PeerMessage::Overloaded),
            name => (name, PeerMessage::Failing),
        };
        let name = std::str::from_utf8(name).ok()?;
        Some(message(ServerId(name.into())))
    }
}
