//! The program; what it does is in the library.

use std::process::ExitCode;

fn main() -> ExitCode {
    glenfall_balancer_node::main()
}
