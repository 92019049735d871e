//! The operator commands: validation of files, and calls to control.

mod check;
pub(crate) mod config;
mod control_client;
pub(crate) mod core;
pub(crate) mod declared;
mod error;
pub(crate) mod purge;
pub(crate) mod state;
mod status;

pub use self::check::check;
pub use self::control_client::{call_control, ControlAddresses, MAX_RESPONSE_BYTES};
pub use self::error::{InvalidFile, OperatorError};
pub use self::status::status;
