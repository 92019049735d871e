//! Checks of the logs of a run: each failed request must be logged, and no process may have panicked.

use std::collections::BTreeMap;
use std::path::Path;

use super::oracle::FailedRequest;

/// The cause that an edge logs if a client connection ends before the response is complete.
const CLIENT_GONE: &str = "cause=\"client-gone\"";
/// Text in the log line of a panic.
const PANIC_TEXT: &str = "panicked at";
/// The log field with the number of lines that an edge has suppressed.
const SUPPRESSED_FIELD: &str = "not_logged=";
/// The log field if no line was suppressed.
const NONE_SUPPRESSED: &str = "not_logged=0";
/// Text in the log lines of version probes, whose failures are expected.
const PROBE_ID_PREFIX: &str = "try_id=\"probe-";

/// The contents of all logs of a run, by file name.
pub struct Logs(BTreeMap<String, String>);

impl Logs {
    /// Reads the logs in a folder. Skips files that can't be read.
    pub fn read(folder: &Path) -> Self {
        let entries = std::fs::read_dir(folder).into_iter().flatten().flatten();
        let logs =
            entries.filter(|entry| entry.path().extension().is_some_and(|extension| extension == "log"));
        let texts = logs.filter_map(|entry| {
            let text = std::fs::read_to_string(entry.path()).ok()?;
            Some((entry.file_name().to_string_lossy().into_owned(), text))
        });
        Logs(texts.collect())
    }

    fn edge_log(&self, edge: usize) -> &str {
        self.0.get(&format!("edge-{}-edge.log", edge + 1)).map_or("", |log| log)
    }

    /// Returns the first log line of an edge with the try id of a request.
    fn failure_line(&self, id: &str, edge: usize) -> Option<&str> {
        let id_field = format!("try_id=\"{id}\"");
        self.edge_log(edge).lines().find(|line| line.contains(&id_field))
    }

    /// Returns the log lines of panics, each with the name of its file.
    pub fn panics(&self) -> Vec<String> {
        let panics_in = |(name, text): (&String, &String)| {
            let lines = text.lines().filter(|line| line.contains(PANIC_TEXT));
            lines.map(|line| format!("{name}: {line}")).collect::<Vec<_>>()
        };
        self.0.iter().flat_map(panics_in).collect()
    }

    /// Whether the log of an edge shows that it had read a request whose connection ended without a response.
    pub fn was_read(&self, id: &str, edge: usize) -> bool {
        self.failure_line(id, edge).is_some_and(|line| line.contains(CLIENT_GONE))
    }

    /// Describes the failed requests that are missing in the log of their edge although it has suppressed no lines.
    pub fn unlogged_failures(&self, failed: &[FailedRequest]) -> Vec<String> {
        let is_unlogged = |request: &&FailedRequest| {
            self.failure_line(&request.id, request.edge).is_none()
                && !has_suppressed_lines(self.edge_log(request.edge))
        };
        let describe = |request: &FailedRequest| {
            format!("{} ({}) at edge {}", request.id, request.status, request.edge + 1)
        };
        failed.iter().filter(is_unlogged).map(describe).collect()
    }

    /// Counts the logged request failures by cause, without those of version probes.
    pub fn causes(&self) -> BTreeMap<String, u64> {
        let mut causes = BTreeMap::new();
        let edge_logs = self.0.iter().filter(|(name, _)| name.ends_with("-edge.log"));
        for line in edge_logs.flat_map(|(_, text)| text.lines()) {
            let cause = line.split_once("cause=\"").and_then(|(_, rest)| rest.split_once('"'));
            if let Some((cause, _)) = cause.filter(|_| !line.contains(PROBE_ID_PREFIX)) {
                *causes.entry(cause.to_owned()).or_insert(0) += 1;
            }
        }
        causes
    }
}

/// Whether the log of an edge shows that lines about failures were suppressed.
fn has_suppressed_lines(log: &str) -> bool {
    log.lines().any(|line| line.contains(SUPPRESSED_FIELD) && !line.contains(NONE_SUPPRESSED))
}
