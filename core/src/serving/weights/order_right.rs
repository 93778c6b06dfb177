use {crate::serving::StorePosition, crate::time::Micros};

/// Time for which a check of the row permits orders, from when the request was sent. A process that
/// takes over waits longer than this.
const CHECK_TTL: Micros = Micros::from_millis(400);
/// Time that an order may be in transit after the check expires.
const MAX_ORDER_TRANSIT_TIME: Micros = Micros::from_millis(300);
/// Bits of a fencing token used for the version: ten years at 3,000 changes a second.
const VERSION_BITS: u32 = 40;

/// Row that names the box with the right to give orders to one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderRow {
    /// Position of the row's last change.
    pub position: StorePosition,
    /// Box that holds the right.
    pub holder: String,
}

/// State machine, without I/O, of one process's exclusive right to give orders to one engine.
///
/// A process acquires the right by replacing the row; the row's position is its fencing token,
/// which increases with each holder. The previous holder detects the change when it checks the row
/// before its next order. The new holder first waits until such a check has expired, and for the
/// minimum gap that engines require between orders of two boxes.
#[derive(Debug, Clone)]
pub struct OrderRight {
    own_box: String,
    gap: Micros,
    /// Row as last read or written; `Some(None)` if the store had no row.
    seen: Option<Option<OrderRow>>,
    held: Option<StorePosition>,
    checked_at: Option<Micros>,
    wait_until: Micros,
}

impl OrderRight {
    /// Starts without the right. Orders of two boxes must be `gap` apart.
    pub fn new(
        own_box: impl Into<String>,
        gap: Micros,
    ) -> Self {
        OrderRight {
            own_box: own_box.into(),
            gap,
            seen: None,
            held: None,
            checked_at: None,
            wait_until: Micros::ZERO,
        }
    }

    /// Records the row as returned by a request sent at `requested_at`.
    pub fn on_row_read(
        &mut self,
        row: Option<OrderRow>,
        requested_at: Micros,
        now: Micros,
    ) {
        let is_own = row.as_ref().is_some_and(|row| row.holder == self.own_box);
        let position = row.as_ref().filter(|_| is_own).map(|row| row.position);
        if position.is_some() && position != self.held {
            // Either the response to this process's write was lost, or the store lost a write:
            // another process may have had the right since.
            self.start_wait(now);
        }
        self.held = position;
        self.checked_at = Some(requested_at);
        self.seen = Some(row);
    }

    /// Records that a write sent at `sent_at` replaced the row, which had not changed since it was
    /// read.
    pub fn on_row_written(
        &mut self,
        position: StorePosition,
        sent_at: Micros,
        now: Micros,
    ) {
        // Wait also if there was no row: a store restored from a snapshot may have lost it.
        self.start_wait(now);
        self.held = Some(position);
        self.checked_at = Some(sent_at);
        self.seen = Some(Some(OrderRow {
            position,
            holder: self.own_box.clone(),
        }));
    }

    /// Discards the known row: a write was refused, or its outcome is unknown.
    pub fn on_row_unknown(&mut self) {
        self.seen = None;
        self.held = None;
        self.checked_at = None;
    }

    /// Row as last read or written, if known; `Some(None)` if the store had no row.
    pub fn seen(&self) -> Option<Option<&OrderRow>> {
        self.seen.as_ref().map(Option::as_ref)
    }

    /// Whether this process believes that it has the right.
    pub fn is_held(&self) -> bool {
        self.held.is_some()
    }

    /// Whether this process must still wait before its first order.
    pub fn is_waiting(
        &self,
        now: Micros,
    ) -> bool {
        now < self.wait_until
    }

    /// Fencing token for an order given now. Requires a recent check of the row, repeated before
    /// each order.
    pub fn fencing_token(
        &self,
        now: Micros,
    ) -> Option<u64> {
        let is_checked = self.checked_at.is_some_and(|at| now.since(at) < CHECK_TTL);
        self.held
            .filter(|_| is_checked && now >= self.wait_until)
            .map(fencing_token)
    }

    /// Fencing token for an order given while the row cannot be read: no other process can take
    /// over then.
    pub fn unchecked_fencing_token(
        &self,
        now: Micros,
    ) -> Option<u64> {
        self.held
            .filter(|_| now >= self.wait_until)
            .map(fencing_token)
    }

    fn start_wait(
        &mut self,
        now: Micros,
    ) {
        self.wait_until = now + self.gap + CHECK_TTL + MAX_ORDER_TRANSIT_TIME;
    }
}

/// Fencing token of a position. It also increases where versions go back: the tokens of an era
/// exceed all those of earlier eras.
pub fn fencing_token(position: StorePosition) -> u64 {
    (position.era.0 << VERSION_BITS) | position.version
}
