use {
    crate::front::{update_weights, FrontContext},
    pitchhitch_core::{
        serving::{EndpointKey, EngineLoad, OrderRight, SwapTurn},
        time::Micros,
    },
    pitchhitch_http1::{HttpClient, HttpRequest},
    pitchhitch_platform::{
        acquire_order_row, decode_report, read_order_row, send_order, EngineReport, StoreClient,
        StoreError, WeightOrder, REPORT_PATH,
    },
    std::{net::SocketAddr, time::Duration},
};

/// Interval between two polls of an engine's report; each has a cost.
const REPORT_INTERVAL: Micros = Micros::from_millis(900);
/// Interval while it is the engine's turn to load.
const TURN_REPORT_INTERVAL: Micros = Micros::from_millis(250);
/// Time for which an engine must have responded before this front gives it orders, and time for
/// which a response counts.
const MIN_RESPONSIVE_TIME: Micros = Micros::from_millis(800);
const RESPONSE_TTL: Micros = Micros::from_millis(1_800);
/// Time after an order in which a report may not show its effect yet.
const ORDER_REPORT_DELAY: Micros = Micros::from_millis(800);
/// Timeout of a call to the engine.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// An engine without a working agent, which receives its orders from this front.
#[derive(Debug)]
pub(crate) struct OrphanEngine {
    key: EndpointKey,
    address: SocketAddr,
    right: OrderRight,
    client: HttpClient,
    polled_at: Option<Micros>,
    /// Since when the engine has responded without a failure, and its last response.
    responsive_span: Option<(Micros, Micros)>,
    ordered_at: Option<Micros>,
    is_swapping: bool,
    orders_taken: u64,
}

impl OrphanEngine {
    /// Starts without the right to give orders.
    pub fn new(
        front: &FrontContext,
        key: EndpointKey,
        address: SocketAddr,
    ) -> Self {
        OrphanEngine {
            key,
            address,
            right: OrderRight::new(front.settings.box_id.as_str(), front.settings.order_gap),
            client: HttpClient::new(address, CALL_TIMEOUT),
            polled_at: None,
            responsive_span: None,
            ordered_at: None,
            is_swapping: false,
            orders_taken: 0,
        }
    }

    /// When the report was last requested.
    pub fn polled_at(&self) -> Option<Micros> {
        self.polled_at
    }

    /// Whether the engine has been responding for some time. On a box that has just resumed, the
    /// engine responds before digests of its agent arrive.
    pub fn is_responsive(
        &self,
        now: Micros,
    ) -> bool {
        self.responsive_span.is_some_and(|(since, last)| {
            last.since(since) >= MIN_RESPONSIVE_TIME && now.since(last) < RESPONSE_TTL
        })
    }

    /// Acquires the right to give orders to the engine, unless it is held.
    ///
    /// # Errors
    /// Errors of the platform store.
    pub async fn acquire_right(
        &mut self,
        front: &FrontContext,
        store: &mut StoreClient,
    ) -> Result<(), StoreError> {
        if self.right.is_held() {
            return Ok(());
        }
        let acquired = self.write_right(front, store).await;
        if acquired.is_err() {
            self.right.on_row_unknown();
        }
        acquired
    }

    async fn write_right(
        &mut self,
        front: &FrontContext,
        store: &mut StoreClient,
    ) -> Result<(), StoreError> {
        let row = read_order_row(store, self.address).await?;
        let sent_at = front.now();
        let holder = front.settings.box_id.as_str();
        let written = acquire_order_row(store, self.address, row.as_ref(), holder).await?;
        let written = written.map_err(|_| StoreError::Conflict)?;
        self.right.on_row_written(written, sent_at, front.now());
        let engine = self.address.to_string();
        let previous_holder = row.map_or(String::new(), |row| row.holder);
        log::info!(
            event = "order-right",
            engine = engine.as_str(),
            before = previous_holder.as_str(),
            version = written.version;
            ""
        );
        Ok(())
    }

