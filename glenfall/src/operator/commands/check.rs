//! `check`: validates a settings file or a configuration.

use std::path::Path;

use glenfall_control_plane::config::Config;

use super::error::{InvalidFile, OperatorError};
use crate::operator::PathError;
use crate::settings::Settings;

/// Reads a file; an error contains the path.
pub(super) fn read_file(path: &Path) -> Result<Vec<u8>, OperatorError> {
    Ok(std::fs::read(path).map_err(PathError::at(path))?)
}

/// Validates a settings file (TOML) or a configuration (JSON); returns a line that summarizes the file.
pub fn check(path: &Path) -> Result<String, OperatorError> {
    let bytes = read_file(path)?;
    let is_json = bytes.iter().find(|byte| !byte.is_ascii_whitespace()) == Some(&b'{');
    let checked = if is_json { check_config(&bytes) } else { check_settings(bytes) };
    Ok(checked.map_err(PathError::at(path))?)
}

fn check_config(document: &[u8]) -> Result<String, InvalidFile> {
    let config = Config::parse(document)?;
    let (paths, backends) = (config.paths.len(), config.backends.len());
    Ok(format!("configuration {}: {paths} paths, {backends} backends", config.rev))
}

fn check_settings(bytes: Vec<u8>) -> Result<String, InvalidFile> {
    let text = String::from_utf8(bytes)?;
    let settings = Settings::parse(&text).map_err(|error| InvalidFile::Settings(error.to_string()))?;
    settings.chain_settings()?;
    Ok(format!("settings of {} in zone {}", settings.node, settings.zone))
}
