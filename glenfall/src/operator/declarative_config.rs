//! A configuration kept as files, one for each route and service, as version control likes them: read, compared
//! with what is in force, put in force, and written from it.

use std::collections::BTreeMap;
use std::fmt;
use std::path::{Path, PathBuf};

use glenfall_control_plane::config::Config;
use serde_json::{json, Map, Value};

/// Where the items of a list lie, and the fields that they may have. A field that is not known is a mistake here,
/// though documents may have it: in a file that people write it is a slip.
const LISTS: [(&str, &str, &[&str]); 2] = [
    (
        "paths",
        "routes",
        &[
            "name",
            "hostname",
            "pathPrefix",
            "type",
            "deadlineMs",
            "targetMs",
            "prio",
            "backend",
            "split",
            "tries",
            "maxAgeS",
        ],
    ),
    ("backends", "services", &["name", "healthPath", "maxConns", "protocol", "useTls", "ratePerS"]),
];
const LIMITS: (&str, &str, &[&str]) =
    ("reqLimits", "limits.toml", &["maxHeaderBytes", "maxBodyBytes", "headerTimeoutMs", "idleTimeoutMs"]);
/// Longest name that makes a file name everywhere.
const LONGEST_NAME: usize = 200;

#[derive(Debug, thiserror::Error)]
pub enum DeclareError {
    #[error("{}: {what}", path.display())]
    File { path: PathBuf, what: std::io::Error },
    #[error("{}: {what}", path.display())]
    Wrong { path: PathBuf, what: String },
    #[error("the declared configuration is invalid: {0}")]
    Invalid(#[from] glenfall_control_plane::config::InvalidConfig),
    #[error("{0:?} can't be the name of a file")]
    Name(String),
    #[error("what is in force can't be read: {0}")]
    Current(#[from] serde_json::Error),
}

/// What the files of a folder say; no version.
#[derive(Debug)]
pub struct Declared(Map<String, Value>);

/// How one item differs.
#[derive(Debug, PartialEq)]
pub enum Difference {
    Added {
        list: &'static str,
        name: String,
    },
    Removed {
        list: &'static str,
        name: String,
    },
    /// With the fields that change, from what to what.
    Changed {
        list: &'static str,
        name: String,
        fields: BTreeMap<String, (Value, Value)>,
    },
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Difference::Added { list, name } => write!(f, "+ {list} {name}"),
            Difference::Removed { list, name } => write!(f, "- {list} {name}"),
            Difference::Changed { list, name, fields } => {
                write!(f, "~ {list} {name}")?;
                for (field, (old, new)) in fields {
                    write!(f, "\n    {field}: {old} -> {new}")?;
                }
                Ok(())
            }
        }
    }
}

fn toml_files(folder: &Path) -> Result<Vec<PathBuf>, DeclareError> {
    let broken = |what| DeclareError::File { path: folder.to_owned(), what };
    let entries = match std::fs::read_dir(folder) {
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(Vec::new()),
        entries => entries.map_err(broken)?,
    };
    let paths: Result<Vec<PathBuf>, _> = entries.map(|entry| entry.map(|entry| entry.path())).collect();
    let mut paths = paths.map_err(broken)?;
    paths.retain(|path| path.extension().is_some_and(|is| is == "toml"));
    // The order of the folder is nobody's.
    paths.sort();
    Ok(paths)
}

fn read_item(path: &Path, known: &[&str]) -> Result<Map<String, Value>, DeclareError> {
    let text =
        std::fs::read_to_string(path).map_err(|what| DeclareError::File { path: path.to_owned(), what })?;
    let wrong = |what: String| DeclareError::Wrong { path: path.to_owned(), what };
    let item: Map<String, Value> = toml::from_str(&text).map_err(|e| {
        let line = e.span().map(|span| text[..span.start.min(text.len())].matches('\n').count() + 1);
        let place = line.map(|line| format!("line {line}: ")).unwrap_or_default();
        wrong(format!("{place}{}", e.message().replace('\n', " ")))
    })?;
    match item.keys().find(|field| !known.contains(&field.as_str())) {
        Some(field) => Err(wrong(format!("no such field: {field}"))),
        None => Ok(item),
    }
}

impl Declared {
    /// Reads `routes/*.toml`, `services/*.toml` and `limits.toml`, and checks what they make together.
    pub fn read(folder: &Path) -> Result<Declared, DeclareError> {
        let mut document = Map::new();
        for (list, place, known) in LISTS {
            let mut items = Vec::new();
            for path in toml_files(&folder.join(place))? {
                let mut item = read_item(&path, known)?;
                let stem = path.file_stem().map(|stem| stem.to_string_lossy().into_owned());
                // A name of its own would let two files speak of one item.
                if item.contains_key("name") {
                    let what = "name: the file's name is the item's".to_owned();
                    return Err(DeclareError::Wrong { path, what });
                }
                item.insert("name".into(), stem.unwrap_or_default().into());
                items.push(Value::Object(item));
            }
            document.insert(list.to_owned(), Value::Array(items));
        }
        let (section, file, known) = LIMITS;
        let path = folder.join(file);
        if path.exists() {
            document.insert(section.to_owned(), Value::Object(read_item(&path, known)?));
        }
        let declared = Declared(document);
        Config::read(&declared.document(1))?;
        Ok(declared)
    }

