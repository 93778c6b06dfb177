use {
    pitchhitch_core::settings::{SettingsErrors, SettingsReader},
    std::net::SocketAddr,
};

/// Settings of one process beside an engine, checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BesideSettings {
    /// Id of the box.
    pub box_id: String,
    /// Failure domain that the box stands in.
    pub failure_domain: String,
    /// Where the engine answers.
    pub engine: SocketAddr,
    /// Where fronts are heard.
    pub listen: SocketAddr,
    /// Where the platform's store answers.
    pub store: SocketAddr,
    /// Where metrics are read.
    pub metrics: Option<SocketAddr>,
}

impl BesideSettings {
    /// Reads the text of a settings file.
    ///
    /// # Errors
    /// [`SettingsErrors`] with everything that is wrong in it.
    pub fn parse(
        file: &str,
        text: &str,
    ) -> Result<Self, SettingsErrors> {
        let mut reader = SettingsReader::parse(file, text)?;
        let settings = BesideSettings {
            box_id: reader.text("box_id"),
            failure_domain: reader.text("failure_domain"),
            engine: reader.address("engine"),
            listen: reader.address("listen"),
            store: reader.address("store"),
            metrics: reader.optional_address("metrics"),
        };
        reader.finish()?;
        Ok(settings)
    }
}
