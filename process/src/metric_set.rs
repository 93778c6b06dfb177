use {
    cadence::{
        BufferedUdpMetricSink, Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient,
        Timed,
    },
    std::{
        collections::BTreeMap,
        io,
        net::{SocketAddr, UdpSocket},
        sync::{Mutex, PoisonError},
    },
};

/// Prefix of all metrics.
const PREFIX: &str = "pitchhitch";

/// Metrics of one process: sent to statsd by `cadence`; counters are also stored for `pitchhitch
/// status`.
#[derive(Debug)]
pub struct MetricSet {
    client: StatsdClient,
    counts: Mutex<BTreeMap<&'static str, u64>>,
}

impl MetricSet {
    /// Creates metrics that are sent to `target` by UDP, or discarded if it is `None`.
    ///
    /// # Errors
    /// If the socket cannot be opened.
    pub fn new(target: Option<SocketAddr>) -> io::Result<Self> {
        let client = match target {
            None => StatsdClient::from_sink(PREFIX, NopMetricSink),
            Some(target) => {
                let socket = UdpSocket::bind("0.0.0.0:0")?;
                socket.set_nonblocking(true)?;
                let sink = BufferedUdpMetricSink::from(target, socket);
                let sink = sink.map_err(io::Error::other)?;
                StatsdClient::from_sink(PREFIX, QueuingMetricSink::from(sink))
            }
        };
        Ok(MetricSet {
            client,
            counts: Mutex::new(BTreeMap::new()),
        })
    }

    /// Adds `amount` to a counter.
    pub fn count(
        &self,
        name: &'static str,
        amount: u64,
    ) {
        let _ = self.client.count(name, amount as i64);
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.entry(name).or_insert(0) += amount;
    }

    /// Records a duration, given in microseconds and sent in milliseconds.
    pub fn time(
        &self,
        name: &'static str,
        micros: u64,
    ) {
        let _ = self.client.time(name, micros / 1_000);
    }

    /// Records the current value of a gauge.
    pub fn gauge(
        &self,
        name: &'static str,
        value: u64,
    ) {
        let _ = self.client.gauge(name, value);
    }

    /// Returns all counters.
    pub fn counts(&self) -> BTreeMap<&'static str, u64> {
        self.counts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
