use {
    super::{is_engine, learn_weights, FrontContext, FrontState},
    pitchhitch_core::{
        lease::{LeaseMachine, LeaseRow, LeaseStep, LeaseTimes},
        serving::{EndpointEntry, EndpointKey, EngineLoad, OrderRight, SwapTurn},
        time::Micros,
    },
    pitchhitch_http1::{HttpCall, HttpClient},
    pitchhitch_platform::{
        decode_report, encode_order, instance_field, read_order_row, take_order_row, EngineReport,
        RowValue, StoreClient, StoreError, WeightOrder, ORDER_PATH, REPORT_PATH,
    },
    pitchhitch_process::to_duration,
    pitchhitch_wire::codec::{decode_body, encode_body},
    smol::Timer,
    std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration},
};

/// How often it is looked for engines that nobody gives orders.
const LOOK_PAUSE: Micros = Micros::from_millis(300);
/// Time for which an engine that lacks weights must not have been heard.
const UNHEARD_FOR: Micros = Micros::from_millis(4_000);
/// Time between two reports of one of them; each has a price.
const REPORT_PAUSE: Micros = Micros::from_millis(900);
/// The same while it is its turn to load.
const TURN_PAUSE: Micros = Micros::from_millis(250);
/// Engines that are asked for reports at once: those that may load, and some more.
const REPORTS_LIMIT: usize = 48;
/// Time after an order in which a report may not show it yet.
const AFTER_ORDER: Micros = Micros::from_millis(800);
/// Time limits of calls.
const CALL_LIMIT: Duration = Duration::from_millis(300);
const STORE_LIMIT: Duration = Duration::from_millis(1_000);
/// Pause between two lines that tell of engines which serve nothing for want of orders.
const ALARM_PAUSE: Micros = Micros::from_secs(5);
/// Key of the row that says which front stands in.
const LEASE_KEY: &str = "lease/orders";
/// Times of that lease.
const LEASE_TIMES: LeaseTimes = LeaseTimes {
    length: Micros::from_secs(6),
    interval: Micros::from_secs(2),
    margin: Micros::from_secs(1),
};

/// An engine that this front gives orders.
#[derive(Debug)]
struct OrphanEngine {
    right: OrderRight,
    client: HttpClient,
    reported_at: Option<Micros>,
    ordered_at: Option<Micros>,
    is_swapping: bool,
    orders_taken: u64,
}

/// One front gives orders to engines beside which nobody stands: their process is missing, has
/// ended with its box or is cut off. Without it such engines kept replaced weights for good, and
/// served nothing once these were too old.
struct OrderSubstitute {
    front: Rc<FrontContext>,
    store: StoreClient,
    lease: LeaseMachine,
    orphans: BTreeMap<EndpointKey, OrphanEngine>,
    unheard_since: BTreeMap<EndpointKey, Micros>,
    alarmed_at: Option<Micros>,
    held_before: bool,
}

/// Stands in for processes beside engines that are not there, for as long as this front holds
/// the lease on that.
pub(crate) async fn stand_in(front: Rc<FrontContext>) {
    let life = front.clock.incarnation();
    let holder = format!("{}/{life}", front.settings.box_id);
    let mut substitute = OrderSubstitute {
        store: StoreClient::new(front.settings.store, STORE_LIMIT),
        lease: LeaseMachine::new(holder, LEASE_TIMES),
        orphans: BTreeMap::new(),
        unheard_since: BTreeMap::new(),
        alarmed_at: None,
        held_before: false,
        front,
    };
    loop {
        Timer::after(to_duration(LOOK_PAUSE)).await;
        substitute.look().await;
    }
}

impl OrderSubstitute {
    async fn look(&mut self) {
        let now = self.front.now();
        let lacking = self.lacking(now);
        self.orphans.retain(|key, _| lacking.contains_key(key));
        if lacking.is_empty() {
            self.give_back().await;
            return;
        }
        self.step_lease().await;
        let is_held = self.lease.epoch(self.front.now()).is_some();
        if is_held != self.held_before {
            self.held_before = is_held;
            log::info!(event = "order-lease", held = is_held, engines = lacking.len(); "");
        }
        self.alarm(lacking.len(), is_held, now);
        if !is_held {
            return;
        }
        for (key, address) in &lacking {
            // Early for all, as a new holder has to wait.
            if !self.hold(*key, *address).await {
                return;
            }
        }
        for (key, address) in lacking.into_iter().take(REPORTS_LIMIT) {
            self.tend(key, address).await;
        }
    }

