/// Share of a process's room that is given to whoever comes first.
pub const FREE_SHARE: f64 = 0.7;

/// Use of a process's room for running requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoomUse {
    /// Requests running in all.
    pub running: u32,
    /// Requests that may run in all.
    pub room: u32,
    /// Organisations with at least one request running, the asking one included.
    pub organisations: u32,
    /// Requests of the asking organisation that run.
    pub own: u32,
}

/// Whether one more request of an organisation fits.
///
/// While there is plenty of room everyone gets it. After that an organisation
/// gets more only below its equal share, so that a large one cannot take the
/// last room from the small ones.
pub fn fits(room: &RoomUse) -> bool {
    if room.running >= room.room {
        return false;
    }
    let free = (f64::from(room.room) * FREE_SHARE) as u32;
    if room.running < free {
        return true;
    }
    // One share more than there are askers, so that a newcomer finds room too.
    let share = room.room / (room.organisations + 1);
    room.own < share.max(1)
}
