//! Software of endpoints that restart under their ids, perhaps with other software than before.

use {
    crate::serving::{
        EndpointEntry, EndpointNotice, EndpointRegistry, EndpointStatus, SoftwareTag, StorePosition,
    },
    crate::time::Micros,
};

/// Time between two looks at the list after which it was not watched meanwhile.
const MAX_LOOK_INTERVAL: Micros = Micros::from_secs(2);

/// Software of an endpoint as its entry on the list names it.
#[derive(Debug, Clone, Default)]
pub struct ListedSoftware {
    /// Version; empty if none is stated.
    pub(in crate::serving) version: String,
    /// Start of the incarnation that the entry is about, if reported.
    born: Option<u64>,
    /// Position of its row.
    row: StorePosition,
    /// Set while an earlier incarnation may have written the entry.
    doubt: Option<SoftwareDoubt>,
}

/// Whether the software of an endpoint that has restarted is the listed one. The endpoint writes its
/// entry again, or the entry of the earlier incarnation lapses: one that stays is right.
#[derive(Debug, Clone, Copy, Default)]
struct SoftwareDoubt {
    watch: Option<EntryWatch>,
}

/// Time for which the entry has been seen unchanged on a reliable list.
#[derive(Debug, Clone, Copy)]
struct EntryWatch {
    since: Micros,
    latest: Micros,
}

impl ListedSoftware {
    /// Software that the notice of an endpoint names which was not known before.
    pub(in crate::serving) fn of(notice: &EndpointNotice) -> Self {
        ListedSoftware {
            version: notice.software.clone(),
            born: notice.born,
            row: notice.row,
            doubt: None,
        }
    }
}

impl SoftwareDoubt {
    /// Records a look at the list; returns the time since which the entry has been watched.
    fn record_look(
        &mut self,
        is_listed: bool,
        now: Micros,
    ) -> Option<Micros> {
        let watch = self.watch.filter(|watch| {
            let interval = now.since(watch.latest);
            interval <= MAX_LOOK_INTERVAL
        });
        let since = watch.map_or(now, |watch| watch.since);
        let watch = EntryWatch { since, latest: now };
        self.watch = is_listed.then_some(watch);
        is_listed.then_some(since)
    }
}

impl EndpointEntry {
    /// Version of its software, which may be empty; `None` if it has restarted and nothing has shown
    /// yet which software it has now.
    pub fn known_software(&self) -> Option<&str> {
        let is_doubtful = self.listed_software.doubt.is_some();
        (!is_doubtful).then_some(&self.software)
    }

    /// Records the software that a notice names, whichever incarnation the notice is about.
    pub(in crate::serving) fn record_listed_software(
        &mut self,
        notice: &EndpointNotice,
    ) {
        let listed = &mut self.listed_software;
        // What another box forwards may be older than the list.
        if listed.row.is_newer_than(notice.row) {
            return;
        }
        listed.row = notice.row;
        let is_unstated = notice.software.is_empty() && listed.born == notice.born;
        if is_unstated {
            return;
        }
        if listed.version != notice.software || listed.born != notice.born {
            // The entry may lapse later than the one before.
            listed.doubt = listed.doubt.map(|_| SoftwareDoubt::default());
        }
        listed.version.clone_from(&notice.software);
        listed.born = notice.born;
    }

    /// Records that a notice is about the present incarnation, or one of which no difference is known.
    pub(in crate::serving) fn confirm_software(
        &mut self,
        notice: &EndpointNotice,
    ) {
        let is_doubtful = self.listed_software.doubt.is_some();
        if is_doubtful && notice.born.is_none() {
            return;
        }
        let is_named = !notice.software.is_empty() && notice.software != self.software;
        if is_named {
            self.software.clone_from(&notice.software);
        }
        self.listed_software.doubt = None;
        if is_doubtful || is_named {
            self.update_software_tag();
        }
    }

    /// Drops the software of the earlier incarnation, unless the list has named the one that begins
    /// at `born` already.
    pub(in crate::serving) fn begin_software(
        &mut self,
        born: Option<u64>,
    ) {
        match born.is_some() && self.listed_software.born == born {
            true => self.use_listed_software(),
            false => {
                self.software.clear();
                self.listed_software.doubt = Some(SoftwareDoubt::default());
                self.update_software_tag();
            }
        }
    }

    fn use_listed_software(&mut self) {
        self.software.clone_from(&self.listed_software.version);
        self.listed_software.doubt = None;
        self.update_software_tag();
    }

    /// Records the service that a notice names.
    pub(in crate::serving) fn set_service(
        &mut self,
        service: &str,
    ) {
        self.service.clear();
        self.service.push_str(service);
        self.update_software_tag();
    }

    fn update_software_tag(&mut self) {
        self.software_tag = match self.known_software() {
            Some(software) => SoftwareTag::new(&self.service, software),
            None => SoftwareTag::unknown(&self.service),
        };
    }
}

impl EndpointRegistry {
    /// Ends doubts about the software of endpoints that have restarted. `proven_at` is when the list
    /// was last proven to be the newest, if it is reliable, and `lapse_time` the longest time for which
    /// the entry of an endpoint stays that no longer writes it. To be called at least once a second.
    pub fn settle_software(
        &mut self,
        proven_at: Option<Micros>,
        lapse_time: Micros,
        now: Micros,
    ) {
        for entry in self.entries.values_mut() {
            let has_entry =
                entry.status == EndpointStatus::Serving && entry.unlisted_interval.is_none();
            let is_listed = proven_at.is_some() && has_entry;
            let Some(doubt) = &mut entry.listed_software.doubt else {
                continue;
            };
            let watched_since = doubt.record_look(is_listed, now);
            let lapses_at = watched_since.map(|since| since + lapse_time);
            if lapses_at.is_some_and(|at| proven_at >= Some(at)) {
                entry.use_listed_software();
            }
        }
    }
}