    /// Engines that lack named weights and that were not heard for long.
    fn lacking(
        &mut self,
        now: Micros,
    ) -> BTreeMap<EndpointKey, SocketAddr> {
        let state = self.front.state();
        let Some(config) = &state.config else {
            return BTreeMap::new();
        };
        let is_orphan = |entry: &EndpointEntry| {
            entry.is_listed() && is_engine(config, entry) && !is_heard(entry, now)
        };
        let unheard = state.book.iter().filter(|(_, entry)| is_orphan(entry));
        let unheard: BTreeMap<EndpointKey, SocketAddr> =
            unheard.map(|(key, entry)| (key, entry.address)).collect();
        self.unheard_since
            .retain(|key, _| unheard.contains_key(key));
        let mut lacking = BTreeMap::new();
        for (key, address) in unheard {
            let since = *self.unheard_since.entry(key).or_insert(now);
            let is_behind = state.book.get(key).is_some_and(|e| lacks(&state, e));
            if is_behind && now.since(since) >= UNHEARD_FOR {
                lacking.insert(key, address);
            }
        }
        lacking
    }

    /// Requests are refused for weights that nobody loads: that is told with its reason.
    fn alarm(
        &mut self,
        engines: usize,
        is_held: bool,
        now: Micros,
    ) {
        if self
            .alarmed_at
            .is_some_and(|at| now.since(at) < ALARM_PAUSE)
        {
            return;
        }
        self.alarmed_at = Some(now);
        log::warn!(
            event = "weights-unordered",
            engines = engines,
            reason = "no process beside them is heard",
            stands_in = is_held;
            ""
        );
    }

    async fn step_lease(&mut self) {
        let asked_at = self.front.now();
        match self.lease.step(asked_at) {
            LeaseStep::Wait => {}
            LeaseStep::Read => {
                let read = self.store.read_own(LEASE_KEY).await;
                let now = self.front.now();
                match read {
                    Ok(row) => {
                        let version = row.as_ref().map_or(0, |row| row.position.version);
                        let row = row.and_then(|row| match row.value {
                            RowValue::Bytes(bytes) => decode_body::<LeaseRow>(&bytes).ok(),
                            RowValue::Gone | RowValue::Unreadable => None,
                        });
                        self.lease.row_read(row, version, asked_at, now);
                    }
                    Err(error) => self.note_lost(&error),
                }
            }
            LeaseStep::Write { version, row } => self.write_lease(version, &row).await,
        }
    }

    async fn write_lease(
        &mut self,
        version: u64,
        row: &LeaseRow,
    ) {
        let Ok(bytes) = encode_body(row) else {
            return;
        };
        let era = self.front.state().eras.known().unwrap_or_default();
        let expected =
            (version > 0).then_some(pitchhitch_core::serving::StorePosition { era, version });
        match self.store.replace_own(LEASE_KEY, expected, &bytes).await {
            Ok(position) => self.lease.row_written(position.version, self.front.now()),
            Err(StoreError::Conflict) => self.lease.write_refused(),
            Err(error) => {
                self.lease.write_unknown();
                self.note_lost(&error);
            }
        }
    }

    async fn give_back(&mut self) {
        if !self.held_before {
            return;
        }
        self.held_before = false;
        log::info!(event = "order-lease", held = false, engines = 0; "");
        if let Some(LeaseStep::Write { version, row }) = self.lease.release() {
            self.write_lease(version, &row).await;
            // Whoever needs it next reads it anew.
            self.lease.write_refused();
        }
    }

    fn note_lost(
        &self,
        error: &StoreError,
    ) {
        let error = error.to_string();
        log::warn!(event = "store-lost", watch = "orders", error = error.as_str(); "");
    }

    /// Takes the right to give an engine orders; false where the store does not let it.
    async fn hold(
        &mut self,
        key: EndpointKey,
        address: SocketAddr,
    ) -> bool {
        let front = self.front.clone();
        let orphan = self.orphans.entry(key).or_insert_with(|| OrphanEngine {
            right: OrderRight::new(front.settings.box_id.as_str(), front.settings.order_gap),
            client: HttpClient::new(address, CALL_LIMIT),
            reported_at: None,
            ordered_at: None,
            is_swapping: false,
            orders_taken: 0,
        });
        if orphan.right.is_held() {
            return true;
        }
        let taken = take_right(&front, &mut self.store, &mut orphan.right, address).await;
        if let Err(error) = &taken {
            orphan.right.row_unknown();
            self.note_lost(error);
        }
        taken.is_ok()
    }

    /// Asks an engine for its report, and gives it an order where it is its turn.
    async fn tend(
        &mut self,
        key: EndpointKey,
        address: SocketAddr,
    ) {
        let front = self.front.clone();
        let Some(orphan) = self.orphans.get_mut(&key) else {
            return;
        };
        orphan.report(&front, key).await;
        let turn = front.state().planner.turn(key).cloned();
        let Some(turn) = turn.filter(|turn| turn.loads) else {
            return;
        };
        // One that does what it was told needs no further order.
        let is_told = orphan.is_swapping || orphan.was_told(front.now());
        if is_told || orphan.right.is_waiting(front.now()) {
            return;
        }
        let asked_at = front.now();
        match read_order_row(&mut self.store, address).await {
            Ok(row) => orphan.right.row_read(row, asked_at, front.now()),
            Err(error) => return self.note_lost(&error),
        }
        if let Some(number) = orphan.right.number(front.now()) {
            orphan.order(&front, key, &turn, number).await;
        }
    }
}

