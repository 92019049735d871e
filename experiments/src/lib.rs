//! An emulator of the systems that glenfall serves, with a load generator: experiments on loopback from a plan, and
//! reports of them. It measures this machine along with the system; a violated guarantee is a fault of the system.

mod cli;
mod error;
mod experiment;
pub mod fleet;
mod hollow;
pub mod ledger;
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
