//! The agent on the machine of an edge: keeps a session with control and relays its updates to the edge over loopback.
//!
//! It keeps the configuration and the fleet, so that an edge that restarts has them at once, also during an outage of
//! control.

mod control_link;
mod known_state;
mod proxy_listener;
mod relay;

use std::io;
use std::rc::Rc;

use tokio::net::TcpListener;

use crate::settings::Settings;
use control_link::ControlLink;
use relay::Relay;

/// Runs the agent for as long as the process runs. Fails if its address can't be bound.
pub async fn run(settings: Rc<Settings>) -> io::Result<()> {
    let listener = TcpListener::bind(settings.watch_address()).await?;
    let relay = Rc::new(Relay::new(settings));
    let mut control_link = ControlLink::new(&relay);
    tokio::join!(proxy_listener::accept(&relay, listener), control_link.run());
    Ok(())
}
