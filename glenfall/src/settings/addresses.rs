//! The addresses that follow from the settings.

use std::net::{Ipv4Addr, SocketAddrV4};

use super::error::SettingsError;
use super::model::{Listeners, Settings, SETTINGS_VARIABLE};

/// Ports, counted from the first of the range, which is that of links between control nodes and from agents.
const SHIELD_PORT_OFFSET: u16 = 1;
/// The port at which agent and control publish to the proxy on their machine; the last that is used.
pub(super) const WATCH_PORT_OFFSET: u16 = 2;

impl Settings {
    /// A listener that a role needs.
    ///
    /// # Errors
    ///
    /// When it is not set; `name` is its name in the file.
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

    /// Where the control node on a machine accepts links; ports are the same on all machines.
    pub fn link_address(&self, machine: Ipv4Addr) -> SocketAddrV4 {
        SocketAddrV4::new(machine, self.port_range.first)
    }

    /// Where this machine's shield accepts reads, as other machines know it.
    pub fn shield_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.bind_ip, self.port_range.first + SHIELD_PORT_OFFSET)
    }

    /// The address to listen at for one of this machine that others know as `announced`.
    pub fn listen_address(&self, announced: SocketAddrV4) -> SocketAddrV4 {
        SocketAddrV4::new(self.listen_ip.unwrap_or(*announced.ip()), announced.port())
    }

    /// Where agent or control publishes to the proxy of this machine.
    pub fn watch_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.feed_ip, self.port_range.first + WATCH_PORT_OFFSET)
    }
}
