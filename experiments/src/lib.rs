//! An emulator of the systems that glenfall serves, with a load tool: experiments on loopback from a plan, and
//! reports of them. It measures this machine along with the system; what it finds broken is broken.

mod experiment;
pub mod fleet;
mod hollow;
pub mod ledger;
mod load;
mod origin;
pub mod plan;
mod plot;
mod processor;
pub mod report;
mod schedules;
mod soak;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use tokio::task::LocalSet;

use plan::Plan;
use report::Report;

/// Host of all routes.
pub const HOST: &str = "lab.example";

#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play a plan, and write report.json, report.md and answers.svg
    Run {
        plan: PathBuf,
        /// Folder of the report; it is made
        #[arg(long)]
        out: PathBuf,
        /// The program under test; the one beside this one if not given
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Play the machines' decisions for fleets of many sizes, without sockets; write fleet.json, fleet.md, fleet.svg
    Fleet {
        plan: PathBuf,
        /// Folder of the report; it is made
        #[arg(long)]
        out: PathBuf,
    },
    /// Play random schedules of the core's chain, without sockets or disks, and name those in which a promise is broken
    Schedules(schedules::Wanted),
    /// Run the system's processes under random troubles, and name the seeds in which a promise is broken
    Soak(soak::SoakPlan),
    /// Hold sessions of many hollow nodes at real control processes; write hollow.json, hollow.csv, hollow.md and plots
    Hollow {
        #[command(flatten)]
        plan: hollow::HollowPlan,
        /// Folder of the report; it is made
        #[arg(long)]
        out: PathBuf,
        /// The program under test; the one beside this one if not given
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Count wake-ups, system calls and kilobytes for one request of each kind and for idle processes; write
    /// processor.json and processor.md
    Processor {
        #[command(flatten)]
        plan: processor::ProcessorPlan,
        /// Folder of the report; it is made
        #[arg(long)]
        out: PathBuf,
        /// The program under test; the one beside this one if not given
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Check a plan, and name the place of a mistake
    Check { plan: PathBuf },
    /// Set two reports (report.json) side by side
    Compare { before: PathBuf, after: PathBuf },
}

type Failure = Box<dyn std::error::Error>;

/// Runs the program with the arguments of the process.
pub fn main() -> ExitCode {
    match start(Arguments::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(what) => {
            eprintln!("glenfall-lab: {}", what.to_string().replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}

/// False where a promise was broken.
fn start(command: Command) -> Result<bool, Failure> {
    match command {
        Command::Run { plan, out, program } => {
            let plan = Plan::load(&plan)?;
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            let report = LocalSet::new().block_on(&runtime, experiment::run(&plan, &beside(program)?))?;
            std::fs::create_dir_all(&out)?;
            std::fs::write(out.join("report.json"), serde_json::to_string_pretty(&report)?)?;
            std::fs::write(out.join("report.md"), report.markdown())?;
            plot::draw(&report, &out.join("answers.svg"))?;
            print!("{}", report.markdown());
            Ok(!report.any_broken())
        }
        Command::Fleet { plan, out } => {
            let report = fleet::play(&fleet::FleetPlan::load(&plan)?)?;
            std::fs::create_dir_all(&out)?;
            std::fs::write(out.join("fleet.json"), serde_json::to_string_pretty(&report)?)?;
            std::fs::write(out.join("fleet.md"), report.markdown())?;
            report.draw(&out.join("fleet.svg"))?;
            print!("{}", report.markdown());
            Ok(true)
        }
        Command::Schedules(wanted) => schedules::play(&wanted),
        Command::Soak(plan) => {
            let program = beside(plan.program.clone())?;
            soak::run(&plan, &program)
        }
        Command::Hollow { plan, out, program } => {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            let report = LocalSet::new().block_on(&runtime, hollow::play(&plan, &beside(program)?))?;
            std::fs::create_dir_all(&out)?;
            std::fs::write(out.join("hollow.json"), serde_json::to_string_pretty(&report)?)?;
            std::fs::write(out.join("hollow.csv"), report.csv())?;
            std::fs::write(out.join("hollow.md"), report.markdown())?;
            report.draw(&out)?;
            print!("{}", report.markdown());
            Ok(report.all_in_touch())
        }
        Command::Processor { plan, out, program } => {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            let report = LocalSet::new().block_on(&runtime, processor::play(&plan, &beside(program)?))?;
            std::fs::create_dir_all(&out)?;
            std::fs::write(out.join("processor.json"), serde_json::to_string_pretty(&report)?)?;
            std::fs::write(out.join("processor.md"), report.markdown())?;
            print!("{}", report.markdown());
            Ok(true)
        }
        Command::Check { plan } => {
            let plan = Plan::load(&plan)?;
            let (services, classes) = (plan.services.len(), plan.classes.len());
            println!("{services} services, {classes} classes, {} s", plan.seconds);
            Ok(true)
        }
        Command::Compare { before, after } => {
            print!("{}", read(&after)?.compared(&read(&before)?));
            Ok(true)
        }
    }
}

/// The program under test.
fn beside(program: Option<PathBuf>) -> std::io::Result<PathBuf> {
    match program {
        Some(program) => Ok(program),
        None => Ok(std::env::current_exe()?.with_file_name("glenfall")),
    }
}

fn read(path: &Path) -> Result<Report, Failure> {
    let wrong = |what: &dyn std::fmt::Display| format!("{}: {what}", path.display());
    let bytes = std::fs::read(path).map_err(|e| wrong(&e))?;
    Ok(serde_json::from_slice(&bytes).map_err(|e| wrong(&e))?)
}
