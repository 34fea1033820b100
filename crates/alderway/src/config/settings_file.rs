//! Files with settings that operators propose.
use super::error::CommandError;
use crate::settings;
use serde_json::Value;
use std::path::Path;

/// Settings and the file that they were read from.
pub(super) struct SettingsFile {
    /// The path as given by the operator.
    pub(super) name: String,
    text: String,
    pub(super) settings: Value,
}

impl SettingsFile {
    /// Reads a file and checks its settings as a router does at its start.
    pub(super) fn read(path: &Path) -> Result<SettingsFile, CommandError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|source| CommandError::UnreadableFile { file: name.clone(), source })?;
        let settings = settings::read(&name, &text)?;
        let file = SettingsFile { name, text, settings };
        settings::check(&file.settings, None).map_err(|invalid| file.invalid(&invalid.0))?;
        Ok(file)
    }

    /// The error for settings that a check rejected, with the line of the key that `reason` names.
    pub(super) fn invalid(&self, reason: &str) -> CommandError {
        CommandError::InvalidSettings(settings::located(&self.name, &self.text, reason))
    }
}
