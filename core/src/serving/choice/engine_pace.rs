/// Steps per octave of the reported values. Changes below a step are not reported, as a digest is
/// sent for each change of the load.
const PACE_STEPS: f64 = 12.0;
const GAP_STEPS: f64 = 2.0;

/// Speed of an engine; values are quantised, and 0 if unknown.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EnginePace {
    /// Time between two events of a stream without prefill of long prompts, in microseconds.
    pub pace_us: u32,
    /// Time between two events of a stream in the last second, in microseconds.
    pub event_gap_us: u32,
}

impl EnginePace {
    /// Pace after the one reported before, from measured times in microseconds.
    pub(super) fn next(
        self,
        pace_us: Option<f64>,
        event_gap_us: Option<f64>,
    ) -> Self {
        EnginePace {
            pace_us: quantise(self.pace_us, pace_us, PACE_STEPS),
            event_gap_us: quantise(self.event_gap_us, event_gap_us, GAP_STEPS),
        }
    }
}

/// Rounds a value to whole steps per octave; keeps the value reported before while the difference
/// is less than a step.
fn quantise(
    reported: u32,
    value: Option<f64>,
    steps_per_octave: f64,
) -> u32 {
    let Some(value) = value.filter(|value| *value >= 1.0) else {
        return 0;
    };
    let steps = value.log2() * steps_per_octave;
    if reported > 0 && (steps - f64::from(reported).log2() * steps_per_octave).abs() < 1.0 {
        return reported;
    }
    (steps.round() / steps_per_octave).exp2().round() as u32
}
