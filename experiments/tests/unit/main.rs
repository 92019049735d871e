//! Plans, reports and what is worked out without processes.

mod fleet;
mod ledger;
mod plan;
mod report;
