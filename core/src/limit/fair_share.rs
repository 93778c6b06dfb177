/// Share of a process's capacity that is given to whoever comes first.
pub const UNRESERVED_SHARE: f64 = 0.7;

/// Use of a process's capacity for running requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CapacityUsage {
    /// Requests running in all.
    pub running: u32,
    /// Requests that may run in all.
    pub capacity: u32,
    /// Organisations with at least one request running, the asking one included.
    pub organisations: u32,
    /// Requests of the asking organisation that run.
    pub own_running: u32,
}

/// Whether one more request of an organisation fits.
///
/// While there is plenty of capacity everyone gets it. After that an organisation
/// gets more only below its equal share, so that a large one cannot take the
/// last capacity from the small ones.
pub fn has_capacity(usage: &CapacityUsage) -> bool {
    if usage.running >= usage.capacity {
        return false;
    }
    let unreserved = (f64::from(usage.capacity) * UNRESERVED_SHARE) as u32;
    if usage.running < unreserved {
        return true;
    }
    // One share more than there are askers, so that a newcomer finds capacity too.
    let share = usage.capacity / (usage.organisations + 1);
    usage.own_running < share.max(1)
}
