use super::max_min_level;

/// Share of a process's capacity that is allocated first come, first served.
pub const UNRESERVED_SHARE: f64 = 0.7;

/// Capacity of a process and its current use, as seen by one organisation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CapacityUsage {
    /// Requests running in total.
    pub running: u32,
    /// Maximum number of running requests.
    pub capacity: u32,
    /// Organisations with at least one running request, including the requesting one.
    pub organisations: u32,
    /// Running requests of the requesting organisation.
    pub own_running: u32,
}

/// Whether one more request of the organisation may run.
///
/// Below [`UNRESERVED_SHARE`] every request may. Above it an organisation is limited to
/// an equal share, so that a large one cannot use up the capacity left for small ones.
pub fn has_capacity(usage: &CapacityUsage) -> bool {
    if usage.running >= usage.capacity {
        return false;
    }
    let unreserved = (f64::from(usage.capacity) * UNRESERVED_SHARE) as u32;
    if usage.running < unreserved {
        return true;
    }
    // One share is left for an organisation that has no running requests yet.
    // All others count as demanding the whole capacity: those with few running requests keep their
    // share although they do not use it yet.
    let claimants = usage.organisations as usize + 1;
    let capacity = f64::from(usage.capacity);
    let share = max_min_level(capacity, &mut vec![f64::INFINITY; claimants]) as u32;
    usage.own_running < share.max(1)
}
