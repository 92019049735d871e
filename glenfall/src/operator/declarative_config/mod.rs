//! The configuration as files under version control, one for each route and service: reads the files, compares them with
//! the active configuration, and writes the active configuration as files.

mod difference;
mod files;
mod schema;

use std::path::Path;

use glenfall_control_plane::config::{Config, InvalidConfig};
use serde_json::{Map, Value};

pub use self::difference::{Difference, FieldChange};
pub use self::files::write;
use self::files::{read_item, read_items};
use self::schema::{LIMITS_FILE, ROUTE_LIST, SERVICE_LIST};
use crate::operator::PathError;

/// Why a configuration as files can't be read or written; the message is one line.
#[derive(Debug, thiserror::Error)]
pub enum DeclaredConfigError {
    /// A file or folder can't be read or written.
    #[error(transparent)]
    File(#[from] PathError<std::io::Error>),
    /// A file is not valid.
    #[error(transparent)]
    InvalidFile(#[from] PathError<InvalidItem>),
    /// The files don't form a valid configuration together.
    #[error("the declared configuration is invalid: {0}")]
    Invalid(#[from] InvalidConfig),
    /// A route or service of the active configuration has a name that can't be a file name.
    #[error("{0:?}: this name of a route or service can't be used as a file name")]
    Name(String),
    /// The active configuration is not valid JSON.
    #[error("the active configuration is not valid JSON: {0}")]
    InvalidActiveConfig(#[from] serde_json::Error),
}

/// Why a file is not a valid route, service or limits file.
#[derive(Debug, thiserror::Error)]
pub enum InvalidItem {
    /// It is not valid TOML.
    #[error("{}{message}", line.map(|line| format!("line {line}: ")).unwrap_or_default())]
    Toml {
        /// The line of the error, counted from 1; `None` if it is unknown.
        line: Option<usize>,
        /// The message of the parser, on one line.
        message: String,
    },
    /// It has a field that items of its kind don't have.
    #[error("unknown field: {0}")]
    UnknownField(String),
    /// It has the field `name`. The file name is the name of the item, so that no two files can describe one item.
    #[error("name: not allowed, as the file name is the name of the route or service")]
    NameField,
}

/// How many items a folder declares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ItemCounts {
    /// Files in `routes`.
    pub routes: usize,
    /// Files in `services`.
    pub services: usize,
}

/// The configuration that the files of a folder declare, without a version.
#[derive(Debug)]
pub struct DeclaredConfig(Map<String, Value>);

impl DeclaredConfig {
    /// Reads `routes/*.toml`, `services/*.toml` and, if it exists, `limits.toml`, and checks that they form a valid
    /// configuration together.
    pub fn read(folder: &Path) -> Result<DeclaredConfig, DeclaredConfigError> {
        let mut document = Map::new();
        for list in [&ROUTE_LIST, &SERVICE_LIST] {
            let items = read_items(&folder.join(list.folder), list.fields)?;
            document.insert(list.section.to_owned(), Value::Array(items));
        }
        let path = folder.join(LIMITS_FILE.file);
        if path.exists() {
            let limits = read_item(&path, LIMITS_FILE.fields)?;
            document.insert(LIMITS_FILE.section.to_owned(), Value::Object(limits));
        }
        let declared = DeclaredConfig(document);
        Config::parse(&declared.document(1))?;
        Ok(declared)
    }

    /// The configuration as a JSON document with this version.
    pub fn document(&self, rev: u64) -> Vec<u8> {
        let mut document = Map::new();
        document.insert("rev".into(), rev.into());
        document.extend(self.0.clone());
        Value::Object(document).to_string().into_bytes()
    }

    /// How many routes and services there are.
    pub fn counts(&self) -> ItemCounts {
        let count = |section: &str| self.0.get(section).and_then(Value::as_array).map_or(0, Vec::len);
        ItemCounts { routes: count(ROUTE_LIST.section), services: count(SERVICE_LIST.section) }
    }

    /// What would change if this replaced the JSON document `current`, which is empty if there is no configuration yet.
    pub fn differences(&self, current: &[u8]) -> Result<Vec<Difference>, DeclaredConfigError> {
        let current = if current.is_empty() { Value::Null } else { serde_json::from_slice(current)? };
        Ok(difference::between(&current, &self.0))
    }
}
