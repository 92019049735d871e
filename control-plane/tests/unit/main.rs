//! Unit tests of the modules through their public interfaces.

mod config;
mod fleet;
mod invariant;
mod peers;
mod purge_history;
mod rate_limit;
mod registry;
mod retry_budget;
mod settings;
mod subset;
mod voters;
