//! Differences between a declared configuration and the active one, by item.

use std::collections::BTreeMap;
use std::fmt;

use serde_json::{Map, Value};

use super::schema::{ItemList, LIMITS_FILE, ROUTE_LIST, SERVICE_LIST};

/// The change of one field. `null` stands for a field that is not set.
#[derive(Debug, PartialEq)]
pub struct FieldChange {
    /// The active value.
    pub old: Value,
    /// The declared value.
    pub new: Value,
}

/// A difference in one item. Operators see its `Display` text.
#[derive(Debug, PartialEq)]
pub enum Difference {
    /// The item is declared and not active.
    Added {
        /// The section of the configuration: `paths` or `backends`.
        section: &'static str,
        /// The name of the route or service.
        name: String,
    },
    /// The item is active and not declared.
    Removed {
        /// The section of the configuration: `paths` or `backends`.
        section: &'static str,
        /// The name of the route or service.
        name: String,
    },
    /// Fields of the item differ.
    Changed {
        /// The section of the configuration: `paths`, `backends` or `reqLimits`.
        section: &'static str,
        /// The name of the route or service; empty for `reqLimits`.
        name: String,
        /// The fields that differ.
        fields: BTreeMap<String, FieldChange>,
    },
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Difference::Added { section, name } => write!(f, "+ {section} {name}"),
            Difference::Removed { section, name } => write!(f, "- {section} {name}"),
            Difference::Changed { section, name, fields } => {
                write!(f, "~ {section} {name}")?;
                for (field, FieldChange { old, new }) in fields {
                    write!(f, "\n    {field}: {old} -> {new}")?;
                }
                Ok(())
            }
        }
    }
}

/// All differences between the active document and a declared one.
pub(super) fn between(active: &Value, declared: &Map<String, Value>) -> Vec<Difference> {
    let declared = |section: &str| declared.get(section).unwrap_or(&Value::Null);
    let mut differences = Vec::new();
    for list in [&ROUTE_LIST, &SERVICE_LIST] {
        differences.extend(in_list(list, &active[list.section], declared(list.section)));
    }
    let limits = changed_fields(&active[LIMITS_FILE.section], declared(LIMITS_FILE.section));
    differences.extend(changed(LIMITS_FILE.section, String::new(), limits));
    differences
}

fn in_list(list: &ItemList, active: &Value, declared: &Value) -> Vec<Difference> {
    let (active, declared) = (by_name(active), by_name(declared));
    let section = list.section;
    let mut differences = Vec::new();
    for (name, item) in &declared {
        let name = name.clone();
        match active.get(&name) {
            None => differences.push(Difference::Added { section, name }),
            Some(active) => differences.extend(changed(section, name, changed_fields(active, item))),
        }
    }
    let removed = active.into_keys().filter(|name| !declared.contains_key(name));
    differences.extend(removed.map(|name| Difference::Removed { section, name }));
    differences
}

fn changed(section: &'static str, name: String, fields: BTreeMap<String, FieldChange>) -> Option<Difference> {
    (!fields.is_empty()).then_some(Difference::Changed { section, name, fields })
}

/// The items of a list by their names.
pub(super) fn by_name(list: &Value) -> BTreeMap<String, &Value> {
    let items = list.as_array().into_iter().flatten();
    items.filter_map(|item| Some((item["name"].as_str()?.to_owned(), item))).collect()
}

fn changed_fields(old: &Value, new: &Value) -> BTreeMap<String, FieldChange> {
    let empty = Map::new();
    let (old, new) = (old.as_object().unwrap_or(&empty), new.as_object().unwrap_or(&empty));
    let value = |item: &Map<String, Value>, name: &str| item.get(name).cloned().unwrap_or(Value::Null);
    let mut changes = BTreeMap::new();
    for name in old.keys().chain(new.keys()) {
        let change = FieldChange { old: value(old, name), new: value(new, name) };
        if !is_equal(&change.old, &change.new) {
            changes.insert(name.clone(), change);
        }
    }
    changes
}

/// Whether two values are equal, however their numbers are written: 40 equals 40.0.
fn is_equal(left: &Value, right: &Value) -> bool {
    match (left, right) {
        (Value::Number(left), Value::Number(right)) => left == right || left.as_f64() == right.as_f64(),
        (Value::Array(left), Value::Array(right)) => {
            left.len() == right.len() && left.iter().zip(right).all(|(left, right)| is_equal(left, right))
        }
        (Value::Object(left), Value::Object(right)) => {
            let has_equal_field =
                |(name, left): (&String, &Value)| right.get(name).is_some_and(|right| is_equal(left, right));
            left.len() == right.len() && left.iter().all(has_equal_field)
        }
        (left, right) => left == right,
    }
}
