use {
    async_channel::{Receiver, Sender},
    pitchhitch_core::serving::{EndpointKey, MoveSlots, NamedRun},
    std::{cell::RefCell, collections::HashMap, rc::Rc},
};

/// Streams that this front relays, by request id, and the slots of their moves.
#[derive(Debug, Default)]
pub(crate) struct MoveBoard {
    streams: RefCell<HashMap<String, Sender<(EndpointKey, NamedRun)>>>,
    slots: RefCell<MoveSlots>,
}

impl MoveBoard {
    /// Registers a stream until the result is dropped.
    pub fn register(
        self: &Rc<Self>,
        request_id: &str,
    ) -> StreamRegistration {
        // A run that is named in every digest is handled once at a time.
        let (sender, named) = async_channel::bounded(1);
        let mut streams = self.streams.borrow_mut();
        streams.insert(request_id.to_string(), sender);
        StreamRegistration {
            board: self.clone(),
            request_id: request_id.to_string(),
            named,
        }
    }

    /// Notifies the task that relays a run that the agent of its engine names.
    pub fn notify(
        &self,
        engine: EndpointKey,
        run: NamedRun,
    ) {
        if let Some(sender) = self.streams.borrow().get(&run.request_id) {
            let _ = sender.try_send((engine, run));
        }
    }

    /// Takes a slot for a move away from an engine, if there is one.
    pub fn try_acquire(
        self: &Rc<Self>,
        source: EndpointKey,
    ) -> Option<MoveSlot> {
        let is_acquired = self.slots.borrow_mut().try_acquire(source);
        is_acquired.then(|| MoveSlot {
            board: self.clone(),
            source,
        })
    }
}

/// Registration of a stream whose run may be named.
#[derive(Debug)]
pub(crate) struct StreamRegistration {
    board: Rc<MoveBoard>,
    request_id: String,
    /// Receives the run when it is named, and the engine that executes it.
    pub named: Receiver<(EndpointKey, NamedRun)>,
}

impl Drop for StreamRegistration {
    fn drop(&mut self) {
        // A request that was sent again with the same id has replaced this registration.
        self.named.close();
        let mut streams = self.board.streams.borrow_mut();
        if streams.get(&self.request_id).is_some_and(Sender::is_closed) {
            streams.remove(&self.request_id);
        }
    }
}

/// Slot of a move, returned when it is dropped.
#[derive(Debug)]
pub(crate) struct MoveSlot {
    board: Rc<MoveBoard>,
    source: EndpointKey,
}

impl Drop for MoveSlot {
    fn drop(&mut self) {
        self.board.slots.borrow_mut().release(self.source);
    }
}
