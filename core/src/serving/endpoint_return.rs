use {
    super::{
        BookChange, EndpointBook, EndpointEntry, EndpointKey, EndpointNotice, EndpointStanding,
    },
    crate::time::Micros,
    std::net::SocketAddr,
};

/// Pause before an endpoint that did not say that it serves is asked again; it
/// doubles so many times. A question costs as a look at its health.
const FIRST_ASK_PAUSE: Micros = Micros::from_millis(500);
const ASK_DOUBLINGS: u32 = 4;

/// What is known of an endpoint whose entry went without a word of its own, as
/// also happens to those whose heartbeats got lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointReturn {
    /// Its entry has not come back.
    Away,
    /// Its entry is back, as a late write of an earlier time could do too.
    Listed {
        /// Times that it was asked and did not say that it serves.
        denials: u32,
        /// When it is asked again.
        ask_at: Micros,
    },
    /// The endpoint itself is being asked.
    Asked {
        /// Times that it was asked before.
        denials: u32,
    },
    /// It has said that it leaves, or another one stands at its address.
    Never,
}

impl EndpointReturn {
    /// What goes with the first standing that is seen.
    pub(super) fn of(standing: EndpointStanding) -> Self {
        match standing {
            EndpointStanding::Leaving => EndpointReturn::Never,
            EndpointStanding::Serving | EndpointStanding::Lapsed => EndpointReturn::Away,
        }
    }
}

/// An endpoint that is to be asked whether it still serves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReturnQuestion {
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
        self.standing != EndpointStanding::Leaving
    }

    /// Whether it may be there: it is on the list, or its entry went without a word
    /// of its own.
    pub fn may_be_there(&self) -> bool {
        self.is_listed() || self.comeback != EndpointReturn::Never
    }

    fn asked_address(&self) -> SocketAddr {
        let told = self.set_back.as_ref().and_then(|notice| notice.address);
        told.unwrap_or(self.address)
    }

    /// Takes the standing that the list shows; true where that changes its own.
    pub(super) fn restand(
        &mut self,
        wanted: EndpointStanding,
    ) -> bool {
        if wanted == EndpointStanding::Leaving {
            self.comeback = EndpointReturn::Never;
        }
        let before = self.standing;
        if before == EndpointStanding::Leaving {
            // Whose entry only went may be there all the same: it is asked.
            if wanted == EndpointStanding::Serving && self.comeback == EndpointReturn::Away {
                self.comeback = EndpointReturn::Listed {
                    denials: 0,
                    ask_at: Micros::ZERO,
                };
            }
            return false;
        }
        self.standing = wanted;
        before != wanted
    }
}

impl EndpointEntry {
    /// Takes that the list shows it as serving by a life that was born before the one that
    /// left. Taken for a late write alone, one that started again after its clock was set
    /// back got no requests until it was forgotten, 30 s later.
    pub(super) fn doubt_end(
        &mut self,
        notice: &EndpointNotice,
    ) {
        let is_asked = matches!(
            self.comeback,
            EndpointReturn::Listed { .. } | EndpointReturn::Asked { .. }
        );
        if self.standing != EndpointStanding::Leaving || is_asked {
            return;
        }
        self.set_back = Some(notice.clone());
        self.comeback = EndpointReturn::Listed {
            denials: 0,
            ask_at: Micros::ZERO,
        };
    }
}

impl EndpointBook {
    /// Endpoints whose entries went and came back, to be asked now.
    pub fn ask_returned(
        &mut self,
        now: Micros,
    ) -> Vec<ReturnQuestion> {
        let mut questions = Vec::new();
        for (key, entry) in &mut self.entries {
            match entry.comeback {
                EndpointReturn::Listed { denials, ask_at } if now >= ask_at => {
                    entry.comeback = EndpointReturn::Asked { denials };
                }
                _ => continue,
            }
            questions.push(ReturnQuestion {
                key,
                id: entry.id.clone(),
                service: entry.service.clone(),
                address: entry.asked_address(),
            });
        }
        questions
    }

    /// Takes what an endpoint answered; it is asked anew where it is not sure.
    pub fn answered_return(
        &mut self,
        key: EndpointKey,
        serves: bool,
        now: Micros,
    ) -> Option<BookChange> {
        let entry = self.entries.get_mut(key)?;
        let EndpointReturn::Asked { denials } = entry.comeback else {
            return None;
        };
        if !serves && entry.set_back.take().is_some() {
            // It was a late write: one whose clock was set back goes on writing.
            entry.comeback = EndpointReturn::Never;
            return None;
        }
        if !serves {
            let pause = Micros(FIRST_ASK_PAUSE.0 << denials.min(ASK_DOUBLINGS));
            entry.comeback = EndpointReturn::Listed {
                denials: denials + 1,
                ask_at: now + pause,
            };
            return None;
        }
        if let Some(notice) = entry.set_back.take() {
            entry.begin_life(notice.born);
            entry.life.listed = notice.born;
            entry.life.row = notice.row;
            return entry.stand_anew(&notice, EndpointStanding::Serving, true);
        }
        entry.comeback = EndpointReturn::Away;
        entry.standing = EndpointStanding::Serving;
        entry.left_at = None;
        Some(BookChange::Serves(entry.id.clone()))
    }
}
