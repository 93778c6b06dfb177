use {
    crate::front::{AttemptOutcome, ExchangeFailure, FrontState, PartTransfers, RequestHandler},
    pitchhitch_core::{
        serving::{ClaimEnd, NamespaceTag, PromptInfo, StoredPart},
        time::Micros,
    },
    std::{net::SocketAddr, time::Duration},
};

/// Longest wait for agents to answer for claims; they are a millisecond or two away.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(25);

impl RequestHandler<'_> {
    /// Asks for the claims of the parts that the request is to save. Returns their number, unless
    /// there are none.
    pub(crate) fn claim_saves(
        &self,
        state: &mut FrontState,
        namespace: NamespaceTag,
        prompt: &PromptInfo,
        saves: &[Option<SocketAddr>],
        now: Micros,
    ) -> Option<u64> {
        let stores = &state.kv_store_directory;
        let parts = prompt.parts.iter().zip(saves).filter_map(|(part, store)| {
            let store = (*store)?;
            let stored_part = StoredPart {
                store,
                namespace,
                id: part.id,
            };
            Some((stored_part, stores.epoch(store)?))
        });
        let parts: Vec<(StoredPart, u64)> = parts.collect();
        if parts.is_empty() {
            return None;
        }
        let time_left = self.deadline.since(now);
        let agents = &state.origin_keepers;
        let number = state.save_claims.begin(&parts, agents, time_left, now);
        self.front.claims_due.wake();
        Some(number)
    }

    /// Waits until the claims are answered, and removes the saves that are not granted.
    pub(crate) async fn confirm_saves(
        &self,
        transfers: &mut PartTransfers,
    ) {
        let front = self.front;
        let Some(number) = transfers.claims else {
            return;
        };
        let started_at = front.now();
        if !front.state().save_claims.is_answered(number) {
            front.claim_waits.wait(number, CLAIM_TIMEOUT).await;
        }
        transfers.claim_wait = front.now().since(started_at);
        let mut state = front.state();
        let outcome = match state.save_claims.is_answered(number) {
            true => "answered",
            false => "unanswered",
        };
        let now = front.now();
        let (confirmed, refused) = state.save_claims.confirm(number, now);
        for part in &refused {
            if let Some(view) = state.kv_store_directory.view_mut(part.store) {
                view.record_refusal(part.namespace, part.id, now);
            }
        }
        drop(state);
        front.claims_due.wake();
        front.metrics.increment("claims", outcome);
        let prompt = self.info.prompt.as_ref();
        let parts = prompt.map_or(&[][..], |prompt| &prompt.parts);
        transfers.retain_saves(|index| {
            let part = parts.get(index);
            part.is_some_and(|part| confirmed.iter().any(|known| known.id == part.id))
        });
    }

    /// Records how an attempt with claims ended; `has_response` is whether the engine responded.
    pub(crate) fn end_claims(
        &self,
        transfers: &PartTransfers,
        outcome: &AttemptOutcome,
        has_response: bool,
    ) {
        let end = match outcome {
            AttemptOutcome::NotRun | AttemptOutcome::Broken(ExchangeFailure::NotSent) => {
                ClaimEnd::NotRun
            }
            _ if has_response => ClaimEnd::Begun,
            _ => ClaimEnd::Unknown,
        };
        self.record_claim_end(transfers, end);
    }

    /// Releases the claims of a request that was not sent.
    pub(crate) fn release_claims(
        &self,
        transfers: &PartTransfers,
    ) {
        self.record_claim_end(transfers, ClaimEnd::NotRun);
    }

    fn record_claim_end(
        &self,
        transfers: &PartTransfers,
        end: ClaimEnd,
    ) {
        if let Some(number) = transfers.claims {
            let front = self.front;
            front.state().save_claims.end(number, end, front.now());
        }
    }
}
