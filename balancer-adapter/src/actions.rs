//! Encodes the balancer's actions as lines of the text protocol.

use std::fmt::{Error, Write};

use glenfall_balancer::{Action, Seconds};

/// Writes one action of a node as a line.
pub fn write_action(node: u64, action: &Action, out: &mut String) {
    // Writing to a string does not fail.
    let _ = try_write_action(node, action, out);
}

fn try_write_action(node: u64, action: &Action, out: &mut String) -> Result<(), Error> {
    match action {
        Action::Send { request, server, timeout } => {
            writeln!(out, "hand_off {node} {} {} {}", request.0, optional_time(*timeout), server.0)
        }
        Action::Cancel { request, attempt } => writeln!(out, "call_off {node} {} {}", request.0, attempt.0),
        Action::Refuse { request, retry_after } => {
            writeln!(out, "busy {node} {} {}", request.0, optional_time(*retry_after))
        }
        Action::Fail(request) => writeln!(out, "respond_error {node} {}", request.0),
        Action::SetTimer { token, after } => writeln!(out, "set_timer {node} {} {}", token.0, time(*after)),
        Action::HealthCheck(server) => writeln!(out, "sample {node} {}", server.0),
        Action::CloseIdle(server) => writeln!(out, "close_idle {node} {}", server.0),
        Action::NotifyPeers(bytes) => writeln!(out, "write_peer {node} -1 {}", hex(bytes)),
        Action::Subscribe => writeln!(out, "keep_informed {node} 1"),
        Action::FetchRoster => writeln!(out, "reload {node}"),
        Action::Log(text) => writeln!(out, "journal_line {node} {text}"),
    }
}

fn time(time: Seconds) -> String {
    format!("{time:.6}")
}

fn optional_time(optional: Option<Seconds>) -> String {
    optional.map_or("-".to_owned(), time)
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
