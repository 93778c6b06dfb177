use {
    super::{EngineAgentSettings, EngineAgentState},
    pitchhitch_core::time::Micros,
    pitchhitch_process::{ProcessClock, WakeSignal},
    pitchhitch_wire::engine_agent::DatagramSocket,
    smol::LocalExecutor,
    std::{
        cell::{RefCell, RefMut},
        future::Future,
        rc::Rc,
    },
};

/// Context shared by all tasks.
#[derive(Debug)]
pub(crate) struct EngineAgentContext {
    /// Settings at the start of the process; a reload signal does not change them.
    pub settings: EngineAgentSettings,
    /// Clock.
    pub clock: ProcessClock,
    /// Socket for greetings and digests.
    pub socket: DatagramSocket,
    /// Wakes the digest sender: suspect requests that a front reports are forwarded to all others
    /// at once, as callers whose request has just failed retry at another front.
    pub digest_due: WakeSignal,
    /// Wakes the order sender.
    pub order_due: WakeSignal,
    state: RefCell<EngineAgentState>,
    executor: LocalExecutor<'static>,
}

impl EngineAgentContext {
    /// Creates a context with empty state.
    pub fn new(
        settings: EngineAgentSettings,
        socket: DatagramSocket,
    ) -> Rc<Self> {
        Rc::new(EngineAgentContext {
            settings,
            clock: ProcessClock::start(),
            socket,
            digest_due: WakeSignal::default(),
            order_due: WakeSignal::default(),
            state: RefCell::new(EngineAgentState::default()),
            executor: LocalExecutor::new(),
        })
    }

    /// Current time.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// Borrows the shared state; never held across an await.
    pub fn state(&self) -> RefMut<'_, EngineAgentState> {
        self.state.borrow_mut()
    }

    /// Spawns a task that runs until it completes.
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
