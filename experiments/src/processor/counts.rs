//! What the kernel counts of a process: wake-ups and processor time from `/proc`, system calls from `strace`.

use std::collections::BTreeMap;
use std::fs::{read_dir, read_to_string};
use std::io;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use tokio::time::{sleep, Instant};

/// `strace` has attached to all threads by then.
const ATTACHED: Duration = Duration::from_secs(10);
/// Calls whose result is a number of bytes that the kernel has copied.
const COPYING: [&str; 10] =
    ["read", "write", "readv", "writev", "pread64", "pwrite64", "recvfrom", "sendto", "recvmsg", "sendmsg"];

/// Totals of a process since its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    /// Times that a thread gave up the processor to wait, and so has been or will be woken.
    pub wakeups: u64,
    pub processor_ns: u64,
}

/// Reads the totals of all threads of a process; nothing for one that is gone.
pub fn totals(pid: u32) -> Totals {
    let mut totals = Totals::default();
    for task in threads(pid) {
        let status = read_to_string(task.join("status")).unwrap_or_default();
        let waits = status.lines().find_map(|line| line.strip_prefix("voluntary_ctxt_switches:"));
        totals.wakeups += waits.and_then(|count| count.trim().parse::<u64>().ok()).unwrap_or(0);
        let scheduled = read_to_string(task.join("schedstat")).unwrap_or_default();
        let on_processor = scheduled.split_whitespace().next().and_then(|ns| ns.parse::<u64>().ok());
        totals.processor_ns += on_processor.unwrap_or(0);
    }
    totals
}

/// The threads of a process, as folders in `/proc`.
pub fn threads(pid: u32) -> Vec<PathBuf> {
    let tasks = read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten();
    tasks.map(|task| task.path()).collect()
}

/// System calls of a process while it was traced.
#[derive(Clone, Debug, Default)]
pub struct Calls {
    pub by_name: BTreeMap<String, u64>,
    pub bytes_copied: u64,
}

impl Calls {
    /// Reads the lines that `strace -f -o` writes. A call that other threads interrupt has two lines, of which the
    /// second holds the result; one that was under way at the end has none.
    fn read(log: &str) -> Calls {
        let mut calls = Calls::default();
        for line in log.lines() {
            let Some((call, result)) = line.rsplit_once(" = ") else { continue };
            let call = call.split_once(' ').map_or(call, |(_thread, call)| call).trim_start();
            let name = match call.strip_prefix("<... ") {
                Some(resumed) => resumed.split(' ').next(),
                None => call.split('(').next(),
            };
            let name = name.unwrap_or_default();
            let result = result.split_whitespace().next().and_then(|result| result.parse::<u64>().ok());
            if COPYING.contains(&name) && !call.contains("MSG_PEEK") {
                calls.bytes_copied += result.unwrap_or(0);
            }
            *calls.by_name.entry(name.to_owned()).or_default() += 1;
        }
        calls
    }
}

/// A running `strace` of one process.
pub struct Trace {
    strace: Child,
    log: PathBuf,
}

impl Drop for Trace {
    fn drop(&mut self) {
        // After `stop` it has ended already.
        let _ = kill(Pid::from_raw(self.strace.id() as i32), Signal::SIGINT);
        let _ = self.strace.wait();
        let _ = std::fs::remove_file(&self.log);
    }
}

impl Trace {
    /// Attaches to a process, and waits until all of its threads are traced.
    pub async fn start(pid: u32) -> io::Result<Trace> {
        let log = std::env::temp_dir().join(format!("glenfall-strace-{}-{pid}", std::process::id()));
        let strace = Command::new("strace")
            .args(["-f", "-qq", "-e", "signal=none", "-p", &pid.to_string(), "-o"])
            .arg(&log)
            .stdin(Stdio::null())
            .spawn()
            .map_err(|error| io::Error::new(error.kind(), format!("strace: {error}")))?;
        let trace = Trace { strace, log };
        let began = Instant::now();
        while !is_traced(pid) {
            if began.elapsed() > ATTACHED {
                return Err(io::Error::new(io::ErrorKind::TimedOut, "strace does not attach"));
            }
            sleep(Duration::from_millis(5)).await;
        }
        Ok(trace)
    }

    /// Ends the trace and reads what it has seen.
    pub fn stop(mut self) -> io::Result<Calls> {
        kill(Pid::from_raw(self.strace.id() as i32), Signal::SIGINT)?;
        self.strace.wait()?;
        Ok(Calls::read(&read_to_string(&self.log)?))
    }
}

fn is_traced(pid: u32) -> bool {
    let tasks = threads(pid);
    let traced = |task: &PathBuf| {
        let status = read_to_string(task.join("status")).unwrap_or_default();
        let tracer = status.lines().find_map(|line| line.strip_prefix("TracerPid:"));
        tracer.is_some_and(|tracer| tracer.trim() != "0")
    };
    !tasks.is_empty() && tasks.iter().all(traced)
}
