use {
    super::FrontContext,
    pitchhitch_core::{serving::EndpointKey, time::Micros},
    pitchhitch_http1::{ByteLink, IdleState},
    pitchhitch_process::to_duration,
    smol::Timer,
    std::io::ErrorKind,
};

/// Longest wait for a connection: a box that is cut off or without power says nothing,
/// and that proves no end.
const PROBE_LIMIT: Micros = Micros::from_millis(120);
/// Time for which a new connection must stay open: an endpoint that is about to end may
/// still take one.
const STAYS_OPEN: Micros = Micros::from_millis(25);
/// Pause between two looks at what another request finds out.
const LOOK_PAUSE: Micros = Micros::from_millis(4);
/// Time for which an end holds for further requests of the same life.
const END_LIFE: Micros = Micros::from_secs(2);
/// Time for which it holds that an endpoint goes on: for what broke off in the same moment.
/// It may end a moment later.
const SAME_MOMENT: Micros = Micros::from_millis(60);

/// What is known of whether an endpoint has ended, by asking for a connection.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EndProbe {
    life: u32,
    asked_at: Micros,
    has_ended: Option<bool>,
}

impl EndProbe {
    /// Whether it answers for a run of this life that broke off now.
    fn answers(
        &self,
        life: u32,
        now: Micros,
    ) -> bool {
        let limit = match self.has_ended {
            Some(false) => SAME_MOMENT,
            Some(true) | None => END_LIFE,
        };
        self.life == life && now.since(self.asked_at) < limit
    }
}

/// Whether the endpoint that has just broken a connection off has ended: nobody takes
/// connections there. A broken connection alone shows nothing, as links are reset and
/// answers break off at endpoints that go on. All requests that it breaks off together
/// share one question.
pub(super) async fn has_ended(
    front: &FrontContext,
    key: EndpointKey,
    life: u32,
) -> bool {
    let now = front.now();
    let (is_over, is_asked) = {
        let state = front.state();
        let entry = state.registry.get(key);
        let probe = state.exit_probes.get(&key);
        (
            entry.is_some_and(|entry| entry.incarnation.ended != life),
            probe.is_some_and(|probe| probe.answers(life, now)),
        )
    };
    match (is_over, is_asked) {
        // It has started again, as the list or the process beside it told first.
        (true, _) => true,
        (false, true) => shared_outcome(front, key).await,
        (false, false) => ask(front, key, life).await,
    }
}

async fn shared_outcome(
    front: &FrontContext,
    key: EndpointKey,
) -> bool {
    let limit = PROBE_LIMIT + PROBE_LIMIT;
    let from = front.now();
    loop {
        let outcome = front
            .state()
            .exit_probes
            .get(&key)
            .map(|probe| probe.has_ended);
        match outcome {
            Some(None) if front.now().since(from) < limit => {}
            Some(Some(has_ended)) => return has_ended,
            Some(None) | None => return false,
        }
        Timer::after(to_duration(LOOK_PAUSE)).await;
    }
}

async fn ask(
    front: &FrontContext,
    key: EndpointKey,
    life: u32,
) -> bool {
    let asked_at = front.now();
    let probe = |has_ended| EndProbe {
        life,
        asked_at,
        has_ended,
    };
    front.state().exit_probes.insert(key, probe(None));
    let has_ended = nobody_listens(front, key).await;
    front
        .state()
        .exit_probes
        .insert(key, probe(Some(has_ended)));
    has_ended
}

async fn nobody_listens(
    front: &FrontContext,
    key: EndpointKey,
) -> bool {
    let Some(address) = front.state().registry.get(key).map(|entry| entry.address) else {
        return false;
    };
    front.metrics.count("links", "probes");
    let mut link = match ByteLink::open(address, to_duration(PROBE_LIMIT)).await {
        Ok(link) => link,
        Err(error) => return is_refusal(error.kind()),
    };
    Timer::after(to_duration(STAYS_OPEN)).await;
    let is_open = link.idle_state() == IdleState::Quiet;
    if is_open {
        let now = front.now();
        front.state().pool.put(key, link, None, now);
    }
    !is_open
}

fn is_refusal(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset
    )
}
