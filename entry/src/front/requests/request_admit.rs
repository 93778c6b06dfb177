use {
    crate::front::{
        finite_or_unset, with_timeout, ConnectionReuse, FrontContext, DEFAULT_CALLER_TIMEOUT,
    },
    pitchhitch_core::{
        serving::{
            AdmissionDecision, AdmissionInputs, RefusalKind, RequestInfo, ResolvedRequest,
            ServedRoute, ServingConfig,
        },
        time::Micros,
    },
    pitchhitch_http1::TcpConnection,
    pitchhitch_platform::encode_refusal,
    std::rc::Rc,
};

/// Timeout of writing a refusal to the caller.
const REFUSAL_WRITE_TIMEOUT: Micros = Micros::from_millis(250);

/// Resolves route and organisation of a request, if the configuration is fresh enough to decide.
pub(crate) fn admit(
    front: &FrontContext,
    info: &RequestInfo,
) -> Result<(Rc<ServingConfig>, ResolvedRequest), RefusalKind> {
    let state = front.state();
    let config = state.config.clone().ok_or(RefusalKind::NoConfig)?;
    if info.request_id.is_empty() {
        return Err(RefusalKind::BadRequest);
    }
    let now = front.now();
    let may_deny = state.key_freshness.may_deny(now);
    let resolved = config.resolve(info).map_err(|kind| match may_deny {
        true => kind,
        // The key or route may have been added since the configuration was read.
        false => RefusalKind::StaleKeys,
    })?;
    if resolved.is_authenticated && !state.key_freshness.admits_keys(now) {
        return Err(RefusalKind::StaleKeys);
    }
    drop(state);
    match may_end_in_time(front, info, &config.routes[resolved.route]) {
        true => Ok((config, resolved)),
        false => Err(RefusalKind::Stopping),
    }
}

/// Whether a request is expected to end before a stopping process must exit.
fn may_end_in_time(
    front: &FrontContext,
    info: &RequestInfo,
    route: &ServedRoute,
) -> bool {
    let Some(window) = front.stop_window.get() else {
        return true;
    };
    let now = front.now();
    let time_limit = info.time_left.unwrap_or(DEFAULT_CALLER_TIMEOUT);
    let time_limit = time_limit.min(route.time_limit);
    let recent = front.state().run_times.recent(&route.name, now);
    match route.is_stream {
        true => window.admits_stream(time_limit, recent, now),
        false => window.admits(time_limit, recent.map(|runs| runs.longest), now),
    }
}

/// A response of the front itself, for a request that was not served.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestRefusal {
    /// Reason.
    pub kind: RefusalKind,
    /// Delay after which the caller should retry; `None` for the default of `kind`.
    pub retry_after: Option<Micros>,
    /// Whether the caller's connection is closed.
    pub closes: bool,
    /// When the request arrived.
    pub arrived_at: Micros,
    /// How often it was sent to endpoints.
    pub sends: u32,
    /// Decision on a prompt that was refused because of load.
    pub decision: Option<AdmissionDecision>,
}

pub(crate) async fn refuse(
    front: &FrontContext,
    caller: &TcpConnection,
    info: &RequestInfo,
    refusal: RequestRefusal,
) -> ConnectionReuse {
    let mut response = refusal.kind.response();
    response.retry_after = refusal.retry_after.or(response.retry_after);
    let closes = refusal.closes || response.closes;
    let (version, key_age, inputs) = {
        let state = front.state();
        let version = state.config.as_ref().map_or(0, |config| config.version);
        let inputs = match refusal.decision {
            Some(_) => state.admission.inputs(),
            None => AdmissionInputs::default(),
        };
        (version, state.key_freshness.age(front.now()), inputs)
    };
    log::info!(
        event = "refused",
        request = info.request_id.as_str(),
        kind = response.code,
        status = response.status,
        config = version,
        config_age_ms = key_age.map_or(-1, |age| age.as_millis() as i64),
        sends = refusal.sends,
        cause = refusal.decision.map_or("", AdmissionDecision::as_str),
        urgent = inputs.urgent_tokens as u64,
        share = finite_or_unset(inputs.share),
        taken = inputs.used as u64,
        held_ms = front.now().since(refusal.arrived_at).as_millis(),
        back_ms = response.retry_after.map_or(-1, |delay| delay.as_millis() as i64);
        ""
    );
    front.metrics.increment("refused", response.code);
    if let Some(decision) = refusal.decision {
        front
            .metrics
            .increment("admission_refused", decision.as_str());
    }
    let bytes = encode_refusal(refusal.kind, &response, &info.request_id, closes);
    let is_written = with_timeout(REFUSAL_WRITE_TIMEOUT, caller.write_all(&bytes)).await;
    match (closes, is_written) {
        (false, Some(Ok(()))) => ConnectionReuse::KeepAlive,
        _ => ConnectionReuse::Close,
    }
}
