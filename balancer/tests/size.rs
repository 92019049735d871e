//! Checks on the sources: the line width of the decision files, and that tests are in test files only.

use std::path::{Path, PathBuf};

/// Maximum line width of a decision file, in characters.
const MAX_LINE_WIDTH: usize = 110;
/// The source of the top module of the balancer's decisions.
const TOP_MODULE: &str = include_str!("../src/balancer/mod.rs");

/// Files without decisions: the types of the interface, the settings, and the crate's list of modules.
const FILES_WITHOUT_DECISIONS: [&str; 3] = ["src/interface.rs", "src/settings.rs", "src/lib.rs"];

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// The decision files, as listed under `policy` in the deploy file.
fn policy_files() -> Vec<PathBuf> {
    let deploy = std::fs::read_to_string(repository_root().join("deploy/balancer.toml"))
        .expect("deploy/balancer.toml can be read");
    let (_, after) = deploy.split_once("\npolicy = [").expect("deploy/balancer.toml has a `policy` list");
    let (list, _) = after.split_once(']').expect("the `policy` list is closed");
    let names = list.split('"').skip(1).step_by(2);
    names.map(|name| repository_root().join(name)).collect()
}

#[test]
fn the_lines_of_the_policy_files_have_at_most_110_characters() {
    let files = policy_files();
    assert!(files.len() > 20, "{} policy files found", files.len());
    for path in files {
        let text = std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
        for (index, line) in text.lines().enumerate() {
            let width = line.chars().count();
            assert!(width <= MAX_LINE_WIDTH, "{}:{} has {width} characters", path.display(), index + 1);
        }
    }
}

#[test]
fn the_policy_list_names_every_decision_file() {
    let crate_root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let is_decision_file = |path: &PathBuf| !FILES_WITHOUT_DECISIONS.iter().any(|name| path.ends_with(name));
    let canonical = |path: PathBuf| path.canonicalize().unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    let mut expected: Vec<_> =
        sources(&crate_root).into_iter().filter(is_decision_file).map(canonical).collect();
    let mut named: Vec<_> = policy_files().into_iter().map(canonical).collect();
    expected.sort();
    named.sort();
    assert_eq!(named, expected);
}

#[test]
fn the_top_module_names_the_interface_file_in_its_first_lines() {
    assert!(TOP_MODULE.lines().take(5).any(|line| line.contains("src/interface.rs")));
}

/// All source files in a folder and its subfolders, except tests.
fn sources(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder).into_iter().flatten().flatten().map(|entry| entry.path());
    let (folders, files): (Vec<_>, Vec<_>) = entries.partition(|path| path.is_dir());
    let is_skipped = |path: &PathBuf| ["target", "tests", ".git"].iter().any(|name| path.ends_with(name));
    let below = folders.into_iter().filter(|path| !is_skipped(path)).flat_map(|path| sources(&path));
    files.into_iter().filter(|path| path.extension().is_some_and(|end| end == "rs")).chain(below).collect()
}

#[test]
fn no_source_file_holds_tests() {
    let sources = sources(&Path::new(env!("CARGO_MANIFEST_DIR")).join(".."));
    assert!(sources.len() > 50, "{} source files found", sources.len());
    for path in sources {
        let text = std::fs::read_to_string(&path).expect("a source file can be read");
        for pattern in ["cfg(test)", "#[test]", "#[path"] {
            assert!(!text.contains(pattern), "{} has {pattern}", path.display());
        }
    }
}
