//! The declared configuration: its files, and how it differs from the active one.

use glenfall::operator::declarative_config::{write, DeclaredConfig, DeclaredConfigError, ItemCounts};

use crate::support::Folder;

fn folder(name: &str) -> Folder {
    let folder = Folder::new(&format!("declare-{name}"));
    std::fs::create_dir_all(folder.join("routes")).unwrap();
    std::fs::create_dir_all(folder.join("services")).unwrap();
    folder
}

const CONFIG_DOCUMENT: &str = r#"{"rev": 7, "later": 1,
    "paths": [{"name": "r-a", "hostname": "one.example", "pathPrefix": "/a/", "type": "cacheable",
               "deadlineMs": 900, "prio": 2, "tries": 2, "maxAgeS": 40.0, "later": 1,
               "split": [{"backend": "s", "weight": 90}, {"backend": "t", "weight": 10}]},
              {"name": "r-b", "hostname": "one.example", "pathPrefix": "/b/", "type": "mutating",
               "deadlineMs": 900, "backend": "t"}],
    "backends": [{"name": "s", "ratePerS": 850.0}, {"name": "t", "useTls": false}],
    "reqLimits": {"maxBodyBytes": 1000}}"#;

#[test]
fn a_document_written_as_files_is_read_back_unchanged() {
    let folder = folder("round-trip");
    let omitted = write(CONFIG_DOCUMENT.as_bytes(), &folder).unwrap();
    assert_eq!(omitted.len(), 1, "{omitted:?}");
    assert!(write(CONFIG_DOCUMENT.as_bytes(), &folder).is_err(), "existing files are not overwritten");
    let declared = DeclaredConfig::read(&folder).unwrap();
    assert_eq!(declared.counts(), ItemCounts { routes: 2, services: 2 });
    let differences = declared.differences(CONFIG_DOCUMENT.as_bytes()).unwrap();
    let texts: Vec<String> = differences.iter().map(ToString::to_string).collect();
    assert_eq!(texts, ["~ paths r-a\n    later: 1 -> null"], "what can't be written is reported");
    assert!(declared.differences(&declared.document(9)).unwrap().is_empty());

    std::fs::remove_file(folder.join("routes/r-b.toml")).unwrap();
    std::fs::write(folder.join("services/u.toml"), "maxConns = 9").unwrap();
    std::fs::write(folder.join("services/s.toml"), "ratePerS = 850").unwrap();
    std::fs::write(folder.join("limits.toml"), "maxBodyBytes = 2000").unwrap();
    let declared = DeclaredConfig::read(&folder).unwrap();
    let differences = declared.differences(CONFIG_DOCUMENT.as_bytes()).unwrap();
    let texts: Vec<String> = differences.iter().map(ToString::to_string).collect();
    assert_eq!(
        texts[1..],
        ["- paths r-b", "+ backends u", "~ reqLimits \n    maxBodyBytes: 1000 -> 2000"].map(str::to_owned)
    );
    assert_eq!(declared.differences(b"").unwrap().len(), 5);
}

#[test]
fn mistakes_are_reported_with_their_file() {
    let route = "hostname = \"h\"\npathPrefix = \"/a/\"\ndeadlineMs = 900\nbackend = \"s\"\n";
    for (case, file, text, expected) in [
        ("field", "routes/a.toml", "hostnam = \"h\"", "routes/a.toml: unknown field: hostnam"),
        ("toml", "routes/a.toml", "hostname = \"h\"\nprio = ", "routes/a.toml: line 2: "),
        ("name", "services/s.toml", "name = \"t\"", "services/s.toml: name: "),
        ("service", "routes/a.toml", route, "no backend is named \"s\""),
        ("field missing", "routes/a.toml", "hostname = \"h\"", "missing field"),
    ] {
        let folder = folder("mistakes");
        std::fs::write(folder.join(file), text).unwrap();
        let error = DeclaredConfig::read(&folder).expect_err(case).to_string();
        assert!(error.contains(expected) && !error.contains('\n'), "{case}: {error}");
    }
    let outside = CONFIG_DOCUMENT.replace("r-a", "../r-a");
    assert!(matches!(write(outside.as_bytes(), &folder("outside")), Err(DeclaredConfigError::Name(_))));
}
