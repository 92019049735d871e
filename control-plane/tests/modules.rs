//! The modules of this crate, of its simulation, and of the crates that are built on it have no dependency cycles.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

type Dependencies = BTreeMap<String, BTreeSet<String>>;

fn entries(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder).expect("the folder can be read");
    entries.map(|entry| entry.expect("the entry of the folder can be read").path()).collect()
}

/// All source files of a module: one file, or those of a folder.
fn source_files(path: &Path) -> Vec<PathBuf> {
    if path.is_file() {
        return vec![path.to_owned()];
    }
    entries(path).iter().flat_map(|entry| source_files(entry)).collect()
}

/// The source of a module without comments.
fn code(path: &Path) -> String {
    let file_contents = source_files(path)
        .into_iter()
        .map(|file| std::fs::read_to_string(file).expect("the source file can be read"));
    let lines: Vec<String> =
        file_contents.flat_map(|text| text.lines().map(str::to_owned).collect::<Vec<_>>()).collect();
    lines.into_iter().filter(|line| !line.trim_start().starts_with("//")).map(|line| line + "\n").collect()
}

fn identifier(text: &str) -> String {
    text.trim_start().chars().take_while(|c| c.is_alphanumeric() || *c == '_').collect()
}

/// The names that follow a path prefix such as `crate::`: one, or the first of each path in braces.
fn names_with_prefix(code: &str, prefix: &str) -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for (start, _) in code.match_indices(prefix) {
        // `crate::` within `$crate::` or `my_crate::` is another path.
        let before = code[..start].chars().next_back();
        if before.is_some_and(|c| c.is_alphanumeric() || c == '_' || c == '$' || c == ':') {
            continue;
        }
        let path = &code[start + prefix.len()..];
        match path.strip_prefix('{').and_then(|list| list.split_once('}')) {
            Some((list, _)) => names.extend(list.split(',').map(identifier)),
            None => {
                names.insert(identifier(path));
            }
        }
    }
    names
}

fn module_name(path: &Path) -> String {
    path.file_stem().expect("the path has a file name").to_string_lossy().into_owned()
}

fn source_folder(crate_folder: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..").join(crate_folder).join("src")
}

/// The dependencies between the modules in a folder. `module_path` is the prefix of their paths in code.
fn dependencies(folder: &Path, module_path: &str) -> Dependencies {
    let paths = entries(folder);
    let modules: BTreeSet<String> = paths.iter().map(|path| module_name(path)).collect();
    let mut all = Dependencies::new();
    for path in &paths {
        let module = module_name(path);
        let code = code(path);
        let mut used_modules = names_with_prefix(&code, module_path);
        // In the files of a folder, `super` is the folder itself.
        if path.is_file() {
            used_modules.extend(names_with_prefix(&code, "super::"));
        }
        used_modules.retain(|other| *other != module && modules.contains(other));
        // A module may have both a file and a folder.
        all.entry(module).or_default().extend(used_modules);
    }
    all
}

/// All module folders below a folder, with the prefixes of their module paths in code.
fn folders_of_modules(folder: &Path, module_path: &str) -> Vec<(PathBuf, String)> {
    let mut found = Vec::new();
    for path in entries(folder).into_iter().filter(|path| path.is_dir()) {
        let module_path = format!("{module_path}{}::", module_name(&path));
        found.extend(folders_of_modules(&path, &module_path));
        found.push((path, module_path));
    }
    found
}

/// The modules in a dependency cycle, and those that depend on one: modules without dependencies are removed repeatedly,
/// and the remaining ones returned.
fn in_cycles(mut dependencies: Dependencies) -> Dependencies {
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
fn modules_of_each_crate_have_no_dependency_cycle() {
    for (crate_folder, module, used) in [
        ("control-plane", "chain", "record"),
        ("control-plane-sim", "world", "network"),
        ("experiments", "soak", "execution_log"),
        ("glenfall", "edge", "upstream"),
    ] {
        let dependencies = dependencies(&source_folder(crate_folder), "crate::");
        assert!(
            dependencies[module].contains(used),
            "{module} should depend on {used}, found {dependencies:?}"
        );
        assert_eq!(in_cycles(dependencies), Dependencies::new(), "{crate_folder}");
    }
}

#[test]
fn files_of_each_module_folder_have_no_dependency_cycle() {
    let chain = dependencies(&source_folder("control-plane").join("chain"), "crate::chain::");
    assert!(
        chain["view_change"].contains("proposal"),
        "view_change should depend on proposal, found {chain:?}"
    );
    let mut cycles = BTreeMap::new();
    for crate_folder in ["control-plane", "glenfall"] {
        for (folder, module_path) in folders_of_modules(&source_folder(crate_folder), "crate::") {
            let mut dependencies = dependencies(&folder, &module_path);
            // `mod.rs` declares all files of the folder, and so depends on them.
            dependencies.remove("mod");
            dependencies.values_mut().for_each(|uses| _ = uses.remove("mod"));
            let in_cycles = in_cycles(dependencies);
            if !in_cycles.is_empty() {
                cycles.insert(format!("{crate_folder}, {module_path}"), in_cycles);
            }
        }
    }
    assert_eq!(cycles, BTreeMap::new());
}
