use {
    pitchhitch_core::settings::{SettingsErrors, SettingsReader},
    std::net::SocketAddr,
};

/// Validated settings of the operator commands.
#[derive(Debug, Clone, PartialEq)]
pub struct OperatorSettings {
    /// Name of the operator; recorded with every change.
    pub operator: String,
    /// Address of the table service.
    pub table: SocketAddr,
    /// Address of the object store.
    pub objects: SocketAddr,
    /// Operator address of an entry process, for `drain`, `status` and `explain`.
    pub entry: Option<SocketAddr>,
    /// Address of the weight store; if set, `apply` checks that a model's active version is there.
    pub weights: Option<SocketAddr>,
}

impl OperatorSettings {
    /// Parses the text of a settings file; `file` names it in error messages.
    ///
    /// # Errors
    /// [`SettingsErrors`] with every problem found.
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
