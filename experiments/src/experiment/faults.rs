//! Injects the faults of a plan into processes and servers.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use glenfall::operator::local_system::LocalSystem;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use tokio::time::{sleep_until, Instant};

use crate::origin::Origin;
use crate::plan::{FaultKind, PlannedFault};

/// Maximum time until a process exits after SIGTERM; it is restarted no earlier.
const TERMINATION_TIMEOUT: Duration = Duration::from_secs(8);

/// Injects a fault at its time, relative to `began_at`, and reverts it after its duration.
pub async fn inject(
    fault: PlannedFault,
    began_at: Instant,
    local: Rc<RefCell<LocalSystem>>,
    origins: Vec<Rc<Origin>>,
) {
    sleep_until(began_at + Duration::from_secs_f64(fault.at)).await;
    let ends_at = began_at + Duration::from_secs_f64(fault.at + fault.duration_s);
    let will_restart = fault.duration_s > 0.0;
    match &fault.kind {
        FaultKind::Kill { node, role } => {
            signal(&local, node, role.as_deref(), Signal::SIGKILL);
            if will_restart {
                sleep_until(ends_at).await;
                restart(&local, node);
            }
        }
        FaultKind::Terminate { node, role } => {
            signal(&local, node, role.as_deref(), Signal::SIGTERM);
            if will_restart {
                sleep_until(ends_at.max(Instant::now() + TERMINATION_TIMEOUT)).await;
                restart(&local, node);
            }
        }
        FaultKind::Pause { node, role } => {
            signal(&local, node, role.as_deref(), Signal::SIGSTOP);
            sleep_until(ends_at).await;
            signal(&local, node, role.as_deref(), Signal::SIGCONT);
        }
        FaultKind::Slow { service, count, factor } => {
            let slow = healthy_origins(&origins, service, *count);
            slow.iter().for_each(|origin| origin.set_slowdown(*factor));
            sleep_until(ends_at).await;
            slow.iter().for_each(|origin| origin.set_slowdown(1.0));
        }
        FaultKind::Drain { service, count } => {
            healthy_origins(&origins, service, *count).iter().for_each(|origin| origin.drain());
        }
        FaultKind::Crash { service, count } => {
            healthy_origins(&origins, service, *count).iter().for_each(|origin| origin.crash());
        }
    }
}

fn signal(local: &RefCell<LocalSystem>, node: &str, role: Option<&str>, signal: Signal) {
    for pid in local.borrow().pids(node, role) {
        // Fails if the process has already exited, which is fine.
        let _ = kill(Pid::from_raw(pid as i32), signal);
    }
}

fn restart(local: &RefCell<LocalSystem>, node: &str) {
    if let Err(error) = local.borrow_mut().restart_node(node) {
        eprintln!("{node}: restart failed: {error}");
    }
}

/// Returns up to `count` servers of a service that have no fault.
fn healthy_origins(origins: &[Rc<Origin>], service: &str, count: u8) -> Vec<Rc<Origin>> {
    let healthy = origins.iter().filter(|origin| origin.plan.name == service && origin.is_healthy());
    healthy.take(count.into()).cloned().collect()
}
