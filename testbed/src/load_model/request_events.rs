use {
    super::{
        load_sim::millis, CallKey, CallOutcome, FrontAsk, FrontSend, FrontVerdict, LoadWorld,
        ModelEvent, SendKey, LEAD_TIME,
    },
    pitchhitch_core::time::Micros,
};

/// When a caller comes back whose front found no engine at all.
const NO_ENGINE_RETURN: Micros = Micros::from_millis(500);
/// A caller waits for its return up to this part of the time that it has left.
const RETURN_PART: u64 = 3;

impl LoadWorld<'_> {
    /// A request is at its front, for the first time or once more.
    pub(super) fn asks(
        &mut self,
        key: CallKey,
    ) {
        let state = &self.states[key.0];
        if state.outcome.is_some() {
            return;
        }
        let call = &self.calls[key.0];
        let kind = &self.load.kinds[call.kind];
        let ask = FrontAsk {
            kind,
            prompt: &self.prompts[key.0],
            patience: (call.at + kind.deadline()).since(self.now),
            tried: &state.tried,
            spread: call.spread,
        };
        match self.fronts[state.front].decide(&ask, self.now) {
            FrontVerdict::Sent(send) => self.send(key, *send),
            FrontVerdict::Refused(back) => self.refuse(key, back),
            FrontVerdict::NoEngine => self.refuse(key, NO_ENGINE_RETURN),
        }
    }

    fn send(
        &mut self,
        key: CallKey,
        send: FrontSend,
    ) {
        let hop = self.hop(self.states[key.0].front, send.engine);
        let state = &mut self.states[key.0];
        state.sends += 1;
        state.sent_at = self.now;
        state.is_lost = false;
        state.sent = Some(send);
        self.tally.sends += 1;
        let sent = SendKey {
            call: key,
            send: state.sends,
        };
        self.queue.put(self.now + hop, ModelEvent::Reaches(sent));
    }

    /// A caller that is refused comes back once, at another front; the time that
    /// it was told counts only as far as its own allows.
    fn refuse(
        &mut self,
        key: CallKey,
        back: Micros,
    ) {
        let call = &self.calls[key.0];
        let deadline = call.at + self.load.kinds[call.kind].deadline();
        let state = &mut self.states[key.0];
        if state.was_refused {
            self.decide_outcome(key, CallOutcome::Refused);
            return;
        }
        state.was_refused = true;
        state.tried.clear();
        state.front = (state.front + 1) % self.load.fronts;
        let left = deadline.since(self.now);
        let pause = match call.is_impatient {
            true => Micros::ZERO,
            false => back.min(Micros(left.0 / RETURN_PART)),
        };
        let ways = millis(self.load.hops.caller_ms * 2.0);
        self.queue
            .put(self.now + ways + pause, ModelEvent::Asks(key));
    }

    /// A front hears that an answer has begun.
    pub(super) fn begun(
        &mut self,
        send: SendKey,
    ) {
        if !self.is_current(send) {
            return;
        }
        let state = &mut self.states[send.call.0];
        state.began_at = Some(self.now);
        let is_first = state.tried.is_empty();
        let took = self.now.since(state.sent_at);
        if let Some(sent) = &state.sent {
            self.fronts[state.front].begun(sent, took, is_first);
        }
    }

    /// A front hears that an answer has ended.
    pub(super) fn ended(
        &mut self,
        send: SendKey,
        pause: Micros,
    ) {
        if !self.is_current(send) {
            return;
        }
        let key = send.call;
        let sent = self.release(key);
        let state = &self.states[key.0];
        if let Some(sent) = sent {
            let book = &mut self.fronts[state.front].book;
            book.record_outcome(sent.choice.key, true, self.now);
        }
        let call = &self.calls[key.0];
        let kind = &self.load.kinds[call.kind];
        let began_at = state.began_at.unwrap_or(self.now);
        let first = (began_at + millis(self.load.hops.caller_ms)).since(call.at);
        let tally = &mut self.tally.kinds[call.kind];
        tally.first_ms.saturating_record(first.as_millis());
        tally.returned += u32::from(state.was_refused);
        let is_paused = pause > Micros::from_millis(kind.pause_ms);
        let outcome = match first > kind.aim() || is_paused {
            true => CallOutcome::Late,
            false => CallOutcome::InAim,
        };
        self.decide_outcome(key, outcome);
    }

    /// A front learns that an engine has lost a request: it goes to another one, if
    /// it may and nothing of the answer has come.
    pub(super) fn lost(
        &mut self,
        send: SendKey,
    ) {
        let key = send.call;
        let state = &self.states[key.0];
        if state.outcome.is_some() || state.sends != send.send {
            return;
        }
        let Some(sent) = self.release(key) else {
            return;
        };
        let kind = &self.load.kinds[self.calls[key.0].kind];
        let state = &mut self.states[key.0];
        let book = &mut self.fronts[state.front].book;
        book.record_outcome(sent.choice.key, false, self.now);
        state.tried.push(sent.engine);
        if state.began_at.is_none() && state.tried.len() < kind.sends as usize {
            self.asks(key);
        } else {
            self.decide_outcome(key, CallOutcome::Failed);
        }
    }

    /// A caller waits no longer.
    pub(super) fn give_up(
        &mut self,
        key: CallKey,
        outcome: CallOutcome,
    ) {
        if self.states[key.0].outcome.is_some() {
            return;
        }
        if let Some(sent) = self.release(key) {
            let send = SendKey {
                call: key,
                send: self.states[key.0].sends,
            };
            self.engines[sent.engine].cancel(send);
        }
        self.decide_outcome(key, outcome);
    }

    /// The front takes a request off its book.
    fn release(
        &mut self,
        key: CallKey,
    ) -> Option<FrontSend> {
        let state = &mut self.states[key.0];
        let sent = state.sent.take()?;
        let held = state.began_at.map(|_| self.now.since(state.sent_at));
        let tokens_in = self.prompts[key.0].tokens_in;
        self.fronts[state.front].ended(&sent, tokens_in, held);
        Some(sent)
    }

    fn decide_outcome(
        &mut self,
        key: CallKey,
        outcome: CallOutcome,
    ) {
        let call = &self.calls[key.0];
        self.states[key.0].outcome = Some(outcome);
        let second = call.at.since(LEAD_TIME).as_secs_f64() as usize;
        self.tally.kinds[call.kind].note(outcome, second);
        self.open -= 1;
    }
}
