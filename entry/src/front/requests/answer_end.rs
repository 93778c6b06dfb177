use {
    crate::front::{EndpointResponse, ProcessQuery, RequestHandler, WitnessConnection},
    futures_lite::future::or,
    pitchhitch_core::{
        serving::{
            EndEvidence, EndProof, EndVerdict, EndpointChoice, EndpointStatus, ProcessReply,
            WitnessState,
        },
        time::Micros,
    },
    pitchhitch_http1::BodyFraming,
    pitchhitch_process::to_duration,
    smol::Timer,
    std::time::Duration,
};

/// Time in which the system closes all sockets of a process that has exited.
const EXIT_TIME: Micros = Micros::from_millis(5);
/// Longest wait for the reply of the process, less than callers wait for the end of a stream. Plain
/// answers wait no longer than their deadline allows, but some network trips in any case.
const MAX_QUERY_TIME: Duration = Duration::from_secs(1);
const MIN_QUERY_TIME: Duration = Duration::from_millis(60);

impl RequestHandler<'_> {
    /// Keeps a witness for an answer that ends with its connection, and no other.
    pub(crate) fn choose_witness(
        &mut self,
        choice: &EndpointChoice,
        response: &EndpointResponse,
        sent_at: Micros,
    ) {
        let is_unframed = response.framing == BodyFraming::UntilClose;
        let front = self.front;
        front.state().pool.record_framing(choice.key, is_unframed);
        if !is_unframed {
            self.release_witness(choice);
            return;
        }
        let older = || {
            let now = front.now();
            let idle = front.state().pool.take_older(choice.key, sent_at, now);
            idle.map(WitnessConnection::new)
        };
        // An endpoint may close a new connection if it has too many.
        drop(self.witness.take_if(|witness| !witness.is_open()));
        self.witness = self.witness.take().or_else(older);
    }

    /// Returns the connection of the witness to the pool, for the next request.
    pub(crate) fn release_witness(
        &mut self,
        choice: &EndpointChoice,
    ) {
        let open = self.witness.take_if(|witness| witness.is_open());
        self.witness = None;
        let mut state = self.front.state();
        let entry = state.registry.get(choice.key);
        let is_leaving = entry.is_none_or(|entry| entry.status == EndpointStatus::Leaving);
        if let (Some(witness), false) = (open, is_leaving) {
            if self.is_same_incarnation(&state, choice) {
                let now = self.front.now();
                state.pool.put_back(choice.key, witness.into_idle(), now);
            }
        }
    }

    /// Whether an answer that has ended is over. For one that has ended with its connection, the
    /// process that sent it must still be running.
    pub(crate) async fn is_over(
        &mut self,
        choice: &EndpointChoice,
        framing: BodyFraming,
    ) -> bool {
        let verdict = match framing {
            BodyFraming::UntilClose => self.judge_end(choice).await,
            _ => EndVerdict {
                is_whole: true,
                proof: EndProof::Framing,
            },
        };
        self.record_end(choice, verdict.is_whole, verdict.proof);
        verdict.is_whole
    }

    async fn judge_end(
        &mut self,
        choice: &EndpointChoice,
    ) -> EndVerdict {
        Timer::after(to_duration(EXIT_TIME)).await;
        let witness = self.witness.as_mut();
        let witness = witness.map_or(WitnessState::Missing, WitnessConnection::state);
        let known = {
            let state = self.front.state();
            let entry = state.registry.get(choice.key);
            entry.map(|entry| entry.incarnation.ended)
        };
        let mut evidence = EndEvidence {
            has_restarted: known.is_some_and(|ended| ended != self.latest_run.incarnation),
            witness,
            reply: None,
        };
        loop {
            if let Some(verdict) = evidence.verdict() {
                return verdict;
            }
            let query = ProcessQuery::new(self.front, choice.key, self.latest_run.born);
            evidence.reply = Some(match query {
                Some(query) => self.await_reply(&query).await,
                None => ProcessReply::Unproven,
            });
        }
    }

    async fn await_reply(
        &self,
        query: &ProcessQuery,
    ) -> ProcessReply {
        let limit = match self.route().is_stream {
            true => MAX_QUERY_TIME,
            false => self.time_left().clamp(MIN_QUERY_TIME, MAX_QUERY_TIME),
        };
        let timed_out = async {
            Timer::after(limit).await;
            ProcessReply::Unproven
        };
        or(query.send(self.front), timed_out).await
    }
}
