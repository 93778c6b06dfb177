use {
    crate::{to_duration, ProcessClock},
    pitchhitch_core::time::Micros,
    smol::Timer,
    std::{
        future::Future,
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
};

/// Interval at which the timer checks the process clock: system timers do not advance while
/// the box is suspended and would fire that much too late.
const CLOCK_CHECK_INTERVAL: Micros = Micros::from_millis(1_000);

/// A timer that ends at a time of the process clock; if the box was suspended then, it ends
/// within a second after the resume.
#[derive(Debug)]
pub struct DeadlineTimer {
    clock: ProcessClock,
    ends_at: Micros,
    timer: Timer,
}

impl DeadlineTimer {
    /// Creates a timer that ends after `delay`.
    pub fn after(
        clock: ProcessClock,
        delay: Duration,
    ) -> Self {
        let delay = Micros(delay.as_micros() as u64);
        DeadlineTimer {
            clock,
            ends_at: clock.now() + delay,
            timer: Timer::after(to_duration(delay.min(CLOCK_CHECK_INTERVAL))),
        }
    }

    /// Resets the timer to end after `delay` from now.
    pub fn set_after(
        &mut self,
        delay: Duration,
    ) {
        let delay = Micros(delay.as_micros() as u64);
        self.ends_at = self.clock.now() + delay;
        self.timer
            .set_after(to_duration(delay.min(CLOCK_CHECK_INTERVAL)));
    }
}

impl Future for DeadlineTimer {
    type Output = ();

    fn poll(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<()> {
        while Pin::new(&mut self.timer).poll(context).is_ready() {
            let remaining = self.ends_at.since(self.clock.now());
            if remaining == Micros::ZERO {
                return Poll::Ready(());
            }
            self.timer
                .set_after(to_duration(remaining.min(CLOCK_CHECK_INTERVAL)));
        }
        Poll::Pending
    }
}
