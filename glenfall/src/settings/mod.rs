//! The settings file that a process starts with.
//!
//! The names and defaults of the fields are an interface to operators; see `docs/operate.md`.

mod addresses;
mod bounds;
mod derived;
mod error;
mod file;
mod model;
mod port_range;
mod validation;

pub use error::{InvalidSettings, Position, SettingsError};
pub use model::{Listeners, ProcessLimits, Settings, Survive, Timing, SETTINGS_VARIABLE};
pub use port_range::PortRange;
