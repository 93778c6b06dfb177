use {
    async_channel::{bounded, Sender},
    futures_lite::future::or,
    pitchhitch_process::WakeSignal,
    smol::Timer,
    std::{cell::RefCell, collections::HashMap, time::Duration},
};

/// Requests that wait until agents have answered for their claims, by the number of the claims.
#[derive(Debug, Default)]
pub(crate) struct ClaimWaits {
    waiting: RefCell<HashMap<u64, Sender<()>>>,
    /// Wakes the task that otherwise reads datagrams in batches.
    begun: WakeSignal,
}

impl ClaimWaits {
    /// Whether a request waits.
    pub fn has_any(&self) -> bool {
        !self.waiting.borrow().is_empty()
    }

    /// Waits until the answers are complete, for at most `timeout`.
    pub async fn wait(
        &self,
        number: u64,
        timeout: Duration,
    ) {
        let (answered, answer) = bounded(1);
        self.waiting.borrow_mut().insert(number, answered);
        self.begun.wake();
        let is_answered = async {
            // The sender is dropped only after this wait.
            let _ = answer.recv().await;
        };
        let is_late = async {
            Timer::after(timeout).await;
        };
        or(is_answered, is_late).await;
        self.waiting.borrow_mut().remove(&number);
    }

    /// Ends the wait of a request.
    pub fn notify(
        &self,
        number: u64,
    ) {
        if let Some(answered) = self.waiting.borrow().get(&number) {
            // The channel is full if the request has been notified already.
            let _ = answered.try_send(());
        }
    }

    /// Sleeps until a request begins to wait, for at most `timeout`.
    pub async fn pause(
        &self,
        timeout: Duration,
    ) {
        self.begun.wait(timeout).await;
    }
}
