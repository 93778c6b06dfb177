use {
    pitchhitch_core::time::Micros, pitchhitch_wire::engine_agent::DigestEcho,
    std::collections::VecDeque,
};

/// Digests whose time is remembered: some seconds' worth. A greeting that names an
/// earlier one is too old to prove anything.
const MAX_SENT_DIGESTS: usize = 64;

/// When the last digests were sent.
#[derive(Debug, Default)]
pub(crate) struct SentDigests {
    sent: VecDeque<(DigestEcho, Micros)>,
}

impl SentDigests {
    /// Notes a digest that is about to be sent.
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

    /// For how long at most a greeting can have been on its way that names the last digest
    /// its sender had heard. Counted from its receipt alone, one that waited while this
    /// process stood still would pass for new.
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
