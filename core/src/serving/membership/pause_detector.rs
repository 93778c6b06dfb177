use crate::time::Micros;

/// Interval at which a process records that it is running.
pub const TICK: Micros = Micros::from_millis(100);
/// Gap between two ticks that counts as a pause of the process: several ticks, as a box that is
/// only slow misses one or two.
const PAUSE_THRESHOLD: Micros = Micros::from_millis(700);
/// Time after a pause for which known state counts as outdated: two polls of a store that answers.
const SETTLE_TIME: Micros = Micros::from_millis(250);

/// Detects pauses of the process itself: afterwards its state is older than it seems, and updates
/// are still unread on its connections.
#[derive(Debug, Clone, Copy, Default)]
pub struct PauseDetector {
    last_tick: Option<Micros>,
    resumed_at: Option<Micros>,
}

impl PauseDetector {
    /// Records that the process is running; returns the length of a pause that just ended.
    pub fn tick(
        &mut self,
        now: Micros,
    ) -> Option<Micros> {
        let gap = self.gap(now);
        self.last_tick = Some(now);
        if gap.is_some() {
            self.resumed_at = Some(now);
        }
        gap
    }

    /// Whether the process has just resumed from a pause, even if no tick has recorded it yet.
    pub fn has_just_resumed(
        &self,
        now: Micros,
    ) -> bool {
        let is_recent = |at: Micros| now.since(at) < SETTLE_TIME;
        self.gap(now).is_some() || self.resumed_at.is_some_and(is_recent)
    }

    fn gap(
        &self,
        now: Micros,
    ) -> Option<Micros> {
        let gap = now.since(self.last_tick?);
        (gap > PAUSE_THRESHOLD).then_some(gap)
    }
}
