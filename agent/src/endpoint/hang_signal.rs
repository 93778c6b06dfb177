use {
    async_channel::{Receiver, Sender},
    std::{
        sync::{Mutex, PoisonError},
        time::{Duration, Instant},
    },
};

/// Time without any sign of the endpoint after which it counts as hung, in addition to a health check
/// without a response.
const MAX_SILENCE: Duration = Duration::from_secs(2);

/// Tells running requests that the endpoint has stopped responding.
///
/// A hung endpoint keeps its connections open, so its requests would wait until their callers leave.
#[derive(Debug)]
pub struct HangSignal {
    state: Mutex<SignalState>,
}

#[derive(Debug)]
struct SignalState {
    heard_at: Instant,
    /// Closed, and replaced, when the endpoint counts as hung.
    channel: (Sender<()>, Receiver<()>),
}

impl Default for HangSignal {
    fn default() -> Self {
        HangSignal {
            state: Mutex::new(SignalState {
                heard_at: Instant::now(),
                channel: async_channel::bounded(1),
            }),
        }
    }
}

impl HangSignal {
    /// Records that the endpoint has sent something.
    pub fn record_heard(&self) {
        self.with_state(|state| state.heard_at = Instant::now());
    }

    /// Records a health check without a response. Returns true if the endpoint counts as hung, which
    /// ends the waits of all requests that have subscribed.
    pub fn record_no_response(&self) -> bool {
        self.with_state(|state| {
            let is_hung = state.heard_at.elapsed() >= MAX_SILENCE;
            if is_hung {
                state.channel = async_channel::bounded(1);
            }
            is_hung
        })
    }

    /// A future that completes when the endpoint counts as hung.
    pub fn hung(&self) -> impl std::future::Future<Output = ()> + Send + 'static {
        let receiver = self.with_state(|state| state.channel.1.clone());
        async move {
            // Fails once the channel has been replaced.
            let _ = receiver.recv().await;
        }
    }

    fn with_state<T>(
        &self,
        apply: impl FnOnce(&mut SignalState) -> T,
    ) -> T {
        apply(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
