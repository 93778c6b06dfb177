use {
    crate::front::{ContactWatch, StopWatch, WakeReason},
    pitchhitch_core::serving::ContactStage,
    pitchhitch_process::{DeadlineTimer, ProcessClock},
    std::{
        future::Future,
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
};

/// What ends the wait for an endpoint or a caller: the time limit, the stop of the process, or that
/// the endpoint no longer responds.
#[derive(Debug)]
pub(crate) struct AttemptTimer {
    /// Ends at the time limit.
    deadline: DeadlineTimer,
    stop: StopWatch,
    clock: ProcessClock,
    watch: Option<ContactWatch>,
}

impl AttemptTimer {
    /// Creates a timer that ends after `delay` or with the process, and watches no endpoint.
    pub fn after(
        clock: ProcessClock,
        delay: Duration,
        stop: StopWatch,
    ) -> Self {
        AttemptTimer {
            deadline: DeadlineTimer::after(clock, delay),
            stop,
            clock,
            watch: None,
        }
    }

    /// Resets the time limit to `delay` from now.
    pub fn set_after(
        &mut self,
        delay: Duration,
    ) {
        self.deadline.set_after(delay);
    }

    /// Watches an endpoint, or none.
    pub fn set_watch(
        &mut self,
        watch: Option<ContactWatch>,
    ) {
        self.watch = watch;
    }

    /// Stays with the endpoint until its requests count as lost; false if they do already.
    pub fn wait_until_lost(&mut self) -> bool {
        self.watch
            .as_ref()
            .is_some_and(|watch| watch.postpone(ContactStage::Lost))
    }

    /// Records that the endpoint has sent something.
    pub fn record_heard(&self) {
        if let Some(watch) = &self.watch {
            watch.record_heard(self.clock.now());
        }
    }

    /// Ready when the wait has to end, with the reason.
    pub fn poll_end(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<WakeReason> {
        if let Some(watch) = &self.watch {
            if watch.poll_unresponsive(context).is_ready() {
                return Poll::Ready(WakeReason::EndpointUnresponsive);
            }
        }
        self.poll_time(context).map(|()| WakeReason::TimedOut)
    }

    /// Ready at the time limit, and once the process must end the request.
    pub fn poll_time(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<()> {
        if self.stop.poll_ended(context).is_ready() {
            return Poll::Ready(());
        }
        Pin::new(&mut self.deadline).poll(context)
    }
}