async fn take_right(
    front: &FrontContext,
    store: &mut StoreClient,
    right: &mut OrderRight,
    address: SocketAddr,
) -> Result<(), StoreError> {
    let row = read_order_row(store, address).await?;
    let sent_at = front.now();
    let holder = front.settings.box_id.as_str();
    let taken = take_order_row(store, address, row.as_ref(), holder).await?;
    right.row_written(taken, sent_at, front.now());
    let engine = address.to_string();
    let before = row.map_or(String::new(), |row| row.holder);
    log::info!(
        event = "order-right",
        engine = engine.as_str(),
        before = before.as_str(),
        version = taken.version;
        ""
    );
    Ok(())
}

impl OrphanEngine {
    /// Takes the report that the process beside the engine would have read.
    async fn report(
        &mut self,
        front: &FrontContext,
        key: EndpointKey,
    ) {
        let now = front.now();
        let has_turn = front.state().planner.turn(key).is_some();
        let pause = if has_turn { TURN_PAUSE } else { REPORT_PAUSE };
        if self.reported_at.is_some_and(|at| now.since(at) < pause) {
            return;
        }
        self.reported_at = Some(now);
        let call = HttpCall {
            method: "GET",
            target: REPORT_PATH,
            ..HttpCall::default()
        };
        front.metrics.count("links", "reports");
        let body = self.client.sound_body(call).await;
        let now = front.now();
        let Some(report) = body.and_then(|body| decode_report(&body, now).ok()) else {
            return;
        };
        self.orders_taken = report.orders_taken;
        self.is_swapping = report.is_busy;
        take_report(front, key, &report, now);
    }

    /// Whether an order was given so lately that no report can tell what became of it.
    fn was_told(
        &self,
        now: Micros,
    ) -> bool {
        self.ordered_at
            .is_some_and(|at| now.since(at) < AFTER_ORDER)
    }

    async fn order(
        &mut self,
        front: &FrontContext,
        key: EndpointKey,
        turn: &SwapTurn,
        number: u64,
    ) {
        let id = front.state().book.get(key).map(|entry| entry.id.clone());
        let Some(id) = id else {
            return;
        };
        let order = WeightOrder {
            model: turn.model.clone(),
            version: turn.version,
            holder: front.settings.box_id.clone(),
            fence: number,
            orders_taken: Some(self.orders_taken),
        };
        let call = HttpCall {
            method: "POST",
            target: ORDER_PATH,
            fields: vec![instance_field(&id)],
            body: encode_order(&order),
            ..HttpCall::default()
        };
        let outcome = match self.client.call(call).await {
            Ok(answer) => answer.status.to_string(),
            Err(failure) => failure.to_string(),
        };
        log::info!(
            event = "order",
            engine = id.as_str(),
            model = order.model.as_str(),
            version = order.version,
            fence = order.fence,
            orders_taken = self.orders_taken,
            outcome = outcome.as_str();
            ""
        );
        // The next report shows what became of it.
        self.reported_at = None;
        self.ordered_at = Some(front.now());
    }
}

/// Takes an engine's own report as its load, so that it gets its turn.
fn take_report(
    front: &FrontContext,
    key: EndpointKey,
    report: &EngineReport,
    now: Micros,
) {
    let mut guard = front.state();
    let state = &mut *guard;
    let proven_at = state.trust.proven_at();
    for (model, version) in &report.weights {
        state.planner.engine_has(model, *version, proven_at, now);
    }
    let Some(entry) = state.book.get_mut(key) else {
        return;
    };
    entry.load = Some(EngineLoad {
        at: now,
        again_within: REPORT_PAUSE,
        changes_within: REPORT_PAUSE,
        ..report.load
    });
    for (model, version) in &report.weights {
        learn_weights(entry, model, *version, "report");
    }
}

/// Whether the process beside an engine has been heard lately.
fn is_heard(
    entry: &EndpointEntry,
    now: Micros,
) -> bool {
    let digest = entry.life.digest.as_ref();
    let load = entry.load.as_ref();
    let again_within = load.map_or(Micros::ZERO, |load| load.again_within);
    let limit = Micros(again_within.0 * 3).max(Micros::from_millis(1_500));
    digest.is_some_and(|digest| now.since(digest.at) < limit)
}

/// Whether an engine is known to have older weights than are named.
fn lacks(
    state: &FrontState,
    entry: &EndpointEntry,
) -> bool {
    let mut named = state.planner.all_named();
    named.any(|(model, version)| {
        let known = entry.weights.version(model);
        known.is_some_and(|known| known < version)
    })
}
