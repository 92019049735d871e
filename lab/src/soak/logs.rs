//! What the logs of a play have to say, and must not.

use std::collections::BTreeMap;
use std::path::Path;

use super::observed::Failed;

/// All logs of a folder, by the names of their files.
fn all(folder: &Path) -> BTreeMap<String, String> {
    let entries = std::fs::read_dir(folder).into_iter().flatten().flatten();
    let logs = entries.filter(|entry| entry.path().extension().is_some_and(|extension| extension == "log"));
    logs.filter_map(|entry| {
        let text = std::fs::read_to_string(entry.path()).ok()?;
        Some((entry.file_name().to_string_lossy().into_owned(), text))
    })
    .collect()
}

/// Lines of processes that have panicked.
pub fn panics(folder: &Path) -> Vec<String> {
    let panicked = |(name, text): (String, String)| {
        let lines = text.lines().filter(|line| line.contains("panicked at"));
        lines.map(|line| format!("{name}: {line}")).collect::<Vec<_>>()
    };
    all(folder).into_iter().flat_map(panicked).collect()
}

/// Failed requests that the log of their edge does not name, though it has left no line out.
pub fn unexplained(folder: &Path, failed: &[Failed]) -> Vec<String> {
    let logs = all(folder);
    let is_missing = |request: &&Failed| {
        let log = logs.get(&format!("edge-{}-edge.log", request.edge + 1));
        log.is_none_or(|log| !log.contains(&format!("try_id=\"{}\"", request.id)) && !leaves_out(log))
    };
    let missing = failed.iter().filter(is_missing);
    missing
        .map(|request| format!("{} ({}) at edge {}", request.id, request.status, request.edge + 1))
        .collect()
}

/// Whether lines of some cause were left out of a log.
fn leaves_out(log: &str) -> bool {
    log.lines().any(|line| line.contains("not_logged=") && !line.contains("not_logged=0"))
}
