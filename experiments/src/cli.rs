//! The command line of `glenfall-lab`.

use std::future::Future;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use serde::Serialize;
use tokio::task::LocalSet;

use crate::error::{FileError, LabError};
use crate::fleet::FleetPlan;
use crate::hollow::HollowOptions;
use crate::plan::Plan;
use crate::processor::ProcessorOptions;
use crate::report::Report;
use crate::schedules::ScheduleOptions;
use crate::soak::SoakOptions;
use crate::{experiment, fleet, hollow, plot, processor, schedules, soak};

#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run the experiment of a plan; write report.json, report.md and answers.svg
    Run {
        plan: PathBuf,
        /// Folder for the report, created if missing
        #[arg(long)]
        out: PathBuf,
        /// Path of the program under test; by default, `glenfall` in the folder of this program
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Simulate fleets of several sizes without sockets; write fleet.json, fleet.md and fleet.svg
    Fleet {
        plan: PathBuf,
        /// Folder for the report, created if missing
        #[arg(long)]
        out: PathBuf,
    },
    /// Simulate random schedules of the replicated chain without sockets or disks; print those that violate an invariant
    Schedules(ScheduleOptions),
    /// Run the system's processes under random faults; print the seeds that violate an invariant
    Soak(SoakOptions),
    /// Connect many hollow nodes, which serve no traffic, to real control processes; write hollow.json, hollow.csv,
    /// hollow.md and plots
    Hollow {
        #[command(flatten)]
        options: HollowOptions,
        /// Folder for the report, created if missing
        #[arg(long)]
        out: PathBuf,
        /// Path of the program under test; by default, `glenfall` in the folder of this program
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Measure wake-ups, system calls and kilobytes of one request of each kind and of idle processes; write
    /// processor.json and processor.md
    Processor {
        #[command(flatten)]
        options: ProcessorOptions,
        /// Folder for the report, created if missing
        #[arg(long)]
        out: PathBuf,
        /// Path of the program under test; by default, `glenfall` in the folder of this program
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Validate a plan; print the first error with its field or line
    Check { plan: PathBuf },
    /// Print the differences between two reports (report.json), by class
    Compare { before: PathBuf, after: PathBuf },
}

/// Parses the arguments of the process and runs the command. Fails on an error, or if the command found a fault of the
/// system.
pub fn main() -> ExitCode {
    match run(Arguments::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("glenfall-lab: {}", error.to_string().replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}

/// Runs a command. Returns false if it found a fault of the system, such as a violated guarantee.
fn run(command: Command) -> Result<bool, LabError> {
    match command {
        Command::Run { plan, out, program } => run_experiment(&plan, &out, program),
        Command::Fleet { plan, out } => run_fleet(&plan, &out),
        Command::Schedules(options) => schedules::run(&options),
        Command::Soak(options) => {
            let program = program_path(options.program.clone())?;
            soak::run(&options, &program)
        }
        Command::Hollow { options, out, program } => run_hollow(&options, &out, program),
        Command::Processor { options, out, program } => run_processor(&options, &out, program),
        Command::Check { plan } => check(&plan),
        Command::Compare { before, after } => {
            print!("{}", read_report(&after)?.comparison_with(&read_report(&before)?));
            Ok(true)
        }
    }
}

fn run_experiment(plan: &Path, out: &Path, program: Option<PathBuf>) -> Result<bool, LabError> {
    let plan = Plan::load(plan)?;
    let report = block_on(experiment::run(&plan, &program_path(program)?))?;
    write_report(out, "report", &report, &report.markdown())?;
    plot::draw_outcomes(&report, &out.join("answers.svg"))?;
    print!("{}", report.markdown());
    Ok(!report.has_violations())
}

fn run_fleet(plan: &Path, out: &Path) -> Result<bool, LabError> {
    let report = fleet::run(&FleetPlan::load(plan)?)?;
    write_report(out, "fleet", &report, &report.markdown())?;
    report.draw(&out.join("fleet.svg"))?;
    print!("{}", report.markdown());
    Ok(true)
}

fn run_hollow(options: &HollowOptions, out: &Path, program: Option<PathBuf>) -> Result<bool, LabError> {
    let report = block_on(hollow::run(options, &program_path(program)?))?;
    write_report(out, "hollow", &report, &report.markdown())?;
    std::fs::write(out.join("hollow.csv"), report.csv())?;
    report.draw(out)?;
    print!("{}", report.markdown());
    Ok(report.all_connected())
}

fn run_processor(options: &ProcessorOptions, out: &Path, program: Option<PathBuf>) -> Result<bool, LabError> {
    let report = block_on(processor::run(options, &program_path(program)?))?;
    write_report(out, "processor", &report, &report.markdown())?;
    print!("{}", report.markdown());
    Ok(true)
}

fn check(plan: &Path) -> Result<bool, LabError> {
    let plan = Plan::load(plan)?;
    let (services, classes) = (plan.services.len(), plan.classes.len());
    println!("{services} services, {classes} classes, {} s", plan.seconds);
    Ok(true)
}

fn block_on<T>(task: impl Future<Output = Result<T, LabError>>) -> Result<T, LabError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, task)
}

/// Writes a report as JSON and as Markdown into a folder, which is created if missing.
fn write_report(out: &Path, name: &str, report: &impl Serialize, markdown: &str) -> Result<(), LabError> {
    std::fs::create_dir_all(out)?;
    std::fs::write(out.join(format!("{name}.json")), serde_json::to_string_pretty(report)?)?;
    std::fs::write(out.join(format!("{name}.md")), markdown)?;
    Ok(())
}

/// Returns the path of the program under test: the given one, or `glenfall` in the folder of this program.
fn program_path(program: Option<PathBuf>) -> std::io::Result<PathBuf> {
    match program {
        Some(program) => Ok(program),
        None => Ok(std::env::current_exe()?.with_file_name("glenfall")),
    }
}

fn read_report(path: &Path) -> Result<Report, LabError> {
    let bytes = std::fs::read(path).map_err(|error| FileError::new(path, error))?;
    Ok(serde_json::from_slice(&bytes).map_err(|error| FileError::new(path, error))?)
}
