//! Counts the system calls of a process with `strace`.

use std::collections::BTreeMap;
use std::fs::read_to_string;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use tokio::time::{sleep, Instant};

use super::process::threads;

/// Maximum time until `strace` is attached to all threads of a process.
const ATTACH_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between checks whether `strace` is attached.
const ATTACH_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// System calls whose result is the number of bytes copied.
const COPYING_CALLS: [&str; 10] =
    ["read", "write", "readv", "writev", "pread64", "pwrite64", "recvfrom", "sendto", "recvmsg", "sendmsg"];

/// System calls of a process while it was traced.
#[derive(Clone, Debug, Default)]
pub struct SystemCalls {
    /// Number of calls by name.
    pub by_name: BTreeMap<String, u64>,
    /// Total number of bytes copied.
    pub bytes_copied: u64,
}

impl SystemCalls {
    /// Parses the output of `strace -f -o`. A call interleaved with calls of other threads has two lines, of which
    /// only the second has the result; a call in progress at the end has no result and is not counted.
    fn read(log: &str) -> SystemCalls {
        let mut calls = SystemCalls::default();
        for line in log.lines() {
            if let Some((call, result)) = line.rsplit_once(" = ") {
                calls.add(strip_thread_id(call), result);
            }
        }
        calls
    }

    fn add(&mut self, call: &str, result: &str) {
        let name = call_name(call);
        if COPYING_CALLS.contains(&name) && !call.contains("MSG_PEEK") {
            let bytes = result.split_whitespace().next().and_then(|bytes| bytes.parse::<u64>().ok());
            self.bytes_copied += bytes.unwrap_or(0);
        }
        *self.by_name.entry(name.to_owned()).or_default() += 1;
    }
}

/// Strips the thread id at the start of the line.
fn strip_thread_id(call: &str) -> &str {
    call.split_once(' ').map_or(call, |(_thread, call)| call).trim_start()
}

fn call_name(call: &str) -> &str {
    let name = match call.strip_prefix("<... ") {
        Some(resumed) => resumed.split(' ').next(),
        None => call.split('(').next(),
    };
    name.unwrap_or_default()
}

/// A running `strace` of one process.
pub struct Trace {
    strace: Child,
    log: PathBuf,
}

impl Drop for Trace {
    fn drop(&mut self) {
        // Fails after `stop`, because `strace` has already exited.
        let _ = kill(Pid::from_raw(self.strace.id() as i32), Signal::SIGINT);
        let _ = self.strace.wait();
        let _ = std::fs::remove_file(&self.log);
    }
}

impl Trace {
    /// Attaches to a process, and waits until all its threads are traced.
    ///
    /// # Errors
    ///
    /// Returns an error if `strace` can't be started or does not attach in time.
    pub async fn start(pid: u32) -> io::Result<Trace> {
        let log = std::env::temp_dir().join(format!("glenfall-strace-{}-{pid}", std::process::id()));
        let strace = start_strace(pid, &log)?;
        let trace = Trace { strace, log };
        let began_at = Instant::now();
        while !is_traced(pid) {
            if began_at.elapsed() > ATTACH_TIMEOUT {
                return Err(io::Error::new(
                    io::ErrorKind::TimedOut,
                    "strace did not attach to all threads of the process in time",
                ));
            }
            sleep(ATTACH_POLL_INTERVAL).await;
        }
        Ok(trace)
    }

    /// Stops tracing, and returns the counted calls.
    ///
    /// # Errors
    ///
    /// Returns an error if `strace` can't be stopped or its output can't be read.
    pub fn stop(mut self) -> io::Result<SystemCalls> {
        kill(Pid::from_raw(self.strace.id() as i32), Signal::SIGINT)?;
        self.strace.wait()?;
        Ok(SystemCalls::read(&read_to_string(&self.log)?))
    }
}

fn start_strace(pid: u32, log: &Path) -> io::Result<Child> {
    Command::new("strace")
        .args(["-f", "-qq", "-e", "signal=none", "-p", &pid.to_string(), "-o"])
        .arg(log)
        .stdin(Stdio::null())
        .spawn()
        .map_err(|error| io::Error::new(error.kind(), format!("can't start strace: {error}")))
}

fn is_traced(pid: u32) -> bool {
    let threads = threads(pid);
    let is_thread_traced = |thread: &PathBuf| {
        let status = read_to_string(thread.join("status")).unwrap_or_default();
        let tracer = status.lines().find_map(|line| line.strip_prefix("TracerPid:"));
        tracer.is_some_and(|tracer| tracer.trim() != "0")
    };
    !threads.is_empty() && threads.iter().all(is_thread_traced)
}
