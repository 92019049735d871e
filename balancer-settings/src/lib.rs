//! Reads the JSON settings of the balancer, for the adapter and the node alike: one reader, so that both run
//! the balancer with the same figures.

mod fields;
mod load_report;
mod names;
mod settings;

pub use fields::ParseError;
pub use load_report::parse_load_report;
pub use names::Names;
pub use settings::parse;
