//! The logs of a run: what they have to explain, and what must not be in them.

use std::collections::BTreeMap;
use std::path::Path;

use super::oracle::FailedRequest;

/// The cause that an edge logs where a connection ends before its request is answered.
const CLIENT_GONE: &str = "cause=\"client-gone\"";
/// What the line of a process that panicked contains.
const PANIC_TEXT: &str = "panicked at";
/// The field that counts the lines which an edge has suppressed.
const SUPPRESSED_FIELD: &str = "not_logged=";
/// The same field where no line was suppressed.
const NONE_SUPPRESSED: &str = "not_logged=0";
/// What the line of a version probe contains, whose failures are expected.
const PROBE_ID_PREFIX: &str = "try_id=\"probe-";

/// All logs of a run, by the names of their files.
pub struct Logs(BTreeMap<String, String>);

impl Logs {
    /// Reads the logs in a folder. Files that can't be read are left out.
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

    fn of_edge(&self, edge: usize) -> &str {
        self.0.get(&format!("edge-{}-edge.log", edge + 1)).map_or("", |log| log)
    }

    /// Returns the line of an edge about a failed request.
    fn failure_line(&self, id: &str, edge: usize) -> Option<&str> {
        let id_field = format!("try_id=\"{id}\"");
        self.of_edge(edge).lines().find(|line| line.contains(&id_field))
    }

    /// Returns the lines of processes that panicked.
    pub fn panics(&self) -> Vec<String> {
        let panics_in = |(name, text): (&String, &String)| {
            let lines = text.lines().filter(|line| line.contains(PANIC_TEXT));
            lines.map(|line| format!("{name}: {line}")).collect::<Vec<_>>()
        };
        self.0.iter().flat_map(panics_in).collect()
    }

    /// Whether an edge had read a request whose connection ended without a response.
    pub fn has_read(&self, id: &str, edge: usize) -> bool {
        self.failure_line(id, edge).is_some_and(|line| line.contains(CLIENT_GONE))
    }

    /// Describes the failed requests that are not in the log of their edge, though it has suppressed no line.
    pub fn unexplained(&self, failed: &[FailedRequest]) -> Vec<String> {
        let is_unexplained = |request: &&FailedRequest| {
            self.failure_line(&request.id, request.edge).is_none()
                && !has_suppressed_lines(self.of_edge(request.edge))
        };
        let describe = |request: &FailedRequest| {
            format!("{} ({}) at edge {}", request.id, request.status, request.edge + 1)
        };
        failed.iter().filter(is_unexplained).map(describe).collect()
    }

    /// Returns how many requests failed by each cause, as far as edges have logged them.
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

/// Whether an edge has suppressed lines about failures.
fn has_suppressed_lines(log: &str) -> bool {
    log.lines().any(|line| line.contains(SUPPRESSED_FIELD) && !line.contains(NONE_SUPPRESSED))
}
