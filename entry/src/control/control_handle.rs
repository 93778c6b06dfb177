use {
    crate::traffic::EndpointLink,
    async_channel::Sender,
    pitchhitch_core::{
        errors::ErrorKind,
        membership::AgentBeacon,
        role::{EntryCore, EntryEvent},
        time::Micros,
    },
    std::fmt,
};

/// A closure that runs on the control thread with access to the control state.
pub(super) type CoreQuery = Box<dyn FnOnce(&mut EntryCore, Micros) + Send>;

/// A message to the control thread.
pub enum ControlMessage {
    /// An event for the core.
    Event(EntryEvent),
    /// An agent's beacon.
    AgentBeacon(AgentBeacon),
    /// A closure to run with access to the control state.
    Query(CoreQuery),
    /// The process is stopping: release the leases so that other processes can take over.
    Release(Sender<()>),
}

impl fmt::Debug for ControlMessage {
    fn fmt(
        &self,
        f: &mut fmt::Formatter<'_>,
    ) -> fmt::Result {
        match self {
            ControlMessage::Event(event) => write!(f, "Event({event:?})"),
            ControlMessage::AgentBeacon(beacon) => write!(f, "AgentBeacon({})", beacon.endpoint_id),
            ControlMessage::Query(_) => f.write_str("Query"),
            ControlMessage::Release(_) => f.write_str("Release"),
        }
    }
}

/// Sends messages to the control thread, for traffic threads and controllers.
#[derive(Debug, Clone)]
pub struct ControlHandle {
    messages: Sender<ControlMessage>,
}

impl ControlHandle {
    /// A handle that sends to a channel.
    pub fn new(messages: Sender<ControlMessage>) -> Self {
        ControlHandle { messages }
    }

    /// Sends an event to the core.
    pub fn send_event(
        &self,
        event: EntryEvent,
    ) {
        // The channel is unbounded and open as long as the process runs.
        let _ = self.messages.try_send(ControlMessage::Event(event));
    }

    /// Forwards an agent's beacon to the control thread.
    pub fn forward_agent_beacon(
        &self,
        beacon: AgentBeacon,
    ) {
        let _ = self.messages.try_send(ControlMessage::AgentBeacon(beacon));
    }

    /// Runs a closure on the control thread and returns its result; `None` if the
    /// control thread has ended.
    pub async fn query<T: Send + 'static>(
        &self,
        operation: impl FnOnce(&mut EntryCore, Micros) -> T + Send + 'static,
    ) -> Option<T> {
        let (sender, receiver) = async_channel::bounded(1);
        let query: CoreQuery = Box::new(move |core, now| {
            let _ = sender.try_send(operation(core, now));
        });
        let _ = self.messages.try_send(ControlMessage::Query(query));
        receiver.recv().await.ok()
    }

    /// Releases the leases of this process and waits until they are written.
    pub async fn release_leases(&self) {
        let (sender, receiver) = async_channel::bounded(1);
        let _ = self.messages.try_send(ControlMessage::Release(sender));
        let _ = receiver.recv().await;
    }

    /// Records a successful attempt. Only the first success after a failure is sent to
    /// the control thread, to keep its load low.
    pub fn attempt_succeeded(
        &self,
        link: &EndpointLink,
    ) {
        if link.clear_failed() {
            self.send_event(EntryEvent::AttemptEnded {
                endpoint_id: link.endpoint_id.clone(),
                failure: None,
            });
        }
    }

    /// Records a failed attempt at the endpoint. Refusals do not count as failures.
    pub fn attempt_failed(
        &self,
        link: &EndpointLink,
        kind: ErrorKind,
    ) {
        let is_failure = matches!(
            kind,
            ErrorKind::EndpointLost
                | ErrorKind::EndpointUnreachable
                | ErrorKind::BadAnswer
                | ErrorKind::BadMessage
        );
        if is_failure {
            link.mark_failed();
            self.send_event(EntryEvent::AttemptEnded {
                endpoint_id: link.endpoint_id.clone(),
                failure: Some(kind),
            });
        }
    }
}
