use {
    crate::{
        kept::PieceKey,
        place::{ReturnLabel, ReturnModel},
        time::Micros,
    },
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        sync::Arc,
    },
};

/// Prompts that are remembered at most.
const MAX_PROMPTS: usize = 32_768;
/// Piece by whose key a prompt is recognised, counted from zero: deep enough to
/// tell documents apart, early enough that most prompts have it.
const IDENTITY_PIECE_INDEX: usize = 3;

#[derive(Debug, Clone)]
struct SeenPrompt {
    label: Arc<ReturnLabel>,
    seen_at: Micros,
}

/// Remembers when prompts were last seen and learns their return gaps.
#[derive(Debug, Clone, Default)]
pub struct PromptHistory {
    seen: BTreeMap<PieceKey, SeenPrompt>,
    order: VecDeque<PieceKey>,
    labels: BTreeSet<Arc<ReturnLabel>>,
    model: Arc<ReturnModel>,
}

/// The key by which a prompt is recognised; none when it is too short to be kept.
pub fn prompt_identity(pieces: &[PieceKey]) -> Option<PieceKey> {
    let last = pieces.len().checked_sub(1)?;
    pieces.get(last.min(IDENTITY_PIECE_INDEX)).copied()
}

impl PromptHistory {
    /// What has been learned; cheap to share.
    pub fn model(&self) -> &Arc<ReturnModel> {
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
    pub fn record(
        &mut self,
        identity: PieceKey,
        label: ReturnLabel,
        now: Micros,
    ) {
        let prompt = SeenPrompt {
            label: self.intern_label(&label),
            seen_at: now,
        };
        match self.seen.insert(identity, prompt) {
            Some(previous) => {
                let gap = now.since(previous.seen_at);
                Arc::make_mut(&mut self.model).returned(&label, gap);
            }
            None => self.order.push_back(identity),
        }
        if self.seen.len() > MAX_PROMPTS {
            self.evict_oldest();
        }
    }

    /// Chance that a prompt still comes back.
    pub fn reuse_probability(
        &self,
        identity: PieceKey,
        now: Micros,
    ) -> f64 {
        match self.seen.get(&identity) {
            Some(prompt) => self.model.chance(&prompt.label, now.since(prompt.seen_at)),
            // Nobody has asked for it as long as this process remembers.
            None => 0.0,
        }
    }

    /// The one copy of a label that all prompts share.
    fn intern_label(
        &mut self,
        label: &ReturnLabel,
    ) -> Arc<ReturnLabel> {
        if let Some(known) = self.labels.get(label) {
            return known.clone();
        }
        let label = Arc::new(label.clone());
        self.labels.insert(label.clone());
        label
    }

    fn evict_oldest(&mut self) {
        let Some(oldest) = self.order.pop_front() else {
            return;
        };
        if let Some(prompt) = self.seen.remove(&oldest) {
            Arc::make_mut(&mut self.model).ended(&prompt.label);
        }
    }
}
