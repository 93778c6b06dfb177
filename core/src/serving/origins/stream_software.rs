use {
    super::{route_entry::RouteEntry, RouteKey, RouteSoftware, RowProof, SoftwareTag},
    crate::{serving::StorePosition, time::Micros},
    std::collections::{BTreeMap, BTreeSet},
};

/// Time after which streams of software without any endpoint have ended, their callers' next tries
/// included.
pub(super) const SOFTWARE_RETENTION: Micros = Micros::from_secs(60);
/// Time without any endpoint after which software must be recorded anew before streams begin on it.
/// It is shorter than the retention, as another front may have seen the last endpoint leave earlier.
const RENEWAL_TIME: Micros = Micros::from_secs(20);
/// Time after which the last look at the endpoints is too old to remove software; a process that was
/// suspended has not seen what was there meanwhile.
pub(super) const MAX_LOOK_AGE: Micros = Micros::from_secs(1);

/// Records, in rows of the platform store, on which software the streams of each route may have
/// begun: software is recorded before the first stream begins on it, and removed once no stream of
/// it can be left. Where a route has one software only, each of its streams began there.
#[derive(Debug, Default)]
pub struct StreamSoftware {
    pub(super) routes: BTreeMap<RouteKey, RouteEntry>,
    /// Whether all rows have been read in this incarnation.
    pub(super) has_rows: bool,
    /// Whether another process has reported the rows.
    pub(super) has_reports: bool,
    /// Software of which no endpoint is known, and since when.
    pub(super) absent_since: BTreeMap<SoftwareTag, Micros>,
    /// Software of known endpoints.
    pub(super) present: BTreeSet<SoftwareTag>,
    /// When endpoints that are known from the latest list were last looked at.
    pub(super) looked_at: Option<Micros>,
    /// When this process last looked at what it knows.
    pub(super) awake_at: Option<Micros>,
    /// Routes on which this process has begun streams.
    pub(super) used_routes: BTreeSet<RouteKey>,
    /// Whether the rows are complete.
    pub(super) proof: RowProof,
    /// Service of software that endpoints have had lately, and when it was last seen.
    pub(super) seen: BTreeMap<SoftwareTag, (String, Micros)>,
}

impl StreamSoftware {
    /// Records a row as read, or as written, by a call that was sent at `sent_at`.
    pub fn record_row(
        &mut self,
        row: &RouteSoftware,
        position: StorePosition,
        sent_at: Micros,
    ) {
        let entry = self.routes.entry(row.route.clone()).or_default();
        if entry.confirmed_at.is_some_and(|at| at > sent_at) {
            return;
        }
        entry.confirm(sent_at);
        if entry.position == Some(position) {
            return;
        }
        let previous = entry.used();
        let is_restored = entry.position.is_some_and(|at| at.era < position.era);
        entry.recorded = row.software.iter().copied().collect();
        entry.position = Some(position);
        let recorded = &entry.recorded;
        entry.wanted.retain(|tag| !recorded.contains(tag));
        entry.unrecorded.retain(|tag| !recorded.contains(tag));
        // Missing if the store was restored from a snapshot, if it was never recorded, or if another
        // front saw its last endpoint leave; streams may have begun on it but in the last case.
        let (present, unrecorded) = (&self.present, &entry.unrecorded);
        let missing = previous.difference(recorded);
        let is_lost = |tag: &SoftwareTag| present.contains(tag) || unrecorded.contains(tag);
        let lost = missing.filter(|tag| is_restored || is_lost(tag));
        let lost = lost.copied();
        entry.expired = lost.collect();
        entry.wanted.extend(&entry.expired);
        // Another front may have seen endpoints that were not seen here.
        self.absent_since.retain(|tag, _| !recorded.contains(tag));
    }

    /// Records that a route has no row.
    pub fn record_missing(
        &mut self,
        route: RouteKey,
        sent_at: Micros,
    ) {
        let entry = self.routes.entry(route).or_default();
        if entry.confirmed_at.is_some_and(|at| at > sent_at) {
            return;
        }
        let lost = std::mem::take(&mut entry.recorded);
        entry.expired.extend(&lost);
        entry.wanted.extend(lost);
        entry.position = None;
        entry.confirm(sent_at);
    }

    /// Records the rows of all routes, as read by a call that was sent at `sent_at`.
    pub fn record_all(
        &mut self,
        rows: &[(RouteSoftware, StorePosition)],
        sent_at: Micros,
    ) {
        let listed: BTreeSet<&RouteKey> = rows.iter().map(|(row, _)| &row.route).collect();
        let known = self.routes.keys().cloned().collect::<Vec<RouteKey>>();
        for route in known.into_iter().filter(|route| !listed.contains(route)) {
            self.record_missing(route, sent_at);
        }
        for (row, position) in rows {
            self.record_row(row, *position, sent_at);
        }
    }

