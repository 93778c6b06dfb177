use {
    serde::{Deserialize, Serialize},
    thiserror::Error,
};

/// Fencing token of an order: its position in the order history of its shard.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct OrderStamp {
    /// Epoch of the lease under which the order was issued.
    pub epoch: u64,
    /// Sequence number of the order within that epoch.
    pub sequence: u64,
}

/// Why an order is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum FenceRefusal {
    /// The agent has not read the lease epoch since it started.
    #[error("the agent has not read the lease epoch from the table yet")]
    EpochUnknown,
    /// A newer epoch is known.
    #[error("epoch {given} is outdated; the newest is {newest}")]
    OldEpoch {
        /// Epoch of the order.
        given: u64,
        /// Newest known epoch.
        newest: u64,
    },
    /// An order with the same or a higher sequence number was admitted before.
    #[error("order {given} arrived after order {newest} of the same epoch")]
    OldSequence {
        /// Sequence number of the order.
        given: u64,
        /// Highest admitted sequence number.
        newest: u64,
    },
}

/// Admits only orders of the newest lease epoch, with increasing sequence numbers.
#[derive(Debug, Clone, Copy, Default)]
pub struct OrderFence {
    newest: OrderStamp,
    epoch_read: bool,
}

impl OrderFence {
    /// Records the epoch read from the table.
    pub fn on_epoch_read(
        &mut self,
        epoch: u64,
    ) {
        self.epoch_read = true;
        if epoch > self.newest.epoch {
            self.newest = OrderStamp { epoch, sequence: 0 };
        }
    }

    /// Whether the epoch has been read since the agent started.
    pub fn has_epoch(&self) -> bool {
        self.epoch_read
    }

    /// Admits an order or refuses it.
    ///
    /// # Errors
    /// [`FenceRefusal`] if the epoch is unknown or the order is not newer than all before it.
    pub fn admit(
        &mut self,
        stamp: OrderStamp,
    ) -> Result<(), FenceRefusal> {
        if !self.epoch_read {
            return Err(FenceRefusal::EpochUnknown);
        }
        if stamp.epoch < self.newest.epoch {
            return Err(FenceRefusal::OldEpoch {
                given: stamp.epoch,
                newest: self.newest.epoch,
            });
        }
        if stamp <= self.newest {
            return Err(FenceRefusal::OldSequence {
                given: stamp.sequence,
                newest: self.newest.sequence,
            });
        }
        self.newest = stamp;
        Ok(())
    }
}
