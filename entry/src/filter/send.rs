use {
    super::{RoutedTry, SelectedWork},
    crate::{
        control::ControlHandle,
        traffic::{EndpointLink, EntryApp, TrafficView},
    },
    futures_lite::future,
    pitchhitch_core::{
        errors::ErrorKind,
        role::{AgentPulse, EntryEvent, WorkTicket},
    },
    pitchhitch_wire::{
        link::{LinkError, ReplyStream},
        messages::{HandOver, LinkCall, LinkReply, ReplyHead},
    },
    smol::Timer,
    std::{sync::Arc, time::Duration},
};

/// Time in which an agent must say that it has a request.
const ACKNOWLEDGE_LIMIT: Duration = Duration::from_millis(1_000);

/// A try that the endpoint has begun to answer.
#[derive(Debug)]
pub struct StartedTry {
    /// Status and headers.
    pub head: ReplyHead,
    /// The rest of the answer.
    pub replies: ReplyStream,
    /// Keeps the books about it.
    pub tracker: TryTracker,
}

/// Keeps the books about one try: what is under way at the endpoint, and how it ended.
#[derive(Debug)]
pub struct TryTracker {
    control: ControlHandle,
    link: Arc<EndpointLink>,
    tokens: u32,
    computed: bool,
}

impl TryTracker {
    fn begin(
        app: &EntryApp,
        link: Arc<EndpointLink>,
        tokens: u32,
    ) -> Self {
        link.record_sent(tokens);
        TryTracker {
            control: app.control.clone(),
            link,
            tokens,
            computed: false,
        }
    }

    /// The agent has the request, and owes a report that counts it.
    fn taken_up(
        &self,
        ticket: WorkTicket,
    ) {
        self.control.tell(EntryEvent::TakenUp {
            endpoint_id: self.link.endpoint_id.clone(),
            ticket,
        });
    }

    /// The endpoint has computed the prompt.
    pub fn first_token(&mut self) {
        if !std::mem::replace(&mut self.computed, true) {
            self.link.record_prefilled(self.tokens);
        }
    }

    /// The endpoint has answered wholly.
    pub fn answered(
        &self,
        pulse: AgentPulse,
    ) {
        self.pulse(pulse);
        self.control.try_succeeded(&self.link);
    }

    /// The endpoint failed or refused.
    pub fn failed(
        &self,
        kind: ErrorKind,
        pulse: Option<AgentPulse>,
    ) {
        if let Some(pulse) = pulse {
            self.pulse(pulse);
        }
        self.control.try_failed(&self.link, kind);
    }

    fn pulse(
        &self,
        pulse: AgentPulse,
    ) {
        self.control.tell(EntryEvent::PulseReceived {
            endpoint_id: self.link.endpoint_id.clone(),
            pulse,
            own: self.link.in_flight(),
        });
    }
}

impl Drop for TryTracker {
    fn drop(&mut self) {
        self.first_token();
        self.link.record_ended();
    }
}

/// Fifth filter: hands the request to the agent and waits for the answer to begin.
///
/// # Errors
/// The kind of failure, which says whether the request may have run.
pub async fn send(
    app: &EntryApp,
    view: &TrafficView,
    work: &SelectedWork,
    routed: &RoutedTry,
    resume_after: Option<u64>,
) -> Result<StartedTry, ErrorKind> {
    let link = view.links.get(routed.choice.endpoint).cloned();
    let link = link.ok_or(ErrorKind::EndpointUnreachable)?;
    let agent = link.get().ok_or(ErrorKind::EndpointUnreachable)?;
    let tokens = routed.choice.estimate.recomputed_tokens;
    let tracker = TryTracker::begin(app, link, tokens);
    let call = LinkCall::HandOver(Box::new(hand_over(app, work, routed, resume_after)));
    let called = agent.call(&call).await;
    let mut replies = called.map_err(|error| note_failure(&tracker, error))?;
    let ticket = acknowledged(&mut replies).await;
    let ticket = ticket.map_err(|error| note_failure(&tracker, error))?;
    tracker.taken_up(ticket);
    match replies.next().await {
        Ok(Some(LinkReply::Head(head))) => {
            measure_import(app, view, routed, work, &head);
            Ok(StartedTry {
                head,
                replies,
                tracker,
            })
        }
        Ok(Some(LinkReply::Refused { kind, pulse } | LinkReply::Failed { kind, pulse })) => {
            tracker.failed(kind, Some(pulse));
            Err(kind)
        }
        Ok(_) => {
            tracker.failed(ErrorKind::BadMessage, None);
            Err(ErrorKind::BadMessage)
        }
        Err(error) => Err(note_failure(&tracker, error)),
    }
}

/// Waits until the agent says that it has the request. One that does not say so
/// in time is frozen or cut off, and may run the request later.
async fn acknowledged(replies: &mut ReplyStream) -> Result<WorkTicket, LinkError> {
    let late = async {
        Timer::after(ACKNOWLEDGE_LIMIT).await;
        Err(LinkError::Broken {
            reason: format!("the agent said nothing within {ACKNOWLEDGE_LIMIT:?}"),
        })
    };
    match future::or(replies.next(), late).await? {
        Some(LinkReply::TakenUp { ticket }) => Ok(ticket),
        other => Err(LinkError::Broken {
            reason: format!("the agent began with {other:?}"),
        }),
    }
}

fn note_failure(
    tracker: &TryTracker,
    error: LinkError,
) -> ErrorKind {
    let kind = error.kind();
    log::info!(
        event = "try-failed",
        endpoint = tracker.link.endpoint_id.as_str(),
        reason = error.to_string().as_str();
        ""
    );
    tracker.failed(kind, None);
    kind
}

fn hand_over(
    app: &EntryApp,
    work: &SelectedWork,
    routed: &RoutedTry,
    resume_after: Option<u64>,
) -> HandOver {
    let left = work.deadline.since(app.clock.now());
    HandOver {
        request_id: work.request.id.clone(),
        organisation: work.organisation.clone(),
        label: work.request.marks.label.clone(),
        version: (!routed.version.is_empty()).then(|| routed.version.clone()),
        tokens: routed.choice.estimate.recomputed_tokens,
        deadline_millis: left.as_millis().max(1),
        repeatable: work.repeatable,
        method: work.request.method.to_string(),
        path: work.request.path_and_query(),
        headers: work.request.headers.clone(),
        body: work.body.clone(),
        pieces: routed.pieces.clone(),
        import: routed.import.clone(),
        export: routed.keep.export.clone(),
        resume_after,
    }
}

/// Tells the control thread how fast the store box's link was.
fn measure_import(
    app: &EntryApp,
    view: &TrafficView,
    routed: &RoutedTry,
    work: &SelectedWork,
    head: &ReplyHead,
) {
    let Some(plan) = &routed.import else {
        return;
    };
    if head.imported_pieces == 0 || head.import_micros == 0 {
        return;
    }
    let tokens = u64::from(head.imported_pieces * pitchhitch_core::kv_cache::PIECE_TOKENS);
    let bytes = tokens * super::token_bytes(view, work);
    app.control.tell(EntryEvent::StoreMeasured {
        store: plan.store.clone(),
        link_rate: bytes as f64 / (head.import_micros as f64 / 1e6),
    });
}
