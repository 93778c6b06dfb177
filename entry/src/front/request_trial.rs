use {
    super::{spread_number, RequestRun},
    pitchhitch_core::{
        serving::{unit_fraction, RefusalKind, SuspectStatus},
        time::Micros,
    },
    pitchhitch_process::to_duration,
    smol::Timer,
};

/// Longest wait of a suspect for an endpoint apart from others: their runs prove themselves
/// within half a second or end.
const TRIAL_WAIT: Micros = Micros::from_millis(1_000);
/// Pause between two looks for one.
const LOOK_PAUSE: Micros = Micros::from_millis(10);
/// When a suspect that found none should come back.
const TRIAL_BACK: Micros = Micros::from_millis(400);

/// Whether a request may be sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TrialTurn {
    /// It may.
    Free,
    /// It may not, and may come back after so long.
    Refused(RefusalKind, Micros),
    /// Its caller has gone meanwhile.
    CallerGone,
}

impl RequestRun<'_> {
    /// How the request stands with the crashes of endpoints. It is hashed only while some
    /// request has to be known again.
    fn standing(&mut self) -> SuspectStatus {
        let front = self.front;
        if front.state().suspects.is_empty() {
            return SuspectStatus::Clear;
        }
        let fingerprint = self.fingerprint();
        let spread = unit_fraction(spread_number(&front.settings.box_id));
        let state = front.state();
        state.suspects.status(fingerprint, spread, front.now())
    }

    /// Waits until the request may be sent: at once, but for one under which endpoints have
    /// ended. Such a one runs where no other suspect does.
    pub(super) async fn wait_for_turn(&mut self) -> TrialTurn {
        let front = self.front;
        let from = front.now();
        loop {
            let standing = self.standing();
            self.trial = match standing {
                SuspectStatus::Clear => return self.free_turn(),
                SuspectStatus::Suspect(crashes) => Some(crashes),
                SuspectStatus::Resting(left) => {
                    self.log_standing("resting", left);
                    return TrialTurn::Refused(RefusalKind::Suspected, left);
                }
                SuspectStatus::Held(left) => {
                    self.log_standing("held", left);
                    return TrialTurn::Refused(RefusalKind::HeldBack, left);
                }
            };
            let now = front.now();
            let fingerprint = self.fingerprint();
            let runs_already = front.state().trials.has_active(fingerprint, now);
            if !runs_already && self.pick().is_some() {
                return TrialTurn::Free;
            }
            if now.since(from) >= TRIAL_WAIT || now >= self.ends_at {
                self.log_standing("waiting", TRIAL_BACK);
                return TrialTurn::Refused(RefusalKind::Suspected, TRIAL_BACK);
            }
            Timer::after(to_duration(LOOK_PAUSE)).await;
            if matches!(self.caller.try_read(), Ok(Some(0)) | Err(_)) {
                return TrialTurn::CallerGone;
            }
        }
    }

    fn free_turn(&mut self) -> TrialTurn {
        self.trial = None;
        TrialTurn::Free
    }

    fn log_standing(
        &mut self,
        word: &str,
        left: Micros,
    ) {
        let fingerprint = self.fingerprint().to_string();
        log::info!(
            event = "suspect",
            request = self.ask.request_id.as_str(),
            fingerprint = fingerprint.as_str(),
            standing = word,
            sends = self.sends,
            left_ms = left.as_millis();
            ""
        );
        self.front.metrics.count("suspects", word);
    }

    /// Notes that the request was answered whole, which no request is that ends its endpoint.
    pub(super) fn note_answered(&mut self) {
        let front = self.front;
        if front.state().suspects.is_empty() {
            return;
        }
        let fingerprint = self.fingerprint();
        let is_cleared = front
            .state()
            .suspects
            .record_answer(fingerprint, front.now());
        if is_cleared {
            front.metrics.count("suspects", "cleared");
        }
    }
}
