//! The node's log on standard error.

use std::fmt;
use std::io::Write;

/// Writes one line. Unlike `eprintln!`, this does not panic if standard error is closed.
pub fn log(line: fmt::Arguments<'_>) {
    let _ = writeln!(std::io::stderr(), "{line}");
}
