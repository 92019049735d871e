//! Changes to the configuration: a complete document, or a patch of named items.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::config::{Config, InvalidConfig, MAX_DOCUMENT_BYTES};

/// A change that an operator requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigChange {
    /// JSON of a complete document, which replaces the current one.
    Put(Vec<u8>),
    /// JSON of a patch: a new version, and items to insert, replace or remove by name.
    Patch(Vec<u8>),
}

/// The valid document that results from a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewDocument {
    /// Version of the document; above the version that the change was applied to.
    pub rev: u64,
    /// JSON text of the document, at most [`MAX_DOCUMENT_BYTES`] long.
    pub document: Vec<u8>,
}

/// The version field of a document, parsed without the other fields.
#[derive(Deserialize)]
struct Version {
    rev: u64,
}

impl ConfigChange {
    /// The version that the change results in; `None` if the change cannot be parsed.
    pub fn rev(&self) -> Option<u64> {
        match self {
            ConfigChange::Put(bytes) => {
                serde_json::from_slice::<Version>(bytes).ok().map(|version| version.rev)
            }
            // Parsed in the same way as in `apply`: if a field occurs twice, the last one counts.
            ConfigChange::Patch(bytes) => parse_object(bytes).ok()?.get("rev")?.as_u64(),
        }
    }

    /// Applies the change to the document `current`, whose version is `current_rev`.
    ///
    /// # Errors
    ///
    /// [`InvalidConfig`] if the result is not a valid document, is too large, or has a version that is not above
    /// `current_rev`.
    pub fn apply(&self, current: &[u8], current_rev: u64) -> Result<NewDocument, InvalidConfig> {
        let document = match self {
            ConfigChange::Put(bytes) => bytes.clone(),
            ConfigChange::Patch(bytes) => apply_patch(current, bytes)?,
        };
        if document.len() > MAX_DOCUMENT_BYTES {
            return Err(InvalidConfig::TooLarge(document.len()));
        }
        let rev = Config::parse(&document)?.rev;
        if rev <= current_rev {
            return Err(InvalidConfig::OldVersion { current: current_rev, got: rev });
        }
        Ok(NewDocument { rev, document })
    }
}

fn unreadable(reason: &str) -> InvalidConfig {
    InvalidConfig::Unreadable(reason.to_owned())
}

fn parse_object(bytes: &[u8]) -> Result<Map<String, Value>, InvalidConfig> {
    serde_json::from_slice(bytes).map_err(|error| InvalidConfig::Unreadable(error.to_string()))
}

/// Applies a patch to the current document. Removals come first, so that a patch can remove an item and insert another
/// one with the same name.
fn apply_patch(current: &[u8], patch: &[u8]) -> Result<Vec<u8>, InvalidConfig> {
    let mut document = if current.is_empty() { Map::new() } else { parse_object(current)? };
    let mut patch = parse_object(patch)?;
    let rev = patch.remove("rev").ok_or_else(|| unreadable("missing field `rev`"))?;
    document.insert("rev".to_owned(), rev);
    for (list_name, names) in take_section(&mut patch, "remove")? {
        remove_items(&mut document, &list_name, names)?;
    }
    for (list_name, items) in take_section(&mut patch, "upsert")? {
        upsert_items(&mut document, list_name, items)?;
    }
    serde_json::to_vec(&document).map_err(|error| InvalidConfig::Unreadable(error.to_string()))
}

/// Removes a section from a patch and returns it. A section is an object of lists, which may be missing or `null`.
fn take_section(patch: &mut Map<String, Value>, name: &str) -> Result<Map<String, Value>, InvalidConfig> {
    match patch.remove(name) {
        None | Some(Value::Null) => Ok(Map::new()),
        Some(Value::Object(lists)) => Ok(lists),
        Some(_) => Err(unreadable(&format!("{name}: an object of lists expected"))),
    }
}

/// Removes the items with these names from a list of the document. Unknown names are ignored.
fn remove_items(
    document: &mut Map<String, Value>,
    list_name: &str,
    names: Value,
) -> Result<(), InvalidConfig> {
    let Value::Array(names) = names else { return Err(unreadable("remove: lists of names expected")) };
    if let Some(Value::Array(items)) = document.get_mut(list_name) {
        items.retain(|item| !names.contains(&item["name"]));
    }
    Ok(())
}

/// Adds the new items to a list of the document. An item with the same name as a new one is replaced.
fn upsert_items(
    document: &mut Map<String, Value>,
    list_name: String,
    new_items: Value,
) -> Result<(), InvalidConfig> {
    let Value::Array(new_items) = new_items else {
        // A value that is not a list of named items, such as `reqLimits`, is replaced completely.
        document.insert(list_name, new_items);
        return Ok(());
    };
    let items = document.entry(list_name).or_insert_with(|| Value::Array(Vec::new()));
    let Value::Array(items) = items else { return Err(unreadable("upsert: not a list")) };
    for new_item in new_items {
        if !new_item["name"].is_string() {
            return Err(unreadable("upsert: an item without a name"));
        }
        match items.iter_mut().find(|item| item["name"] == new_item["name"]) {
            Some(item) => *item = new_item,
            None => items.push(new_item),
        }
    }
    Ok(())
}
