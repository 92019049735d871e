//! The program `glenfall`; its code is in the library, where tests reach it.

use std::process::ExitCode;

fn main() -> ExitCode {
    glenfall::main()
}
