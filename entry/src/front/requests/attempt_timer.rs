use {
    crate::front::{ContactWatch, WakeReason},
    pitchhitch_core::{serving::ContactStage, time::Micros},
    pitchhitch_process::{DeadlineTimer, ProcessClock},
    std::{
        cell::Cell,
        future::Future,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
        time::Duration,
    },
};

/// What ends the wait for an endpoint before it has sent anything: the time limit, or that the
/// endpoint no longer responds.
#[derive(Debug)]
pub(crate) struct AttemptTimer {
    /// Ends at the time limit.
    pub deadline: DeadlineTimer,
    clock: ProcessClock,
    watch: Option<ContactWatch>,
}

impl AttemptTimer {
    /// Creates a timer that ends after `delay` or at `limit`, and watches no endpoint.
    pub fn after(
        clock: ProcessClock,
        delay: Duration,
        limit: Rc<Cell<Option<Micros>>>,
    ) -> Self {
        AttemptTimer {
            deadline: DeadlineTimer::after(clock, delay).with_limit(limit),
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
        Pin::new(&mut self.deadline)
            .poll(context)
            .map(|()| WakeReason::TimedOut)
    }
}
