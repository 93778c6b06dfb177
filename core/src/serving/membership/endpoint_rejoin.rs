use {
    crate::serving::{
        EndpointChange, EndpointEntry, EndpointKey, EndpointNotice, EndpointRegistry,
        EndpointStatus,
    },
    crate::time::Micros,
    std::net::SocketAddr,
};

/// Delay before an endpoint that did not confirm that it serves is probed again. It doubles up to
/// `MAX_PROBE_DOUBLINGS` times; a probe costs as much as a health check.
const FIRST_PROBE_DELAY: Micros = Micros::from_millis(500);
const MAX_PROBE_DOUBLINGS: u32 = 4;

/// State of an endpoint whose entry disappeared without an announced leave, which also happens when
/// heartbeats are lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointRejoin {
    /// Its entry has not reappeared.
    Away,
    /// Its entry has reappeared, which a delayed write can cause, too.
    Listed {
        /// Probes that did not confirm that it serves.
        failed_probes: u32,
        /// When it is probed next.
        probe_at: Micros,
    },
    /// A probe of the endpoint is in progress.
    Probing {
        /// Earlier probes that did not confirm that it serves.
        failed_probes: u32,
        /// When it was started.
        started_at: Micros,
    },
    /// It announced that it is leaving, or another endpoint is at its address.
    Never,
}

impl EndpointRejoin {
    /// Initial state of an incarnation, given the first status that is seen of it.
    pub(in crate::serving) fn of(status: EndpointStatus) -> Self {
        match status {
            EndpointStatus::Leaving => EndpointRejoin::Never,
            EndpointStatus::Serving | EndpointStatus::Lapsed => EndpointRejoin::Away,
        }
    }
}

/// A health check of an endpoint that may have rejoined.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RejoinProbe {
    /// Its key.
    pub key: EndpointKey,
    /// Its id; a response of another endpoint at the address does not count.
    pub id: String,
    /// Service of the endpoint.
    pub service: String,
    /// Address at which it is probed.
    pub address: SocketAddr,
    /// When it was started.
    pub started_at: Micros,
}

impl EndpointEntry {
    /// Whether it is on the list, as far as the list is reliable.
    pub fn is_listed(&self) -> bool {
        self.status != EndpointStatus::Leaving
    }

    /// Whether it may be alive: it is on the list, or its entry disappeared without an announced
    /// leave.
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

    /// Records that the endpoint stated in a response that it is leaving; true if this changes the
    /// status of the entry. The list cannot revert it before a later incarnation.
    pub fn record_stated_leave(&mut self) -> bool {
        self.states_leaving = true;
        self.rejoin = EndpointRejoin::Never;
        let previous = std::mem::replace(&mut self.status, EndpointStatus::Leaving);
        previous != EndpointStatus::Leaving
    }

    /// Applies the status on the list; true if this changes the status of the entry.
    pub(in crate::serving) fn update_status(
        &mut self,
        listed_status: EndpointStatus,
    ) -> bool {
        if listed_status == EndpointStatus::Leaving {
            self.rejoin = EndpointRejoin::Never;
        }
        let was_unlisted = self.unlisted_interval.take().is_some();
        let previous = self.status;
        if was_unlisted && previous == EndpointStatus::Serving {
            // It has an entry again, which shows when it leaves.
            self.rejoin = EndpointRejoin::of(listed_status);
        }
        if previous == EndpointStatus::Leaving {
            // An endpoint whose entry disappeared without an announced leave may be alive: it is
            // probed.
            let is_new = self.rejoin == EndpointRejoin::Away || was_unlisted;
            if listed_status == EndpointStatus::Serving && is_new {
                self.rejoin = EndpointRejoin::Listed {
                    failed_probes: 0,
                    probe_at: Micros::ZERO,
                };
            }
            return false;
        }
        self.status = listed_status;
        previous != listed_status
    }
}

impl EndpointEntry {
    /// Records a list notice that an incarnation born before the one that left is serving. When
    /// such notices were always treated as delayed writes, an endpoint that restarted after its
    /// clock was set back received no requests until its state was removed 30 s later.
    pub(in crate::serving) fn record_rollback(
        &mut self,
        notice: &EndpointNotice,
    ) {
        let is_probed = matches!(
            self.rejoin,
            EndpointRejoin::Listed { .. } | EndpointRejoin::Probing { .. }
        );
        if self.status != EndpointStatus::Leaving || is_probed {
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
    /// Endpoints whose entries disappeared and reappeared and that are due for a probe.
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
                    entry.rejoin = EndpointRejoin::Probing {
                        failed_probes,
                        started_at: now,
                    };
                }
                _ => continue,
            }
            probes.push(RejoinProbe {
                key,
                id: entry.id.clone(),
                service: entry.service.clone(),
                address: entry.probe_address(),
                started_at: now,
            });
        }
        probes
    }

    /// Records whether a probe confirmed that the endpoint serves. If it did not, the probe is
    /// repeated, unless the list notice named an earlier incarnation. A probe from before the entry
    /// disappeared again has no effect.
    pub fn record_probe(
        &mut self,
        probe: &RejoinProbe,
        serves: bool,
        now: Micros,
    ) -> Option<EndpointChange> {
        let entry = self.entries.get_mut(probe.key)?;
        let failed_probes = match entry.rejoin {
            EndpointRejoin::Probing {
                failed_probes,
                started_at,
            } if started_at == probe.started_at => failed_probes,
            _ => return None,
        };
        if !serves && entry.rollback_notice.take().is_some() {
            // It was a delayed write: an endpoint whose clock was set back would write again.
            entry.rejoin = EndpointRejoin::Never;
            return None;
        }
        if !serves {
            let was_serving = std::mem::replace(&mut entry.status, EndpointStatus::Leaving)
                == EndpointStatus::Serving;
            let delay = Micros(FIRST_PROBE_DELAY.0 << failed_probes.min(MAX_PROBE_DOUBLINGS));
            entry.rejoin = EndpointRejoin::Listed {
                failed_probes: failed_probes + 1,
                probe_at: now + delay,
            };
            return was_serving.then(|| EndpointChange::Leaves(entry.id.clone()));
        }
        if let Some(notice) = entry.rollback_notice.take() {
            entry.begin_incarnation(notice.born);
            entry.incarnation.listed_born = notice.born;
            entry.incarnation.row = notice.row;
            return entry.begin_listing(&notice, EndpointStatus::Serving, true);
        }
        entry.rejoin = match entry.unlisted_interval {
            Some(interval) => EndpointRejoin::Listed {
                failed_probes: 0,
                probe_at: now + interval,
            },
            None => EndpointRejoin::Away,
        };
        entry.left_at = None;
        let previous = std::mem::replace(&mut entry.status, EndpointStatus::Serving);
        (previous != EndpointStatus::Serving).then(|| EndpointChange::Serves(entry.id.clone()))
    }
}
