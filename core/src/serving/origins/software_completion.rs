//! Whether the rows of recorded software are complete after a restore of the platform store.

use {
    super::{
        stream_software::SOFTWARE_RETENTION, ProofRow, RouteKey, RouteSoftware, SoftwareTag,
        StreamSoftware,
    },
    crate::{serving::StoreEra, time::Micros},
    std::collections::{BTreeMap, BTreeSet},
};

impl StreamSoftware {
    /// Records that all rows have been read in this era, with the row that says in which era they
    /// are complete.
    pub fn finish_read(
        &mut self,
        proof_row: Option<ProofRow>,
        era: StoreEra,
        now: Micros,
    ) {
        self.has_rows = true;
        self.record_proof_row(proof_row, era, now);
        self.proof.finish_read();
    }

    /// Records that the store names this era.
    pub fn record_era(
        &mut self,
        era: StoreEra,
        now: Micros,
    ) {
        self.proof.record_era(era, SOFTWARE_RETENTION, now);
    }

    /// Records the row that says in which era the rows are complete, as read in `era`. Returns whether
    /// all rows are to be read because they have been completed meanwhile.
    pub fn record_proof_row(
        &mut self,
        row: Option<ProofRow>,
        era: StoreEra,
        now: Micros,
    ) -> bool {
        self.record_era(era, now);
        self.proof.record_row(row, era);
        self.proof.is_recorded() && !self.proof.is_proven()
    }

    /// Whether the rows, or what other processes know of them, list all software on which streams
    /// that may still run have begun.
    pub fn is_complete(&self) -> bool {
        match self.has_rows {
            true => self.proof.is_proven(),
            false => self.has_reports,
        }
    }

    /// Records that an endpoint of a service has this software.
    pub fn record_seen(
        &mut self,
        service: &str,
        software: SoftwareTag,
        now: Micros,
    ) {
        let seen = self.seen.entry(software);
        seen.or_insert_with(|| (service.to_string(), now)).1 = now;
    }

    /// Software that endpoints of these services have had in the last minute.
    pub fn seen_software<'a>(
        &'a self,
        services: &'a [&str],
    ) -> impl Iterator<Item = SoftwareTag> + 'a {
        let seen = self.seen.iter();
        let of_services = seen.filter(|(_, (service, _))| services.contains(&service.as_str()));
        of_services.map(|(software, _)| *software)
    }

    /// What is known of the rows, as [`Self::reports`], and software that endpoints of their routes, with
    /// the services to which these lead, have had in the last minute: a row may be known from before.
    pub fn reports_with_seen(
        &self,
        routes: &BTreeMap<RouteKey, BTreeSet<&str>>,
    ) -> Option<Vec<RouteSoftware>> {
        let mut rows = self.reports()?;
        for row in &mut rows {
            let services = routes.get(&row.route).into_iter().flatten();
            let services: Vec<&str> = services.copied().collect();
            let known = row.software.iter().copied();
            let software: BTreeSet<SoftwareTag> =
                known.chain(self.seen_software(&services)).collect();
            row.software = software.into_iter().collect();
        }
        Some(rows)
    }

    /// Whether [`Self::complete_routes`] is due.
    pub fn is_completion_due(
        &self,
        now: Micros,
    ) -> bool {
        self.proof.is_completion_due(now)
    }

    /// Has all software recorded on which streams of these routes, with the services to which they
    /// lead, may have begun, and reads the other rows. Another front may have recorded software in a
    /// row that is lost.
    pub fn complete_routes(
        &mut self,
        routes: &BTreeMap<RouteKey, BTreeSet<&str>>,
        now: Micros,
    ) {
        let seen = std::mem::take(&mut self.seen);
        for (route, services) in routes {
            let of_route = seen.iter().filter(|(_, seen)| services.contains(&*seen.0));
            for (software, _) in of_route {
                let entry = self.routes.get(route);
                if !entry.is_some_and(|entry| entry.used().contains(software)) {
                    self.record_early_use(route, *software);
                }
            }
        }
        self.seen = seen;
        for entry in self.routes.values_mut() {
            entry.confirm_after = Some(now);
        }
        self.proof.record_completion(now);
    }
}
