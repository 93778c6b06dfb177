/// Splits a stream of server-sent events at event boundaries.
///
/// Only complete events are forwarded, so that an interrupted stream can be resumed after the last
/// event that the caller has received.
#[derive(Debug, Default)]
pub struct SseSplitter {
    partial: Vec<u8>,
    last_id: Option<u64>,
    done: bool,
    has_data: bool,
}

const EVENT_END: &[u8] = b"\n\n";
const ID_FIELD: &[u8] = b"id:";
const DATA_FIELD: &[u8] = b"data:";
const DONE_EVENT: &[u8] = b"data: [DONE]";
/// Largest incomplete event that is buffered, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// An incomplete event exceeds `MAX_EVENT_BYTES`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLong;

impl SseSplitter {
    /// Adds the next bytes of the stream and returns all complete events.
    ///
    /// # Errors
    /// [`EventTooLong`] when an incomplete event exceeds the size limit.
    pub fn feed(
        &mut self,
        bytes: &[u8],
    ) -> Result<Vec<u8>, EventTooLong> {
        self.partial.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.partial) else {
            return if self.partial.len() > MAX_EVENT_BYTES {
                Err(EventTooLong)
            } else {
                Ok(Vec::new())
            };
        };
        let rest = self.partial.split_off(end);
        let events = std::mem::replace(&mut self.partial, rest);
        self.scan_events(&events);
        Ok(events)
    }

    /// Id of the last complete event, if the events have numeric ids.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether an event with data was received; comments do not count.
    pub fn has_data(&self) -> bool {
        self.has_data
    }

    /// Whether the final event, `[DONE]`, was received.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Discards an incomplete event, after the stream was interrupted.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    fn scan_events(
        &mut self,
        events: &[u8],
    ) {
        for line in events.split(|b| *b == b'\n') {
            if let Some(number) = line.strip_prefix(ID_FIELD) {
                let number = std::str::from_utf8(number)
                    .ok()
                    .and_then(|t| t.trim().parse().ok());
                self.last_id = number.or(self.last_id);
            }
            self.done |= line == DONE_EVENT;
            self.has_data |= line.starts_with(DATA_FIELD);
        }
    }
}

fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let start = bytes
        .windows(EVENT_END.len())
        .rposition(|w| w == EVENT_END)?;
    Some(start + EVENT_END.len())
}
