//! Tests of plans, reports and simulations, which start no processes.

mod execution_log;
mod fleet;
mod plan;
mod report;
