//! Typed access to the fields of a JSON object.

use serde_json::{Map, Value};

/// A JSON object.
pub type Object = Map<String, Value>;

/// Why settings cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum ParseError {
    /// The settings are not a JSON object.
    #[error("settings as a JSON object expected")]
    NotAnObject,
    /// A list holds other values than objects.
    #[error("setting {0}: objects expected")]
    ElementsNotObjects(&'static str),
    /// A setting has another JSON type than expected.
    #[error("setting {name}: {expected} expected, got {found}")]
    WrongType {
        /// The setting.
        name: String,
        /// The type that is expected, in words.
        expected: &'static str,
        /// The value found.
        found: Value,
    },
    /// A setting is required and missing.
    #[error("setting {0}: missing")]
    Missing(String),
    /// A count is larger than can be handled.
    #[error("setting {0}: too many")]
    TooMany(&'static str),
    /// The mode of membership is unknown.
    #[error("setting membership-mode: pushed or on_request expected, got {0}")]
    UnknownMembershipMode(String),
    /// A retry budget has no window, so that its figures mean nothing.
    #[error("setting guarantees.budget-span-s: missing beside extra-free or resend-ratio")]
    NoRetryWindow,
}

/// An optional setting; `None` if it is missing or null. `read` is the conversion to `expected`, a JSON type.
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

/// An optional whole number.
pub fn whole_number(from: &Object, name: &str) -> Result<Option<u64>, ParseError> {
    optional(from, name, "a whole number", Value::as_u64)
}

/// An optional text.
pub fn text<'a>(from: &'a Object, name: &str) -> Result<Option<&'a str>, ParseError> {
    optional(from, name, "a text", Value::as_str)
}

/// An optional truth value.
pub fn flag(from: &Object, name: &str) -> Result<Option<bool>, ParseError> {
    optional(from, name, "true or false", Value::as_bool)
}

/// An optional list.
pub fn list<'a>(from: &'a Object, name: &str) -> Result<Option<&'a Vec<Value>>, ParseError> {
    optional(from, name, "a list", Value::as_array)
}

/// The object of this name; `None` if there is none, also if there is another value.
pub fn object<'a>(from: &'a Object, name: &str) -> Option<&'a Object> {
    from.get(name).and_then(Value::as_object)
}

/// Turns a missing value into an error that names its setting.
pub fn required<T>(name: &str, value: Option<T>) -> Result<T, ParseError> {
    value.ok_or_else(|| ParseError::Missing(name.to_owned()))
}
