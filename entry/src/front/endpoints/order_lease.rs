use {
    crate::front::FrontContext,
    pitchhitch_core::{
        lease::{LeaseMachine, LeaseRow, LeaseStep, LeaseTimes},
        serving::StorePosition,
        time::Micros,
    },
    pitchhitch_platform::{RowValue, StoreClient, StoreError},
    pitchhitch_wire::codec::{decode_body, encode_body},
};

/// Key of the row that names the front whose fallback controller gives orders.
const LEASE_KEY: &str = "lease/orders";
const LEASE_TIMES: LeaseTimes = LeaseTimes {
    duration: Micros::from_secs(6),
    interval: Micros::from_secs(2),
    margin: Micros::from_secs(1),
};

/// Lease of the front that gives orders in place of missing engine agents. It only avoids duplicate
/// work; each order requires the order right of its engine.
#[derive(Debug)]
pub(crate) struct OrderLease {
    machine: LeaseMachine,
}

impl OrderLease {
    /// Creates a lease that is not held.
    pub fn new(front: &FrontContext) -> Self {
        let incarnation = front.clock.incarnation();
        let holder = format!("{}/{incarnation}", front.settings.box_id);
        OrderLease {
            machine: LeaseMachine::new(holder, LEASE_TIMES),
        }
    }

    pub fn is_held(
        &self,
        now: Micros,
    ) -> bool {
        self.machine.epoch(now).is_some()
    }

    /// Acquires or renews the lease if this is due.
    ///
    /// # Errors
    /// Errors of the platform store.
    pub async fn step(
        &mut self,
        front: &FrontContext,
        store: &mut StoreClient,
    ) -> Result<(), StoreError> {
        let requested_at = front.now();
        match self.machine.step(requested_at) {
            LeaseStep::Wait => Ok(()),
            LeaseStep::Read => {
                let row = store.read_row(LEASE_KEY).await?;
                let version = row.as_ref().map_or(0, |row| row.position.version);
                let row = row.and_then(|row| match row.value {
                    RowValue::Bytes(bytes) => decode_body::<LeaseRow>(&bytes).ok(),
                    RowValue::Deleted | RowValue::Unreadable => None,
                });
                self.machine
                    .on_row_read(row, version, requested_at, front.now());
                Ok(())
            }
            LeaseStep::Write { version, row } => self.write(front, store, version, &row).await,
        }
    }

    /// Releases the lease. The next acquisition reads the row again.
    ///
    /// # Errors
    /// Errors of the platform store; the lease then expires.
    pub async fn release(
        &mut self,
        front: &FrontContext,
        store: &mut StoreClient,
    ) -> Result<(), StoreError> {
        let Some(LeaseStep::Write { version, row }) = self.machine.release() else {
            return Ok(());
        };
        let written = self.write(front, store, version, &row).await;
        self.machine.on_write_conflict();
        written
    }

    async fn write(
        &mut self,
        front: &FrontContext,
        store: &mut StoreClient,
        version: u64,
        row: &LeaseRow,
    ) -> Result<(), StoreError> {
        let Ok(bytes) = encode_body(row) else {
            return Ok(());
        };
        let era = front.state().eras.known().unwrap_or_default();
        let expected = (version > 0).then_some(StorePosition { era, version });
        match store.put_if_unchanged(LEASE_KEY, expected, &bytes).await {
            Ok(position) => self.machine.on_row_written(position.version, front.now()),
            Err(StoreError::Conflict) => self.machine.on_write_conflict(),
            Err(error) => {
                self.machine.on_write_unknown();
                return Err(error);
            }
        }
        Ok(())
    }
}
