use {
    super::{
        EndpointChange, EndpointEntry, EndpointKey, EndpointNotice, EndpointRegistry,
        EndpointStatus,
    },
    crate::time::Micros,
    std::net::SocketAddr,
};

/// Pause before an endpoint that did not say that it serves is asked again; it
/// doubles so many times. A question costs as a look at its health.
const FIRST_PROBE_DELAY: Micros = Micros::from_millis(500);
const MAX_PROBE_DOUBLINGS: u32 = 4;

/// What is known of an endpoint whose entry went without a word of its own, as
/// also happens to those whose heartbeats got lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointRejoin {
    /// Its entry has not come back.
    Away,
    /// Its entry is back, as a late write of an earlier time could do too.
    Listed {
        /// Times that it was asked and did not say that it serves.
        failed_probes: u32,
        /// When it is asked again.
        probe_at: Micros,
    },
    /// The endpoint itself is being asked.
    Probing {
        /// Times that it was asked before.
        failed_probes: u32,
    },
    /// It has said that it leaves, or another one stands at its address.
    Never,
}

impl EndpointRejoin {
    /// What goes with the first status that is seen.
    pub(super) fn of(status: EndpointStatus) -> Self {
        match status {
            EndpointStatus::Leaving => EndpointRejoin::Never,
            EndpointStatus::Serving | EndpointStatus::Lapsed => EndpointRejoin::Away,
        }
    }
}

/// An endpoint that is to be asked whether it still serves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RejoinProbe {
    /// Its key.
    pub key: EndpointKey,
    /// Its id; another one at the address must not answer for it.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Where it answers.
    pub address: SocketAddr,
}

impl EndpointEntry {
    /// Whether it is on the list, as far as that can be trusted.
    pub fn is_listed(&self) -> bool {
        self.status != EndpointStatus::Leaving
    }

    /// Whether it may be there: it is on the list, or its entry went without a word
    /// of its own.
    pub fn may_be_present(&self) -> bool {
        self.is_listed() || self.rejoin != EndpointRejoin::Never
    }

    fn probe_address(&self) -> SocketAddr {
        let listed = self
            .rollback_notice
            .as_ref()
            .and_then(|notice| notice.address);
        listed.unwrap_or(self.address)
    }

    /// Takes the status that the list shows; true where that changes its own.
    pub(super) fn update_status(
        &mut self,
        wanted: EndpointStatus,
    ) -> bool {
        if wanted == EndpointStatus::Leaving {
            self.rejoin = EndpointRejoin::Never;
        }
        let before = self.status;
        if before == EndpointStatus::Leaving {
            // Whose entry only went may be there all the same: it is asked.
            if wanted == EndpointStatus::Serving && self.rejoin == EndpointRejoin::Away {
                self.rejoin = EndpointRejoin::Listed {
                    failed_probes: 0,
                    probe_at: Micros::ZERO,
                };
            }
            return false;
        }
        self.status = wanted;
        before != wanted
    }
}

impl EndpointEntry {
    /// Takes that the list shows it as serving by a life that was born before the one that
    /// left. Taken for a late write alone, one that started again after its clock was set
    /// back got no requests until it was forgotten, 30 s later.
    pub(super) fn record_rollback(
        &mut self,
        notice: &EndpointNotice,
    ) {
        let is_asked = matches!(
            self.rejoin,
            EndpointRejoin::Listed { .. } | EndpointRejoin::Probing { .. }
        );
        if self.status != EndpointStatus::Leaving || is_asked {
            return;
        }
        self.rollback_notice = Some(notice.clone());
        self.rejoin = EndpointRejoin::Listed {
            failed_probes: 0,
            probe_at: Micros::ZERO,
        };
    }
}

impl EndpointRegistry {
    /// Endpoints whose entries went and came back, to be asked now.
    pub fn due_probes(
        &mut self,
        now: Micros,
    ) -> Vec<RejoinProbe> {
        let mut probes = Vec::new();
        for (key, entry) in &mut self.entries {
            match entry.rejoin {
                EndpointRejoin::Listed {
                    failed_probes,
                    probe_at,
                } if now >= probe_at => {
                    entry.rejoin = EndpointRejoin::Probing { failed_probes };
                }
                _ => continue,
            }
            probes.push(RejoinProbe {
                key,
                id: entry.id.clone(),
                service: entry.service.clone(),
                address: entry.probe_address(),
            });
        }
        probes
    }

    /// Takes what an endpoint answered; it is asked anew where it is not sure.
    pub fn record_probe(
        &mut self,
        key: EndpointKey,
        serves: bool,
        now: Micros,
    ) -> Option<EndpointChange> {
        let entry = self.entries.get_mut(key)?;
        let EndpointRejoin::Probing { failed_probes } = entry.rejoin else {
            return None;
        };
        if !serves && entry.rollback_notice.take().is_some() {
            // It was a late write: one whose clock was set back goes on writing.
            entry.rejoin = EndpointRejoin::Never;
            return None;
        }
        if !serves {
            let delay = Micros(FIRST_PROBE_DELAY.0 << failed_probes.min(MAX_PROBE_DOUBLINGS));
            entry.rejoin = EndpointRejoin::Listed {
                failed_probes: failed_probes + 1,
                probe_at: now + delay,
            };
            return None;
        }
        if let Some(notice) = entry.rollback_notice.take() {
            entry.begin_incarnation(notice.born);
            entry.incarnation.listed_born = notice.born;
            entry.incarnation.row = notice.row;
            return entry.begin_listing(&notice, EndpointStatus::Serving, true);
        }
        entry.rejoin = EndpointRejoin::Away;
        entry.status = EndpointStatus::Serving;
        entry.left_at = None;
        Some(EndpointChange::Serves(entry.id.clone()))
    }
}
