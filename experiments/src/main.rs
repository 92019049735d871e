//! Entry point of `glenfall-lab`; see the library for its commands.

use std::process::ExitCode;

fn main() -> ExitCode {
    glenfall_experiments::main()
}
