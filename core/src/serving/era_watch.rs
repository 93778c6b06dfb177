use {super::StoreEra, crate::time::Micros};

/// Time after a restore of the platform store within which its writers have rewritten what the
/// restore lost.
pub const WRITE_AGAIN: Micros = Micros::from_millis(2_200);

/// How the era of a platform store's answer relates to the known era.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraNews {
    /// The first era seen, or the known one.
    Known,
    /// The store has been restored from a snapshot since.
    Later {
        /// Era known until then.
        before: StoreEra,
    },
    /// A late answer from an era that has ended.
    Earlier,
}

/// Tracks the era of the platform store, and from when on a read proves the current content. A
/// restored snapshot lacks writes that were acknowledged between the snapshot and the restore.
#[derive(Debug, Clone, Copy, Default)]
pub struct EraWatch {
    known: Option<StoreEra>,
    /// When the first answer of the known era arrived.
    seen_at: Option<Micros>,
    /// When the known era was first seen, if writes from before it may be missing.
    doubted_since: Option<Micros>,
    /// Newest era in which another process has proven the current content.
    vouched: Option<StoreEra>,
}

impl EraWatch {
    /// Records the era of an answer.
    pub fn note(
        &mut self,
        era: StoreEra,
        now: Micros,
    ) -> EraNews {
        let Some(known) = self.known else {
            self.known = Some(era);
            self.seen_at = Some(now);
            let is_older = self.vouched.is_some_and(|vouched| vouched < era);
            if is_older {
                self.doubted_since = Some(now);
            }
            return EraNews::Known;
        };
        if era < known {
            return EraNews::Earlier;
        }
        if era == known {
            return EraNews::Known;
        }
        self.known = Some(era);
        self.seen_at = Some(now);
        self.doubted_since = Some(now);
        EraNews::Later { before: known }
    }

    /// Records that another process has proven the current content in this era. Returns true if
    /// that era precedes the one known here: the store has been restored since, and earlier reads
    /// of this process prove nothing.
    pub fn vouch(
        &mut self,
        era: StoreEra,
        now: Micros,
    ) -> bool {
        self.vouched = self.vouched.max(Some(era));
        let is_older = self.known.is_some_and(|known| self.vouched < Some(known));
        if is_older && self.doubted_since.is_none() {
            self.doubted_since = Some(now);
            return true;
        }
        false
    }

    /// Whether a read sent at `sent_at` proves the current content.
    pub fn proves(
        &self,
        sent_at: Micros,
    ) -> bool {
        let doubted_since = self.doubted_since;
        self.is_vouched() || doubted_since.is_none_or(|since| is_rewritten(since, sent_at))
    }

    /// Whether a read sent at `sent_at` also proves the current content to other processes. A
    /// process that has just started cannot tell a restored snapshot from the content before it.
    pub fn may_vouch(
        &self,
        sent_at: Micros,
    ) -> bool {
        let seen_at = self.seen_at;
        self.is_vouched() || seen_at.is_some_and(|since| is_rewritten(since, sent_at))
    }

    fn is_vouched(&self) -> bool {
        self.known.is_some() && self.vouched == self.known
    }

    /// When the known era was first seen, if writes from before it may be missing.
    pub fn doubted_since(&self) -> Option<Micros> {
        self.doubted_since
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
    sent_at >= since + WRITE_AGAIN
}
