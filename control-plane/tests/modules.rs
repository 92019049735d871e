//! The modules of this crate, and of the one that is built on it, depend on each other without circles.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

type Dependencies = BTreeMap<String, BTreeSet<String>>;

/// All source files of a module: one file, or a folder.
fn sources(path: &Path) -> Vec<PathBuf> {
    if path.is_file() {
        return vec![path.to_owned()];
    }
    let entries = std::fs::read_dir(path).expect("the folder can be read");
    entries.flat_map(|entry| sources(&entry.expect("an entry").path())).collect()
}

/// The modules named in code as `crate::NAME`; comments are left out.
fn named_modules(source: &str) -> BTreeSet<String> {
    let code = source.lines().filter(|line| !line.trim_start().starts_with("//"));
    let paths = code.flat_map(|line| line.split("crate::").skip(1));
    let names = paths.map(|path| path.chars().take_while(|c| c.is_alphanumeric() || *c == '_').collect());
    names.collect()
}

/// What each module of a crate depends on, by the crate's folder in the workspace.
fn dependencies(crate_folder: &str) -> Dependencies {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("..").join(crate_folder).join("src");
    let entries = std::fs::read_dir(folder).expect("the folder can be read");
    let paths: Vec<PathBuf> = entries.map(|entry| entry.expect("an entry").path()).collect();
    let name = |path: &Path| path.file_stem().expect("a name").to_string_lossy().into_owned();
    let modules: BTreeSet<String> = paths.iter().map(|path| name(path)).collect();
    let uses = |path: &PathBuf| {
        let own = name(path);
        let texts = sources(path).into_iter().map(|file| std::fs::read_to_string(file).expect("a source"));
        let mut named: BTreeSet<String> = texts.flat_map(|text| named_modules(&text)).collect();
        named.retain(|other| *other != own && modules.contains(other));
        (own, named)
    };
    let mut all = Dependencies::new();
    // A module may be a file and a folder.
    for (module, named) in paths.iter().map(uses) {
        all.entry(module).or_default().extend(named);
    }
    all
}

/// The modules that are left when those that depend on none of the others are taken away, again and again.
fn in_circles(mut dependencies: Dependencies) -> Dependencies {
    while let Some(leaf) = dependencies.iter().find(|(_, uses)| uses.is_empty()).map(|(name, _)| name.clone())
    {
        dependencies.remove(&leaf);
        for uses in dependencies.values_mut() {
            uses.remove(&leaf);
        }
    }
    dependencies
}

#[test]
fn no_module_depends_on_itself_through_others() {
    for (crate_folder, module, used) in
        [("control-plane", "chain", "record"), ("glenfall", "edge", "upstream")]
    {
        let dependencies = dependencies(crate_folder);
        assert!(dependencies[module].contains(used), "dependencies are found: {dependencies:?}");
        assert_eq!(in_circles(dependencies), Dependencies::new(), "{crate_folder}");
    }
}