    /// Records that all rows are as they were last read, as a call has shown that was sent at
    /// `sent_at`.
    pub fn record_unchanged(
        &mut self,
        sent_at: Micros,
    ) {
        for entry in self.routes.values_mut() {
            entry.confirm(sent_at);
        }
    }

    /// Software on which streams of the route may have begun.
    pub fn software(
        &self,
        route: &RouteKey,
    ) -> Vec<SoftwareTag> {
        let entry = self.routes.get(route);
        entry.map_or_else(Vec::new, |entry| entry.used().into_iter().collect())
    }

    /// Routes of which something is known.
    pub fn known_routes(&self) -> impl Iterator<Item = &RouteKey> {
        self.routes.keys()
    }

    /// Rows must be written again: the store was restored from a snapshot that may lack them.
    pub fn invalidate_rows(
        &mut self,
        now: Micros,
    ) {
        for entry in self.routes.values_mut() {
            entry.confirm_after = Some(now);
        }
    }

    /// Adds what another process knows of the rows, until they have been read here.
    pub fn add_reported(
        &mut self,
        rows: &[RouteSoftware],
    ) {
        self.has_reports = true;
        if self.has_rows {
            return;
        }
        for row in rows {
            let entry = self.routes.entry(row.route.clone()).or_default();
            entry.recorded.extend(&row.software);
        }
    }

    /// What is known of the rows, for a process that cannot read them; `None` if they may be
    /// incomplete.
    pub fn reports(&self) -> Option<Vec<RouteSoftware>> {
        let rows = self.routes.iter().map(|(route, entry)| RouteSoftware {
            route: route.clone(),
            software: entry.used().into_iter().collect(),
        });
        let rows = rows.filter(|row| !row.software.is_empty());
        self.is_complete().then(|| rows.collect())
    }

    /// Whether the rows have been read here or reported.
    pub fn is_known(&self) -> bool {
        self.has_rows || self.has_reports
    }

    /// Whether streams of the route may begin on this software.
    pub fn allows(
        &self,
        route: &RouteKey,
        software: SoftwareTag,
    ) -> bool {
        self.routes.get(route).is_some_and(|entry| {
            entry.recorded.contains(&software) && !entry.expired.contains(&software)
        })
    }

    /// Records that streams of a route begin here.
    pub fn record_use(
        &mut self,
        route: &RouteKey,
    ) {
        if !self.used_routes.contains(route) {
            self.used_routes.insert(route.clone());
        }
    }

    /// Routes on which this process has begun streams.
    pub fn used_routes(&self) -> Vec<RouteKey> {
        self.used_routes.iter().cloned().collect()
    }

    /// Has software recorded for a route; returns whether a call is due for that.
    pub fn want(
        &mut self,
        route: &RouteKey,
        software: SoftwareTag,
    ) -> bool {
        if self.allows(route, software) {
            return false;
        }
        let entry = self.routes.entry(route.clone()).or_default();
        entry.wanted.insert(software);
        true
    }

    /// Records that streams may begin on software before it is recorded, as the store takes no writes.
    pub fn record_early_use(
        &mut self,
        route: &RouteKey,
        software: SoftwareTag,
    ) {
        if self.want(route, software) {
            let entry = self.routes.entry(route.clone()).or_default();
            entry.expired.insert(software);
            entry.unrecorded.insert(software);
        }
    }

    /// The software on which all streams of the route began, if it is known that there is only one. A
    /// stream may have begun on another route, to which its path led then.
    pub fn sole_software(
        &self,
        route: &RouteKey,
    ) -> Option<SoftwareTag> {
        if !self.is_complete() {
            return None;
        }
        let mut software = self.overlapping_software(route);
        if software.is_empty() {
            let entries = self.routes.values();
            software = entries.flat_map(RouteEntry::used).collect();
        }
        let is_sole = software.len() == 1;
        software.into_iter().next().filter(|_| is_sole)
    }

    /// Software of the routes on which a stream of this route may have begun.
    fn overlapping_software(
        &self,
        route: &RouteKey,
    ) -> BTreeSet<SoftwareTag> {
        let routes = self.routes.iter();
        let overlapping = routes.filter(|(other, _)| other.overlaps(route));
        overlapping.flat_map(|(_, entry)| entry.used()).collect()
    }

