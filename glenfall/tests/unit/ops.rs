//! What the operator's verbs say without a running core.

use glenfall::operator::commands::check;

use crate::support::Folder;

#[test]
fn check_tells_files_apart_and_names_what_is_wrong() {
    let folder = Folder::new("check");
    std::fs::create_dir_all(&*folder).unwrap();
    let told = |name: &str, text: &str| {
        let path = folder.join(name);
        std::fs::write(&path, text).unwrap();
        check(&path).map_err(|e| e.to_string())
    };
    assert_eq!(told("a.json", r#" {"rev": 3}"#).unwrap(), "configuration 3: 0 paths, 0 backends");
    let twice = r#"{"rev": 3, "backends": [{"name": "s"}, {"name": "s"}]}"#;
    assert!(told("b.json", twice).unwrap_err().ends_with("b.json: backends: \"s\" is named twice"));
    assert!(told("c.toml", "node = 1").unwrap_err().contains("c.toml: line 1, column 8"));
}
