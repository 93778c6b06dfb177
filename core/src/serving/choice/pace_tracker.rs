use {
    crate::{
        serving::{EngineLoad, EnginePace, PromptSize, RunProgress},
        time::Micros,
    },
    std::collections::{BTreeMap, VecDeque},
};

/// Shortest and longest time between two reports that are compared. A longer one means that
/// reports were lost or that a process was paused.
const INTERVAL_RANGE: (Micros, Micros) = (Micros::from_millis(20), Micros::from_millis(1_000));
/// Time after a start or a swap of weights within which nothing is learned.
const WARMUP: Micros = Micros::from_secs(1);
/// Age at which a sample is dropped. An engine that is slow for 0.6 s contributes less than a third
/// of the samples of this time, so that its pace stays the same.
const SAMPLE_TTL: Micros = Micros::from_secs(4);
/// Age at which an interval no longer counts for the recent time between events.
const INTERVAL_TTL: Micros = Micros::from_secs(1);
/// Events of one stream in a sample. With 6, the count was off by up to a sixth, and engines of speeds
/// 1 and 1.3 were often not told apart in a replay.
const SAMPLE_EVENTS: u64 = 16;
/// Events of one stream in a sample that has taken [`SAMPLE_TIME`].
const SLOW_SAMPLE_EVENTS: u64 = 2;
const SAMPLE_TIME: Micros = Micros::from_millis(400);
/// Samples without which the pace is unknown.
const MIN_SAMPLES: usize = 3;
/// The pace is the mean of this fraction of the samples, the shortest ones: short prompts that are
/// prefilled in between make others longer.
const PACE_FRACTION: f64 = 0.3;

/// Time that some events of one stream took.
#[derive(Debug, Clone, Copy, Default)]
struct EventSpan {
    /// When the last of them was reported.
    at: Micros,
    elapsed: Micros,
    events: u64,
}

impl EventSpan {
    fn gap_us(&self) -> f64 {
        self.elapsed.0 as f64 / self.events.max(1) as f64
    }
}

/// What the tracker keeps of the latest report.
#[derive(Debug, Clone)]
struct ReportedRuns {
    at: Micros,
    /// Events by hash of the request's id.
    events: BTreeMap<u64, u64>,
    is_prefilling_long: bool,
}

/// Learns the speed of one engine from the runs in its successive reports.
///
/// All streams of an engine advance together, one event a step. Intervals in which a long prompt was
/// prefilled do not count for the pace: engines with long prompts would look slow beside others.
#[derive(Debug, Clone, Default)]
pub struct PaceTracker {
    previous: Option<ReportedRuns>,
    started_at: Option<Micros>,
    /// The sample to which events are being added.
    open_sample: EventSpan,
    samples: VecDeque<EventSpan>,
    /// Recent times between two reports.
    intervals: VecDeque<EventSpan>,
    reported: EnginePace,
}

impl PaceTracker {
    /// Forgets everything: the engine has restarted or is changing its weights.
    pub fn reset(&mut self) {
        *self = PaceTracker::default();
    }

    /// Records a report with its runs with output; returns the speed so far.
    pub fn record_report(
        &mut self,
        load: &EngineLoad,
        runs: &[RunProgress],
    ) -> EnginePace {
        let now = load.at;
        self.started_at.get_or_insert(now);
        let current = ReportedRuns {
            at: now,
            events: runs.iter().map(|run| (run.run, run.events)).collect(),
            is_prefilling_long: is_prefilling_long(load, runs),
        };
        let is_prefilling_long = current.is_prefilling_long;
        let previous = self.previous.replace(current);
        if let Some(previous) = previous.filter(|previous| self.is_comparable(previous, now)) {
            let has_long = previous.is_prefilling_long
                || is_prefilling_long
                || has_prefilled_long(&previous, load, runs);
            self.record_interval(&previous, runs, has_long, now);
        }
        self.samples
            .retain(|sample| now.since(sample.at) < SAMPLE_TTL);
        self.intervals
            .retain(|interval| now.since(interval.at) < INTERVAL_TTL);
        self.reported = self.reported.next(self.pace_us(), self.event_gap_us());
        self.reported
    }

