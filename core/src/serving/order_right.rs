use {super::StorePosition, crate::time::Micros};

/// Time for which a look at the row allows an order, from when the question was sent: who takes
/// the right over waits for longer.
const CHECK_LIFE: Micros = Micros::from_millis(400);
/// Time that an order may be on its way, beyond that.
const ORDER_WAY: Micros = Micros::from_millis(300);
/// Bits of a number that versions take: ten years of 3,000 changes a second.
const ERA_SHIFT: u32 = 40;

/// The row that says who gives one engine its orders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderRow {
    /// Position of its last change.
    pub position: StorePosition,
    /// Box that holds the right.
    pub holder: String,
}

/// One process's side of the right to give one engine orders, without I/O.
///
/// Who replaces the row has the right, and its number is the row's position, so that it rises
/// with each holder. Whoever had it finds that out at the look that goes before each order; the
/// new holder waits for as long as such a look holds, and for the gap that engines are owed
/// between two givers.
#[derive(Debug, Clone)]
pub struct OrderRight {
    own_box: String,
    gap: Micros,
    seen: Option<Option<OrderRow>>,
    held: Option<StorePosition>,
    checked_at: Option<Micros>,
    quiet_until: Micros,
}

impl OrderRight {
    /// Holds nothing yet. Orders of two boxes are to be `gap` apart.
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
            quiet_until: Micros::ZERO,
        }
    }

    /// Takes the row as a question showed it that was sent at `asked_at`.
    pub fn row_read(
        &mut self,
        row: Option<OrderRow>,
        asked_at: Micros,
        now: Micros,
    ) {
        let is_own = row.as_ref().is_some_and(|row| row.holder == self.own_box);
        let position = row.as_ref().filter(|_| is_own).map(|row| row.position);
        if position.is_some() && position != self.held {
            // A write of ours whose answer got lost, or that the store lost: somebody else may
            // have had the right since.
            self.wait_from(now);
        }
        self.held = position;
        self.checked_at = Some(asked_at);
        self.seen = Some(row);
    }

    /// Takes that the row was replaced as it had been read, by a write sent at `sent_at`.
    pub fn row_written(
        &mut self,
        position: StorePosition,
        sent_at: Micros,
        now: Micros,
    ) {
        // Also where there was no row: a store that came back from a copy may have lost it.
        self.wait_from(now);
        self.held = Some(position);
        self.checked_at = Some(sent_at);
        self.seen = Some(Some(OrderRow {
            position,
            holder: self.own_box.clone(),
        }));
    }

    /// Takes that the row is not known any more: a write was refused, or nobody knows whether it
    /// was done.
    pub fn row_unknown(&mut self) {
        self.seen = None;
        self.held = None;
        self.checked_at = None;
    }

    /// The row as it was last read, where that is known.
    pub fn seen(&self) -> Option<Option<&OrderRow>> {
        self.seen.as_ref().map(Option::as_ref)
    }

    /// Whether the right is held, as far as is known.
    pub fn is_held(&self) -> bool {
        self.held.is_some()
    }

    /// Whether orders may not be given yet, whatever the row says.
    pub fn is_waiting(
        &self,
        now: Micros,
    ) -> bool {
        now < self.quiet_until
    }

    /// The number under which an order may be given now. It is checked again before each.
    pub fn number(
        &self,
        now: Micros,
    ) -> Option<u64> {
        let is_checked = self.checked_at.is_some_and(|at| now.since(at) < CHECK_LIFE);
        self.held
            .filter(|_| is_checked && now >= self.quiet_until)
            .map(order_number)
    }

    /// The number under which an order may be given while the row cannot be read: nobody can
    /// take the right over then.
    pub fn unread_number(
        &self,
        now: Micros,
    ) -> Option<u64> {
        self.held
            .filter(|_| now >= self.quiet_until)
            .map(order_number)
    }

    fn wait_from(
        &mut self,
        now: Micros,
    ) {
        self.quiet_until = now + self.gap + CHECK_LIFE + ORDER_WAY;
    }
}

/// A position as a number that rises also where versions go back: with each era it is beyond all
/// of the one before.
pub fn order_number(position: StorePosition) -> u64 {
    (position.era.0 << ERA_SHIFT) | position.version
}
