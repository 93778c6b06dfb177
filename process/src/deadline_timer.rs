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

/// Longest time until it looks at the clock again: timers of the system stand still while
/// the box is suspended, and end so much too late.
const CLOCK_CHECK_INTERVAL: Micros = Micros::from_millis(1_000);

/// Ends at a time of the process's clock, or within a second after the box has woken.
#[derive(Debug)]
pub struct DeadlineTimer {
    clock: ProcessClock,
    ends_at: Micros,
    timer: Timer,
}

impl DeadlineTimer {
    /// A timer that ends after so long.
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

    /// Lets it end after so long from now on.
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
