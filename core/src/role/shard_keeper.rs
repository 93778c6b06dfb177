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

/// Prefix of lease rows in the table.
pub const LEASE_PREFIX: &str = "lease/";

#[derive(Debug)]
struct KeptShard {
    lease: LeaseMachine,
    sequence: u64,
    last_epoch: Option<u64>,
}

/// What a lease call brought.
#[derive(Debug, Clone)]
pub enum LeaseOutcome {
    /// The row was read.
    Read {
        /// The row; none when there is none.
        row: Option<LeaseRow>,
        /// Its table version.
        version: u64,
        /// When the read was sent.
        asked_at: Micros,
    },
    /// The row was written.
    Written {
        /// Its new table version.
        version: u64,
    },
    /// The row had changed before.
    Refused,
    /// Nobody knows.
    Unknown,
}

/// Contends for the leases of the shards that this process may control.
#[derive(Debug)]
pub struct ShardKeeper {
    box_id: String,
    holder: String,
    times: LeaseTimes,
    entries: BTreeSet<String>,
    shards: BTreeMap<String, KeptShard>,
}

impl ShardKeeper {
    /// A keeper without any shard; `holder` names this life of the process.
    pub fn new(
        box_id: &str,
        holder: &str,
        times: LeaseTimes,
    ) -> Self {
        ShardKeeper {
            box_id: box_id.to_string(),
            holder: holder.to_string(),
            times,
            entries: BTreeSet::new(),
            shards: BTreeMap::new(),
        }
    }

    /// Notes which entry processes there are.
    pub fn note_entries(
        &mut self,
        entries: BTreeSet<String>,
    ) {
        self.entries = entries;
    }

    /// Takes in the outcome of a lease call.
    pub fn outcome(
        &mut self,
        shard: &str,
        outcome: LeaseOutcome,
        now: Micros,
    ) {
        let Some(kept) = self.shards.get_mut(shard) else {
            return;
        };
        match outcome {
            LeaseOutcome::Read {
                row,
                version,
                asked_at,
            } => kept.lease.on_row_read(row, version, asked_at, now),
            LeaseOutcome::Written { version } => kept.lease.on_row_written(version, now),
            LeaseOutcome::Refused => kept.lease.on_write_conflict(),
            LeaseOutcome::Unknown => kept.lease.on_write_unknown(),
        }
    }

    /// The epoch under which this process may give orders to a group now.
    pub fn epoch(
        &self,
        group: &str,
        now: Micros,
    ) -> Option<u64> {
        self.shards.get(&shard_of(group))?.lease.epoch(now)
    }

    /// The stamp of the next order to a group, if this process may give one now.
    pub fn next_stamp(
        &mut self,
        group: &str,
        now: Micros,
    ) -> Option<OrderStamp> {
        let kept = self.shards.get_mut(&shard_of(group))?;
        let epoch = kept.lease.epoch(now)?;
        if kept.last_epoch != Some(epoch) {
            kept.last_epoch = Some(epoch);
            kept.sequence = 0;
        }
        kept.sequence += 1;
        Some(OrderStamp {
            epoch,
            sequence: kept.sequence,
        })
    }

    /// Shards whose lease this process holds now.
    pub fn held(
        &self,
        now: Micros,
    ) -> Vec<String> {
        let held = self
            .shards
            .iter()
            .filter(|(_, s)| s.lease.epoch(now).is_some());
        held.map(|(name, _)| name.clone()).collect()
    }

    /// Moves all leases on.
    pub fn tick(
        &mut self,
        now: Micros,
        groups: &BTreeSet<String>,
        revision: u64,
        actions: &mut Vec<EntryAction>,
    ) {
        self.choose_shards(groups, actions);
        let mut reads = Vec::new();
        for (name, kept) in &mut self.shards {
            match kept.lease.step(now) {
                LeaseStep::Wait => {}
                LeaseStep::Read => reads.push(name.clone()),
                LeaseStep::Write { version, row } => actions.push(EntryAction::WriteLease {
                    shard: name.clone(),
                    version,
                    row,
                }),
            }
            let epoch = kept.lease.epoch(now);
            if epoch != kept.last_epoch {
                kept.last_epoch = epoch;
                kept.sequence = 0;
                actions.push(EntryAction::Log(lease_line(name, epoch, revision)));
            }
        }
        if !reads.is_empty() {
            actions.push(EntryAction::ReadLeases { shards: reads });
        }
    }

    /// Takes up the shards of these groups that this process contends for, and
    /// hands back the others.
    fn choose_shards(
        &mut self,
        groups: &BTreeSet<String>,
        actions: &mut Vec<EntryAction>,
    ) {
        let wanted: BTreeSet<String> = groups.iter().map(|group| shard_of(group)).collect();
        let mine = |shard: &String| is_contender(&self.box_id, shard, self.entries.iter());
        let wanted: BTreeSet<String> = wanted.into_iter().filter(mine).collect();
        self.shards.retain(|name, kept| {
            let keep = wanted.contains(name);
            if !keep {
                push_release(name, kept, actions);
            }
            keep
        });
        for name in wanted {
            self.shards.entry(name).or_insert_with(|| KeptShard {
                lease: LeaseMachine::new(self.holder.clone(), self.times),
                sequence: 0,
                last_epoch: None,
            });
        }
    }

    /// Hands all leases back, as at a planned stop.
    pub fn release(&mut self) -> Vec<EntryAction> {
        let mut actions = Vec::new();
        for (name, kept) in &mut self.shards {
            push_release(name, kept, &mut actions);
        }
        actions
    }
}

fn push_release(
    name: &str,
    kept: &mut KeptShard,
    actions: &mut Vec<EntryAction>,
) {
    if let Some(LeaseStep::Write { version, row }) = kept.lease.release() {
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