    /// Whether events of the time since the previous report are learned from.
    fn is_comparable(
        &self,
        previous: &ReportedRuns,
        now: Micros,
    ) -> bool {
        let has_warmed_up = self.started_at.is_some_and(|at| now.since(at) >= WARMUP);
        let elapsed = now.since(previous.at);
        let (shortest, longest) = INTERVAL_RANGE;
        has_warmed_up && elapsed >= shortest && elapsed <= longest
    }

    /// Records how far the runs have advanced since the previous report.
    fn record_interval(
        &mut self,
        previous: &ReportedRuns,
        runs: &[RunProgress],
        has_long_prefill: bool,
        now: Micros,
    ) {
        let Some(events) = median_progress(previous, runs) else {
            return;
        };
        let elapsed = now.since(previous.at);
        self.intervals.push_back(EventSpan {
            at: now,
            elapsed,
            events,
        });
        if has_long_prefill {
            return;
        }
        let sample = &mut self.open_sample;
        sample.at = now;
        sample.elapsed = sample.elapsed + elapsed;
        sample.events += events;
        let is_slow = sample.elapsed >= SAMPLE_TIME && sample.events >= SLOW_SAMPLE_EVENTS;
        if sample.events >= SAMPLE_EVENTS || is_slow {
            self.samples.push_back(std::mem::take(sample));
        }
    }

    /// Measured pace, in microseconds; `None` if it is unknown.
    fn pace_us(&self) -> Option<f64> {
        if self.samples.len() < MIN_SAMPLES {
            return None;
        }
        let mut gaps: Vec<f64> = self.samples.iter().map(EventSpan::gap_us).collect();
        gaps.sort_by(f64::total_cmp);
        gaps.truncate((gaps.len() as f64 * PACE_FRACTION).ceil() as usize);
        Some(gaps.iter().sum::<f64>() / gaps.len() as f64)
    }

    /// Mean time between two events in the recent intervals, in microseconds.
    fn event_gap_us(&self) -> Option<f64> {
        let events: u64 = self.intervals.iter().map(|span| span.events).sum();
        let elapsed: u64 = self.intervals.iter().map(|span| span.elapsed.0).sum();
        (events > 0).then(|| elapsed as f64 / events as f64)
    }
}

/// Whether prompts in prefill are long, by the memory that no run with output has.
fn is_prefilling_long(
    load: &EngineLoad,
    runs: &[RunProgress],
) -> bool {
    let run_tokens = runs.iter().map(|run| run.tokens).sum();
    let prefill_tokens = load.used_tokens.saturating_sub(run_tokens);
    let mean_tokens = prefill_tokens / u64::from(load.reading.max(1));
    load.reading > 0 && PromptSize::of(mean_tokens, load.total_tokens) == PromptSize::Long
}

/// Whether a long prompt has been prefilled since the previous report.
fn has_prefilled_long(
    previous: &ReportedRuns,
    load: &EngineLoad,
    runs: &[RunProgress],
) -> bool {
    runs.iter().any(|run| {
        let is_new = previous
            .events
            .get(&run.run)
            .is_none_or(|events| *events == 0);
        is_new && PromptSize::of(run.tokens, load.total_tokens) == PromptSize::Long
    })
}

/// Events of a typical stream between two reports. A run that waits for something else, such as its
/// memory, does not count as long as most advance.
fn median_progress(
    previous: &ReportedRuns,
    runs: &[RunProgress],
) -> Option<u64> {
    let progress = |run: &RunProgress| {
        let before = previous.events.get(&run.run).filter(|events| **events > 0);
        before.and_then(|before| run.events.checked_sub(*before))
    };
    let mut progress: Vec<u64> = runs.iter().filter_map(progress).collect();
    progress.sort_unstable();
    progress.get(progress.len() / 2).copied()
}
