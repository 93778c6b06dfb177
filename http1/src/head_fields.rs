use std::ops::Range;

/// One header, by its places in the bytes of the head.
#[derive(Debug, Clone, PartialEq, Eq)]
struct FieldPlace {
    name: Range<usize>,
    value: Range<usize>,
}

/// The headers of a message, in their order, over one copy of its head.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HeadFields {
    bytes: Vec<u8>,
    places: Vec<FieldPlace>,
}

impl HeadFields {
    /// Copies the head and notes where each header stands in it.
    pub(crate) fn copy(
        head: &[u8],
        headers: &[httparse::Header<'_>],
    ) -> Self {
        let base = head.as_ptr() as usize;
        let place = |part: &[u8]| {
            // An empty value may point outside of the head.
            if part.is_empty() {
                return 0..0;
            }
            let start = part.as_ptr() as usize - base;
            start..start + part.len()
        };
        let places = headers.iter().map(|header| FieldPlace {
            name: place(header.name.as_bytes()),
            value: place(header.value),
        });
        HeadFields {
            places: places.collect(),
            bytes: head.to_vec(),
        }
    }

    /// All headers as they came: name and value.
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.places.iter().map(|place| {
            (
                &self.bytes[place.name.clone()],
                &self.bytes[place.value.clone()],
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
    pub fn text(
        &self,
        name: &str,
    ) -> Option<&str> {
        let value = self.get(name)?;
        std::str::from_utf8(value).ok().map(str::trim)
    }

    /// All values under a name.
    pub fn all<'a>(
        &'a self,
        name: &'a str,
    ) -> impl Iterator<Item = &'a [u8]> + 'a {
        self.iter()
            .filter(move |(found, _)| found.eq_ignore_ascii_case(name.as_bytes()))
            .map(|(_, value)| value)
    }

    /// Whether a comma-separated header holds a word.
    pub fn has_word(
        &self,
        name: &str,
        word: &str,
    ) -> bool {
        self.all(name).any(|value| {
            let mut words = value.split(|byte| *byte == b',');
            words.any(|found| found.trim_ascii().eq_ignore_ascii_case(word.as_bytes()))
        })
    }
}
