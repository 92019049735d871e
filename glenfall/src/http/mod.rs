//! HTTP between the processes of the system and with their clients: header names, responses typed by their source, the
//! send budget of requests, and the causes of failures.

pub mod failure;
pub mod headers;
pub mod response;
pub mod send_budget;
