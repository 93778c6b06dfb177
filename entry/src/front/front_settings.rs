use {
    pitchhitch_core::{
        serving::{
            KeyPolicy, MechanismSet, RetryLimit, ServingMechanism, SlowStartBound, REWRITE_DELAY,
        },
        settings::{SettingsErrors, SettingsReader},
        time::Micros,
    },
    pitchhitch_wire::beacon::BeaconKey,
    std::{collections::BTreeMap, net::SocketAddr, ops::RangeInclusive, time::Duration},
};

/// Validated settings of a front process.
#[derive(Debug, Clone, PartialEq)]
pub struct FrontSettings {
    /// Id of the box.
    pub box_id: String,
    /// Failure domain of the box.
    pub failure_domain: String,
    /// Regions by failure domain.
    pub regions: BTreeMap<String, String>,
    /// Listening address for callers.
    pub callers: SocketAddr,
    /// Listening address for readiness probes of the load balancer.
    pub ready: SocketAddr,
    /// Listening address for metrics.
    pub metrics: Option<SocketAddr>,
    /// Listening address for digests of engine agents.
    pub digests: SocketAddr,
    /// Listening address at which starting processes request the state snapshot, in addition to
    /// `digests`.
    pub control: Option<SocketAddr>,
    /// Fronts that may provide a state snapshot while the platform store cannot be reached.
    pub seeds: Vec<SocketAddr>,
    /// Key that authenticates state snapshots, if a secret is set.
    pub peer_key: Option<BeaconKey>,
    /// Port of the engine agents.
    pub agent_port: u16,
    /// Address of the platform store.
    pub store: SocketAddr,
    /// Maximum age at which the known keys count as fresh.
    pub key_limit: Micros,
    /// How callers with keys are treated beyond that age.
    pub key_policy: KeyPolicy,
    /// Time after which an endpoint known to be leaving must not receive new requests.
    pub drain_limit: Micros,
    /// Interval at which endpoints renew their entries in the list.
    pub heartbeat: Micros,
    /// Time after the publication of newer weights after which no request is sent to an engine with
    /// older ones.
    pub weights_limit: Micros,
    /// Time after the publication of newer weights after which no request begins to run on older
    /// ones: requests that wait at an engine are cancelled.
    pub execution_limit: Micros,
    /// Limit on retries.
    pub retry_limit: RetryLimit,
    /// Limit on requests to endpoints during their slow start.
    pub slow_start: SlowStartBound,
    /// Maximum share of a service's requests that a version may receive before a roll-out of it is
    /// done.
    pub rollout_share: f64,
    /// Time within which requests to a version end after it has proven to be bad.
    pub rollback_limit: Micros,
    /// Minimum time between orders of two boxes to the same engine.
    pub order_gap: Micros,
    /// Time between SIGTERM and the forced end of the process.
    pub stop_limit: Duration,
    /// Memory limit of the process, in megabytes.
    pub memory_mb: u64,
    /// Limit on the descriptors of the process, if it is lower than that of the operating system.
    pub max_descriptors: Option<usize>,
    /// Mechanisms of the decisions that are disabled, for experiments.
    pub disabled_mechanisms: MechanismSet,
}

/// Valid range of limits, in milliseconds.
const LIMIT_RANGE_MS: RangeInclusive<f64> = 1.0..=600_000.0;
/// Valid range of durations, in seconds.
const DURATION_RANGE_S: RangeInclusive<f64> = 0.001..=3_600.0;

/// Used share of the platform's limit on the age of keys, in percent. The rest covers the transit
/// of a request and clock drift.
const KEY_LIMIT_PERCENT: u64 = 85;

/// Time that a request may wait at an engine before it begins to run.
const ENGINE_QUEUE_MARGIN: Micros = Micros::from_millis(2_500);
/// Time for an engine to detect that a request was cancelled, and for the first event of a request
/// that it began before to arrive.
const CANCEL_MARGIN: Micros = Micros::from_millis(400);

/// Interval between two reads of the endpoint list, in percent of the drain limit. Each read has a
/// cost; the rest covers a slow response of the store and requests in transit to the endpoint.
const LIST_POLL_PERCENT: u64 = 40;
/// Time that a read of the list by a front that relies on others may take until it has an effect: the
/// check whether it is due, late timers, and a response that gets lost once.
const LIST_READ_RESERVE: Micros = Micros::from_millis(800);
/// Minimum duration of a store outage in which entries of the endpoint list may lapse, in percent of
/// the heartbeat interval. They lapse after three heartbeats; the last one may have been due just
/// before the outage, and the measured duration may be too short by the age of a report.
const MIN_OUTAGE_PERCENT: u64 = 150;
/// Heartbeats of silence after which an entry of the endpoint list lapses.
const LAPSE_HEARTBEATS: u64 = 3;
/// Duration of a long poll for changes of the configuration, in percent of the limit on the age of
/// keys. A response proves freshness as of the time of its request, so a box that loses the store
/// serves callers with keys only for the rest of the limit. A third would leave too little for an
/// outage of 6 s where keys fail closed.
const CONFIG_POLL_PERCENT: u64 = 25;
/// Maximum interval between two reads of the endpoint list, even if endpoints may take longer to
/// leave: the list also shows new endpoints.
const MAX_LIST_POLL_INTERVAL: Micros = Micros::from_millis(2_000);
/// Maximum duration of a long poll, even if keys may be older: a dead connection is only detected
/// at its end, and delays new configurations until then.
const MAX_CONFIG_POLL_WAIT: Micros = Micros::from_millis(1_400);

