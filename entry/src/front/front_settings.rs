use {
    pitchhitch_core::{
        serving::{KeyPolicy, MechanismSet, RetryLimit, ServingMechanism, SlowStartBound},
        settings::{SettingsErrors, SettingsReader},
        time::Micros,
    },
    pitchhitch_wire::beacon::BeaconKey,
    std::{collections::BTreeMap, net::SocketAddr, ops::RangeInclusive, time::Duration},
};

/// Settings of one front process, checked.
#[derive(Debug, Clone, PartialEq)]
pub struct FrontSettings {
    /// Id of the box.
    pub box_id: String,
    /// Failure domain that the box stands in.
    pub failure_domain: String,
    /// Regions of failure domains.
    pub regions: BTreeMap<String, String>,
    /// Where callers are served.
    pub callers: SocketAddr,
    /// Where the balancer asks whether the process is ready.
    pub ready: SocketAddr,
    /// Where metrics are read.
    pub metrics: Option<SocketAddr>,
    /// Where the processes beside engines are heard.
    pub digests: SocketAddr,
    /// Where others that start ask for its state, besides `digests`.
    pub control: Option<SocketAddr>,
    /// Fronts that may hand state on to one that cannot reach the store.
    pub seeds: Vec<SocketAddr>,
    /// Key that proves handed state to be of one of ours, where a secret is set.
    pub peer_key: Option<BeaconKey>,
    /// Port of the processes beside engines.
    pub beside_port: u16,
    /// Where the platform's store answers.
    pub store: SocketAddr,
    /// Age up to which what is known of keys counts as fresh.
    pub key_limit: Micros,
    /// What becomes of callers with keys past that age.
    pub key_policy: KeyPolicy,
    /// Time from when an endpoint is known to leave until it must get nothing new.
    pub drain_limit: Micros,
    /// Time from when newer weights are named until no request is sent to an
    /// engine with older ones any more.
    pub weights_limit: Micros,
    /// Time from then until no request begins on them any more: what waits at an engine
    /// is given up.
    pub execution_limit: Micros,
    /// What may be sent again.
    pub retry_limit: RetryLimit,
    /// What endpoints may get while they start slowly.
    pub slow_start: SlowStartBound,
    /// Gap that engines are owed between orders of two boxes.
    pub order_gap: Micros,
    /// Time between SIGTERM and the end of the process by force.
    pub stop_limit: Duration,
    /// Memory that the process may take, in megabytes.
    pub memory_mb: u64,
    /// Mechanisms of the decisions that are left out, for experiments.
    pub disabled_mechanisms: MechanismSet,
}

/// Limits that operators may set, in milliseconds.
const LIMIT_RANGE_MS: RangeInclusive<f64> = 1.0..=600_000.0;
/// Spans that they may set, in seconds.
const DURATION_RANGE_S: RangeInclusive<f64> = 0.001..=3_600.0;

/// Part of the platform's bound on old keys that is used, in hundredths: the
/// rest covers the way of a request and a clock that runs differently.
const KEY_LIMIT_PERCENT: u64 = 85;

/// Time that a request may wait at an engine before it begins.
const ENGINE_QUEUE_MARGIN: Micros = Micros::from_millis(2_500);
/// Time in which an engine has noticed that a request was given up, and what it began
/// before has been heard of.
const CANCEL_MARGIN: Micros = Micros::from_millis(400);

/// Part of the drain limit that passes between two looks at the list of endpoints, in
/// hundredths. Each look has its price; the rest is for an answer of the store that
/// is slow and for what is on its way to the endpoint.
const LIST_POLL_PERCENT: u64 = 40;
/// Part of the limit on keys for which a question for changes is held at the store, in
/// hundredths. An answer proves how fresh the keys are as of when it was asked, so a box
/// that loses the store serves keyed callers for the rest of the limit only: held for a
/// third, a replayed outage of 6 s was worth 0.74 and 0.75 on two deployments whose keys
/// fail closed, held for a quarter 0.82 and 0.82.
const CONFIG_POLL_PERCENT: u64 = 25;
/// Longest pause between two looks at the list, however long endpoints may take to
/// leave: new ones are found by it too.
const MAX_LIST_POLL_INTERVAL: Micros = Micros::from_millis(2_000);
/// Longest time for which a question is held, however old keys may be: a connection
/// that has gone silent shows only after it, and new configurations wait for that.
const MAX_CONFIG_POLL_WAIT: Micros = Micros::from_millis(1_400);

impl FrontSettings {
    /// Pause between two looks at the list of endpoints.
    pub fn list_poll_interval(&self) -> Micros {
        Micros(self.drain_limit.0 * LIST_POLL_PERCENT / 100).min(MAX_LIST_POLL_INTERVAL)
    }

    /// The region of a failure domain, where it is known.
    pub fn region(
        &self,
        domain: &str,
    ) -> Option<&str> {
        self.regions.get(domain).map(String::as_str)
    }

    /// Time for which a question for changes is held at the store.
    pub fn config_poll_wait(&self) -> Micros {
        Micros(self.key_limit.0 * CONFIG_POLL_PERCENT / 100).min(MAX_CONFIG_POLL_WAIT)
    }

    /// Reads the text of a settings file.
    ///
    /// # Errors
    /// [`SettingsErrors`] with everything that is wrong in it.
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
            beside_port: reader.number("beside_port", 7_700, 1..=65_535) as u16,
            store: reader.address("store"),
            key_limit: Micros(key_limit.0 * KEY_LIMIT_PERCENT / 100),
            key_policy: match fails_closed {
                true => KeyPolicy::FailClosed,
                false => KeyPolicy::FailOpen,
            },
            drain_limit: reader.millis("drain_limit_ms", 2_000.0, LIMIT_RANGE_MS),
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
            order_gap: reader.millis("order_gap_ms", 3_000.0, 0.0..=600_000.0),
            stop_limit: Duration::from_micros(
                reader.seconds("stop_limit_s", 8.0, DURATION_RANGE_S).0,
            ),
            memory_mb: reader.fraction("memory_mb", 128.0, 16.0..=1_000_000.0) as u64,
            disabled_mechanisms: read_disabled_mechanisms(&mut reader),
        };
        reader.finish()?;
        Ok(settings)
    }
}

/// Reads which mechanisms are left out; a name that is none is a problem.
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