    /// The document of a version.
    pub fn document(&self, rev: u64) -> Vec<u8> {
        let mut document = Map::new();
        document.insert("rev".into(), rev.into());
        document.extend(self.0.clone());
        Value::Object(document).to_string().into_bytes()
    }

    /// How many routes and services there are.
    pub fn counts(&self) -> [usize; 2] {
        LISTS.map(|(list, ..)| self.0.get(list).and_then(Value::as_array).map_or(0, Vec::len))
    }

    /// What changes where this comes in the place of a document; empty bytes are no document yet.
    pub fn differences(&self, current: &[u8]) -> Result<Vec<Difference>, DeclareError> {
        let current = if current.is_empty() { json!({}) } else { serde_json::from_slice(current)? };
        let mut found = Vec::new();
        for (list, ..) in LISTS {
            let old = by_name(&current[list]);
            let new = by_name(self.0.get(list).unwrap_or(&Value::Null));
            for (name, item) in &new {
                let name = name.clone();
                match old.get(&name) {
                    None => found.push(Difference::Added { list, name }),
                    Some(old) => {
                        let fields = changed_fields(old, item);
                        if !fields.is_empty() {
                            found.push(Difference::Changed { list, name, fields });
                        }
                    }
                }
            }
            let gone = old.into_keys().filter(|name| !new.contains_key(name));
            found.extend(gone.map(|name| Difference::Removed { list, name }));
        }
        let (section, ..) = LIMITS;
        let fields = changed_fields(&current[section], self.0.get(section).unwrap_or(&Value::Null));
        if !fields.is_empty() {
            found.push(Difference::Changed { list: section, name: String::new(), fields });
        }
        Ok(found)
    }
}

fn by_name(list: &Value) -> BTreeMap<String, &Value> {
    let items = list.as_array().into_iter().flatten();
    items.filter_map(|item| Some((item["name"].as_str()?.to_owned(), item))).collect()
}

fn changed_fields(old: &Value, new: &Value) -> BTreeMap<String, (Value, Value)> {
    let empty = Map::new();
    let (old, new) = (old.as_object().unwrap_or(&empty), new.as_object().unwrap_or(&empty));
    let names = old.keys().chain(new.keys()).cloned();
    let value = |of: &Map<String, Value>, name: &str| of.get(name).cloned().unwrap_or(Value::Null);
    let both = names.map(|name| (value(old, &name), value(new, &name), name));
    both.filter(|(old, new, _)| !same(old, new)).map(|(old, new, name)| (name, (old, new))).collect()
}

/// Equal, however a number is written: 40 and 40.0 are one.
fn same(a: &Value, b: &Value) -> bool {
    match (a, b) {
        (Value::Number(a), Value::Number(b)) => a == b || a.as_f64() == b.as_f64(),
        (Value::Array(a), Value::Array(b)) => a.len() == b.len() && a.iter().zip(b).all(|(a, b)| same(a, b)),
        (Value::Object(a), Value::Object(b)) => {
            a.len() == b.len() && a.iter().all(|(name, a)| b.get(name).is_some_and(|b| same(a, b)))
        }
        (a, b) => a == b,
    }
}

/// Writes a document as files into a folder that has none of them. Fields that files can't have are left out and
/// returned.
pub fn write(document: &[u8], folder: &Path) -> Result<Vec<String>, DeclareError> {
    let document: Value = serde_json::from_slice(document)?;
    let mut files = Vec::new();
    let mut left_out = Vec::new();
    let mut add = |path: PathBuf, item: &Value, known: &[&str]| {
        let mut kept = toml::Table::new();
        for (field, value) in item.as_object().into_iter().flatten().filter(|(field, _)| *field != "name") {
            match toml::Value::try_from(value) {
                Ok(value) if known.contains(&field.as_str()) => {
                    kept.insert(field.clone(), value);
                }
                _ => left_out.push(format!("{}: {field}", path.display())),
            }
        }
        files.push((path, kept.to_string()));
    };
    for (list, place, known) in LISTS {
        for (name, item) in by_name(&document[list]) {
            let fits = !name.is_empty() && name.len() <= LONGEST_NAME && !name.starts_with('.');
            if !fits || name.contains(['/', '\0']) {
                return Err(DeclareError::Name(name));
            }
            add(folder.join(place).join(format!("{name}.toml")), item, known);
        }
    }
    let (section, file, known) = LIMITS;
    if document[section].is_object() {
        add(folder.join(file), &document[section], known);
    }
    for (path, text) in files {
        let broken = |what| DeclareError::File { path: path.clone(), what };
        if let Some(parent) = path.parent() {
            std::fs::create_dir_all(parent).map_err(broken)?;
        }
        let mut file = std::fs::File::create_new(&path).map_err(broken)?;
        std::io::Write::write_all(&mut file, text.as_bytes()).map_err(broken)?;
    }
    Ok(left_out)
}
