//! The program; what it does is in the library.

#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    glenfall_node::main()
}
