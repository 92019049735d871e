//! Reads settings from their file.

use super::error::{InvalidSettings, SettingsError};
use super::model::{Settings, SETTINGS_VARIABLE};
use super::validation;

impl Settings {
    /// Reads the file that the environment names.
    ///
    /// # Errors
    ///
    /// When the environment names no file, or the file can't be read or is invalid.
    pub fn load() -> Result<Settings, SettingsError> {
        let path = std::env::var(SETTINGS_VARIABLE).map_err(|_| SettingsError::NoPath)?;
        match std::fs::read_to_string(&path) {
            Ok(text) => Settings::parse(&text).map_err(|what| SettingsError::Invalid { path, what }),
            Err(what) => Err(SettingsError::Unreadable { path, what }),
        }
    }

    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// When the text is not what the settings expect, or a value is out of its bounds. The error names the field or the line.
    pub fn parse(text: &str) -> Result<Settings, InvalidSettings> {
        let settings: Settings =
            toml::from_str(text).map_err(|error| InvalidSettings::syntax(text, &error))?;
        validation::check(&settings)?;
        Ok(settings)
    }
}
