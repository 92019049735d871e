//! Parses the JSON settings of the balancer. The adapter and the node share this parser, so that both run the
//! balancer with the same settings.

mod fields;
mod load_report;
mod names;
mod settings;

pub use fields::ParseError;
pub use load_report::parse_load_report;
pub use names::Names;
pub use settings::parse;
