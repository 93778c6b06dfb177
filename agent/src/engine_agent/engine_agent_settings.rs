use {
    pitchhitch_core::{
        settings::{SettingsErrors, SettingsReader},
        time::Micros,
    },
    pitchhitch_wire::beacon::BeaconKey,
    std::net::SocketAddr,
};

/// Settings of one process beside an engine, checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineAgentSettings {
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
    /// Gap that engines are owed between orders of two boxes.
    pub order_gap: Micros,
    /// Key that proves handed state to be of one of ours, where a secret is set.
    pub peer_key: Option<BeaconKey>,
}

impl EngineAgentSettings {
    /// Reads the text of a settings file.
    ///
    /// # Errors
    /// [`SettingsErrors`] with everything that is wrong in it.
    pub fn parse(
        file: &str,
        text: &str,
    ) -> Result<Self, SettingsErrors> {
        let mut reader = SettingsReader::parse(file, text)?;
        let secret = reader.optional_text("peer_secret");
        let settings = EngineAgentSettings {
            box_id: reader.text("box_id"),
            failure_domain: reader.text("failure_domain"),
            engine: reader.address("engine"),
            listen: reader.address("listen"),
            store: reader.address("store"),
            metrics: reader.optional_address("metrics"),
            order_gap: reader.millis("order_gap_ms", 3_000.0, 0.0..=600_000.0),
            peer_key: secret.map(|secret| BeaconKey::from_secret(&secret)),
        };
        reader.finish()?;
        Ok(settings)
    }
}
