//! Reads and checks the file with the settings that an operator proposes.
use super::error::CommandError;
use crate::settings;
use serde_json::Value;
use std::path::Path;

/// A file that contains settings.
pub(super) struct SettingsFile {
    /// The path as given by the operator.
    pub(super) name: String,
    text: String,
    pub(super) settings: Value,
}

impl SettingsFile {
    /// Reads a file and checks its settings as a router does at startup.
    pub(super) fn read(path: &Path) -> Result<SettingsFile, CommandError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|source| CommandError::UnreadableFile { file: name.clone(), source })?;
        let settings = settings::read(&name, &text)?;
        let file = SettingsFile { name, text, settings };
        settings::check(&file.settings, None).map_err(|invalid| file.invalid_settings_error(&invalid.0))?;
        Ok(file)
    }

    /// Creates the error for settings that a check rejected: the file name, the line number of the key that
    /// `reason` names, and `reason`.
    pub(super) fn invalid_settings_error(&self, reason: &str) -> CommandError {
        CommandError::InvalidSettings(settings::with_location(&self.name, &self.text, reason))
    }
}
