//! Calls to the platform store that are due for the rows of recorded software.

use {
    super::{
        route_entry::RouteEntry,
        stream_software::{MAX_LOOK_AGE, SOFTWARE_RETENTION},
        RouteKey, RouteSoftware, SoftwareCall, SoftwareTag, StreamSoftware,
    },
    crate::time::Micros,
    std::collections::BTreeSet,
};

impl StreamSoftware {
    /// Calls that are due. `delay` is added to the retention; it differs between fronts.
    pub fn due_calls(
        &self,
        delay: Micros,
        now: Micros,
    ) -> Vec<SoftwareCall> {
        let retention = SOFTWARE_RETENTION + delay;
        let has_looked = self
            .looked_at
            .is_some_and(|at| now.since(at) <= MAX_LOOK_AGE);
        let is_over = |since: &Micros| has_looked && now.since(*since) >= retention;
        let routes = self.routes.iter();
        let calls = routes.filter_map(|(route, entry)| {
            let call = Self::due_removal(route, entry, &is_over);
            let call = call.or_else(|| self.due_write(route, entry, &is_over));
            let read = SoftwareCall::Read(route.clone());
            let is_outdated = entry.position.is_some_and(|at| self.proof.is_outdated(at));
            match call {
                // A restored store assigns versions again, so another row may be at this position.
                Some(_) if is_outdated => Some(read),
                Some(call) => Some(call),
                None => entry.confirm_after.map(|_| read),
            }
        });
        let calls: Vec<SoftwareCall> = calls.collect();
        self.due_proof_call(calls.is_empty())
            .into_iter()
            .chain(calls)
            .collect()
    }

    /// The call that is due for the row that says in which era the rows are complete, before other
    /// calls.
    fn due_proof_call(
        &self,
        are_rows_settled: bool,
    ) -> Option<SoftwareCall> {
        let mut entries = self.routes.values();
        let is_asked = entries.any(|entry| entry.confirm_after.is_some());
        let is_row_due = self.proof.is_row_due() && are_rows_settled && self.are_rows_current();
        let is_read_due = match self.proof.is_proven() {
            true => is_row_due && !self.proof.is_row_read(),
            false => self.has_rows && is_asked,
        };
        if is_read_due {
            return Some(SoftwareCall::ReadProof);
        }
        let (era, expected) = self.proof.due_row();
        is_row_due.then_some(SoftwareCall::WriteProof { era, expected })
    }

    /// Whether all rows have been read since the present era was first seen.
    fn are_rows_current(&self) -> bool {
        let seen_at = self.proof.seen_at();
        let mut entries = self.routes.values();
        entries.all(|entry| entry.confirmed_at >= seen_at)
    }

    fn due_removal(
        route: &RouteKey,
        entry: &RouteEntry,
        is_over: &dyn Fn(&Micros) -> bool,
    ) -> Option<SoftwareCall> {
        let expected = entry.position?;
        let is_due = entry.unrouted_since.as_ref().is_some_and(is_over);
        let route = route.clone();
        is_due.then_some(SoftwareCall::Remove { route, expected })
    }

    fn due_write(
        &self,
        route: &RouteKey,
        entry: &RouteEntry,
        is_over: &dyn Fn(&Micros) -> bool,
    ) -> Option<SoftwareCall> {
        let is_absent = |tag: &SoftwareTag| self.absent_since.get(tag).is_some_and(is_over);
        let kept = entry.recorded.iter().filter(|tag| !is_absent(tag));
        let software: BTreeSet<SoftwareTag> = kept.chain(&entry.wanted).copied().collect();
        let is_changed = software != entry.recorded && !software.is_empty();
        let is_renewed = entry.wanted.iter().any(|tag| entry.expired.contains(tag));
        let is_due = self.has_rows && (is_changed || is_renewed);
        is_due.then(|| SoftwareCall::Write {
            row: RouteSoftware {
                route: route.clone(),
                software: software.into_iter().collect(),
            },
            expected: entry.position,
        })
    }
}
