//! Plans, reports and simulations that need no processes.

mod fleet;
mod ledger;
mod plan;
mod report;
