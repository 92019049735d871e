//! The `check` command.

use glenfall::operator::commands::check;

use crate::support::Folder;

#[test]
fn check_distinguishes_file_types_and_names_the_mistake() {
    let folder = Folder::new("check");
    std::fs::create_dir_all(&*folder).unwrap();
    let checked = |name: &str, text: &str| {
        let path = folder.join(name);
        std::fs::write(&path, text).unwrap();
        check(&path).map_err(|e| e.to_string())
    };
    assert_eq!(checked("a.json", r#" {"rev": 3}"#).unwrap(), "configuration 3: 0 paths, 0 backends");
    let twice = r#"{"rev": 3, "backends": [{"name": "s"}, {"name": "s"}]}"#;
    assert!(checked("b.json", twice).unwrap_err().ends_with("b.json: backends: \"s\" is named twice"));
    assert!(checked("c.toml", "node = 1").unwrap_err().contains("c.toml: line 1, column 8"));
}
