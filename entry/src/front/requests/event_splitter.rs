/// Longest event that is buffered until it is complete, in bytes. A longer one is forwarded in
/// fragments.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Splits a stream of server-sent events, so that only complete events are forwarded.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    buffer: Vec<u8>,
    /// Whether the begin of an event has been returned without its end.
    is_split: bool,
    has_data: bool,
    last_id: Option<String>,
    version: Option<u64>,
}

impl EventSplitter {
    /// Adds bytes of the stream and returns the events that are complete now.
    pub fn feed(
        &mut self,
        bytes: &[u8],
    ) -> Vec<u8> {
        self.buffer.extend_from_slice(bytes);
        let complete = complete_length(&self.buffer);
        let is_too_long = complete == 0 && self.buffer.len() > MAX_EVENT_BYTES;
        let end = if is_too_long {
            self.buffer.len()
        } else {
            complete
        };
        self.is_split = is_too_long || (self.is_split && complete == 0);
        let partial_event = self.buffer.split_off(end);
        let events = std::mem::replace(&mut self.buffer, partial_event);
        self.parse_fields(&events);
        events
    }

    /// Bytes of the event that is not complete yet.
    pub fn partial_event(&self) -> &[u8] {
        &self.buffer
    }

    /// Whether the bytes so far end inside an event.
    pub fn is_inside_event(&self) -> bool {
        // Lines may also end with a carriage return alone.
        let is_closed = self.buffer.is_empty() || self.buffer.ends_with(b"\r\r");
        self.is_split || !is_closed
    }

    /// Whether another run can continue the stream exactly after the events returned so far.
    pub fn can_continue(&self) -> bool {
        !self.is_split && (self.last_id.is_some() || !self.has_data)
    }

    /// Discards the incomplete event: another endpoint continues the stream.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
    }

    /// Id of the last complete event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Version of the weights that the stream reported last.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    fn parse_fields(
        &mut self,
        events: &[u8],
    ) {
        for line in events.split(|byte| *byte == b'\n') {
            self.has_data |= line.starts_with(b"data:");
            if let Some(id) = field_value(line, b"id:") {
                self.last_id = Some(id.to_string());
            }
            if let Some(version) = field_value(line, b"versions:") {
                self.version = version.parse().ok();
            }
        }
    }
}

/// Length of the complete events at the beginning of `bytes`.
fn complete_length(bytes: &[u8]) -> usize {
    let mut end = bytes.len();
    while end >= 2 {
        let Some(at) = bytes[..end].iter().rposition(|byte| *byte == b'\n') else {
            return 0;
        };
        let before = &bytes[..at];
        if before.ends_with(b"\n") || before.ends_with(b"\n\r") {
            return at + 1;
        }
        end = at;
    }
    0
}

fn field_value<'a>(
    line: &'a [u8],
    name: &[u8],
) -> Option<&'a str> {
    let value = line.strip_prefix(name)?;
    std::str::from_utf8(value).ok().map(str::trim)
}
