use {
    super::{within, FrontContext, RequestEnd},
    pitchhitch_core::{
        serving::{RefusalKind, RequestInfo, ResolvedRequest, ServingConfig},
        time::Micros,
    },
    pitchhitch_http1::ByteLink,
    pitchhitch_platform::encode_refusal,
    std::rc::Rc,
};

/// Time after SIGTERM in which streams are taken: the platform allows for those
/// that come within three seconds.
const STREAM_TAKEN: Micros = Micros::from_millis(2_800);
/// Time before the end by force in which plain requests are not taken any more.
const PLAIN_END: Micros = Micros::from_millis(2_000);
/// Longest wait for a caller to take a refusal.
const REFUSAL_LIMIT: Micros = Micros::from_millis(250);

/// Finds route and organisation, if what is known is fresh enough to say so.
pub(super) fn admit(
    front: &FrontContext,
    ask: &RequestInfo,
) -> Result<(Rc<ServingConfig>, ResolvedRequest), RefusalKind> {
    let state = front.state();
    let config = state.config.clone().ok_or(RefusalKind::NoConfig)?;
    if ask.request_id.is_empty() {
        return Err(RefusalKind::BadRequest);
    }
    let now = front.now();
    let may_deny = state.key_freshness.may_deny(now);
    let place = config.resolve(ask).map_err(|kind| match may_deny {
        true => kind,
        // A key or route that was added meanwhile may be meant.
        false => RefusalKind::StaleKeys,
    })?;
    if place.is_authenticated && !state.key_freshness.admits_keys(now) {
        return Err(RefusalKind::StaleKeys);
    }
    drop(state);
    refuse_if_stopping(front, (config, place))
}

/// A stopping process takes nothing that may not end before it has to.
fn refuse_if_stopping(
    front: &FrontContext,
    admitted: (Rc<ServingConfig>, ResolvedRequest),
) -> Result<(Rc<ServingConfig>, ResolvedRequest), RefusalKind> {
    let (config, place) = &admitted;
    let stopping_since = front.state().stopping_since;
    let limit = match config.routes[place.route].is_stream {
        true => STREAM_TAKEN,
        false => Micros(front.settings.stop_limit.as_micros() as u64).since(PLAIN_END),
    };
    match stopping_since.is_some_and(|at| front.now().since(at) > limit) {
        true => Err(RefusalKind::Stopping),
        false => Ok(admitted),
    }
}

/// An answer of our own that says that a request was not served.
#[derive(Debug, Clone, Copy)]
pub(super) struct OwnRefusal {
    /// Why.
    pub kind: RefusalKind,
    /// When the caller should come back, where that is known better than by kind.
    pub come_back: Option<Micros>,
    /// Whether the caller's connection ends.
    pub closes: bool,
    /// When the request came.
    pub came_at: Micros,
    /// How often it was sent.
    pub sends: u32,
}

pub(super) async fn refuse(
    front: &FrontContext,
    caller: &ByteLink,
    ask: &RequestInfo,
    refusal: OwnRefusal,
) -> RequestEnd {
    let mut row = refusal.kind.response();
    row.retry_after = refusal.come_back.or(row.retry_after);
    let closes = refusal.closes || row.closes;
    let (version, key_age) = {
        let state = front.state();
        let version = state.config.as_ref().map_or(0, |config| config.version);
        (version, state.key_freshness.age(front.now()))
    };
    log::info!(
        event = "refused",
        request = ask.request_id.as_str(),
        kind = row.code,
        status = row.status,
        config = version,
        config_age_ms = key_age.map_or(-1, |age| age.as_millis() as i64),
        sends = refusal.sends,
        held_ms = front.now().since(refusal.came_at).as_millis(),
        back_ms = row.retry_after.map_or(-1, |back| back.as_millis() as i64);
        ""
    );
    front.metrics.count("refused", row.code);
    let answer = encode_refusal(refusal.kind, &row, &ask.request_id, closes);
    let is_written = within(REFUSAL_LIMIT, caller.write_all(&answer)).await;
    match (closes, is_written) {
        (false, Some(Ok(()))) => RequestEnd::Keep,
        _ => RequestEnd::Close,
    }
}
