use {
    super::StreamId,
    std::{collections::HashMap, net::SocketAddr},
};

/// A stream whose origin agents are asked for.
#[derive(Debug, Default)]
struct OriginLookup {
    /// Requests that wait for the result.
    waiting: u32,
    /// Agents that were asked.
    keepers: Vec<SocketAddr>,
    /// Those of them that do not know the origin.
    ignorant: Vec<SocketAddr>,
    is_sent: bool,
}

/// Answers of agents that do not know an origin.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LookupAnswers {
    /// Agents that have answered.
    pub received: usize,
    /// Agents that were asked.
    pub expected: usize,
}

impl LookupAnswers {
    /// Whether no further answer is to be waited for.
    pub fn is_complete(self) -> bool {
        self.received == self.expected
    }
}

/// Look-ups of origins in progress.
#[derive(Debug, Default)]
pub struct OriginLookups {
    lookups: HashMap<StreamId, OriginLookup>,
}

impl OriginLookups {
    /// Begins to wait for the origin of a stream that these agents may know.
    pub fn begin(
        &mut self,
        stream: StreamId,
        keepers: Vec<SocketAddr>,
    ) {
        let lookup = self.lookups.entry(stream).or_default();
        if lookup.waiting == 0 {
            lookup.keepers = keepers;
        }
        lookup.waiting += 1;
    }

    /// Ends one wait.
    pub fn end(
        &mut self,
        stream: StreamId,
    ) {
        if let Some(lookup) = self.lookups.get_mut(&stream) {
            lookup.waiting -= 1;
            if lookup.waiting == 0 {
                self.lookups.remove(&stream);
            }
        }
    }

    /// Records that an agent does not know the origin.
    pub fn record_unknown(
        &mut self,
        stream: StreamId,
        from: SocketAddr,
    ) {
        if let Some(lookup) = self.lookups.get_mut(&stream) {
            if lookup.keepers.contains(&from) && !lookup.ignorant.contains(&from) {
                lookup.ignorant.push(from);
            }
        }
    }

    /// Answers so far of agents that do not know the origin of a stream.
    pub fn answers(
        &self,
        stream: StreamId,
    ) -> LookupAnswers {
        let lookup = self.lookups.get(&stream);
        lookup.map_or_else(LookupAnswers::default, |lookup| LookupAnswers {
            received: lookup.ignorant.len(),
            expected: lookup.keepers.len(),
        })
    }

    /// Questions that have not been sent yet.
    pub fn take_unsent(&mut self) -> Vec<(StreamId, SocketAddr)> {
        let unsent = self
            .lookups
            .iter_mut()
            .filter(|(_, lookup)| !lookup.is_sent);
        let questions = unsent.flat_map(|(stream, lookup)| {
            lookup.is_sent = true;
            let keepers = lookup.keepers.iter();
            keepers.map(|keeper| (*stream, *keeper)).collect::<Vec<_>>()
        });
        questions.collect()
    }
}
