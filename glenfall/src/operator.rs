//! The operator's side: verbs that talk to control, configuration under version control, and the demo.

pub mod declare;
pub mod demo;
pub mod local_system;
pub mod verbs;
