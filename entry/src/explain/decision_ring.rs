use {
    super::DecisionRecord,
    std::{
        collections::VecDeque,
        sync::{Mutex, MutexGuard, PoisonError},
    },
};

/// The last decisions of this process, oldest first.
#[derive(Debug)]
pub struct DecisionRing {
    records: Mutex<VecDeque<DecisionRecord>>,
    capacity: usize,
}

impl DecisionRing {
    /// A ring for so many decisions.
    pub fn new(capacity: usize) -> Self {
        DecisionRing {
            records: Mutex::new(VecDeque::new()),
            capacity,
        }
    }

    /// Keeps a decision.
    pub fn push(
        &self,
        record: DecisionRecord,
    ) {
        let mut records = self.lock();
        if records.len() >= self.capacity {
            records.pop_front();
        }
        records.push_back(record);
    }

    /// Notes how the last try of a request ended.
    pub fn record_outcome(
        &self,
        request_id: &str,
        outcome: &str,
    ) {
        let mut records = self.lock();
        let last = records
            .iter_mut()
            .rev()
            .find(|r| r.request_id == request_id);
        if let Some(record) = last {
            record.outcome = outcome.to_string();
        }
    }

    /// All decisions about a request, first try first.
    pub fn find(
        &self,
        request_id: &str,
    ) -> Vec<DecisionRecord> {
        let records = self.lock();
        records
            .iter()
            .filter(|r| r.request_id == request_id)
            .cloned()
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<DecisionRecord>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
