use {
    super::ControlHandle,
    crate::traffic::EndpointLink,
    async_channel::Receiver,
    futures_lite::future,
    pitchhitch_core::{retry::BackoffPolicy, role::EntryEvent, route::EndpointState},
    pitchhitch_process::{spawn, to_duration},
    pitchhitch_wire::{
        link::{AgentLink, LinkError, ReplyStream},
        messages::{LinkCall, LinkReply},
    },
    rand::SeedableRng,
    rand_pcg::Pcg32,
    smol::Timer,
    std::{sync::Arc, time::Duration},
};

/// Timeout for connecting to an agent.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Maintains the link to one incarnation of an agent and forwards its events to the core.
#[derive(Debug)]
pub struct LinkSupervisor {
    /// Id of the entry process, for the agent's log.
    pub entry_id: String,
    /// The endpoint.
    pub state: Arc<EndpointState>,
    /// The link as seen by the traffic threads.
    pub link: Arc<EndpointLink>,
    /// The control thread.
    pub control: ControlHandle,
    /// Receives a message when the event stream must be reopened.
    pub resync: Receiver<()>,
}

impl LinkSupervisor {
    /// Maintains the link, reconnecting with backoff; dropping the future closes it.
    pub async fn run(self) {
        let mut random = Pcg32::seed_from_u64(self.state.incarnation);
        let mut failures = 0;
        loop {
            if self.connect_once().await {
                failures = 0;
            }
            self.link.set_connection(None);
            self.control.send_event(EntryEvent::LinkLost {
                endpoint_id: self.state.id.clone(),
            });
            failures += 1;
            let backoff = BackoffPolicy::LINK.delay(failures, &mut random);
            Timer::after(to_duration(backoff)).await;
        }
    }

    /// Connects and runs until the link breaks. Returns true only if the event stream was reopened
    /// in the meantime; a link that breaks during its first stream counts as a failed attempt.
    async fn connect_once(&self) -> bool {
        let connected = AgentLink::connect(self.state.address, CONNECT_TIMEOUT).await;
        let (link, driver) = match connected {
            Ok(connected) => connected,
            Err(error) => {
                log::debug!(
                    event = "link-failed",
                    endpoint = self.state.id.as_str(),
                    error = error.to_string().as_str();
                    ""
                );
                return false;
            }
        };
        // Dropping the task closes the connection, also when the supervisor is dropped.
        let driver = spawn(driver);
        let mut was_up = false;
        let events = async {
            loop {
                match self.subscribe(&link).await {
                    Ok(true) => was_up = true,
                    Ok(false) | Err(_) => return,
                }
            }
        };
        future::or(events, driver).await;
        was_up
    }

    /// Reads one event stream; returns true when it should be reopened.
    async fn subscribe(
        &self,
        link: &AgentLink,
    ) -> Result<bool, LinkError> {
        let call = LinkCall::Subscribe {
            entry_id: self.entry_id.clone(),
        };
        let mut replies = link.call(&call).await?;
        if !self.is_expected(replies.next().await?) {
            return Ok(false);
        }
        self.control.send_event(EntryEvent::StreamOpened {
            endpoint_id: self.state.id.clone(),
            incarnation: self.state.incarnation,
        });
        self.link.set_connection(Some(link.clone()));
        let read = self.read_events(&mut replies);
        let resync = async {
            let _ = self.resync.recv().await;
            Ok(true)
        };
        future::or(read, resync).await
    }

    /// Whether the agent at the address is the one announced by the beacon.
    fn is_expected(
        &self,
        greeting: Option<LinkReply>,
    ) -> bool {
        match greeting {
            Some(LinkReply::Hello {
                endpoint_id,
                incarnation,
            }) => endpoint_id == self.state.id && incarnation == self.state.incarnation,
            _ => false,
        }
    }

    async fn read_events(
        &self,
        replies: &mut ReplyStream,
    ) -> Result<bool, LinkError> {
        while let Some(reply) = replies.next().await? {
            if let LinkReply::Events(batch) = reply {
                self.control.send_event(EntryEvent::AgentEventsReceived {
                    endpoint_id: self.state.id.clone(),
                    incarnation: self.state.incarnation,
                    batch,
                    own: self.link.in_flight(),
                });
            }
        }
        Ok(false)
    }
}
