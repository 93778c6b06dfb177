use {
    pitchhitch_core::time::Micros,
    slotmap::{new_key_type, SlotMap},
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        task::{Context, Poll, Waker},
    },
};

new_key_type! {
    struct OpenKey;
}

/// How far an open request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestStage {
    /// Its first bytes have arrived.
    Arriving,
    /// It has been read, and is at no endpoint.
    Waiting,
    /// It has been sent to an endpoint, which has not responded.
    Sent,
    /// An endpoint has responded, and the caller has received nothing.
    Responding,
    /// The caller has received a part of the response.
    Begun,
    /// It is over, and its connection is being closed.
    Closing,
}

impl RequestStage {
    pub fn as_str(self) -> &'static str {
        match self {
            RequestStage::Arriving => "arriving",
            RequestStage::Waiting => "waiting",
            RequestStage::Sent => "sent",
            RequestStage::Responding => "responding",
            RequestStage::Begun => "begun",
            RequestStage::Closing => "closing",
        }
    }
}

/// What a process still does for its requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub(crate) enum StopPhase {
    /// It serves them.
    #[default]
    Serving,
    /// Callers that have received nothing are answered now.
    Answering,
    /// Answers that have begun are ended now.
    Ending,
}

/// A request that is not over.
#[derive(Debug, Clone)]
pub(crate) struct OpenRequest {
    /// Empty until the head has been read.
    pub request_id: String,
    pub stage: RequestStage,
    /// Whether it has been sent to an endpoint.
    pub was_sent: bool,
    pub arrived_at: Micros,
    /// Wakes its task when the phase changes.
    waker: Option<Waker>,
}

/// Requests of callers that are not over, also those that are still arriving.
#[derive(Debug, Default)]
pub(crate) struct RequestBoard {
    requests: RefCell<SlotMap<OpenKey, OpenRequest>>,
    phase: Cell<StopPhase>,
}

impl RequestBoard {
    /// Adds a request until the result is dropped.
    pub fn add(
        self: &Rc<Self>,
        arrived_at: Micros,
    ) -> RequestEntry {
        let request = OpenRequest {
            request_id: String::new(),
            stage: RequestStage::Arriving,
            was_sent: false,
            arrived_at,
            waker: None,
        };
        RequestEntry {
            board: self.clone(),
            key: self.requests.borrow_mut().insert(request),
        }
    }

    /// Begins a phase, and wakes the requests that it ends.
    pub fn begin_phase(
        &self,
        phase: StopPhase,
    ) {
        self.phase.set(phase);
        let mut requests = self.requests.borrow_mut();
        let wakers = requests
            .values_mut()
            .filter_map(|request| request.waker.take());
        let wakers: Vec<Waker> = wakers.collect();
        drop(requests);
        wakers.into_iter().for_each(Waker::wake);
    }

    /// Number of requests that have been read to their end.
    pub fn running(&self) -> usize {
        self.open().len() - self.arriving()
    }

    /// Number of requests that are still arriving.
    pub fn arriving(&self) -> usize {
        let requests = self.requests.borrow();
        let arriving = requests.values();
        arriving
            .filter(|request| request.stage == RequestStage::Arriving)
            .count()
    }

    /// Whether no request is open and no connection is being closed.
    pub fn is_empty(&self) -> bool {
        self.requests.borrow().is_empty()
    }

    /// All requests that are not over.
    pub fn open(&self) -> Vec<OpenRequest> {
        let requests = self.requests.borrow();
        let open = requests
            .values()
            .filter(|request| request.stage != RequestStage::Closing);
        open.cloned().collect()
    }
}

/// Entry of a request on the board.
#[derive(Debug)]
pub(crate) struct RequestEntry {
    board: Rc<RequestBoard>,
    key: OpenKey,
}

impl RequestEntry {
    /// Records the id of the request, once its head has been read.
    pub fn set_id(
        &self,
        request_id: &str,
    ) {
        if let Some(request) = self.board.requests.borrow_mut().get_mut(self.key) {
            request.request_id = request_id.to_string();
        }
    }

    /// Watches whether the process must end the request.
    pub fn watch(&self) -> StopWatch {
        StopWatch {
            board: self.board.clone(),
            key: self.key,
        }
    }

    pub fn set_stage(
        &self,
        stage: RequestStage,
    ) {
        if let Some(request) = self.board.requests.borrow_mut().get_mut(self.key) {
            request.was_sent |= stage == RequestStage::Sent;
            request.stage = stage;
        }
    }

    /// How far the request has come.
    pub fn status(&self) -> Option<OpenRequest> {
        self.board.requests.borrow().get(self.key).cloned()
    }
}

impl Drop for RequestEntry {
    fn drop(&mut self) {
        self.board.requests.borrow_mut().remove(self.key);
    }
}

/// Tells a task that the process must end its request.
#[derive(Debug, Clone)]
pub(crate) struct StopWatch {
    board: Rc<RequestBoard>,
    key: OpenKey,
}

impl StopWatch {
    /// Ready once the process must end the request.
    pub fn poll_ended(
        &self,
        context: &mut Context<'_>,
    ) -> Poll<()> {
        self.poll_phase(context, |stage| match stage {
            RequestStage::Begun => Some(StopPhase::Ending),
            _ => Some(StopPhase::Answering),
        })
    }

    /// Ready if the request should have ended by itself, and its caller has received nothing.
    pub fn poll_overdue(
        &self,
        context: &mut Context<'_>,
    ) -> Poll<()> {
        self.poll_phase(context, |stage| match stage {
            RequestStage::Begun => None,
            _ => Some(StopPhase::Ending),
        })
    }

    /// Ready in the phase that `last_phase` names for the stage of the request.
    fn poll_phase(
        &self,
        context: &mut Context<'_>,
        last_phase: impl Fn(RequestStage) -> Option<StopPhase>,
    ) -> Poll<()> {
        let phase = self.board.phase.get();
        let mut requests = self.board.requests.borrow_mut();
        let Some(request) = requests.get_mut(self.key) else {
            return Poll::Pending;
        };
        if last_phase(request.stage).is_some_and(|last| phase >= last) {
            return Poll::Ready(());
        }
        let waker = context.waker();
        if !request
            .waker
            .as_ref()
            .is_some_and(|known| known.will_wake(waker))
        {
            request.waker = Some(waker.clone());
        }
        Poll::Pending
    }
}
