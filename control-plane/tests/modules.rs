//! The modules of this crate, of its simulation, and of the crates that are built on it depend on each other without
//! circles.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

type Dependencies = BTreeMap<String, BTreeSet<String>>;

/// The entries of a folder.
fn entries(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder).expect("the folder can be read");
    entries.map(|entry| entry.expect("an entry").path()).collect()
}

/// All source files of a module: one file, or those of a folder.
fn sources(path: &Path) -> Vec<PathBuf> {
    if path.is_file() {
        return vec![path.to_owned()];
    }
    entries(path).iter().flat_map(|entry| sources(entry)).collect()
}

/// The source of a module without comments.
fn code(path: &Path) -> String {
    let texts = sources(path).into_iter().map(|file| std::fs::read_to_string(file).expect("a source"));
    let lines: Vec<String> =
        texts.flat_map(|text| text.lines().map(str::to_owned).collect::<Vec<_>>()).collect();
    lines.into_iter().filter(|line| !line.trim_start().starts_with("//")).map(|line| line + "\n").collect()
}

fn identifier(text: &str) -> String {
    text.trim_start().chars().take_while(|c| c.is_alphanumeric() || *c == '_').collect()
}

/// The names that follow a path prefix such as `crate::`: one, or the first of each path in braces.
fn names_after(code: &str, prefix: &str) -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for (start, _) in code.match_indices(prefix) {
        // `crate::` within `$crate::` or `my_crate::` is another path.
        let before = code[..start].chars().next_back();
        if before.is_some_and(|c| c.is_alphanumeric() || c == '_' || c == '$' || c == ':') {
            continue;
        }
        let rest = &code[start + prefix.len()..];
        match rest.strip_prefix('{').and_then(|list| list.split_once('}')) {
            Some((list, _)) => names.extend(list.split(',').map(identifier)),
            None => {
                names.insert(identifier(rest));
            }
        }
    }
    names
}

fn module_name(path: &Path) -> String {
    path.file_stem().expect("a name").to_string_lossy().into_owned()
}

fn source_folder(crate_folder: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..").join(crate_folder).join("src")
}

/// What each module in a folder depends on among the others there. `module_path` is the path of the folder in code.
fn dependencies(folder: &Path, module_path: &str) -> Dependencies {
    let paths = entries(folder);
    let modules: BTreeSet<String> = paths.iter().map(|path| module_name(path)).collect();
    let mut all = Dependencies::new();
    for path in &paths {
        let own = module_name(path);
        let code = code(path);
        let mut named = names_after(&code, module_path);
        // In the files of a folder, `super` is the folder itself.
        if path.is_file() {
            named.extend(names_after(&code, "super::"));
        }
        named.retain(|other| *other != own && modules.contains(other));
        // A module may be a file and a folder.
        all.entry(own).or_default().extend(named);
    }
    all
}

/// The folders of modules below a folder, with the paths that they have in code.
fn folders_of_modules(folder: &Path, module_path: &str) -> Vec<(PathBuf, String)> {
    let mut found = Vec::new();
    for path in entries(folder).into_iter().filter(|path| path.is_dir()) {
        let module_path = format!("{module_path}{}::", module_name(&path));
        found.extend(folders_of_modules(&path, &module_path));
        found.push((path, module_path));
    }
    found
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
    for (crate_folder, module, used) in [
        ("control-plane", "chain", "record"),
        ("control-plane-sim", "world", "network"),
        ("experiments", "soak", "ledger"),
        ("glenfall", "edge", "upstream"),
    ] {
        let dependencies = dependencies(&source_folder(crate_folder), "crate::");
        assert!(dependencies[module].contains(used), "dependencies are found: {dependencies:?}");
        assert_eq!(in_circles(dependencies), Dependencies::new(), "{crate_folder}");
    }
}

#[test]
fn no_file_in_a_folder_of_modules_depends_on_itself_through_others() {
    let chain = dependencies(&source_folder("control-plane").join("chain"), "crate::chain::");
    assert!(chain["view_change"].contains("proposal"), "dependencies are found: {chain:?}");
    let mut circles = BTreeMap::new();
    for crate_folder in ["control-plane", "glenfall"] {
        for (folder, module_path) in folders_of_modules(&source_folder(crate_folder), "crate::") {
            let mut dependencies = dependencies(&folder, &module_path);
            // The module itself declares its files.
            dependencies.remove("mod");
            dependencies.values_mut().for_each(|uses| _ = uses.remove("mod"));
            let in_circles = in_circles(dependencies);
            if !in_circles.is_empty() {
                circles.insert(format!("{crate_folder}, {module_path}"), in_circles);
            }
        }
    }
    assert_eq!(circles, BTreeMap::new());
}
