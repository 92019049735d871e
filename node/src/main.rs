//! The program; all of it is in the library beside.

use std::process::ExitCode;

fn main() -> ExitCode {
    tackstage::main()
}
