use {super::StoreEra, crate::time::Micros};

/// Time after the return of the platform's store in which those who write there have written
/// again what it lost.
pub const WRITE_AGAIN: Micros = Micros::from_millis(2_200);

/// What an answer of the platform's store says of its era.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraNews {
    /// It is the first one, or of the same era as the others.
    Known,
    /// The store has come back from a copy since.
    Later {
        /// Era that was known.
        before: StoreEra,
    },
    /// It is a late one, of an era that is over.
    Earlier,
}

/// Which era of the platform's store is known, and from when on a reading proves what is in
/// force. A copy lacks what was written, and acknowledged, between it and the return.
#[derive(Debug, Clone, Copy, Default)]
pub struct EraWatch {
    known: Option<StoreEra>,
    /// When the first answer of that came.
    seen_at: Option<Micros>,
    /// When the era was first seen, where what was written before it may be missing.
    doubted_since: Option<Micros>,
    /// Newest era in which another process has proven what is in force.
    vouched: Option<StoreEra>,
}

impl EraWatch {
    /// Takes the era of an answer.
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

    /// Takes that another process has proven in this era what is in force. True where that was
    /// an era before the one that is known here: the store has come back since, and what was
    /// read here before says nothing.
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

    /// Whether a reading that was sent then proves what is in force.
    pub fn proves(
        &self,
        sent_at: Micros,
    ) -> bool {
        let doubted_since = self.doubted_since;
        self.is_vouched() || doubted_since.is_none_or(|since| is_rewritten(since, sent_at))
    }

    /// Whether a reading that was sent then also proves to others what is in force. Who has just
    /// started cannot tell a copy from what was there before.
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

    /// When the era was first seen, where what was written before it may be missing.
    pub fn doubted_since(&self) -> Option<Micros> {
        self.doubted_since
    }

    /// The era that is known.
    pub fn known(&self) -> Option<StoreEra> {
        self.known
    }
}

/// Whether those who write at the store had the time to, since its return was seen.
fn is_rewritten(
    since: Micros,
    sent_at: Micros,
) -> bool {
    sent_at >= since + WRITE_AGAIN
}
