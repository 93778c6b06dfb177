use {
    super::{
        ClaimWaits, ContactBoard, FrontMetrics, FrontSettings, FrontState, MoveBoard, RequestBoard,
    },
    pitchhitch_core::{
        serving::{mix_hashes, stable_fraction, stable_hash, StopWindow},
        time::Micros,
    },
    pitchhitch_http1::{ConnectionCapacity, IdleConnections},
    pitchhitch_process::{to_duration, ProcessClock, WakeSignal},
    smol::{LocalExecutor, Timer},
    std::{
        cell::{Cell, RefCell, RefMut},
        future::Future,
        rc::Rc,
    },
};

/// Interval to which the wake-ups of [`FrontContext::sleep_coalesced`] are aligned.
const WAKE_INTERVAL: Micros = Micros::from_millis(100);

/// Everything that the tasks of a front share.
#[derive(Debug)]
pub(crate) struct FrontContext {
    pub settings: FrontSettings,
    /// Clock; it also advances while the process is paused.
    pub clock: ProcessClock,
    /// Counters and histograms.
    pub metrics: FrontMetrics,
    /// Wakes the greeting sender before its next round. The agent of an engine that is leaving must
    /// be notified soon: from then on the engine is no longer announced to other fronts, even if
    /// this front fails.
    pub greeting_due: WakeSignal,
    /// Wakes the task that writes the requests blocked by this front to the platform store.
    pub blocked_row_due: WakeSignal,
    /// Wakes the task that records the software on which streams begin.
    pub software_row_due: WakeSignal,
    /// Cancels the long poll at the platform store after the store has been restored from a
    /// snapshot.
    pub era_changed: WakeSignal,
    /// Wakes the task that carries out roll-outs.
    pub rollout_due: WakeSignal,
    /// Wakes the task that reports and looks up the origins of streams.
    pub origin_due: WakeSignal,
    /// Wakes the task that sends claims of prompt parts.
    pub claims_due: WakeSignal,
    /// Requests that wait for the answers to their claims.
    pub claim_waits: ClaimWaits,
    /// Time that is left for requests, once the process stops.
    pub stop_window: Cell<Option<StopWindow>>,
    /// Requests that are not over.
    pub requests: Rc<RequestBoard>,
    /// Streams that this front relays, and the moves of their runs.
    pub moves: Rc<MoveBoard>,
    /// How many connections the process may hold.
    pub capacity: ConnectionCapacity,
    /// Connections of callers that wait for a request.
    pub idle_callers: Rc<IdleConnections>,
    /// Whether connections of callers are refused or closed to stay within the capacity.
    pub has_limited_connections: Cell<bool>,
    /// Requests to be notified when their endpoint stops responding.
    pub contacts: Rc<ContactBoard>,
    state: RefCell<FrontState>,
    executor: LocalExecutor<'static>,
}

impl FrontContext {
    /// Creates a context with an empty state.
    pub fn new(settings: FrontSettings) -> Rc<Self> {
        let clock = ProcessClock::start();
        let incarnation = mix_hashes(stable_hash(&settings.box_id), clock.incarnation());
        Rc::new(FrontContext {
            state: RefCell::new(FrontState::new(&settings, incarnation)),
            capacity: ConnectionCapacity::of_process(settings.max_descriptors),
            idle_callers: Rc::default(),
            has_limited_connections: Cell::new(false),
            settings,
            clock,
            metrics: FrontMetrics::default(),
            greeting_due: WakeSignal::default(),
            blocked_row_due: WakeSignal::default(),
            software_row_due: WakeSignal::default(),
            era_changed: WakeSignal::default(),
            rollout_due: WakeSignal::default(),
            origin_due: WakeSignal::default(),
            claims_due: WakeSignal::default(),
            claim_waits: ClaimWaits::default(),
            stop_window: Cell::default(),
            requests: Rc::default(),
            moves: Rc::default(),
            contacts: Rc::default(),
            executor: LocalExecutor::new(),
        })
    }

    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// This front's part of a time over which fronts spread what each of them does.
    pub fn spread_delay(
        &self,
        spread: Micros,
    ) -> Micros {
        let fraction = stable_fraction(&self.settings.box_id);
        Micros((spread.0 as f64 * fraction) as u64)
    }

    /// Sleeps for approximately this long. Wake-ups of all such tasks coincide, because each
    /// wake-up of the process costs several system calls.
    pub async fn sleep_coalesced(
        &self,
        duration: Micros,
    ) {
        let now = self.now();
        let due = Micros((now + duration).0 / WAKE_INTERVAL.0 * WAKE_INTERVAL.0);
        let due = if due > now { due } else { due + WAKE_INTERVAL };
        Timer::after(to_duration(due.since(now))).await;
    }

    /// The shared state; must not be held across an await point.
    pub fn state(&self) -> RefMut<'_, FrontState> {
        self.state.borrow_mut()
    }

    /// Runs a task in the background until it completes.
    pub fn spawn(
        &self,
        task: impl Future<Output = ()> + 'static,
    ) {
        self.executor.spawn(task).detach();
    }

    /// Runs all tasks until `main` completes.
    pub async fn run<T>(
        &self,
        main: impl Future<Output = T>,
    ) -> T {
        self.executor.run(main).await
    }
}
