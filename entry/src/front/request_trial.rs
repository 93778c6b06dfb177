use {
    super::{fnv1a_hash, RequestRun},
    pitchhitch_core::{
        serving::{unit_fraction, RefusalKind, SuspectStatus},
        time::Micros,
    },
    pitchhitch_process::to_duration,
    smol::Timer,
};

/// Longest wait of a suspect for an endpoint apart from others: their runs prove themselves
/// within half a second or end.
const TRIAL_TIMEOUT: Micros = Micros::from_millis(1_000);
/// Pause between two looks for one.
const POLL_INTERVAL: Micros = Micros::from_millis(10);
/// When a suspect that found none should come back.
const TRIAL_RETRY_AFTER: Micros = Micros::from_millis(400);

/// Whether a request may be sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SendPermission {
    /// It may.
    Granted,
    /// It may not, and may come back after so long.
    Refused(RefusalKind, Micros),
    /// Its caller has gone meanwhile.
    CallerGone,
}

impl RequestRun<'_> {
    /// How the request stands with the crashes of endpoints. It is hashed only while some
    /// request has to be known again.
    fn suspect_status(&mut self) -> SuspectStatus {
        let front = self.front;
        if front.state().suspects.is_empty() {
            return SuspectStatus::Clear;
        }
        let fingerprint = self.fingerprint();
        let fraction = unit_fraction(fnv1a_hash(&front.settings.box_id));
        let state = front.state();
        state.suspects.status(fingerprint, fraction, front.now())
    }

    /// Waits until the request may be sent: at once, but for one under which endpoints have
    /// ended. Such a one runs where no other suspect does.
    pub(super) async fn wait_for_permission(&mut self) -> SendPermission {
        let front = self.front;
        let started_at = front.now();
        loop {
            let status = self.suspect_status();
            self.suspect_crashes = match status {
                SuspectStatus::Clear => return self.grant(),
                SuspectStatus::Suspect(crashes) => Some(crashes),
                SuspectStatus::Resting(remaining) => {
                    self.log_status("resting", remaining);
                    return SendPermission::Refused(RefusalKind::Suspected, remaining);
                }
                SuspectStatus::Held(remaining) => {
                    self.log_status("held", remaining);
                    return SendPermission::Refused(RefusalKind::HeldBack, remaining);
                }
            };
            let now = front.now();
            let fingerprint = self.fingerprint();
            let is_running = front.state().trials.has_active(fingerprint, now);
            if !is_running && self.pick().is_some() {
                return SendPermission::Granted;
            }
            if now.since(started_at) >= TRIAL_TIMEOUT || now >= self.deadline {
                self.log_status("waiting", TRIAL_RETRY_AFTER);
                return SendPermission::Refused(RefusalKind::Suspected, TRIAL_RETRY_AFTER);
            }
            Timer::after(to_duration(POLL_INTERVAL)).await;
            if matches!(self.caller.try_read(), Ok(Some(0)) | Err(_)) {
                return SendPermission::CallerGone;
            }
        }
    }

    fn grant(&mut self) -> SendPermission {
        self.suspect_crashes = None;
        SendPermission::Granted
    }

    fn log_status(
        &mut self,
        label: &str,
        remaining: Micros,
    ) {
        let fingerprint = self.fingerprint().to_string();
        log::info!(
            event = "suspect",
            request = self.info.request_id.as_str(),
            fingerprint = fingerprint.as_str(),
            standing = label,
            sends = self.sends,
            left_ms = remaining.as_millis();
            ""
        );
        self.front.metrics.count("suspects", label);
    }

    /// Notes that the request was answered whole, which no request is that ends its endpoint.
    pub(super) fn record_answered(&mut self) {
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
