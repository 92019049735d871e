//! A fleet of any size in one process: the same state machines and decisions as in the system's processes, without
//! sockets, under virtual time. It shows what grows with the number of edges: the traffic of control, how edges choose
//! servers, and what reaches an origin under its rate limit.

mod control_traffic;
mod plan;
mod reads;
mod report;
mod writes;

pub use plan::{FleetPlan, InvalidFleetPlan, ReadPlan, WritePlan};
pub use report::{FleetReport, SizeReport};

/// Runs all sizes, each in a thread of its own.
///
/// # Errors
///
/// Returns an error where a thread panicked.
pub fn run(plan: &FleetPlan) -> std::io::Result<FleetReport> {
    let sizes = std::thread::scope(|scope| {
        let threads: Vec<_> =
            plan.sizes.iter().map(|edges| scope.spawn(move || run_size(plan, *edges))).collect();
        let panicked = |_| std::io::Error::other("a size could not be played");
        threads.into_iter().map(|thread| thread.join().map_err(panicked)).collect::<Result<_, _>>()
    });
    Ok(FleetReport { sizes: sizes? })
}

fn run_size(plan: &FleetPlan, edges: u32) -> SizeReport {
    SizeReport {
        edges,
        servers: plan.servers(edges),
        control_traffic: control_traffic::run(plan, edges),
        writes: writes::run(plan, edges),
        reads: reads::run(plan, edges),
    }
}