impl FrontSettings {
    /// Interval between two reads of the endpoint list.
    pub fn list_poll_interval(&self) -> Micros {
        Micros(self.drain_limit.0 * LIST_POLL_PERCENT / 100).min(MAX_LIST_POLL_INTERVAL)
    }

    /// Age of the known endpoint list at which a front that relies on the reads of others reads it
    /// itself.
    pub fn max_list_age(&self) -> Micros {
        let half = Micros(self.drain_limit.0 / 2);
        self.drain_limit.since(LIST_READ_RESERVE).max(half)
    }

    /// Minimum duration of a store outage in which entries of the endpoint list may lapse.
    pub fn min_outage(&self) -> Micros {
        Micros(self.heartbeat.0 * MIN_OUTAGE_PERCENT / 100)
    }

    /// Longest time for which the entry of an endpoint stays that no longer writes it: writes may be
    /// applied late.
    pub fn entry_lapse_time(&self) -> Micros {
        Micros(self.heartbeat.0 * LAPSE_HEARTBEATS) + REWRITE_DELAY
    }

    /// Region of a failure domain, if known.
    pub fn region(
        &self,
        domain: &str,
    ) -> Option<&str> {
        self.regions.get(domain).map(String::as_str)
    }

    /// Duration of a long poll for changes of the configuration.
    pub fn config_poll_wait(&self) -> Micros {
        Micros(self.key_limit.0 * CONFIG_POLL_PERCENT / 100).min(MAX_CONFIG_POLL_WAIT)
    }

    /// Parses a settings file.
    ///
    /// # Errors
    /// [`SettingsErrors`] with all problems of the file.
    pub fn parse(
        file: &str,
        text: &str,
    ) -> Result<Self, SettingsErrors> {
        let mut reader = SettingsReader::parse(file, text)?;
        let seeds = reader.value("seeds", Some(Vec::new()), "a list of addresses and ports");
        let regions = reader.value(
            "regions",
            Some(BTreeMap::new()),
            "regions by failure domain",
        );
        let secret = reader.optional_text("peer_secret");
        let weights_limit = reader.millis("weights_limit_ms", 12_000.0, LIMIT_RANGE_MS);
        let key_limit = reader.millis("key_limit_ms", 5_000.0, LIMIT_RANGE_MS);
        let fails_closed = reader.flag_or_text("keys_fail_closed", true);
        let settings = FrontSettings {
            box_id: reader.text("box_id"),
            failure_domain: reader.text("failure_domain"),
            regions: regions.unwrap_or_default(),
            callers: reader.address("callers"),
            ready: reader.address("ready"),
            metrics: reader.optional_address("metrics"),
            digests: reader.address("digests"),
            control: reader.optional_address("control"),
            seeds: seeds.unwrap_or_default(),
            peer_key: secret.map(|secret| BeaconKey::from_secret(&secret)),
            agent_port: reader.number("beside_port", 7_700, 1..=65_535) as u16,
            store: reader.address("store"),
            key_limit: Micros(key_limit.0 * KEY_LIMIT_PERCENT / 100),
            key_policy: match fails_closed {
                true => KeyPolicy::FailClosed,
                false => KeyPolicy::FailOpen,
            },
            drain_limit: reader.millis("drain_limit_ms", 2_000.0, LIMIT_RANGE_MS),
            heartbeat: reader.millis("heartbeat_ms", 1_200.0, LIMIT_RANGE_MS),
            weights_limit: weights_limit.since(ENGINE_QUEUE_MARGIN),
            execution_limit: weights_limit.since(CANCEL_MARGIN),
            retry_limit: RetryLimit {
                window: reader.seconds("repeat_window_s", 10.0, DURATION_RANGE_S),
                ratio: reader.fraction("repeat_ratio", 0.2, 0.0..=1.0),
                slack: reader.fraction("repeat_slack", 50.0, 0.0..=1_000_000.0),
            },
            slow_start: SlowStartBound {
                ratio: reader.fraction_or_text("slow_start_ratio", 1.0, 0.0..=1_000.0),
                slack: reader.fraction_or_text("slow_start_slack", 0.0, 0.0..=1_000_000.0),
            },
            rollout_share: reader.fraction_or_text("rollout_share", 0.1, 0.0..=1.0),
            rollback_limit: Micros(
                (reader.fraction_or_text("rollback_limit_ms", 5_000.0, LIMIT_RANGE_MS) * 1e3)
                    as u64,
            ),
            order_gap: reader.millis("order_gap_ms", 3_000.0, 0.0..=600_000.0),
            stop_limit: Duration::from_micros(
                reader.seconds("stop_limit_s", 8.0, DURATION_RANGE_S).0,
            ),
            memory_mb: reader.fraction("memory_mb", 128.0, 16.0..=1_000_000.0) as u64,
            max_descriptors: match reader.fraction_or_text("max_descriptors", 0.0, 0.0..=1e9)
                as usize
            {
                0 => None,
                limit => Some(limit),
            },
            disabled_mechanisms: read_disabled_mechanisms(&mut reader),
        };
        reader.finish()?;
        Ok(settings)
    }
}

/// Reads the list of disabled mechanisms. An unknown name is a problem.
fn read_disabled_mechanisms(reader: &mut SettingsReader) -> MechanismSet {
    let expected = format!("a list of {}", ServingMechanism::names());
    let names: Option<Vec<String>> = reader.value("without", Some(Vec::new()), &expected);
    let mut mechanisms = Vec::new();
    for name in names.unwrap_or_default() {
        match ServingMechanism::from_name(&name) {
            Ok(mechanism) => mechanisms.push(mechanism),
            Err(_) => reader.add_problem("without", &name, &expected),
        }
    }
    MechanismSet::of(mechanisms)
}
