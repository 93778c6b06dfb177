use {
    pitchhitch_core::time::Micros,
    slotmap::{new_key_type, SlotMap},
    std::{cell::RefCell, rc::Rc},
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
}

impl RequestStage {
    pub fn as_str(self) -> &'static str {
        match self {
            RequestStage::Arriving => "arriving",
            RequestStage::Waiting => "waiting",
            RequestStage::Sent => "sent",
            RequestStage::Responding => "responding",
            RequestStage::Begun => "begun",
        }
    }
}

/// A request that is not over.
#[derive(Debug, Clone)]
pub(crate) struct OpenRequest {
    /// Empty until the head has been read.
    pub request_id: String,
    pub stage: RequestStage,
    pub arrived_at: Micros,
}

/// Requests of callers that are not over, also those that are still arriving.
#[derive(Debug, Default)]
pub(crate) struct RequestBoard {
    requests: RefCell<SlotMap<OpenKey, OpenRequest>>,
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
            arrived_at,
        };
        RequestEntry {
            board: self.clone(),
            key: self.requests.borrow_mut().insert(request),
        }
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

    /// All open requests.
    pub fn open(&self) -> Vec<OpenRequest> {
        self.requests.borrow().values().cloned().collect()
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

    pub fn set_stage(
        &self,
        stage: RequestStage,
    ) {
        if let Some(request) = self.board.requests.borrow_mut().get_mut(self.key) {
            request.stage = stage;
        }
    }
}

impl Drop for RequestEntry {
    fn drop(&mut self) {
        self.board.requests.borrow_mut().remove(self.key);
    }
}
