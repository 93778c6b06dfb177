use std::ops::Range;

/// One header, by its places in the bytes of the head.
#[derive(Debug, Clone, PartialEq, Eq)]
struct FieldRange {
    name: Range<usize>,
    value: Range<usize>,
}

/// The headers of a message, in their order, over one copy of its head.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HeaderFields {
    bytes: Vec<u8>,
    ranges: Vec<FieldRange>,
}

impl HeaderFields {
    /// Copies the head and notes where each header stands in it.
    pub(crate) fn from_parsed(
        head: &[u8],
        headers: &[httparse::Header<'_>],
    ) -> Self {
        let base = head.as_ptr() as usize;
        let range = |part: &[u8]| {
            // An empty value may point outside of the head.
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

    /// All headers as they came: name and value.
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.ranges.iter().map(|range| {
            (
                &self.bytes[range.name.clone()],
                &self.bytes[range.value.clone()],
            )
        })
    }

    /// The first value under a name; names are compared without case.
    pub fn get(
        &self,
        name: &str,
    ) -> Option<&[u8]> {
        let mut found = self
            .iter()
            .filter(|(field, _)| field.eq_ignore_ascii_case(name.as_bytes()));
        found.next().map(|(_, value)| value)
    }

    /// The first value under a name, where it is text.
    pub fn get_str(
        &self,
        name: &str,
    ) -> Option<&str> {
        let value = self.get(name)?;
        std::str::from_utf8(value).ok().map(str::trim)
    }

    /// All values under a name.
    pub fn get_all<'a>(
        &'a self,
        name: &'a str,
    ) -> impl Iterator<Item = &'a [u8]> + 'a {
        self.iter()
            .filter(move |(found, _)| found.eq_ignore_ascii_case(name.as_bytes()))
            .map(|(_, value)| value)
    }

    /// Whether a comma-separated header holds a word.
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
