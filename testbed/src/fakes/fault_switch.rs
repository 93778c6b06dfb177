use {
    smol::Timer,
    std::{
        sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
        time::Duration,
    },
};

/// Faults of one service, which a test switches while the service runs.
#[derive(Debug, Default)]
pub struct FaultSwitch {
    down: AtomicBool,
    responses_to_drop: AtomicU32,
    delay_millis: AtomicU64,
}

/// Effect of the current faults on one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultOutcome {
    /// The call is processed as usual.
    None,
    /// The call has no effect and gets no useful response.
    Down,
    /// The call takes effect, but its response is dropped.
    ResponseDropped,
}

impl FaultSwitch {
    /// Takes the service down, or brings it back.
    pub fn set_down(
        &self,
        down: bool,
    ) {
        self.down.store(down, Ordering::Relaxed);
    }

    /// Drops the responses of the next `count` calls that write.
    pub fn drop_responses(
        &self,
        count: u32,
    ) {
        self.responses_to_drop.store(count, Ordering::Relaxed);
    }

    /// Delays every call.
    pub fn set_delay(
        &self,
        delay: Duration,
    ) {
        self.delay_millis
            .store(delay.as_millis() as u64, Ordering::Relaxed);
    }

    /// Waits for the configured delay and returns the effect on the call.
    pub async fn apply(
        &self,
        is_write: bool,
    ) -> FaultOutcome {
        let delay = self.delay_millis.load(Ordering::Relaxed);
        if delay > 0 {
            Timer::after(Duration::from_millis(delay)).await;
        }
        if self.down.load(Ordering::Relaxed) {
            return FaultOutcome::Down;
        }
        if !is_write {
            return FaultOutcome::None;
        }
        let decrement = |remaining: u32| remaining.checked_sub(1);
        let lost =
            self.responses_to_drop
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement);
        match lost {
            Ok(_) => FaultOutcome::ResponseDropped,
            Err(_) => FaultOutcome::None,
        }
    }
}
