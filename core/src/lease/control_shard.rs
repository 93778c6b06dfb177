use crate::membership::rendezvous_weight;

/// Number of control shards. All processes must use the same number, because agents
/// derive from it which shard's orders they accept.
pub const SHARD_COUNT: u64 = 64;
/// Number of entry processes that contend for the lease of one shard. It is limited so
/// that not all of them read the table.
pub const CONTENDERS: usize = 3;

/// Name of the shard that controls a group of endpoints.
pub fn shard_of(group: &str) -> String {
    let number = rendezvous_weight(group, "shard") % SHARD_COUNT;
    format!("shard-{number:02}")
}

/// Whether the entry process `own_id` contends for the lease of a shard.
///
/// Processes with different membership lists may disagree; the lease itself decides.
pub fn is_contender<'a>(
    own_id: &str,
    shard: &str,
    entries: impl Iterator<Item = &'a String>,
) -> bool {
    let own_weight = rendezvous_weight(shard, own_id);
    let higher_ranked =
        entries.filter(|id| *id != own_id && rendezvous_weight(shard, id) > own_weight);
    higher_ranked.count() < CONTENDERS
}
