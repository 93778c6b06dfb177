use {
    super::{FrontMetrics, FrontSettings, FrontState},
    pitchhitch_core::time::Micros,
    pitchhitch_process::{to_duration, ProcessClock, WakeSignal},
    smol::{LocalExecutor, Timer},
    std::{
        cell::{RefCell, RefMut},
        future::Future,
        rc::Rc,
    },
};

/// Time between two moments at which tasks that rest wake.
const WAKE_INTERVAL: Micros = Micros::from_millis(100);

/// Everything that the tasks of a front have in common.
#[derive(Debug)]
pub(crate) struct FrontContext {
    /// Settings.
    pub settings: FrontSettings,
    /// Clock; it goes on while the process stands still.
    pub clock: ProcessClock,
    /// Counters and histograms.
    pub metrics: FrontMetrics,
    /// Wakes the greeting of engines: one that leaves is not announced to others once the
    /// process beside it knows, whatever becomes of this front.
    pub greeting_due: WakeSignal,
    /// Wakes the writing of requests that are held back.
    pub held_row_due: WakeSignal,
    /// Ends the question that is held at the platform's store, which has come back from a copy.
    pub era_changed: WakeSignal,
    state: RefCell<FrontState>,
    executor: LocalExecutor<'static>,
}

impl FrontContext {
    /// A context that knows nothing yet.
    pub fn new(settings: FrontSettings) -> Rc<Self> {
        Rc::new(FrontContext {
            state: RefCell::new(FrontState::new(&settings)),
            settings,
            clock: ProcessClock::start(),
            metrics: FrontMetrics::default(),
            greeting_due: WakeSignal::default(),
            held_row_due: WakeSignal::default(),
            era_changed: WakeSignal::default(),
            executor: LocalExecutor::new(),
        })
    }

    /// Current time.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// Waits for about so long. Tasks that wait so wake together, as each waking of the process
    /// costs some system calls.
    pub async fn sleep_coalesced(
        &self,
        duration: Micros,
    ) {
        let now = self.now();
        let due = Micros((now + duration).0 / WAKE_INTERVAL.0 * WAKE_INTERVAL.0);
        let due = if due > now { due } else { due + WAKE_INTERVAL };
        Timer::after(to_duration(due.since(now))).await;
    }

    /// The shared state; never held over a wait.
    pub fn state(&self) -> RefMut<'_, FrontState> {
        self.state.borrow_mut()
    }

    /// Runs a task until it ends by itself.
    pub fn spawn(
        &self,
        task: impl Future<Output = ()> + 'static,
    ) {
        self.executor.spawn(task).detach();
    }

    /// Runs all tasks until `main` ends.
    pub async fn run<T>(
        &self,
        main: impl Future<Output = T>,
    ) -> T {
        self.executor.run(main).await
    }
}
