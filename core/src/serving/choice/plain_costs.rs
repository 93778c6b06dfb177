use {
    crate::{
        serving::{EndpointKey, EndpointRegistry},
        time::Micros,
    },
    std::collections::HashMap,
};

/// Cost of each request that an endpoint of a plain service is running while nothing has been
/// learned, in milliseconds.
const INITIAL_COST_MS: f64 = 12.0;
/// Maximum ratio, in either direction, between the service's median and [`INITIAL_COST_MS`], and
/// between an endpoint's time and that median.
const MAX_RATIO: f64 = 4.0;
/// Weight of one response in the mean time of an endpoint.
const SMOOTHING: f64 = 0.1;
/// Responses without which the time of an endpoint is unknown.
const MIN_RESPONSES: u32 = 5;
/// Time constant with which an endpoint's factor fades without responses: an endpoint that is
/// avoided as slow is tried again.
const FADE_TIME: Micros = Micros::from_secs(5);
/// Age of the last response at which nothing is known any more.
const MAX_AGE: Micros = Micros::from_secs(30);
/// Interval between updates of the costs of a service.
const UPDATE_INTERVAL: Micros = Micros::from_millis(200);

/// Time that requests of this front take at an endpoint of a plain service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PlainTime {
    mean_ms: f64,
    responses: u32,
    responded_at: Micros,
    /// Cost of one request and the service's median, in milliseconds.
    learned: Option<(f64, f64)>,
}

impl PlainTime {
    /// Records a response that came `millis` after the request was sent.
    pub fn record(
        &mut self,
        millis: f64,
        now: Micros,
    ) {
        self.responses = self.responses.saturating_add(1);
        let weight = SMOOTHING.max(1.0 / f64::from(self.responses));
        self.mean_ms += weight * (millis - self.mean_ms);
        self.responded_at = now;
    }

    /// Cost of sending a request while `running` ones of this front run there, in milliseconds: the
    /// time of these, and what its own takes beyond the median.
    pub fn cost_ms(
        &self,
        running: u32,
    ) -> f64 {
        let (time_ms, median_ms) = self.learned.unwrap_or((INITIAL_COST_MS, INITIAL_COST_MS));
        f64::from(running) * time_ms + (time_ms - median_ms).max(0.0)
    }

    fn known_ms(
        &self,
        now: Micros,
    ) -> Option<f64> {
        let is_known = self.responses >= MIN_RESPONSES && now.since(self.responded_at) < MAX_AGE;
        is_known.then_some(self.mean_ms.max(0.1))
    }

    fn update(
        &mut self,
        median_ms: Option<f64>,
        now: Micros,
    ) {
        let known = self.known_ms(now).zip(median_ms);
        self.learned = known.map(|(mean_ms, median_ms)| {
            let age = now.since(self.responded_at).0 as f64;
            let weight = (-age / FADE_TIME.0 as f64).exp();
            let factor = (mean_ms / median_ms).clamp(1.0 / MAX_RATIO, MAX_RATIO);
            let bounded_ms =
                median_ms.clamp(INITIAL_COST_MS / MAX_RATIO, INITIAL_COST_MS * MAX_RATIO);
            (bounded_ms * factor.powf(weight), bounded_ms)
        });
    }
}

/// Updates the costs of requests at the endpoints of plain services from this front's responses.
#[derive(Debug, Clone, Default)]
pub struct PlainCosts {
    updated_at: HashMap<String, Micros>,
}

impl PlainCosts {
    /// Updates the costs of a service if they are due.
    pub fn update(
        &mut self,
        registry: &mut EndpointRegistry,
        service: &str,
        now: Micros,
    ) {
        match self.updated_at.get_mut(service) {
            Some(at) if now.since(*at) < UPDATE_INTERVAL => return,
            Some(at) => *at = now,
            None => {
                self.updated_at.insert(service.to_string(), now);
            }
        }
        let endpoints = registry
            .iter()
            .filter(|(_, entry)| entry.service == service);
        let known: Vec<(EndpointKey, Option<f64>)> = endpoints
            .map(|(key, entry)| (key, entry.plain_time.known_ms(now)))
            .collect();
        let mut times: Vec<f64> = known.iter().filter_map(|(_, millis)| *millis).collect();
        times.sort_by(f64::total_cmp);
        // The lower one of two: the slower of two endpoints is the one that differs.
        let median = times.get(times.len().saturating_sub(1) / 2).copied();
        for (key, _) in known {
            if let Some(entry) = registry.get_mut(key) {
                entry.plain_time.update(median, now);
            }
        }
    }
}
