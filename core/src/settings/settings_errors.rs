use std::{error::Error, fmt};

/// A problem in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsProblem {
    /// Dotted path of the field.
    pub field: String,
    /// Value that was found.
    pub found: String,
    /// Description of valid values.
    pub wanted: String,
}

/// All problems in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsErrors {
    /// Name of the file.
    pub file: String,
    /// The problems, in the order in which the fields were read.
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
