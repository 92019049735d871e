//! Bounds on the sources. The module is to be ported by hand: it stays small and narrow. Tests live in test files.

use std::path::{Path, PathBuf};

const MODULE: &str = include_str!("../src/balance.rs");
/// All files that `policy` in the deploy file names.
const POLICY: [&str; 3] = [MODULE, include_str!("../src/rjch.rs"), include_str!("../src/shields.rs")];

#[test]
fn the_policy_files_have_at_most_1200_lines_of_at_most_110_characters() {
    let lines = POLICY.iter().flat_map(|file| file.lines()).filter(|line| !line.trim().is_empty()).count();
    assert!(lines <= 1200, "{lines} lines");
    for (index, line) in POLICY.iter().flat_map(|file| file.lines()).enumerate() {
        let width = line.chars().count();
        assert!(width <= 110, "line {} has {width} characters", index + 1);
    }
}

#[test]
fn module_names_its_interface_at_the_top() {
    assert!(MODULE.lines().take(5).any(|line| line.contains("src/interface.rs")));
}

/// All source files below a folder that are no tests.
fn sources(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder).into_iter().flatten().flatten().map(|entry| entry.path());
    let (folders, files): (Vec<_>, Vec<_>) = entries.partition(|path| path.is_dir());
    let skipped = |path: &PathBuf| ["target", "tests", ".git"].iter().any(|name| path.ends_with(name));
    let below = folders.into_iter().filter(|path| !skipped(path)).flat_map(|path| sources(&path));
    files.into_iter().filter(|path| path.extension().is_some_and(|end| end == "rs")).chain(below).collect()
}

#[test]
fn no_source_file_holds_tests() {
    let sources = sources(&Path::new(env!("CARGO_MANIFEST_DIR")).join(".."));
    assert!(sources.len() > 50, "{} source files found", sources.len());
    for path in sources {
        let text = std::fs::read_to_string(&path).expect("a source file");
        for mark in ["cfg(test)", "#[test]", "#[path"] {
            assert!(!text.contains(mark), "{} has {mark}", path.display());
        }
    }
}
