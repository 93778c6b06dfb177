use {
    pitchhitch_core::{
        labels::LabelSet,
        route::EndpointKind,
        settings::{SettingsErrors, SettingsReader},
    },
    std::{net::SocketAddr, time::Duration},
};

/// Settings of one agent, checked.
#[derive(Debug, Clone, PartialEq)]
pub struct AgentSettings {
    /// Id of the endpoint, the same as that of its box.
    pub endpoint_id: String,
    /// Failure domain that the box stands in.
    pub failure_domain: String,
    /// Group that shares a store.
    pub group: String,
    /// What the endpoint is; the version of an engine is corrected by the engine itself.
    pub kind: EndpointKind,
    /// Labels of the endpoint.
    pub labels: LabelSet,
    /// Where links are taken.
    pub listen: SocketAddr,
    /// Where beacons are sent from.
    pub beacons: SocketAddr,
    /// Where the endpoint answers.
    pub endpoint: SocketAddr,
    /// Where the table service answers.
    pub table: SocketAddr,
    /// Where the box list answers.
    pub boxes: SocketAddr,
    /// Secret shared by all processes of the deployment.
    pub beacon_secret: Option<String>,
    /// Requests that the endpoint runs at the same time at most.
    pub slots: u32,
    /// Requests that may wait beyond those.
    pub queue_limit: u32,
    /// Time between two beacons.
    pub beacon_interval: Duration,
    /// Path that a plain service answers when it is well.
    pub health_path: String,
    /// Whether the endpoint itself checks who orders it.
    pub checks_orders: bool,
    /// Longest wait for running requests at a planned stop.
    pub stop_limit: Duration,
    /// Threads for traffic.
    pub traffic_threads: usize,
    /// Where metrics are sent.
    pub metrics: Option<SocketAddr>,
}

impl AgentSettings {
    /// Reads the text of a settings file.
    ///
    /// # Errors
    /// [`SettingsErrors`] with everything that is wrong in it.
    pub fn parse(
        file: &str,
        text: &str,
    ) -> Result<Self, SettingsErrors> {
        let mut reader = SettingsReader::parse(file, text)?;
        let fallback = EndpointKind::Service {
            service: String::new(),
        };
        let kind_format =
            r#"{"engine": {"model": ..., "version": ...}} or {"service": {"service": ...}}"#;
        let settings = AgentSettings {
            endpoint_id: reader.text("endpoint_id"),
            failure_domain: reader.text("failure_domain"),
            group: reader.text("group"),
            kind: reader.value("kind", None, kind_format).unwrap_or(fallback),
            labels: reader
                .value("labels", Some(LabelSet::default()), "an object of texts")
                .unwrap_or_default(),
            listen: reader.address("listen"),
            beacons: reader.address("beacons"),
            endpoint: reader.address("endpoint"),
            table: reader.address("table"),
            boxes: reader.address("boxes"),
            beacon_secret: reader.optional_text("beacon_secret"),
            slots: reader.number("slots", 32, 1..=100_000) as u32,
            queue_limit: reader.number("queue_limit", 64, 1..=100_000) as u32,
            beacon_interval: millis(reader.number("beacon_interval_ms", 500, 50..=10_000)),
            health_path: reader
                .optional_text("health_path")
                .unwrap_or("/healthz".to_string()),
            checks_orders: reader.flag("checks_orders", false),
            stop_limit: millis(reader.number("stop_limit_ms", 600_000, 0..=86_400_000)),
            traffic_threads: reader.number("traffic_threads", 1, 1..=256) as usize,
            metrics: reader.optional_address("metrics"),
        };
        if settings.beacon_secret.is_none() && !settings.listen.ip().is_loopback() {
            reader.add_problem(
                "beacon_secret",
                "nothing",
                "a secret, as 'listen' is no loopback address",
            );
        }
        reader.finish()?;
        Ok(settings)
    }
}

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}
