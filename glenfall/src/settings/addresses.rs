//! Addresses derived from the settings.

use std::net::{Ipv4Addr, SocketAddrV4};

use super::error::SettingsError;
use super::model::{Listeners, Settings, SETTINGS_VARIABLE};

/// Offset of the shield's port from the first port of the range. The first port accepts links of control nodes and
/// agents.
const SHIELD_PORT_OFFSET: u16 = 1;
/// Offset of the port on which agent and control publish to the proxy on their machine. It is the last port in use.
pub(super) const WATCH_PORT_OFFSET: u16 = 2;

impl Settings {
    /// The address of a listener that a role requires.
    ///
    /// # Errors
    ///
    /// When the listener is not set. `name` is its name in the settings file.
    pub fn require_listener(
        &self,
        name: &'static str,
        pick: impl Fn(&Listeners) -> Option<SocketAddrV4>,
    ) -> Result<SocketAddrV4, SettingsError> {
        pick(&self.listeners).ok_or_else(|| {
            let path = std::env::var(SETTINGS_VARIABLE).unwrap_or_default();
            SettingsError::MissingListener { path, name }
        })
    }

    /// The address on which the control node of a machine accepts links. Ports are the same on all machines.
    pub fn link_address(&self, machine: Ipv4Addr) -> SocketAddrV4 {
        SocketAddrV4::new(machine, self.port_range.first)
    }

    /// The announced address on which the shield of this machine accepts reads.
    pub fn shield_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.bind_ip, self.port_range.first + SHIELD_PORT_OFFSET)
    }

    /// The address to listen on for an address that this machine announces to others: with `listenIp` if that is set.
    pub fn listen_address(&self, announced: SocketAddrV4) -> SocketAddrV4 {
        SocketAddrV4::new(self.listen_ip.unwrap_or(*announced.ip()), announced.port())
    }

    /// The address on which agent or control publishes to the proxy of this machine.
    pub fn watch_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.feed_ip, self.port_range.first + WATCH_PORT_OFFSET)
    }
}
