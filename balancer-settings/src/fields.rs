//! Typed access to the fields of a JSON object.

use serde_json::{Map, Value};

/// A JSON object.
pub type Object = Map<String, Value>;

/// Why settings cannot be parsed.
#[derive(Debug, thiserror::Error)]
pub enum ParseError {
    /// The settings are not a JSON object.
    #[error("settings: expected a JSON object")]
    NotAnObject,
    /// A list has an element that is not an object.
    #[error("setting {0}: expected a list of objects")]
    ElementsNotObjects(&'static str),
    /// A setting has another JSON type than expected.
    #[error("setting {name}: expected {expected}, got {found}")]
    WrongType {
        /// The name of the setting.
        name: String,
        /// The expected type, in words.
        expected: &'static str,
        /// The value in the settings.
        found: Value,
    },
    /// A required setting is missing.
    #[error("setting {0}: missing")]
    Missing(String),
    /// A count does not fit in 32 bits.
    #[error("setting {0}: count does not fit in 32 bits")]
    TooMany(&'static str),
    /// `membership-mode` has an unknown value.
    #[error("setting membership-mode: expected pushed or on_request, got {0}")]
    UnknownMembershipMode(String),
    /// A retry budget has a minimum or a ratio, but no window that these apply to.
    #[error("setting guarantees.budget-span-s: missing, but required with extra-free or resend-ratio")]
    NoRetryWindow,
}

/// An optional setting; `None` if it is missing or null. `read` converts the JSON value to the type that
/// `expected` describes.
fn optional<'a, T>(
    from: &'a Object,
    name: &str,
    expected: &'static str,
    read: impl Fn(&'a Value) -> Option<T>,
) -> Result<Option<T>, ParseError> {
    let Some(value) = from.get(name).filter(|value| !value.is_null()) else { return Ok(None) };
    let wrong_type = || ParseError::WrongType { name: name.to_owned(), expected, found: value.clone() };
    read(value).map(Some).ok_or_else(wrong_type)
}

/// An optional number.
pub fn number(from: &Object, name: &str) -> Result<Option<f64>, ParseError> {
    optional(from, name, "a number", Value::as_f64)
}

/// An optional non-negative integer.
pub fn unsigned_integer(from: &Object, name: &str) -> Result<Option<u64>, ParseError> {
    optional(from, name, "a non-negative integer", Value::as_u64)
}

/// An optional string.
pub fn text<'a>(from: &'a Object, name: &str) -> Result<Option<&'a str>, ParseError> {
    optional(from, name, "a string", Value::as_str)
}

/// An optional Boolean.
pub fn flag(from: &Object, name: &str) -> Result<Option<bool>, ParseError> {
    optional(from, name, "true or false", Value::as_bool)
}

/// An optional list.
pub fn list<'a>(from: &'a Object, name: &str) -> Result<Option<&'a Vec<Value>>, ParseError> {
    optional(from, name, "a list", Value::as_array)
}

/// The object of this name; `None` if it is missing or not an object.
pub fn object<'a>(from: &'a Object, name: &str) -> Option<&'a Object> {
    from.get(name).and_then(Value::as_object)
}

/// Returns the value, or an error that names the missing setting.
pub fn required<T>(name: &str, value: Option<T>) -> Result<T, ParseError> {
    value.ok_or_else(|| ParseError::Missing(name.to_owned()))
}
