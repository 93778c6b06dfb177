use std::{error::Error, fmt};

/// One thing that is wrong in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsProblem {
    /// Path of the field, with dots.
    pub field: String,
    /// What stands there.
    pub found: String,
    /// What should stand there.
    pub wanted: String,
}

/// Everything that is wrong in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsErrors {
    /// The file.
    pub file: String,
    /// The problems, in the order of the fields.
    pub problems: Vec<SettingsProblem>,
}

impl fmt::Display for SettingsErrors {
    fn fmt(
        &self,
        f: &mut fmt::Formatter<'_>,
    ) -> fmt::Result {
        for (index, problem) in self.problems.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            let SettingsProblem {
                field,
                found,
                wanted,
            } = problem;
            write!(f, "{}: {field}: found {found}, wanted {wanted}", self.file)?;
        }
        Ok(())
    }
}

impl Error for SettingsErrors {}
