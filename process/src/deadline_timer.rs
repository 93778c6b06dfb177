use {
    crate::{to_duration, ProcessClock},
    pitchhitch_core::time::Micros,
    smol::Timer,
    std::{
        cell::Cell,
        future::Future,
        pin::Pin,
        rc::Rc,
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
    /// Time at which it ends at the latest, once there is one.
    limit: Rc<Cell<Option<Micros>>>,
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
            limit: Rc::default(),
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

    /// Makes it end at a limit at the latest. One that is set later takes effect within a second.
    #[must_use]
    pub fn with_limit(
        self,
        limit: Rc<Cell<Option<Micros>>>,
    ) -> Self {
        DeadlineTimer { limit, ..self }
    }

    /// Removes the limit.
    pub fn lift_limit(&mut self) {
        self.limit = Rc::default();
    }
}

impl Future for DeadlineTimer {
    type Output = ();

    fn poll(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<()> {
        while Pin::new(&mut self.timer).poll(context).is_ready() {
            let ends_at = self
                .limit
                .get()
                .map_or(self.ends_at, |limit| limit.min(self.ends_at));
            let remaining = ends_at.since(self.clock.now());
            if remaining == Micros::ZERO {
                return Poll::Ready(());
            }
            self.timer
                .set_after(to_duration(remaining.min(CLOCK_CHECK_INTERVAL)));
        }
        Poll::Pending
    }
}
