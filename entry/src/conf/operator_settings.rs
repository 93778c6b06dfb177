use {
    pitchhitch_core::settings::{SettingsErrors, SettingsReader},
    std::net::SocketAddr,
};

/// Settings of the operator's commands, checked.
#[derive(Debug, Clone, PartialEq)]
pub struct OperatorSettings {
    /// Who gives the commands; recorded with every change.
    pub operator: String,
    /// Where the table service answers.
    pub table: SocketAddr,
    /// Where the object store answers.
    pub objects: SocketAddr,
    /// Operator address of an entry process, for status and explanations.
    pub entry: Option<SocketAddr>,
    /// Where the weight store answers; versions are looked up there if it is given.
    pub weights: Option<SocketAddr>,
}

impl OperatorSettings {
    /// Reads the text of a settings file.
    ///
    /// # Errors
    /// [`SettingsErrors`] with everything that is wrong in it.
    pub fn parse(
        file: &str,
        text: &str,
    ) -> Result<Self, SettingsErrors> {
        let mut reader = SettingsReader::parse(file, text)?;
        let settings = OperatorSettings {
            operator: reader.text("operator"),
            table: reader.address("table"),
            objects: reader.address("objects"),
            entry: reader.optional_address("entry"),
            weights: reader.optional_address("weights"),
        };
        reader.finish()?;
        Ok(settings)
    }
}
