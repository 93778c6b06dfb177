use {
    super::{ParsedRequest, RoutedAttempt},
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
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A try that the endpoint has begun to answer.
#[derive(Debug)]
pub struct StartedAttempt {
    /// Status and headers.
    pub head: ReplyHead,
    /// The rest of the answer.
    pub replies: ReplyStream,
    /// Keeps the books about it.
    pub tracker: AttemptTracker,
}

/// Keeps the books about one try: what is under way at the endpoint, and how it ended.
#[derive(Debug)]
pub struct AttemptTracker {
    control: ControlHandle,
    link: Arc<EndpointLink>,
    tokens: u32,
    is_prefilled: bool,
}

impl AttemptTracker {
    fn start(
        app: &EntryApp,
        link: Arc<EndpointLink>,
        tokens: u32,
    ) -> Self {
        link.began(tokens);
        AttemptTracker {
            control: app.control.clone(),
            link,
            tokens,
            is_prefilled: false,
        }
    }

    /// The agent has the request, and owes a report that counts it.
    fn record_acknowledged(
        &self,
        ticket: WorkTicket,
    ) {
        self.control.send_event(EntryEvent::TakenUp {
            endpoint_id: self.link.endpoint_id.clone(),
            ticket,
        });
    }

    /// The endpoint has computed the prompt.
    pub fn record_first_token(&mut self) {
        if !std::mem::replace(&mut self.is_prefilled, true) {
            self.link.computed(self.tokens);
        }
    }

    /// The endpoint has answered wholly.
    pub fn record_success(
        &self,
        pulse: AgentPulse,
    ) {
        self.report_pulse(pulse);
        self.control.attempt_succeeded(&self.link);
    }

    /// The endpoint failed or refused.
    pub fn record_failure(
        &self,
        kind: ErrorKind,
        pulse: Option<AgentPulse>,
    ) {
        if let Some(pulse) = pulse {
            self.report_pulse(pulse);
        }
        self.control.attempt_failed(&self.link, kind);
    }

    fn report_pulse(
        &self,
        pulse: AgentPulse,
    ) {
        self.control.send_event(EntryEvent::PulseReceived {
            endpoint_id: self.link.endpoint_id.clone(),
            pulse,
            own: self.link.sent(),
        });
    }
}

impl Drop for AttemptTracker {
    fn drop(&mut self) {
        self.record_first_token();
        self.link.ended();
    }
}

/// Fifth filter: hands the request to the agent and waits for the answer to begin.
///
/// # Errors
/// The kind of failure, which says whether the request may have run.
pub async fn send(
    app: &EntryApp,
    view: &TrafficView,
    parsed: &ParsedRequest,
    routed: &RoutedAttempt,
    resume_after: Option<u64>,
) -> Result<StartedAttempt, ErrorKind> {
    let link = view.links.get(routed.choice.endpoint).cloned();
    let link = link.ok_or(ErrorKind::EndpointUnreachable)?;
    let agent = link.get().ok_or(ErrorKind::EndpointUnreachable)?;
    let tokens = routed.choice.estimate.recomputed_tokens;
    let tracker = AttemptTracker::start(app, link, tokens);
    let call = LinkCall::HandOver(Box::new(build_hand_over(app, parsed, routed, resume_after)));
    let called = agent.call(&call).await;
    let mut replies = called.map_err(|error| record_link_error(&tracker, error))?;
    let ticket = wait_acknowledged(&mut replies).await;
    let ticket = ticket.map_err(|error| record_link_error(&tracker, error))?;
    tracker.record_acknowledged(ticket);
    match replies.next().await {
        Ok(Some(LinkReply::Head(head))) => {
            report_import_rate(app, view, routed, parsed, &head);
            Ok(StartedAttempt {
                head,
                replies,
                tracker,
            })
        }
        Ok(Some(LinkReply::Refused { kind, pulse } | LinkReply::Failed { kind, pulse })) => {
            tracker.record_failure(kind, Some(pulse));
            Err(kind)
        }
        Ok(_) => {
            tracker.record_failure(ErrorKind::BadMessage, None);
            Err(ErrorKind::BadMessage)
        }
        Err(error) => Err(record_link_error(&tracker, error)),
    }
}

/// Waits until the agent says that it has the request. One that does not say so
/// in time is frozen or cut off, and may run the request later.
async fn wait_acknowledged(replies: &mut ReplyStream) -> Result<WorkTicket, LinkError> {
    let timeout = async {
        Timer::after(ACKNOWLEDGE_TIMEOUT).await;
        Err(LinkError::Broken {
            reason: format!("the agent said nothing within {ACKNOWLEDGE_TIMEOUT:?}"),
        })
    };
    match future::or(replies.next(), timeout).await? {
        Some(LinkReply::TakenUp { ticket }) => Ok(ticket),
        other => Err(LinkError::Broken {
            reason: format!("the agent began with {other:?}"),
        }),
    }
}

fn record_link_error(
    tracker: &AttemptTracker,
    error: LinkError,
) -> ErrorKind {
    let kind = error.kind();
    log::info!(
        event = "try-failed",
        endpoint = tracker.link.endpoint_id.as_str(),
        reason = error.to_string().as_str();
        ""
    );
    tracker.record_failure(kind, None);
    kind
}

fn build_hand_over(
    app: &EntryApp,
    parsed: &ParsedRequest,
    routed: &RoutedAttempt,
    resume_after: Option<u64>,
) -> HandOver {
    let time_left = parsed.deadline.since(app.clock.now());
    HandOver {
        request_id: parsed.request.id.clone(),
        organisation: parsed.organisation.clone(),
        label: parsed.request.options.label.clone(),
        version: (!routed.version.is_empty()).then(|| routed.version.clone()),
        tokens: routed.choice.estimate.recomputed_tokens,
        deadline_millis: time_left.as_millis().max(1),
        repeatable: parsed.repeatable,
        method: parsed.request.method.to_string(),
        path: parsed.request.path_and_query(),
        headers: parsed.request.headers.clone(),
        body: parsed.body.clone(),
        pieces: routed.pieces.clone(),
        import: routed.import.clone(),
        export: routed.retention.export.clone(),
        resume_after,
    }
}

/// Tells the control thread how fast the store box's link was.
fn report_import_rate(
    app: &EntryApp,
    view: &TrafficView,
    routed: &RoutedAttempt,
    parsed: &ParsedRequest,
    head: &ReplyHead,
) {
    let Some(plan) = &routed.import else {
        return;
    };
    if head.imported_pieces == 0 || head.import_micros == 0 {
        return;
    }
    let tokens = u64::from(head.imported_pieces * pitchhitch_core::kv_cache::PIECE_TOKENS);
    let bytes = tokens * super::token_bytes(view, parsed);
    app.control.send_event(EntryEvent::StoreMeasured {
        store: plan.store.clone(),
        link_rate: bytes as f64 / (head.import_micros as f64 / 1e6),
    });
}
