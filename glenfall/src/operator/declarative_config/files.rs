//! Reading and writing the files of a declared configuration.

use std::io::Write;
use std::path::{Path, PathBuf};

use serde_json::{Map, Value};

use super::difference::by_name;
use super::schema::{LIMITS_FILE, ROUTE_LIST, SERVICE_LIST};
use super::{DeclaredConfigError, InvalidItem};
use crate::operator::PathError;

/// The longest name of an item, in bytes, so that with its extension it is a valid file name on every file system.
const MAX_NAME_BYTES: usize = 200;
/// The field that is not stored in an item's file, but as the name of the file.
const NAME_FIELD: &str = "name";

/// Reads all items of a folder, in the order of their names. A folder that does not exist has none.
pub(super) fn read_items(folder: &Path, fields: &[&str]) -> Result<Vec<Value>, DeclaredConfigError> {
    let mut items = Vec::new();
    for path in toml_files(folder)? {
        let mut item = read_item(&path, fields)?;
        if item.contains_key(NAME_FIELD) {
            return Err(PathError { path, error: InvalidItem::NameField }.into());
        }
        let name = path.file_stem().map(|stem| stem.to_string_lossy().into_owned()).unwrap_or_default();
        item.insert(NAME_FIELD.into(), name.into());
        items.push(Value::Object(item));
    }
    Ok(items)
}

fn toml_files(folder: &Path) -> Result<Vec<PathBuf>, DeclaredConfigError> {
    let entries = match std::fs::read_dir(folder) {
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(Vec::new()),
        entries => entries.map_err(PathError::at(folder))?,
    };
    let paths: Result<Vec<PathBuf>, _> = entries.map(|entry| entry.map(|entry| entry.path())).collect();
    let mut paths = paths.map_err(PathError::at(folder))?;
    paths.retain(|path| path.extension().is_some_and(|extension| extension == "toml"));
    // The order of directory entries is arbitrary.
    paths.sort();
    Ok(paths)
}

/// Reads the file of an item. A field other than these is an error.
pub(super) fn read_item(path: &Path, fields: &[&str]) -> Result<Map<String, Value>, DeclaredConfigError> {
    let text = std::fs::read_to_string(path).map_err(PathError::at(path))?;
    Ok(parse_item(&text, fields).map_err(PathError::at(path))?)
}

fn parse_item(text: &str, fields: &[&str]) -> Result<Map<String, Value>, InvalidItem> {
    let item: Map<String, Value> = toml::from_str(text).map_err(|error| InvalidItem::Toml {
        line: error.span().map(|span| line_of(text, span.start)),
        message: error.message().replace('\n', " "),
    })?;
    match item.keys().find(|field| !fields.contains(&field.as_str())) {
        Some(field) => Err(InvalidItem::UnknownField(field.clone())),
        None => Ok(item),
    }
}

/// The number of the line that contains a byte offset, counted from 1.
fn line_of(text: &str, offset: usize) -> usize {
    text[..offset.min(text.len())].matches('\n').count() + 1
}

struct NewFile {
    path: PathBuf,
    text: String,
}

/// The files that a document is written as, and the fields of it that files don't support.
#[derive(Default)]
struct DocumentFiles {
    files: Vec<NewFile>,
    unsupported_fields: Vec<String>,
}

impl DocumentFiles {
    fn add(&mut self, path: PathBuf, item: &Value, fields: &[&str]) {
        let mut table = toml::Table::new();
        for (field, value) in item.as_object().into_iter().flatten().filter(|(field, _)| *field != NAME_FIELD)
        {
            match toml::Value::try_from(value) {
                Ok(value) if fields.contains(&field.as_str()) => {
                    table.insert(field.clone(), value);
                }
                _ => self.unsupported_fields.push(format!("{}: {field}", path.display())),
            }
        }
        self.files.push(NewFile { path, text: table.to_string() });
    }
}

/// Writes a document as files into a folder. An existing file is an error and is not overwritten. Fields that files don't
/// support are omitted; returns their names with the paths of their files.
pub fn write(document: &[u8], folder: &Path) -> Result<Vec<String>, DeclaredConfigError> {
    let document: Value = serde_json::from_slice(document)?;
    let mut output = DocumentFiles::default();
    for list in [&ROUTE_LIST, &SERVICE_LIST] {
        for (name, item) in by_name(&document[list.section]) {
            let file = file_name(&name).ok_or(DeclaredConfigError::Name(name))?;
            output.add(folder.join(list.folder).join(file), item, list.fields);
        }
    }
    if document[LIMITS_FILE.section].is_object() {
        output.add(folder.join(LIMITS_FILE.file), &document[LIMITS_FILE.section], LIMITS_FILE.fields);
    }
    for file in output.files {
        create(&file).map_err(PathError::at(&file.path))?;
    }
    Ok(output.unsupported_fields)
}

/// The name of an item's file; `None` if the name is empty, too long, hidden, or contains `/` or NUL.
fn file_name(item: &str) -> Option<String> {
    let is_valid = !item.is_empty()
        && item.len() <= MAX_NAME_BYTES
        && !item.starts_with('.')
        && !item.contains(['/', '\0']);
    is_valid.then(|| format!("{item}.toml"))
}

fn create(file: &NewFile) -> std::io::Result<()> {
    if let Some(parent) = file.path.parent() {
        std::fs::create_dir_all(parent)?;
    }
    std::fs::File::create_new(&file.path)?.write_all(file.text.as_bytes())
}