    /// Whether no stream of any route has begun on software that is recorded.
    pub fn is_empty(&self) -> bool {
        self.routes.values().all(|entry| entry.used().is_empty())
    }

    /// Whether streams of some route, and of those nested in it, began, or are about to begin, on
    /// several kinds of software, or whether it is unknown on which.
    pub fn is_mixed(&self) -> bool {
        let is_incomplete = self.has_rows && !self.is_complete();
        is_incomplete
            || self.routes.keys().any(|route| {
                let behind = self.routes.range(route..);
                let nested = behind.take_while(|(other, _)| other.is_within(route));
                let mut software = nested.flat_map(|(_, entry)| entry.used_or_wanted());
                let first = software.next();
                software.any(|tag| Some(tag) != first)
            })
    }

    /// Whether the row of the route was read at `since` or later.
    pub fn is_confirmed(
        &self,
        route: &RouteKey,
        since: Micros,
    ) -> bool {
        let entry = self.routes.get(route);
        let confirmed_at = entry.and_then(|entry| entry.confirmed_at);
        confirmed_at.is_some_and(|at| at >= since)
    }

    /// Has the row of a route read again.
    pub fn request_confirmation(
        &mut self,
        route: RouteKey,
        now: Micros,
    ) {
        let entry = self.routes.entry(route).or_default();
        entry.confirm_after = entry.confirm_after.max(Some(now));
    }

    /// Records that endpoints or routes are known from long ago only: what has gone is unknown.
    pub fn record_outdated_look(
        &mut self,
        now: Micros,
    ) {
        self.record_look(false, now);
    }

    fn record_look(
        &mut self,
        is_current: bool,
        now: Micros,
    ) {
        let previous = self.awake_at.replace(now);
        let was_suspended = previous.is_some_and(|at| now.since(at) > MAX_LOOK_AGE);
        let proof = &mut self.proof;
        proof.record_look(was_suspended, is_current, SOFTWARE_RETENTION, now);
        self.seen
            .retain(|_, (_, at)| now.since(*at) < SOFTWARE_RETENTION);
    }

    /// Records of which software endpoints are known: serving ones, and those that have left a
    /// moment ago.
    pub fn record_present(
        &mut self,
        present: BTreeSet<SoftwareTag>,
        now: Micros,
    ) {
        self.record_look(true, now);
        let previous_look = self.looked_at.replace(now);
        let gap = previous_look.map(|at| now.since(at));
        let is_first_look = gap.is_none_or(|gap| gap > MAX_LOOK_AGE);
        if is_first_look {
            self.absent_since.clear();
        }
        if gap.is_some_and(|gap| gap >= RENEWAL_TIME) {
            // What is there now may have been away, and removed, meanwhile.
            for entry in self.routes.values_mut() {
                entry.expired.extend(&entry.recorded);
            }
        }
        let routes = self.routes.values();
        let recorded = routes.flat_map(|entry| entry.recorded.iter().copied());
        let absent: BTreeSet<SoftwareTag> = recorded.filter(|tag| !present.contains(tag)).collect();
        self.absent_since.retain(|tag, _| absent.contains(tag));
        for tag in absent {
            let since = *self.absent_since.entry(tag).or_insert(now);
            // What is absent at the first look may have been so for any time.
            if now.since(since) < RENEWAL_TIME && !is_first_look {
                continue;
            }
            let routes = self.routes.values_mut();
            for entry in routes.filter(|entry| entry.recorded.contains(&tag)) {
                entry.expired.insert(tag);
            }
        }
        self.present = present;
        let present = &self.present;
        for entry in self.routes.values_mut() {
            let expired = &entry.expired;
            let is_due = |tag: &SoftwareTag| present.contains(tag) || expired.contains(tag);
            entry.wanted.retain(is_due);
        }
    }

    /// Records which routes the configuration has.
    pub fn record_routes(
        &mut self,
        is_routed: impl Fn(&RouteKey) -> bool,
        now: Micros,
    ) {
        for (route, entry) in &mut self.routes {
            if is_routed(route) {
                entry.unrouted_since = None;
                continue;
            }
            // Another front may remove the row earlier.
            entry.expired.extend(&entry.recorded);
            entry.unrouted_since = entry.unrouted_since.or(Some(now));
        }
        self.routes
            .retain(|_, entry| entry.unrouted_since.is_none() || entry.position.is_some());
        self.used_routes.retain(is_routed);
    }

    /// Records that the row of a route has been removed.
    pub fn record_removed(
        &mut self,
        route: &RouteKey,
    ) {
        self.routes.remove(route);
    }
}
