use {crate::serving::StoreEra, crate::time::Micros};

/// Time after a restore of the platform store within which its writers have rewritten what the
/// restore lost.
pub const REWRITE_DELAY: Micros = Micros::from_millis(2_200);

/// How the era of a platform store's answer relates to the known era.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraUpdate {
    /// The first era seen, or the known one.
    Current,
    /// The store has been restored from a snapshot since.
    Advanced {
        /// Era known until then.
        previous: StoreEra,
    },
    /// A late response from an era that has ended.
    Outdated,
}

/// Tracks the era of the platform store, and from when on a read proves the current content. A
/// restored snapshot lacks writes that were acknowledged between the snapshot and the restore.
#[derive(Debug, Clone, Copy, Default)]
pub struct EraTracker {
    known: Option<StoreEra>,
    /// When the first response of the known era arrived.
    seen_at: Option<Micros>,
    /// When the known era was first seen, if writes from before it may be missing.
    uncertain_since: Option<Micros>,
    /// Newest era in which another process has proven the current content.
    confirmed: Option<StoreEra>,
}

impl EraTracker {
    /// Records the era of a response.
    pub fn observe(
        &mut self,
        era: StoreEra,
        now: Micros,
    ) -> EraUpdate {
        let Some(known) = self.known else {
            self.known = Some(era);
            self.seen_at = Some(now);
            let was_restored = self.confirmed.is_some_and(|confirmed| confirmed < era);
            if was_restored {
                self.uncertain_since = Some(now);
            }
            return EraUpdate::Current;
        };
        if era < known {
            return EraUpdate::Outdated;
        }
        if era == known {
            return EraUpdate::Current;
        }
        self.known = Some(era);
        self.seen_at = Some(now);
        self.uncertain_since = Some(now);
        EraUpdate::Advanced { previous: known }
    }

    /// Records that another process has proven the current content in this era. Returns true if
    /// this first reveals that the store was restored after that era: earlier reads of this process
    /// prove nothing then.
    pub fn confirm(
        &mut self,
        era: StoreEra,
        now: Micros,
    ) -> bool {
        self.confirmed = self.confirmed.max(Some(era));
        let was_restored = self.known.is_some_and(|known| self.confirmed < Some(known));
        if was_restored && self.uncertain_since.is_none() {
            self.uncertain_since = Some(now);
            return true;
        }
        false
    }

    /// Whether a read sent at `sent_at` proves the current content.
    pub fn proves(
        &self,
        sent_at: Micros,
    ) -> bool {
        let uncertain_since = self.uncertain_since;
        self.is_confirmed() || uncertain_since.is_none_or(|since| is_rewritten(since, sent_at))
    }

    /// Whether a read sent at `sent_at` also proves the current content to other processes. A
    /// process that has just started cannot distinguish a restored snapshot from the content before
    /// it.
    pub fn can_confirm(
        &self,
        sent_at: Micros,
    ) -> bool {
        let seen_at = self.seen_at;
        self.is_confirmed() || seen_at.is_some_and(|since| is_rewritten(since, sent_at))
    }

    fn is_confirmed(&self) -> bool {
        self.known.is_some() && self.confirmed == self.known
    }

    /// When the known era was first seen, if writes from before it may be missing.
    pub fn uncertain_since(&self) -> Option<Micros> {
        self.uncertain_since
    }

    /// Known era.
    pub fn known(&self) -> Option<StoreEra> {
        self.known
    }
}

/// Whether the store's writers have had time to rewrite their rows since its restore was seen.
fn is_rewritten(
    since: Micros,
    sent_at: Micros,
) -> bool {
    sent_at >= since + REWRITE_DELAY
}
