//! The command line of the program.

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
    /// Run a plan, and write report.json, report.md and answers.svg
    Run {
        plan: PathBuf,
        /// Folder of the report; it is made
        #[arg(long)]
        out: PathBuf,
        /// The program under test; the one beside this one if not given
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Run the machines' decisions for fleets of many sizes, without sockets; write fleet.json, fleet.md, fleet.svg
    Fleet {
        plan: PathBuf,
        /// Folder of the report; it is made
        #[arg(long)]
        out: PathBuf,
    },
    /// Run random schedules of the replicated chain, without sockets or disks, and name those in which an invariant is violated
    Schedules(ScheduleOptions),
    /// Run the system's processes under random faults, and name the seeds in which an invariant is violated
    Soak(SoakOptions),
    /// Hold sessions of many hollow nodes at real control processes; write hollow.json, hollow.csv, hollow.md and plots
    Hollow {
        #[command(flatten)]
        options: HollowOptions,
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
        options: ProcessorOptions,
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

/// Runs the program with the arguments of the process.
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

/// Runs a command; false where the system violated a guarantee.
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
            print!("{}", read_report(&after)?.compared(&read_report(&before)?));
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
    Ok(report.all_in_contact())
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

/// Writes a report as JSON and as Markdown into a folder, which is made.
fn write_report(out: &Path, name: &str, report: &impl Serialize, markdown: &str) -> Result<(), LabError> {
    std::fs::create_dir_all(out)?;
    std::fs::write(out.join(format!("{name}.json")), serde_json::to_string_pretty(report)?)?;
    std::fs::write(out.join(format!("{name}.md")), markdown)?;
    Ok(())
}

/// Returns the program under test: the one that is named, or the one beside this one.
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
