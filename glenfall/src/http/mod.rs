//! HTTP as the system speaks it, for servers and clients of it alike: header names, responses typed by their source, and
//! why a request failed.

pub mod failure;
pub mod headers;
pub mod response;
pub mod send_budget;
