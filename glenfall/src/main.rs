//! The program; what it does is in the library.

use std::process::ExitCode;

fn main() -> ExitCode {
    glenfall::main()
}
