use {
    crate::{
        serving::{EndpointEntry, EndpointKey, EndpointRegistry, EndpointStatus, RateChange},
        time::Micros,
    },
    std::collections::HashMap,
};

/// Interval between updates of the rates of a service.
const UPDATE_INTERVAL: Micros = Micros::from_millis(200);
/// Maximum rate, and its inverse the minimum.
const MAX_RATE: f64 = 4.0;
/// Ratios to the median below this count as 1: reported paces are rounded. A wider band made engines
/// of speed 1.3 alternate between two rates in a replay, as their pace falls with their load.
const MIN_RATIO: f64 = 1.06;
/// Engines whose pace must be known for a median.
const MIN_ENGINES: usize = 3;
/// Age up to which a report counts, or two and a half report intervals if those are longer.
const REPORT_MAX_AGE: Micros = Micros::from_millis(700);

/// Updates the rates of engines, by service, from the paces that their agents report.
#[derive(Debug, Clone, Default)]
pub struct EngineRates {
    /// Time of the latest update by service.
    updated_at: HashMap<String, Micros>,
}

impl EngineRates {
    /// Updates the rates of a service if they are due; returns the engines that have become slow or
    /// are no longer slow.
    pub fn update(
        &mut self,
        registry: &mut EndpointRegistry,
        service: &str,
        now: Micros,
    ) -> Vec<RateChange> {
        if !self.begin_update(service, now) {
            return Vec::new();
        }
        let engines: Vec<(EndpointKey, Option<u32>)> = registry
            .iter()
            .filter(|(_, entry)| entry.service == service)
            .map(|(key, entry)| (key, usable_pace(entry, now)))
            .collect();
        let median = median_pace(engines.iter().filter_map(|(_, pace)| *pace).collect());
        let mut changes = Vec::new();
        for (key, pace) in engines {
            let Some(entry) = registry.get_mut(key) else {
                continue;
            };
            let measured = pace.zip(median).map(|(pace, median)| rate_of(pace, median));
            if entry.rate.update(measured, now) {
                changes.push(RateChange {
                    id: entry.id.clone(),
                    is_slow: entry.rate.is_slow(),
                    rate: entry.rate.value(),
                    pace_us: pace.unwrap_or(0),
                    median_us: median.unwrap_or(0),
                });
            }
        }
        changes
    }

    /// Begins an update of a service; false if none is due.
    fn begin_update(
        &mut self,
        service: &str,
        now: Micros,
    ) -> bool {
        match self.updated_at.get_mut(service) {
            Some(at) if now.since(*at) < UPDATE_INTERVAL => return false,
            Some(at) => *at = now,
            None => {
                self.updated_at.insert(service.to_string(), now);
            }
        }
        true
    }
}

/// Reported pace of the engine, unless the report is old or the engine is starting, changing its
/// weights, silent or leaving.
fn usable_pace(
    entry: &EndpointEntry,
    now: Micros,
) -> Option<u32> {
    let load = entry.load.as_ref()?;
    let is_fresh = now.since(load.at) <= load.report_timeout().max(REPORT_MAX_AGE);
    let is_usable = entry.status != EndpointStatus::Leaving
        && !entry.is_superseded
        && !entry.slow_start.is_slow(now)
        && !load.is_silent
        && !load.is_swapping;
    (is_fresh && is_usable && load.pace_us > 0).then_some(load.pace_us)
}

fn median_pace(mut paces: Vec<u32>) -> Option<u32> {
    if paces.len() < MIN_ENGINES {
        return None;
    }
    paces.sort_unstable();
    paces.get(paces.len() / 2).copied()
}

/// Rate of an engine with this pace.
fn rate_of(
    pace_us: u32,
    median_us: u32,
) -> f64 {
    let rate = f64::from(pace_us) / f64::from(median_us);
    match rate.max(1.0 / rate) < MIN_RATIO {
        true => 1.0,
        false => rate.clamp(1.0 / MAX_RATE, MAX_RATE),
    }
}
