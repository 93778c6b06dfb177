use {
    super::BesideContext,
    pitchhitch_core::{serving::EndpointNotice, time::Micros},
    pitchhitch_process::to_duration,
    pitchhitch_wire::beside::{ask_state, FrontHello, HandedState, STATE_PATH},
    smol::Timer,
    std::{net::SocketAddr, rc::Rc, time::Duration},
};

/// Pause between two looks at whether the copy is behind: states change a few
/// times a minute, and a copy is only needed when all fronts start anew.
const LOOK_PAUSE: Micros = Micros::from_millis(1_000);
/// Time limit of a question to a front.
const ASK_LIMIT: Duration = Duration::from_millis(400);
/// Time for which what a front said of its state counts.
const OFFER_LIFE: Micros = Micros::from_millis(2_000);
/// By how much the reading behind the offer of a front in the own failure domain may be older than
/// that of another: the bytes between domains cost more.
const NEAR_WORTH: Micros = Micros::from_millis(300);

/// A front that can hand its state on.
#[derive(Debug, Clone, Copy)]
struct StateOffer {
    front: SocketAddr,
    mark: u64,
    heard_at: Micros,
    /// When the platform's store was asked for what it shows, at the latest.
    read_at: Micros,
    is_near: bool,
}

impl StateOffer {
    /// Whether it is taken in the place of another one: the same front's, or one that goes by a
    /// reading which is not older. A front that the store turns away knows only what it was handed.
    fn replaces(
        &self,
        known: &StateOffer,
    ) -> bool {
        self.front == known.front || self.worth() >= known.worth()
    }

    fn worth(&self) -> Micros {
        match self.is_near {
            true => self.read_at + NEAR_WORTH,
            false => self.read_at,
        }
    }
}

/// A copy of what fronts know, for those that start while the platform's store is
/// away and no other front is left.
#[derive(Debug, Default)]
pub(crate) struct StateKeeper {
    offer: Option<StateOffer>,
    copy: Option<StateCopy>,
    /// What the last state that named the own engine said of it.
    own: Option<EndpointNotice>,
}

/// A state that was taken from a front.
#[derive(Debug)]
struct StateCopy {
    state: HandedState,
    mark: u64,
    /// When its age was right, or before.
    at: Micros,
    /// When it had come.
    taken_at: Micros,
}

impl StateCopy {
    /// Takes that the same content was the newest so long ago.
    fn prove(
        &mut self,
        age: Micros,
        now: Micros,
    ) {
        let passed = now.since(self.at);
        if age < self.state.age + passed {
            self.state.grow_older(passed);
            self.state.age = age;
            self.at = now;
        }
    }
}

impl StateKeeper {
    /// Notes what a front says of its state; `sent_age` is for how long at most that was
    /// on its way.
    pub fn heard(
        &mut self,
        hello: &FrontHello,
        sent_age: Option<Micros>,
        from: SocketAddr,
        domain: &str,
        now: Micros,
    ) {
        let Some((mark, age)) = hello.state else {
            return;
        };
        let offer = StateOffer {
            front: from,
            mark,
            heard_at: now,
            read_at: now.since(age + sent_age.unwrap_or_default()),
            is_near: hello.domain == domain,
        };
        let same = self.copy.as_mut().filter(|copy| copy.mark == mark);
        if let (Some(copy), Some(sent_age)) = (same, sent_age) {
            copy.prove(age + sent_age, now);
        }
        let known = self.offer.filter(|o| now.since(o.heard_at) < OFFER_LIFE);
        if known.is_none_or(|known| offer.replaces(&known)) {
            self.offer = Some(offer);
        }
    }

    /// The front to ask for its state, where the copy is behind.
    fn wanted(
        &self,
        now: Micros,
    ) -> Option<SocketAddr> {
        let offer = self.offer?;
        let is_fresh = now.since(offer.heard_at) < OFFER_LIFE;
        let has_same = self.copy.as_ref().is_some_and(|c| c.mark == offer.mark);
        (is_fresh && !has_same).then_some(offer.front)
    }

    /// Keeps a state, unless the one that is kept has a newer configuration or newer
    /// weights: a front that has just started may have read rows that had gone back.
    fn keep(
        &mut self,
        state: HandedState,
        is_own: impl Fn(&EndpointNotice) -> bool,
        asked_at: Micros,
        now: Micros,
    ) -> bool {
        let goes_back = |copy: &StateCopy| state.goes_back_from(&copy.state);
        let is_news = !self.copy.as_ref().is_some_and(goes_back);
        if is_news {
            let own = state.endpoints.iter().find(|told| is_own(told));
            self.own = own.cloned().or(self.own.take());
            let mark = state.mark();
            self.copy = Some(StateCopy {
                state,
                mark,
                at: asked_at,
                taken_at: now,
            });
        }
        is_news
    }

    /// What the last state that named the own engine said of it, unless it left. A front
    /// that started while this box stood still tells of no such engine.
    pub fn own_endpoint(
        &self,
        id: &str,
    ) -> Option<&EndpointNotice> {
        self.own
            .as_ref()
            .filter(|own| own.id == id && !own.is_leaving)
    }

    /// The copy with its age as of now.
    fn aged(
        &self,
        now: Micros,
    ) -> Option<HandedState> {
        let copy = self.copy.as_ref()?;
        let mut state = copy.state.clone();
        state.grow_older(now.since(copy.at));
        state.live_on(now.since(copy.taken_at));
        Some(state)
    }
}

/// Keeps the copy up with the fronts.
pub(crate) async fn keep_state(beside: Rc<BesideContext>) {
    loop {
        Timer::after(to_duration(LOOK_PAUSE)).await;
        let wanted = beside.state().keeper.wanted(beside.now());
        if let Some(front) = wanted {
            ask_front(&beside, front).await;
        }
    }
}

async fn ask_front(
    beside: &BesideContext,
    front: SocketAddr,
) {
    let asked_at = beside.now();
    let key = beside.settings.peer_key.as_ref();
    let Some(answer) = ask_state(front, ASK_LIMIT, key).await else {
        return;
    };
    let address = front.to_string();
    match answer.state {
        Ok(state) => {
            let version = state.version;
            let taken = keep(beside, state, asked_at);
            log::info!(
                event = "state-kept",
                front = address.as_str(),
                version = version,
                taken = taken,
                bytes = answer.bytes;
                ""
            );
        }
        Err(error) => {
            let error = error.to_string();
            log::warn!(event = "state-refused", front = address.as_str(), error = error.as_str(); "");
        }
    }
}

fn keep(
    beside: &BesideContext,
    handed: HandedState,
    asked_at: Micros,
) -> bool {
    let mut state = beside.state();
    let id = state.engine_id.clone();
    let address = Some(beside.settings.engine);
    let is_own = |told: &EndpointNotice| Some(&told.id) == id.as_ref() && told.address == address;
    state.keeper.keep(handed, is_own, asked_at, beside.now())
}

/// Hands the copy on to a front that asks.
pub(crate) fn hand_copy_on(
    beside: &BesideContext,
    target: &str,
) -> (u16, Vec<u8>) {
    let state = beside.state().keeper.aged(beside.now());
    let state = state.filter(|_| target == STATE_PATH);
    let sealed = state.map(|state| state.seal(beside.settings.peer_key.as_ref()));
    match sealed {
        Some(Ok(bytes)) => {
            beside.state().metrics.count("states", "told");
            (200, bytes)
        }
        // What was read from bytes can be written as bytes.
        Some(Err(_)) | None => (503, Vec::new()),
    }
}
