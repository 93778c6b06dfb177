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

/// Maximum number of prompts in the history.
const MAX_PROMPTS: usize = 32_768;
/// Zero-based index of the piece whose key identifies a prompt: high enough to distinguish
/// documents, low enough for most prompts to have it.
const IDENTITY_PIECE_INDEX: usize = 3;

#[derive(Debug, Clone)]
struct SeenPrompt {
    label: Arc<ReuseLabel>,
    seen_at: Micros,
}

/// Records when prompts were last used and learns the gaps between uses.
#[derive(Debug, Clone, Default)]
pub struct PromptHistory {
    seen: BTreeMap<PieceKey, SeenPrompt>,
    insertion_order: VecDeque<PieceKey>,
    labels: BTreeSet<Arc<ReuseLabel>>,
    model: Arc<ReuseModel>,
}

/// Returns the key that identifies a prompt; none when it is shorter than one piece. A prompt
/// too short for the usual piece is identified by its last one.
pub fn prompt_identity(pieces: &[PieceKey]) -> Option<PieceKey> {
    let last = pieces.len().checked_sub(1)?;
    pieces.get(last.min(IDENTITY_PIECE_INDEX)).copied()
}

impl PromptHistory {
    /// Returns the learned model; cloning the `Arc` is cheap.
    pub fn model(&self) -> &Arc<ReuseModel> {
        &self.model
    }

    /// Number of recorded prompts.
    pub fn len(&self) -> usize {
        self.seen.len()
    }

    /// Whether no prompt is recorded.
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }

    /// Records a use of a prompt. Beyond the maximum the prompt that was recorded first is evicted.
    pub fn record(
        &mut self,
        identity: PieceKey,
        label: ReuseLabel,
        now: Micros,
    ) {
        let prompt = SeenPrompt {
            label: self.intern_label(&label),
            seen_at: now,
        };
        match self.seen.insert(identity, prompt) {
            Some(previous) => {
                let gap = now.since(previous.seen_at);
                Arc::make_mut(&mut self.model).record_reuse(&label, gap);
            }
            None => self.insertion_order.push_back(identity),
        }
        if self.seen.len() > MAX_PROMPTS {
            self.evict_oldest();
        }
    }

    /// Returns the probability that a prompt is used again.
    pub fn reuse_probability(
        &self,
        identity: PieceKey,
        now: Micros,
    ) -> f64 {
        match self.seen.get(&identity) {
            Some(prompt) => self
                .model
                .reuse_probability(&prompt.label, now.since(prompt.seen_at)),
            // Not used within the history of this process.
            None => 0.0,
        }
    }

    /// Returns the shared copy of a label.
    fn intern_label(
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

    fn evict_oldest(&mut self) {
        let Some(oldest) = self.insertion_order.pop_front() else {
            return;
        };
        if let Some(prompt) = self.seen.remove(&oldest) {
            Arc::make_mut(&mut self.model).record_expiry(&prompt.label);
        }
    }
}
