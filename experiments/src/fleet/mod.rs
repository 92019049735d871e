//! Simulates a fleet of any size in one process: the state machines and load-balancing decisions of the real processes,
//! without sockets, under virtual time. It measures what grows with the number of edges: control-plane traffic,
//! connections and load of servers, and the requests that reach a rate-limited origin.

mod control_traffic;
mod plan;
mod reads;
mod report;
mod writes;

pub use plan::{FleetPlan, InvalidFleetPlan, ReadPlan, WritePlan};
pub use report::{FleetReport, SizeReport};

/// Simulates all sizes of the plan in parallel, each in its own thread.
///
/// # Errors
///
/// Returns an error if a thread panics.
pub fn run(plan: &FleetPlan) -> std::io::Result<FleetReport> {
    let sizes = std::thread::scope(|scope| {
        let threads: Vec<_> =
            plan.sizes.iter().map(|edges| scope.spawn(move || run_size(plan, *edges))).collect();
        let panicked = |_| std::io::Error::other("a simulation thread panicked");
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
