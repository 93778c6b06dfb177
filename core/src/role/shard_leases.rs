use {
    super::{EntryAction, PlacementKind, PlacementLine},
    crate::{
        lease::{
            is_contender, shard_of, LeaseMachine, LeaseRow, LeaseStep, LeaseTimes, OrderStamp,
        },
        time::Micros,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Key prefix of lease rows in the table.
pub const LEASE_PREFIX: &str = "lease/";

#[derive(Debug)]
struct ShardLease {
    machine: LeaseMachine,
    sequence: u64,
    last_epoch: Option<u64>,
}

/// Outcome of a read or write of a lease row.
#[derive(Debug, Clone)]
pub enum LeaseOutcome {
    /// The row was read.
    Read {
        /// The row; none when it does not exist.
        row: Option<LeaseRow>,
        /// Its table version.
        version: u64,
        /// Time when the read was sent.
        requested_at: Micros,
    },
    /// The row was written.
    Written {
        /// Its new table version.
        version: u64,
    },
    /// The row was not written because it had changed.
    Conflict,
    /// It is unknown whether the row was written.
    Unknown,
}

/// Leases of the shards that this process is a contender for.
#[derive(Debug)]
pub struct ShardLeases {
    box_id: String,
    holder: String,
    times: LeaseTimes,
    entries: BTreeSet<String>,
    shards: BTreeMap<String, ShardLease>,
}

impl ShardLeases {
    /// Creates an empty set; `holder` must be unique to this incarnation of the process.
    pub fn new(
        box_id: &str,
        holder: &str,
        times: LeaseTimes,
    ) -> Self {
        ShardLeases {
            box_id: box_id.to_string(),
            holder: holder.to_string(),
            times,
            entries: BTreeSet::new(),
            shards: BTreeMap::new(),
        }
    }

    /// Sets the ids of all entry processes.
    pub fn set_entries(
        &mut self,
        entries: BTreeSet<String>,
    ) {
        self.entries = entries;
    }

    /// Applies the outcome of a read or write of a lease row.
    pub fn apply_outcome(
        &mut self,
        shard: &str,
        outcome: LeaseOutcome,
        now: Micros,
    ) {
        let Some(lease) = self.shards.get_mut(shard) else {
            return;
        };
        match outcome {
            LeaseOutcome::Read {
                row,
                version,
                requested_at,
            } => lease.machine.on_row_read(row, version, requested_at, now),
            LeaseOutcome::Written { version } => lease.machine.on_row_written(version, now),
            LeaseOutcome::Conflict => lease.machine.on_write_conflict(),
            LeaseOutcome::Unknown => lease.machine.on_write_unknown(),
        }
    }

    /// Returns the lease epoch for orders to a group, if this process holds the lease now.
    pub fn epoch(
        &self,
        group: &str,
        now: Micros,
    ) -> Option<u64> {
        self.shards.get(&shard_of(group))?.machine.epoch(now)
    }

    /// Returns the stamp of the next order to a group, if this process holds the lease now.
    pub fn next_stamp(
        &mut self,
        group: &str,
        now: Micros,
    ) -> Option<OrderStamp> {
        let lease = self.shards.get_mut(&shard_of(group))?;
        let epoch = lease.machine.epoch(now)?;
        if lease.last_epoch != Some(epoch) {
            lease.last_epoch = Some(epoch);
            lease.sequence = 0;
        }
        lease.sequence += 1;
        Some(OrderStamp {
            epoch,
            sequence: lease.sequence,
        })
    }

    /// Returns the shards whose lease this process holds now.
    pub fn held_shards(
        &self,
        now: Micros,
    ) -> Vec<String> {
        let held = self
            .shards
            .iter()
            .filter(|(_, s)| s.machine.epoch(now).is_some());
        held.map(|(name, _)| name.clone()).collect()
    }

    /// Acquires, renews and releases leases, and logs changes of ownership.
    pub fn tick(
        &mut self,
        now: Micros,
        groups: &BTreeSet<String>,
        revision: u64,
        actions: &mut Vec<EntryAction>,
    ) {
        self.select_shards(groups, actions);
        let mut reads = Vec::new();
        for (name, lease) in &mut self.shards {
            match lease.machine.step(now) {
                LeaseStep::Wait => {}
                LeaseStep::Read => reads.push(name.clone()),
                LeaseStep::Write { version, row } => actions.push(EntryAction::WriteLease {
                    shard: name.clone(),
                    version,
                    row,
                }),
            }
            let epoch = lease.machine.epoch(now);
            if epoch != lease.last_epoch {
                lease.last_epoch = epoch;
                lease.sequence = 0;
                actions.push(EntryAction::Log(lease_line(name, epoch, revision)));
            }
        }
        if !reads.is_empty() {
            actions.push(EntryAction::ReadLeases { shards: reads });
        }
    }

    /// Adds the shards of these groups that this process is a contender for, and releases the
    /// others.
    fn select_shards(
        &mut self,
        groups: &BTreeSet<String>,
        actions: &mut Vec<EntryAction>,
    ) {
        let wanted: BTreeSet<String> = groups.iter().map(|group| shard_of(group)).collect();
        let mine = |shard: &String| is_contender(&self.box_id, shard, self.entries.iter());
        let wanted: BTreeSet<String> = wanted.into_iter().filter(mine).collect();
        self.shards.retain(|name, lease| {
            let keep = wanted.contains(name);
            if !keep {
                push_release(name, lease, actions);
            }
            keep
        });
        for name in wanted {
            self.shards.entry(name).or_insert_with(|| ShardLease {
                machine: LeaseMachine::new(self.holder.clone(), self.times),
                sequence: 0,
                last_epoch: None,
            });
        }
    }

    /// Releases all leases, as at a planned stop.
    pub fn release(&mut self) -> Vec<EntryAction> {
        let mut actions = Vec::new();
        for (name, lease) in &mut self.shards {
            push_release(name, lease, &mut actions);
        }
        actions
    }
}

fn push_release(
    name: &str,
    lease: &mut ShardLease,
    actions: &mut Vec<EntryAction>,
) {
    if let Some(LeaseStep::Write { version, row }) = lease.machine.release() {
        actions.push(EntryAction::WriteLease {
            shard: name.to_string(),
            version,
            row,
        });
    }
}

fn lease_line(
    shard: &str,
    epoch: Option<u64>,
    revision: u64,
) -> PlacementLine {
    let (decision, reason) = match epoch {
        Some(epoch) => (PlacementKind::LeaseTaken, format!("epoch {epoch}")),
        None => (PlacementKind::LeaseLost, "lapsed or taken over".to_string()),
    };
    PlacementLine {
        decision,
        subject: shard.to_string(),
        reason,
        revision,
    }
}
