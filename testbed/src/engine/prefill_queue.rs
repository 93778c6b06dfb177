use {
    smol::lock::{Mutex, Semaphore, SemaphoreGuardArc},
    smol::Timer,
    std::{sync::Arc, time::Duration},
};

/// Computes prompts one at a time, and limits the number of requests in the batch.
#[derive(Debug)]
pub struct PrefillQueue {
    compute: Mutex<()>,
    slots: Arc<Semaphore>,
}

impl PrefillQueue {
    /// Creates a queue with a number of batch slots.
    pub fn new(slots: usize) -> Self {
        PrefillQueue {
            compute: Mutex::new(()),
            slots: Arc::new(Semaphore::new(slots)),
        }
    }

    /// Waits for a batch slot, which is held until the guard is dropped.
    pub async fn acquire_slot(&self) -> SemaphoreGuardArc {
        self.slots.acquire_arc().await
    }

    /// Waits until earlier prompts are computed, then for the time that this one takes.
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
