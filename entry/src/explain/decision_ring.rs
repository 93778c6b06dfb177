use {
    super::DecisionRecord,
    std::{
        collections::VecDeque,
        sync::{Mutex, MutexGuard, PoisonError},
    },
};

/// Ring buffer of the most recent routing decisions of this process, oldest first.
#[derive(Debug)]
pub struct DecisionRing {
    records: Mutex<VecDeque<DecisionRecord>>,
    capacity: usize,
}

impl DecisionRing {
    /// Creates a ring that holds at most `capacity` decisions.
    pub fn new(capacity: usize) -> Self {
        DecisionRing {
            records: Mutex::new(VecDeque::new()),
            capacity,
        }
    }

    /// Adds a decision; drops the oldest if the ring is full.
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

    /// Records how the last attempt of a request ended.
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

    /// Returns the decisions about a request, first attempt first.
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
