//! The program `glenfall`. Its code is in the library, so that tests can call it.

use std::process::ExitCode;

fn main() -> ExitCode {
    glenfall::main()
}
