use {
    smol::lock::{Mutex, Semaphore, SemaphoreGuardArc},
    smol::Timer,
    std::{sync::Arc, time::Duration},
};

/// Computes prompts one after the other, and bounds the requests in the batch.
#[derive(Debug)]
pub struct PrefillLine {
    compute: Mutex<()>,
    slots: Arc<Semaphore>,
}

impl PrefillLine {
    /// A line for so many requests in the batch.
    pub fn new(slots: usize) -> Self {
        PrefillLine {
            compute: Mutex::new(()),
            slots: Arc::new(Semaphore::new(slots)),
        }
    }

    /// Waits for a place in the batch; it is held as long as the guard lives.
    pub async fn enter(&self) -> SemaphoreGuardArc {
        self.slots.acquire_arc().await
    }

    /// Computes a prompt, when the ones before it are done.
    pub async fn compute(
        &self,
        span: Duration,
    ) {
        let _turn = self.compute.lock().await;
        if !span.is_zero() {
            Timer::after(span).await;
        }
    }
}
