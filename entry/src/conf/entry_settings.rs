use {
    pitchhitch_core::{
        route::RoutePolicy,
        settings::{SettingsErrors, SettingsReader},
        time::Micros,
    },
    std::{net::SocketAddr, time::Duration},
};

/// Settings of one entry process, checked.
#[derive(Debug, Clone, PartialEq)]
pub struct EntrySettings {
    /// Id of the box.
    pub box_id: String,
    /// Failure domain that the box stands in.
    pub failure_domain: String,
    /// Where callers are served.
    pub callers: SocketAddr,
    /// Where operators and peers are served.
    pub operators: SocketAddr,
    /// Where beacons are taken.
    pub beacons: SocketAddr,
    /// Where the table service answers.
    pub table: SocketAddr,
    /// Where the object store answers.
    pub objects: SocketAddr,
    /// Where the box list answers.
    pub boxes: SocketAddr,
    /// Secret shared by all processes of the deployment.
    pub beacon_secret: Option<String>,
    /// Threads for traffic.
    pub traffic_threads: usize,
    /// Requests that run at the same time at most.
    pub max_running: u32,
    /// Longest body of a request, in bytes.
    pub max_body_bytes: u64,
    /// Time within which an answer must begin where the caller does not say.
    pub default_deadline: Micros,
    /// How endpoints are chosen.
    pub policy: RoutePolicy,
    /// Time between two looks at the configuration.
    pub table_poll: Duration,
    /// Time for which the process says that it is not ready before it stops.
    pub stop_notice: Duration,
    /// Decisions that are kept for explaining.
    pub explain_ring: usize,
    /// Where metrics are sent.
    pub metrics: Option<SocketAddr>,
}

impl EntrySettings {
    /// Reads the text of a settings file.
    ///
    /// # Errors
    /// [`SettingsErrors`] with everything that is wrong in it.
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
                "a secret, as 'beacons' is no loopback address",
            );
        }
        reader.finish()?;
        Ok(settings)
    }
}

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}
