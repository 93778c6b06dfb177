use {
    crate::front::RequestHandler, pitchhitch_core::time::Micros, pitchhitch_process::to_duration,
    smol::Timer,
};

/// Longest wait for the KV stores to respond after a process pause, and the polling interval. A KV
/// store responds within a few milliseconds unless the box is busy.
const STORE_WAIT_TIMEOUT: Micros = Micros::from_millis(150);
const STORE_POLL_INTERVAL: Micros = Micros::from_millis(10);

impl RequestHandler<'_> {
    /// Waits until the state needed to serve the request is current. After a process pause, all
    /// requests of that time arrive at once; until the view of the KV stores is current again,
    /// prompts wait briefly rather than prefill parts that are cached there. A front that has just
    /// started waits for the reports of suspect requests.
    pub(crate) async fn wait_for_state(&self) {
        let is_prompt = self.info.prompt.is_some();
        let started_at = self.front.now();
        loop {
            let now = self.front.now();
            let awaits_stores = {
                let state = self.front.state();
                is_prompt && now.since(started_at) < STORE_WAIT_TIMEOUT && state.is_recovering(now)
            };
            if !awaits_stores && !self.front.state().awaits_suspects(now) {
                return;
            }
            Timer::after(to_duration(STORE_POLL_INTERVAL)).await;
        }
    }
}
