//! Reads the settings file.

use super::error::{InvalidSettings, SettingsError};
use super::model::{Settings, SETTINGS_VARIABLE};
use super::validation;

impl Settings {
    /// Reads the file whose path is in the environment variable [`SETTINGS_VARIABLE`].
    ///
    /// # Errors
    ///
    /// When the variable is not set, or the file can't be read or is invalid.
    pub fn load() -> Result<Settings, SettingsError> {
        let path = std::env::var(SETTINGS_VARIABLE).map_err(|_| SettingsError::NoPath)?;
        match std::fs::read_to_string(&path) {
            Ok(text) => Settings::parse(&text).map_err(|error| SettingsError::Invalid { path, error }),
            Err(error) => Err(SettingsError::Unreadable { path, error }),
        }
    }

    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// When the text is not valid TOML, a field is missing or has a wrong type, or a value is out of its bounds. The
    /// error names the field or the line.
    pub fn parse(text: &str) -> Result<Settings, InvalidSettings> {
        let settings: Settings =
            toml::from_str(text).map_err(|error| InvalidSettings::syntax(text, &error))?;
        validation::check(&settings)?;
        Ok(settings)
    }
}
