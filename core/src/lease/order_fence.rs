use {
    serde::{Deserialize, Serialize},
    thiserror::Error,
};

/// Place of an order in the history of its shard.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct OrderStamp {
    /// Epoch of the lease under which it was given.
    pub epoch: u64,
    /// Number of the order under that epoch.
    pub sequence: u64,
}

/// Why an order was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum FenceRefusal {
    /// The agent has not read the epoch since it started.
    #[error("the agent has not read the lease epoch from the table yet")]
    EpochUnknown,
    /// A newer holder has given orders or is known.
    #[error("epoch {given} is over; the newest is {newest}")]
    OldEpoch {
        /// Epoch of the order.
        given: u64,
        /// Newest known epoch.
        newest: u64,
    },
    /// The order comes after one that was given later.
    #[error("order {given} comes after order {newest} of the same epoch")]
    OldSequence {
        /// Sequence of the order.
        given: u64,
        /// Newest known sequence.
        newest: u64,
    },
}

/// Lets through orders of the newest holder only, in order.
#[derive(Debug, Clone, Copy, Default)]
pub struct OrderFence {
    newest: OrderStamp,
    epoch_read: bool,
}

impl OrderFence {
    /// Notes the epoch that the table has.
    pub fn on_epoch_read(
        &mut self,
        epoch: u64,
    ) {
        self.epoch_read = true;
        if epoch > self.newest.epoch {
            self.newest = OrderStamp { epoch, sequence: 0 };
        }
    }

    /// Whether the epoch has been read since the start.
    pub fn has_epoch(&self) -> bool {
        self.epoch_read
    }

    /// Lets an order through or refuses it.
    ///
    /// # Errors
    /// [`FenceRefusal`] when the order is not the newest.
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