    /// Reads the report that the engine's agent would otherwise read.
    pub async fn poll_report(
        &mut self,
        front: &FrontContext,
    ) {
        let now = front.now();
        let has_turn = front.state().planner.turn(self.key).is_some();
        let interval = if has_turn {
            TURN_REPORT_INTERVAL
        } else {
            REPORT_INTERVAL
        };
        if self.polled_at.is_some_and(|at| now.since(at) < interval) {
            return;
        }
        self.polled_at = Some(now);
        let call = HttpRequest {
            method: "GET",
            target: REPORT_PATH,
            ..HttpRequest::default()
        };
        front.metrics.increment("links", "reports");
        let body = self.client.ok_body(call).await;
        let now = front.now();
        let Some(report) = body.and_then(|body| decode_report(&body, now).ok()) else {
            self.responsive_span = None;
            return;
        };
        let since = self.responsive_span.map_or(now, |(since, _)| since);
        self.responsive_span = Some((since, now));
        self.orders_taken = report.orders_taken;
        self.is_swapping = report.is_busy;
        apply_report(front, self.key, &report, now);
    }

    /// Sends an order if it is the engine's turn to load.
    ///
    /// # Errors
    /// Errors of the platform store when reading the holder of the right.
    pub async fn send_due_order(
        &mut self,
        front: &FrontContext,
        store: &mut StoreClient,
    ) -> Result<(), StoreError> {
        let turn = front.state().planner.turn(self.key).cloned();
        let Some(turn) = turn.filter(|turn| turn.is_loading) else {
            return Ok(());
        };
        // An engine that is carrying out an order needs no further one.
        let has_current_order = self.is_swapping || self.has_recent_order(front.now());
        if has_current_order || self.right.is_waiting(front.now()) {
            return Ok(());
        }
        let requested_at = front.now();
        let row = read_order_row(store, self.address).await?;
        self.right.on_row_read(row, requested_at, front.now());
        if let Some(fencing_token) = self.right.fencing_token(front.now()) {
            self.send_to_engine(front, &turn, fencing_token).await;
        }
        Ok(())
    }

    /// Whether an order is so recent that reports do not show its effect yet.
    fn has_recent_order(
        &self,
        now: Micros,
    ) -> bool {
        self.ordered_at
            .is_some_and(|at| now.since(at) < ORDER_REPORT_DELAY)
    }

    async fn send_to_engine(
        &mut self,
        front: &FrontContext,
        turn: &SwapTurn,
        fencing_token: u64,
    ) {
        let id = front
            .state()
            .registry
            .get(self.key)
            .map(|entry| entry.id.clone());
        let Some(id) = id else {
            return;
        };
        let order = WeightOrder {
            model: turn.model.clone(),
            version: turn.version,
            holder: front.settings.box_id.clone(),
            fence: fencing_token,
            orders_taken: Some(self.orders_taken),
        };
        let outcome = send_order(&mut self.client, &id, &order).await;
        if outcome.is_fenced_off() {
            self.right.on_row_unknown();
        }
        let outcome = outcome.to_string();
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
        // The next poll reads a report without waiting, to see the effect of the order.
        self.polled_at = None;
        self.ordered_at = Some(front.now());
    }
}

/// Applies the load and the weights of a polled report, so that the engine's turn to load weights
/// is planned.
fn apply_report(
    front: &FrontContext,
    key: EndpointKey,
    report: &EngineReport,
    now: Micros,
) {
    let mut guard = front.state();
    let state = &mut *guard;
    let proven_at = state.key_freshness.proven_at();
    for (model, version) in &report.weights {
        state
            .planner
            .record_engine_version(model, *version, proven_at, now);
    }
    let Some(entry) = state.registry.get_mut(key) else {
        return;
    };
    entry.load = Some(EngineLoad {
        at: now,
        again_within: REPORT_INTERVAL,
        changes_within: REPORT_INTERVAL,
        ..report.load
    });
    for (model, version) in &report.weights {
        update_weights(entry, model, *version, "report");
    }
}
