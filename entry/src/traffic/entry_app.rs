use {
    super::TrafficView,
    crate::{
        conf::EntrySettings, control::ControlHandle, explain::DecisionRing,
        idempotency::IdempotencyGuard,
    },
    arc_swap::ArcSwap,
    pitchhitch_core::{limit::LimitTable, retry::RetryBudget},
    pitchhitch_process::{MetricSet, ProcessClock},
    std::sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex, MutexGuard, PoisonError,
    },
};

/// State shared by all requests of an entry process.
#[derive(Debug)]
pub struct EntryApp {
    /// Settings of the process.
    pub settings: EntrySettings,
    /// Clock of the process.
    pub clock: ProcessClock,
    /// The current view, published by the control thread.
    pub view: Arc<ArcSwap<TrafficView>>,
    /// Handle of the control thread.
    pub control: ControlHandle,
    /// Recent routing decisions.
    pub decisions: Arc<DecisionRing>,
    /// Guard of requests that may run at most once.
    pub idempotency: IdempotencyGuard,
    /// Metrics.
    pub metrics: Arc<MetricSet>,
    /// Set at a planned stop.
    pub stopping: AtomicBool,
    limits: Mutex<LimitTable>,
    retry_budget: Mutex<RetryBudget>,
    next_request_number: AtomicU64,
}

impl EntryApp {
    /// Creates the state, with limits from the settings.
    pub fn new(
        settings: EntrySettings,
        clock: ProcessClock,
        view: Arc<ArcSwap<TrafficView>>,
        control: ControlHandle,
        idempotency: IdempotencyGuard,
        metrics: Arc<MetricSet>,
    ) -> Self {
        EntryApp {
            limits: Mutex::new(LimitTable::new(settings.max_running)),
            decisions: Arc::new(DecisionRing::new(settings.explain_ring)),
            settings,
            clock,
            view,
            control,
            idempotency,
            metrics,
            stopping: AtomicBool::new(false),
            retry_budget: Mutex::new(RetryBudget::default()),
            next_request_number: AtomicU64::new(1),
        }
    }

    /// Locks the limits; the guard must not be held across I/O.
    pub fn limits(&self) -> MutexGuard<'_, LimitTable> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the retry budget; the guard must not be held across I/O.
    pub fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.retry_budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Allocates the number of the next request.
    pub fn next_request_number(&self) -> u64 {
        self.next_request_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the id of a request, which names the process that routes it.
    pub fn request_id(
        &self,
        number: u64,
    ) -> String {
        format!(
            "{}.{:x}.{number:x}",
            self.settings.box_id,
            self.clock.incarnation()
        )
    }

    /// Whether the load balancer should send new requests here.
    pub fn is_ready(&self) -> bool {
        !self.stopping.load(Ordering::Relaxed) && self.view.load().ready
    }
}
