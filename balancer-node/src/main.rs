//! The `glenfall-node` program, a thin wrapper of the library.

use std::process::ExitCode;

fn main() -> ExitCode {
    glenfall_balancer_node::main()
}
