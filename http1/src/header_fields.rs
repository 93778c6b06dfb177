use std::ops::Range;

/// Byte ranges of the name and the value of one header in the head.
#[derive(Debug, Clone, PartialEq, Eq)]
struct FieldRange {
    name: Range<usize>,
    value: Range<usize>,
}

/// The headers of a message in their original order, stored as ranges of one copy of the head.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HeaderFields {
    bytes: Vec<u8>,
    ranges: Vec<FieldRange>,
}

impl HeaderFields {
    /// Copies the head and records the byte ranges of its parsed headers.
    pub(crate) fn from_parsed(
        head: &[u8],
        headers: &[httparse::Header<'_>],
    ) -> Self {
        let base = head.as_ptr() as usize;
        let range = |part: &[u8]| {
            // The slice of an empty value may point outside of the head.
            if part.is_empty() {
                return 0..0;
            }
            let start = part.as_ptr() as usize - base;
            start..start + part.len()
        };
        let ranges = headers.iter().map(|header| FieldRange {
            name: range(header.name.as_bytes()),
            value: range(header.value),
        });
        HeaderFields {
            ranges: ranges.collect(),
            bytes: head.to_vec(),
        }
    }

    /// All headers in their original order, as name and value.
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.ranges.iter().map(|range| {
            (
                &self.bytes[range.name.clone()],
                &self.bytes[range.value.clone()],
            )
        })
    }

    /// The first value of a header; names are case-insensitive.
    pub fn get(
        &self,
        name: &str,
    ) -> Option<&[u8]> {
        let mut found = self
            .iter()
            .filter(|(field_name, _)| field_name.eq_ignore_ascii_case(name.as_bytes()));
        found.next().map(|(_, value)| value)
    }

    /// The first value of a header, trimmed; `None` if it is not valid UTF-8.
    pub fn get_str(
        &self,
        name: &str,
    ) -> Option<&str> {
        let value = self.get(name)?;
        std::str::from_utf8(value).ok().map(str::trim)
    }

    /// All values of a header.
    pub fn get_all<'a>(
        &'a self,
        name: &'a str,
    ) -> impl Iterator<Item = &'a [u8]> + 'a {
        self.iter()
            .filter(move |(field_name, _)| field_name.eq_ignore_ascii_case(name.as_bytes()))
            .map(|(_, value)| value)
    }

    /// Whether a comma-separated header contains a token, ignoring case.
    pub fn has_token(
        &self,
        name: &str,
        token: &str,
    ) -> bool {
        self.get_all(name).any(|value| {
            let mut tokens = value.split(|byte| *byte == b',');
            tokens.any(|found| found.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
        })
    }
}
