use crate::membership::rendezvous_weight;

/// Shards of control. The number is part of what processes agree on: agents
/// compute from it whose orders they take.
pub const SHARD_COUNT: u64 = 64;
/// Entry processes that contend for the lease of one shard, so that the table
/// is not read by all of them.
pub const CONTENDERS: usize = 3;

/// The shard that controls a group of endpoints.
pub fn shard_of(group: &str) -> String {
    let number = rendezvous_weight(group, "shard") % SHARD_COUNT;
    format!("shard-{number:02}")
}

/// Whether `own_id` is among the entry processes that contend for a shard.
///
/// Processes that see different lists may disagree; the lease itself decides.
pub fn is_contender<'a>(
    own_id: &str,
    shard: &str,
    entries: impl Iterator<Item = &'a String>,
) -> bool {
    let own = rendezvous_weight(shard, own_id);
    let higher_ranked = entries.filter(|id| *id != own_id && rendezvous_weight(shard, id) > own);
    higher_ranked.count() < CONTENDERS
}
