//! The stand-ins of the review's scripts: `stand-in CASE FOLDER` runs one case and writes `record.txt` to the folder.

mod harness;
mod late_beat;
mod crash;
mod drain;
mod early;
mod memory;
mod surplus;

use std::path::PathBuf;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        harness::cannot_run("stand-in CASE FOLDER");
    };
    let folder = PathBuf::from(folder);
    // No case takes longer, unless the machine is so busy that the system does not come up.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(115));
        harness::cannot_run("not over after 115 s");
    });
    let is_broken = match case.as_str() {
        "late-beat" => late_beat::run(&folder),
        "memory" => memory::run(&folder),
        "crash" => crash::run(&folder),
        "drain" => drain::run(&folder),
        "early" => early::run(&folder),
        "surplus" => surplus::run(&folder),
        _ => harness::cannot_run("no such case"),
    };
    std::process::exit(i32::from(is_broken));
}
