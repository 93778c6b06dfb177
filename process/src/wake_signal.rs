use {
    async_channel::{Receiver, Sender},
    futures_lite::future::or,
    smol::Timer,
    std::time::Duration,
};

/// Wakes one task that otherwise looks again after a pause.
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
    /// Wakes the task that waits, or the next that does; more wakes before that are one.
    pub fn wake(&self) {
        // Where one wake waits already, that is enough.
        let _ = self.wake.try_send(());
    }

    /// Waits for a wake, for so long at most; true where there was one.
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
