use {
    pitchhitch_core::{
        route::RoutePolicy,
        settings::{SettingsErrors, SettingsReader},
        time::Micros,
    },
    std::{net::SocketAddr, time::Duration},
};

/// Validated settings of an entry process.
#[derive(Debug, Clone, PartialEq)]
pub struct EntrySettings {
    /// Id of the box.
    pub box_id: String,
    /// Failure domain of the box.
    pub failure_domain: String,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for operators and peers.
    pub operators: SocketAddr,
    /// Address on which beacons are received.
    pub beacons: SocketAddr,
    /// Address of the table service.
    pub table: SocketAddr,
    /// Address of the object store.
    pub objects: SocketAddr,
    /// Address of the service that lists the boxes.
    pub boxes: SocketAddr,
    /// Secret shared by all processes of the deployment, which authenticates beacons.
    pub beacon_secret: Option<String>,
    /// Number of traffic threads.
    pub traffic_threads: usize,
    /// Most requests that run at the same time.
    pub max_running: u32,
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
    /// Time within which a response must begin if the caller sets no deadline.
    pub default_deadline: Micros,
    /// Policy by which endpoints are chosen.
    pub policy: RoutePolicy,
    /// Interval at which the configuration is polled.
    pub table_poll: Duration,
    /// Time for which the process reports that it is not ready before it stops accepting requests.
    pub stop_notice: Duration,
    /// Maximum number of recent routing decisions that are stored for `pitchhitch explain`.
    pub explain_ring: usize,
    /// Address to which metrics are sent.
    pub metrics: Option<SocketAddr>,
}

impl EntrySettings {
    /// Parses the text of a settings file; `file` names it in error messages.
    ///
    /// # Errors
    /// [`SettingsErrors`] with every problem found.
    pub fn parse(
        file: &str,
        text: &str,
    ) -> Result<Self, SettingsErrors> {
        let mut reader = SettingsReader::parse(file, text)?;
        let policy_names = "one of estimate, round_robin, least_load, prefix_affinity, always_import, always_recompute";
        let settings = EntrySettings {
            box_id: reader.text("box_id"),
            failure_domain: reader.text("failure_domain"),
            callers: reader.address("callers"),
            operators: reader.address("operators"),
            beacons: reader.address("beacons"),
            table: reader.address("table"),
            objects: reader.address("objects"),
            boxes: reader.address("boxes"),
            beacon_secret: reader.optional_text("beacon_secret"),
            traffic_threads: reader.number("traffic_threads", 2, 1..=256) as usize,
            max_running: reader.number("max_running", 4_000, 1..=1_000_000) as u32,
            max_body_bytes: reader.number("max_body_bytes", 4 << 20, 1_024..=15 << 20),
            default_deadline: Micros::from_millis(reader.number(
                "default_deadline_ms",
                30_000,
                1..=86_400_000,
            )),
            policy: reader
                .value("policy", Some(RoutePolicy::default()), policy_names)
                .unwrap_or_default(),
            table_poll: millis(reader.number("table_poll_ms", 1_000, 50..=10_000)),
            stop_notice: millis(reader.number("stop_notice_ms", 2_000, 0..=600_000)),
            explain_ring: reader.number("explain_ring", 4_096, 1..=1_000_000) as usize,
            metrics: reader.optional_address("metrics"),
        };
        if settings.beacon_secret.is_none() && !settings.beacons.ip().is_loopback() {
            reader.add_problem(
                "beacon_secret",
                "nothing",
                "a secret, because 'beacons' is not a loopback address",
            );
        }
        reader.finish()?;
        Ok(settings)
    }
}

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}
