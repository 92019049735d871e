//! Experiments with glenfall on loopback: emulated origin servers, a load generator, fault injection, simulations and
//! reports. Measured times depend on the machine; a violated guarantee is always a fault of the system.

mod cli;
mod error;
pub mod execution_log;
mod experiment;
pub mod fleet;
mod hollow;
mod load;
mod origin;
pub mod plan;
mod plot;
mod processor;
pub mod report;
mod schedules;
mod soak;
mod status;

pub use cli::main;
