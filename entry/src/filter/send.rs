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

/// Time within which an agent must acknowledge a request.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// An attempt whose response has begun.
#[derive(Debug)]
pub struct StartedAttempt {
    /// Status and headers of the response.
    pub head: ReplyHead,
    /// The rest of the response.
    pub replies: ReplyStream,
    /// Tracks the load and outcome of the attempt.
    pub tracker: AttemptTracker,
}

/// Tracks one attempt: its load at the endpoint while in flight, and its outcome.
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
        link.record_sent(tokens);
        AttemptTracker {
            control: app.control.clone(),
            link,
            tokens,
            is_prefilled: false,
        }
    }

    /// Records that the agent has acknowledged the request, which it may still refuse. The control
    /// thread then expects a report of the agent that covers the request; a link on which no
    /// report arrives in time is treated as hung.
    fn record_acknowledged(
        &self,
        ticket: WorkTicket,
    ) {
        self.control.send_event(EntryEvent::TakenUp {
            endpoint_id: self.link.endpoint_id.clone(),
            ticket,
        });
    }

    /// Records that the endpoint has finished prefill; only the first call has an effect.
    pub fn record_first_token(&mut self) {
        if !std::mem::replace(&mut self.is_prefilled, true) {
            self.link.record_prefilled(self.tokens);
        }
    }

    /// Records a complete response.
    pub fn record_success(
        &self,
        pulse: AgentPulse,
    ) {
        self.report_pulse(pulse);
        self.control.attempt_succeeded(&self.link);
    }

    /// Records that the endpoint failed or refused the request.
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
            own: self.link.in_flight(),
        });
    }
}

impl Drop for AttemptTracker {
    fn drop(&mut self) {
        self.record_first_token();
        self.link.record_ended();
    }
}

/// Fifth filter: sends the request to the agent and waits until the response begins.
///
/// # Errors
/// The kind of failure, which shows whether the request may have run.
pub async fn send(
    app: &EntryApp,
    view: &TrafficView,
    parsed: &ParsedRequest,
    routed: &RoutedAttempt,
    resume_after: Option<u64>,
) -> Result<StartedAttempt, ErrorKind> {
    let link = view.links.get(routed.choice.endpoint).cloned();
    let link = link.ok_or(ErrorKind::EndpointUnreachable)?;
    let agent = link.connection().ok_or(ErrorKind::EndpointUnreachable)?;
    let tokens = routed.choice.estimate.recomputed_tokens;
    let tracker = AttemptTracker::start(app, link, tokens);
    let call = LinkCall::HandOver(Box::new(build_hand_over(app, parsed, routed, resume_after)));
    let sent = agent.call(&call).await;
    let mut replies = sent.map_err(|error| record_link_error(&tracker, error))?;
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

/// Waits until the agent acknowledges the request. An agent that does not do so in
/// time is frozen or disconnected, and may still run the request later.
async fn wait_acknowledged(replies: &mut ReplyStream) -> Result<WorkTicket, LinkError> {
    let timeout = async {
        Timer::after(ACKNOWLEDGE_TIMEOUT).await;
        Err(LinkError::Broken {
            reason: format!(
                "the agent did not acknowledge the request within {ACKNOWLEDGE_TIMEOUT:?}"
            ),
        })
    };
    match future::or(replies.next(), timeout).await? {
        Some(LinkReply::TakenUp { ticket }) => Ok(ticket),
        other => Err(LinkError::Broken {
            reason: format!(
                "expected an acknowledgement of the request from the agent, got {other:?}"
            ),
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

/// Reports the measured transfer rate of the store box to the control thread, in bytes per second.
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
