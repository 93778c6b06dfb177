use {
    pitchhitch_core::time::Micros, pitchhitch_wire::engine_agent::DigestEcho,
    std::collections::VecDeque,
};

/// Number of digests whose send times are recorded, which covers some seconds. A greeting that
/// echoes an earlier digest is too old to prove anything.
const MAX_SENT_DIGESTS: usize = 64;

/// Send times of recent digests.
#[derive(Debug, Default)]
pub(crate) struct SentDigests {
    sent: VecDeque<(DigestEcho, Micros)>,
}

impl SentDigests {
    /// Records a digest that is about to be sent.
    pub fn record(
        &mut self,
        digest: DigestEcho,
        now: Micros,
    ) {
        if self.sent.len() >= MAX_SENT_DIGESTS {
            self.sent.pop_front();
        }
        self.sent.push_back((digest, now));
    }

    /// Upper bound of the time since a greeting was sent, given the latest digest that its sender
    /// had received. If the age were counted from the receipt, a greeting that waited while this
    /// process was paused would appear to be new.
    pub fn greeting_age(
        &self,
        echo: Option<DigestEcho>,
        now: Micros,
    ) -> Option<Micros> {
        let echo = echo?;
        let sent = self.sent.iter().find(|(digest, _)| *digest == echo);
        sent.map(|(_, sent_at)| now.since(*sent_at))
    }
}
