use {
    pitchhitch_core::{
        settings::{SettingsErrors, SettingsReader},
        time::Micros,
    },
    pitchhitch_wire::beacon::BeaconKey,
    std::net::SocketAddr,
};

/// Validated settings of the agent of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineAgentSettings {
    /// Id of the box.
    pub box_id: String,
    /// Failure domain of the box.
    pub failure_domain: String,
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Address for greetings (UDP) and for requests for the state snapshot (TCP).
    pub listen: SocketAddr,
    /// Address of the platform store.
    pub store: SocketAddr,
    /// Address at which metrics are served, if any.
    pub metrics: Option<SocketAddr>,
    /// Minimum gap that engines require between orders of two boxes.
    pub order_gap: Micros,
    /// Key that authenticates datagrams and state snapshots, if a secret is set.
    pub peer_key: Option<BeaconKey>,
}

impl EngineAgentSettings {
    /// Parses the text of a settings file.
    ///
    /// # Errors
    /// [`SettingsErrors`] with all problems found.
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
