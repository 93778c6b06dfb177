use {
    smol::lock::{Mutex, Semaphore, SemaphoreGuardArc},
    smol::Timer,
    std::{sync::Arc, time::Duration},
};

/// Computes prompts one after the other, and bounds the requests in the batch.
#[derive(Debug)]
pub struct PrefillQueue {
    compute: Mutex<()>,
    slots: Arc<Semaphore>,
}

impl PrefillQueue {
    /// A line for so many requests in the batch.
    pub fn new(slots: usize) -> Self {
        PrefillQueue {
            compute: Mutex::new(()),
            slots: Arc::new(Semaphore::new(slots)),
        }
    }

    /// Waits for a place in the batch; it is held as long as the guard lives.
    pub async fn acquire_slot(&self) -> SemaphoreGuardArc {
        self.slots.acquire_arc().await
    }

    /// Computes a prompt, when the ones before it are done.
    pub async fn compute(
        &self,
        duration: Duration,
    ) {
        let _guard = self.compute.lock().await;
        if !duration.is_zero() {
            Timer::after(duration).await;
        }
    }
}
