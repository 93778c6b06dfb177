use {
    crate::front::{FrontContext, MoveSlot},
    async_channel::{Receiver, Sender},
    pitchhitch_core::{
        serving::{
            CopyReply, EndpointEntry, EndpointKey, EndpointStatus, MoveAction, MoveEvent, MoveStep,
            NamedRun, ResumeSite, RunMove,
        },
        time::Micros,
    },
    pitchhitch_platform::{copy_run, delete_handle, CopyCall, CopyResponse},
    pitchhitch_process::to_duration,
    std::{net::SocketAddr, time::Instant},
};

/// Time after which a move ends whose first call has no reply. The run continues meanwhile.
const COPY_TIMEOUT: Micros = Micros::from_millis(1_000);
/// Timeout of the first call. A reply that comes after the end of the move names a handle, which is
/// deleted; until then the copy counts as one in progress.
const LATE_REPLY_TIMEOUT: Micros = Micros::from_millis(5_000);
/// Timeout of the stopping call. The caller gets no events meanwhile, and the gaps that routes allow
/// are 250 ms and more.
const STOP_TIMEOUT: Micros = Micros::from_millis(250);
/// Time for which the close of the stream is awaited after the run has stopped. What has not arrived
/// by then is produced again at the target.
const CLOSE_TIMEOUT: Micros = Micros::from_millis(50);
/// Timeout of the deletion of a handle.
const DELETE_TIMEOUT: Micros = Micros::from_millis(500);

/// Source or target of a move.
#[derive(Debug, Clone)]
pub(crate) struct MoveEngine {
    pub key: EndpointKey,
    pub id: String,
    pub address: SocketAddr,
    /// Incarnations that had ended when the move started.
    incarnation: u32,
}

impl MoveEngine {
    pub fn new(
        key: EndpointKey,
        entry: &EndpointEntry,
    ) -> Self {
        MoveEngine {
            key,
            id: entry.id.clone(),
            address: entry.address,
            incarnation: entry.incarnation.ended,
        }
    }
}

/// A move in progress: the state machine, and what its calls need.
#[derive(Debug)]
pub(crate) struct ActiveMove {
    pub machine: RunMove,
    pub run: NamedRun,
    pub source: MoveEngine,
    pub target: MoveEngine,
    pub model: String,
    pub version: u64,
    /// Latest handle that the source has named.
    pub handle: Option<String>,
    /// Slot that is reserved at the target.
    pub ticket: Option<u64>,
    pub started_at: Micros,
    /// When the stopping call was sent.
    pub stopped_at: Option<Micros>,
    /// When the wait for the reply to the first call, or for the close of the stream, ends. The timer
    /// of the request also limits writes to the caller, so that a slow reader was cut with it.
    pub due_at: Option<Instant>,
    sender: Sender<CopyResponse>,
    replies: Receiver<CopyResponse>,
    _slot: MoveSlot,
}

impl ActiveMove {
    /// Starts a move with its first call.
    pub fn start(
        front: &FrontContext,
        run: NamedRun,
        (source, target): (MoveEngine, MoveEngine),
        (model, version): (String, u64),
        ticket: u64,
        slot: MoveSlot,
    ) -> Self {
        let (machine, action) = RunMove::start();
        let (sender, replies) = async_channel::bounded(1);
        let mut active = ActiveMove {
            machine,
            run,
            source,
            target,
            model,
            version,
            handle: None,
            ticket: Some(ticket),
            started_at: front.now(),
            stopped_at: None,
            due_at: Some(Instant::now() + to_duration(COPY_TIMEOUT)),
            sender,
            replies,
            _slot: slot,
        };
        active.act(front, action);
        active
    }

    pub fn engine(
        &self,
        site: ResumeSite,
    ) -> &MoveEngine {
        match site {
            ResumeSite::Target => &self.target,
            ResumeSite::Source => &self.source,
        }
    }

    /// Reply to the pending call.
    pub async fn reply(&self) -> CopyResponse {
        let reply = self.replies.recv().await;
        reply.unwrap_or(CopyResponse {
            reply: CopyReply::Lost,
            handle: None,
        })
    }

    /// Handles an event, makes the call or deletion that follows from it, and returns the step.
    pub fn on_event(
        &mut self,
        front: &FrontContext,
        event: MoveEvent,
    ) -> MoveStep {
        self.check_engines(front);
        let step = self.machine.on_event(event);
        self.act(front, step.action);
        if step.drops_handle {
            if let Some(deletion) = self.deletion() {
                front.spawn(deletion);
            }
        }
        step
    }

    /// Handles the reply to the pending call.
    pub fn on_reply(
        &mut self,
        front: &FrontContext,
        response: CopyResponse,
    ) -> MoveStep {
        self.handle = response.handle.or(self.handle.take());
        let step = self.on_event(front, MoveEvent::Reply(response.reply));
        let awaits_close = self.machine.awaits_close();
        self.due_at = awaits_close.then(|| Instant::now() + to_duration(CLOSE_TIMEOUT));
        step
    }

    /// Waits for the pending call of a move that has been abandoned, and deletes its handle.
    pub async fn clean_up(mut self) {
        while self.machine.is_call_pending() {
            let response = self.reply().await;
            self.handle = response.handle.or(self.handle.take());
            let step = self.machine.on_event(MoveEvent::Reply(response.reply));
            if let Some(deletion) = self.deletion().filter(|_| step.drops_handle) {
                deletion.await;
            }
        }
    }

    /// Reports to the state machine an engine that has restarted, has other weights or, as the
    /// target, is leaving or about to swap weights.
    fn check_engines(
        &mut self,
        front: &FrontContext,
    ) {
        for site in [ResumeSite::Target, ResumeSite::Source] {
            let engine = self.engine(site);
            let state = front.state();
            let entry = state.registry.get(engine.key);
            let is_usable = entry.is_some_and(|entry| {
                let is_same = entry.incarnation.ended == engine.incarnation
                    && entry.address == engine.address
                    && entry.weights.version(&self.model) == Some(self.version);
                let is_swapping = entry.load.is_some_and(|load| load.is_swapping);
                let may_receive = entry.status != EndpointStatus::Leaving && !is_swapping;
                is_same && (site == ResumeSite::Source || may_receive)
            });
            drop(state);
            if !is_usable {
                self.machine.on_event(MoveEvent::Unusable(site));
            }
        }
    }

    fn act(
        &mut self,
        front: &FrontContext,
        action: MoveAction,
    ) {
        let MoveAction::Call { is_last } = action else {
            return;
        };
        let mut timeout = LATE_REPLY_TIMEOUT;
        if is_last {
            timeout = STOP_TIMEOUT;
            self.stopped_at = Some(front.now());
        }
        let call = CopyCall {
            source: self.source.address,
            source_id: self.source.id.clone(),
            request_id: self.run.request_id.clone(),
            target: self.target.address,
            is_last,
        };
        let sender = self.sender.clone();
        front.spawn(async move {
            let response = copy_run(&call, to_duration(timeout)).await;
            let _ = sender.send(response).await;
        });
    }

    /// Deletes the handle at the source, which frees both ends, or at the target if the source does
    /// not confirm it: one that has restarted does not know the handle.
    fn deletion(&mut self) -> Option<impl std::future::Future<Output = ()> + 'static> {
        let handle = self.handle.take()?;
        let (source, target) = (self.source.clone(), self.target.clone());
        let timeout = to_duration(DELETE_TIMEOUT);
        Some(async move {
            if !delete_handle(source.address, &source.id, &handle, timeout).await {
                delete_handle(target.address, &target.id, &handle, timeout).await;
            }
        })
    }
}
