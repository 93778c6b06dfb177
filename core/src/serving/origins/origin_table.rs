use {
    super::{SoftwareTag, StreamId, StreamOrigin},
    crate::time::Micros,
    std::collections::{HashMap, HashSet, VecDeque},
};

/// Time for which an origin is known: longer than callers wait for a stream and its next tries.
const ORIGIN_TTL: Micros = Micros::from_secs(30);
/// Maximum number of known origins; the oldest are forgotten first.
const MAX_ORIGINS: usize = 20_000;

/// Origins of the streams that began recently.
#[derive(Debug, Default)]
pub struct OriginTable {
    origins: HashMap<StreamId, SoftwareTag>,
    by_age: VecDeque<(StreamId, Micros)>,
    unreported: HashSet<StreamId>,
}

impl OriginTable {
    /// Records where a stream began; an origin that is known already stays.
    pub fn record(
        &mut self,
        origin: StreamOrigin,
        now: Micros,
    ) {
        self.expire(now);
        if self.origins.contains_key(&origin.stream) {
            return;
        }
        self.origins.insert(origin.stream, origin.software);
        self.by_age.push_back((origin.stream, now));
    }

    /// Records a stream that began here, which is to be reported.
    pub fn record_own(
        &mut self,
        origin: StreamOrigin,
        now: Micros,
    ) {
        self.record(origin, now);
        self.unreported.insert(origin.stream);
    }

    /// Software that began a stream, if it is known.
    pub fn get(
        &self,
        stream: StreamId,
    ) -> Option<SoftwareTag> {
        self.origins.get(&stream).copied()
    }

    /// Origins that have not been reported yet.
    pub fn take_unreported(&mut self) -> Vec<StreamOrigin> {
        let unreported = std::mem::take(&mut self.unreported);
        let origins = unreported.into_iter().filter_map(|stream| {
            let software = self.get(stream)?;
            Some(StreamOrigin { stream, software })
        });
        origins.collect()
    }

    /// Reports again the known origins of streams that match.
    pub fn report_again(
        &mut self,
        is_due: impl Fn(StreamId) -> bool,
    ) {
        let streams = self.origins.keys().copied();
        self.unreported
            .extend(streams.filter(|stream| is_due(*stream)));
    }

    fn expire(
        &mut self,
        now: Micros,
    ) {
        while let Some((stream, at)) = self.by_age.front() {
            let is_old = now.since(*at) >= ORIGIN_TTL;
            if !is_old && self.by_age.len() < MAX_ORIGINS {
                return;
            }
            self.origins.remove(stream);
            self.unreported.remove(stream);
            self.by_age.pop_front();
        }
    }
}
