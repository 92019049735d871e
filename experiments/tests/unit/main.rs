//! Tests of plans, reports and simulations, which start no processes.

mod fleet;
mod ledger;
mod plan;
mod report;
