use {
    async_channel::{Receiver, Sender},
    futures_lite::future::or,
    smol::Timer,
    std::time::Duration,
};

/// Wakes a task that otherwise polls at intervals.
#[derive(Debug)]
pub struct WakeSignal {
    wake: Sender<()>,
    woken: Receiver<()>,
}

impl Default for WakeSignal {
    fn default() -> Self {
        let (wake, woken) = async_channel::bounded(1);
        WakeSignal { wake, woken }
    }
}

impl WakeSignal {
    /// Wakes the waiting task, or the next one to wait; several wakes before that count as one.
    pub fn wake(&self) {
        // The channel is full if a wake is already pending, which is enough.
        let _ = self.wake.try_send(());
    }

    /// Waits for a wake for at most `timeout`; returns whether there was one.
    pub async fn wait(
        &self,
        timeout: Duration,
    ) -> bool {
        let woken = async { self.woken.recv().await.is_ok() };
        let timed_out = async {
            Timer::after(timeout).await;
            false
        };
        or(woken, timed_out).await
    }
}
