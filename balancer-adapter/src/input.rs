//! Reads input lines and the values on them.

use std::io::BufRead;
use std::str::FromStr;

use glenfall_balancer::{Seconds, ServerId};

use crate::error::AdapterError;

/// Reads input lines and counts them.
pub struct Lines<R> {
    input: R,
    number: u64,
}

impl<R: BufRead> Lines<R> {
    /// Reads the lines of `input`.
    pub fn new(input: R) -> Self {
        Lines { input, number: 0 }
    }

    /// The number of the last line read, from 1.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// The next line without its end; `None` at the end of the input.
    pub fn next(&mut self) -> Result<Option<String>, AdapterError> {
        let mut line = String::new();
        self.number += 1;
        let length = self.input.read_line(&mut line).map_err(|_| AdapterError::Missing("UTF-8 text"))?;
        line.truncate(line.trim_end_matches(['\n', '\r']).len());
        Ok((length > 0).then_some(line))
    }
}

/// Reads the values of a line in order. A missing value or `-` is `None`.
pub struct Fields<'a> {
    remaining: Option<&'a str>,
}

impl<'a> Fields<'a> {
    /// Reads the values of this line.
    pub fn of(line: &'a str) -> Self {
        Fields { remaining: Some(line) }
    }

    /// The part of the line after the values already read.
    pub fn remaining(&self) -> &'a str {
        self.remaining.unwrap_or("")
    }

    /// The next value as text.
    pub fn text(&mut self) -> Option<&'a str> {
        let remaining = self.remaining?;
        let (value, remaining) = match remaining.split_once(' ') {
            Some((value, remaining)) => (value, Some(remaining)),
            None => (remaining, None),
        };
        self.remaining = remaining;
        (value != "-" && !value.is_empty()).then_some(value)
    }

    /// The next value, which is optional.
    pub fn optional<T: FromStr>(&mut self, expected: &'static str) -> Result<Option<T>, AdapterError> {
        let Some(value) = self.text() else { return Ok(None) };
        let unreadable = |_| AdapterError::Unreadable { expected, found: value.to_owned() };
        value.parse().map(Some).map_err(unreadable)
    }

    /// The next value, which is required.
    pub fn required<T: FromStr>(&mut self, expected: &'static str) -> Result<T, AdapterError> {
        self.optional(expected)?.ok_or(AdapterError::Missing(expected))
    }

    /// The next value as a finite number, such as a time in seconds, which is optional.
    pub fn number(&mut self, expected: &'static str) -> Result<Option<Seconds>, AdapterError> {
        match self.optional::<f64>(expected)? {
            Some(value) if !value.is_finite() => {
                Err(AdapterError::Unreadable { expected, found: value.to_string() })
            }
            value => Ok(value),
        }
    }

    /// The next value as the name of a server.
    pub fn server(&mut self) -> Result<ServerId, AdapterError> {
        let name = self.text().ok_or(AdapterError::Missing("a server address"))?;
        Ok(ServerId(name.into()))
    }
}
