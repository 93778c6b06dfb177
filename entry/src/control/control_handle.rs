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

/// A question about the control state.
pub(super) type CoreQuery = Box<dyn FnOnce(&mut EntryCore, Micros) + Send>;

/// What the control thread takes.
pub enum ControlMessage {
    /// An event for the core.
    Event(EntryEvent),
    /// An agent's beacon.
    AgentBeacon(AgentBeacon),
    /// A question about the control state.
    Query(CoreQuery),
    /// The process is stopping: hand back what others should take over.
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

/// How traffic and controllers talk to the control thread.
#[derive(Debug, Clone)]
pub struct ControlHandle {
    messages: Sender<ControlMessage>,
}

impl ControlHandle {
    /// A handle that sends into a channel.
    pub fn new(messages: Sender<ControlMessage>) -> Self {
        ControlHandle { messages }
    }

    /// Tells the core an event.
    pub fn send_event(
        &self,
        event: EntryEvent,
    ) {
        // The channel has no bound and lives as long as the process.
        let _ = self.messages.try_send(ControlMessage::Event(event));
    }

    /// Passes an agent's beacon on.
    pub fn forward_agent_beacon(
        &self,
        beacon: AgentBeacon,
    ) {
        let _ = self.messages.try_send(ControlMessage::AgentBeacon(beacon));
    }

    /// Asks the control state something; none when the control thread is gone.
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

    /// Hands back leases, and waits until that is done.
    pub async fn release_leases(&self) {
        let (sender, receiver) = async_channel::bounded(1);
        let _ = self.messages.try_send(ControlMessage::Release(sender));
        let _ = receiver.recv().await;
    }

    /// Notes that a try was answered. Only the first success after a failure is
    /// news, so the others cost the control thread nothing.
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

    /// Notes that a try failed at the endpoint. Refusals are no failures.
    pub fn attempt_failed(
        &self,
        link: &EndpointLink,
        kind: ErrorKind,
    ) {
        let counts = matches!(
            kind,
            ErrorKind::EndpointLost
                | ErrorKind::EndpointUnreachable
                | ErrorKind::BadAnswer
                | ErrorKind::BadMessage
        );
        if counts {
            link.mark_failed();
            self.send_event(EntryEvent::AttemptEnded {
                endpoint_id: link.endpoint_id.clone(),
                failure: Some(kind),
            });
        }
    }
}
