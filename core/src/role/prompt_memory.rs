use {
    crate::{
        kv_cache::PieceKey,
        place::{ReuseLabel, ReuseModel},
        time::Micros,
    },
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        sync::Arc,
    },
};

/// Prompts that are remembered at most.
const PROMPT_LIMIT: usize = 32_768;
/// Piece by whose key a prompt is recognised, counted from zero: deep enough to
/// tell documents apart, early enough that most prompts have it.
const IDENTITY_PIECE: usize = 3;

#[derive(Debug, Clone)]
struct SeenPrompt {
    label: Arc<ReuseLabel>,
    seen_at: Micros,
}

/// Remembers when prompts were last seen and learns their return gaps.
#[derive(Debug, Clone, Default)]
pub struct PromptMemory {
    seen: BTreeMap<PieceKey, SeenPrompt>,
    order: VecDeque<PieceKey>,
    labels: BTreeSet<Arc<ReuseLabel>>,
    model: Arc<ReuseModel>,
}

/// The key by which a prompt is recognised; none when it is too short to be kept.
pub fn prompt_identity(pieces: &[PieceKey]) -> Option<PieceKey> {
    let last = pieces.len().checked_sub(1)?;
    pieces.get(last.min(IDENTITY_PIECE)).copied()
}

impl PromptMemory {
    /// What has been learned; cheap to share.
    pub fn model(&self) -> &Arc<ReuseModel> {
        &self.model
    }

    /// Prompts remembered.
    pub fn len(&self) -> usize {
        self.seen.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }

    /// Notes that a prompt was asked.
    pub fn saw(
        &mut self,
        identity: PieceKey,
        label: ReuseLabel,
        now: Micros,
    ) {
        let prompt = SeenPrompt {
            label: self.shared(&label),
            seen_at: now,
        };
        match self.seen.insert(identity, prompt) {
            Some(before) => {
                let gap = now.since(before.seen_at);
                Arc::make_mut(&mut self.model).record_reuse(&label, gap);
            }
            None => self.order.push_back(identity),
        }
        if self.seen.len() > PROMPT_LIMIT {
            self.forget_oldest();
        }
    }

    /// Chance that a prompt still comes back.
    pub fn chance(
        &self,
        identity: PieceKey,
        now: Micros,
    ) -> f64 {
        match self.seen.get(&identity) {
            Some(prompt) => self
                .model
                .reuse_probability(&prompt.label, now.since(prompt.seen_at)),
            // Nobody has asked for it as long as this process remembers.
            None => 0.0,
        }
    }

    /// The one copy of a label that all prompts share.
    fn shared(
        &mut self,
        label: &ReuseLabel,
    ) -> Arc<ReuseLabel> {
        if let Some(known) = self.labels.get(label) {
            return known.clone();
        }
        let label = Arc::new(label.clone());
        self.labels.insert(label.clone());
        label
    }

    fn forget_oldest(&mut self) {
        let Some(oldest) = self.order.pop_front() else {
            return;
        };
        if let Some(prompt) = self.seen.remove(&oldest) {
            Arc::make_mut(&mut self.model).record_expiry(&prompt.label);
        }
    }
}
