use {
    pitchhitch_core::{
        labels::LabelSet,
        route::EndpointKind,
        settings::{SettingsErrors, SettingsReader},
    },
    std::{net::SocketAddr, time::Duration},
};

/// Validated settings of an agent.
#[derive(Debug, Clone, PartialEq)]
pub struct AgentSettings {
    /// Id of the endpoint, identical to the id of its box in the box list.
    pub endpoint_id: String,
    /// Failure domain of the box.
    pub failure_domain: String,
    /// Group of endpoints that share store boxes.
    pub group: String,
    /// Kind of the endpoint. The version of an engine is replaced by the one it reports.
    pub kind: EndpointKind,
    /// Labels of the endpoint.
    pub labels: LabelSet,
    /// Address on which links are accepted.
    pub listen: SocketAddr,
    /// Address that beacons are sent from.
    pub beacons: SocketAddr,
    /// Address of the endpoint.
    pub endpoint: SocketAddr,
    /// Address of the table service.
    pub table: SocketAddr,
    /// Address of the box list service.
    pub boxes: SocketAddr,
    /// Secret shared by all processes of the deployment.
    pub beacon_secret: Option<String>,
    /// Maximum number of requests running on the endpoint.
    pub slots: u32,
    /// Maximum number of requests queued in addition.
    pub queue_limit: u32,
    /// Time between two beacons.
    pub beacon_interval: Duration,
    /// Health-check path of a plain service.
    pub health_path: String,
    /// Whether the endpoint verifies the fencing stamp of orders itself.
    pub checks_orders: bool,
    /// Maximum time to wait for running requests when the agent stops.
    pub stop_limit: Duration,
    /// Number of threads for traffic.
    pub traffic_threads: usize,
    /// Address that metrics are sent to; none to send no metrics.
    pub metrics: Option<SocketAddr>,
}

impl AgentSettings {
    /// Parses the text of a settings file.
    ///
    /// # Errors
    /// [`SettingsErrors`] with all problems in it.
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
                .value("labels", Some(LabelSet::default()), "an object of strings")
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
                "a secret, because 'listen' is not a loopback address",
            );
        }
        reader.finish()?;
        Ok(settings)
    }
}

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}
