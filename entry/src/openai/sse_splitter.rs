/// Cuts a stream of server-sent events at the ends of events.
///
/// Only whole events are passed on, so that a stream that breaks can be taken up
/// again after the last one that the caller has.
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
/// Longest event that is held back, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// An event that does not end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLong;

impl SseSplitter {
    /// Takes the next bytes; gives all that forms whole events.
    ///
    /// # Errors
    /// [`EventTooLong`] when one event is longer than anything reasonable.
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

    /// Number of the last whole event, if events are numbered.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether any event with data has come; comments are none.
    pub fn has_data(&self) -> bool {
        self.has_data
    }

    /// Whether the closing event has come.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Forgets the part of an event that came before the stream broke.
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
