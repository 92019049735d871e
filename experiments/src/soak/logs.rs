//! What the logs of a play have to say, and must not.

use std::collections::BTreeMap;
use std::path::Path;

use super::oracle::FailedRequest;

/// The cause that an edge logs where a connection ends before its request is answered.
const CLIENT_GONE: &str = "cause=\"client-gone\"";

/// All logs of a play, by the names of their files.
pub struct Logs(BTreeMap<String, String>);

impl Logs {
    pub fn read(folder: &Path) -> Self {
        let entries = std::fs::read_dir(folder).into_iter().flatten().flatten();
        let logs =
            entries.filter(|entry| entry.path().extension().is_some_and(|extension| extension == "log"));
        let named = logs.filter_map(|entry| {
            let text = std::fs::read_to_string(entry.path()).ok()?;
            Some((entry.file_name().to_string_lossy().into_owned(), text))
        });
        Logs(named.collect())
    }

    fn of_edge(&self, edge: usize) -> &str {
        self.0.get(&format!("edge-{}-edge.log", edge + 1)).map_or("", |log| log)
    }

    /// The line of an edge about a failed request.
    fn line(&self, id: &str, edge: usize) -> Option<&str> {
        let named = format!("try_id=\"{id}\"");
        self.of_edge(edge).lines().find(|line| line.contains(&named))
    }

    /// Lines of processes that have panicked.
    pub fn panics(&self) -> Vec<String> {
        let panicked = |(name, text): (&String, &String)| {
            let lines = text.lines().filter(|line| line.contains("panicked at"));
            lines.map(|line| format!("{name}: {line}")).collect::<Vec<_>>()
        };
        self.0.iter().flat_map(panicked).collect()
    }

    /// Whether an edge had read a request whose connection ended without an answer.
    pub fn has_read(&self, id: &str, edge: usize) -> bool {
        self.line(id, edge).is_some_and(|line| line.contains(CLIENT_GONE))
    }

    /// Failed requests that the log of their edge does not name, though it has left no line out.
    pub fn unexplained(&self, failed: &[FailedRequest]) -> Vec<String> {
        let is_missing = |request: &&FailedRequest| {
            self.line(&request.id, request.edge).is_none()
                && !has_suppressed_lines(self.of_edge(request.edge))
        };
        let missing = failed.iter().filter(is_missing);
        missing
            .map(|request| format!("{} ({}) at edge {}", request.id, request.status, request.edge + 1))
            .collect()
    }

    /// How many requests failed by each cause, as far as edges have logged them.
    pub fn causes(&self) -> BTreeMap<String, u64> {
        let mut causes = BTreeMap::new();
        let edges = self.0.iter().filter(|(name, _)| name.ends_with("-edge.log"));
        for line in edges.flat_map(|(_, text)| text.lines()) {
            let cause = line.split_once("cause=\"").and_then(|(_, rest)| rest.split_once('"'));
            if let Some((cause, _)) = cause.filter(|_| !line.contains("try_id=\"probe-")) {
                *causes.entry(cause.to_owned()).or_insert(0) += 1;
            }
        }
        causes
    }
}

/// Whether lines of some cause were left out of a log.
fn has_suppressed_lines(log: &str) -> bool {
    log.lines().any(|line| line.contains("not_logged=") && !line.contains("not_logged=0"))
}
