//! Just enough of JSON to read what the programs send.

use std::collections::BTreeMap;

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a text; `Null` if it is not JSON.
    pub fn parse(text: &[u8]) -> Json {
        let text = String::from_utf8_lossy(text).into_owned();
        let chars: Vec<char> = text.chars().collect();
        Parser { chars, at: 0 }.value().unwrap_or(Json::Null)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

struct Parser {
    chars: Vec<char>,
    at: usize,
}

impl Parser {
    fn peek(&mut self) -> Option<char> {
        while self.chars.get(self.at).is_some_and(|c| c.is_whitespace()) {
            self.at += 1;
        }
        self.chars.get(self.at).copied()
    }

    fn accept(&mut self, wanted: char) -> bool {
        let is_found = self.peek() == Some(wanted);
        self.at += usize::from(is_found);
        is_found
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            '{' => self.object(),
            '[' => self.list(),
            '"' => self.text().map(Json::Text),
            't' => self.word("true", Json::Bool(true)),
            'f' => self.word("false", Json::Bool(false)),
            'n' => self.word("null", Json::Null),
            _ => self.number(),
        }
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let found: String = self.chars.iter().skip(self.at).take(word.len()).collect();
        self.at += word.len();
        (found == word).then_some(value)
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        let is_part = |c: &char| c.is_ascii_digit() || "+-.eE".contains(*c);
        while self.chars.get(self.at).is_some_and(is_part) {
            self.at += 1;
        }
        let text: String = self.chars[start..self.at].iter().collect();
        text.parse().ok().map(Json::Number)
    }

    fn text(&mut self) -> Option<String> {
        self.accept('"');
        let mut text = String::new();
        loop {
            let c = *self.chars.get(self.at)?;
            self.at += 1;
            match c {
                '"' => return Some(text),
                '\\' => {
                    let escaped = *self.chars.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        'n' => text.push('\n'),
                        't' => text.push('\t'),
                        'r' => text.push('\r'),
                        'u' => {
                            let hex: String = self.chars.iter().skip(self.at).take(4).collect();
                            self.at += 4;
                            let code = u32::from_str_radix(&hex, 16).ok()?;
                            text.push(char::from_u32(code).unwrap_or('?'));
                        }
                        other => text.push(other),
                    }
                }
                other => text.push(other),
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.accept('[');
        let mut items = Vec::new();
        if self.accept(']') {
            return Some(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.accept(']') {
                return Some(Json::List(items));
            }
            if !self.accept(',') {
                return None;
            }
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.accept('{');
        let mut fields = BTreeMap::new();
        if self.accept('}') {
            return Some(Json::Object(fields));
        }
        loop {
            self.peek()?;
            let name = self.text()?;
            if !self.accept(':') {
                return None;
            }
            fields.insert(name, self.value()?);
            if self.accept('}') {
                return Some(Json::Object(fields));
            }
            if !self.accept(',') {
                return None;
            }
        }
    }
}

/// Encodes bytes as base64.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let word = group
            .iter()
            .enumerate()
            .fold(0u32, |word, (index, byte)| word | u32::from(*byte) << (16 - 8 * index));
        for digit in 0..4 {
            match digit <= group.len() {
                true => out.push(char::from(DIGITS[(word >> (18 - 6 * digit) & 63) as usize])),
                false => out.push('='),
            }
        }
    }
    out
}

/// A text as JSON, with its quotes.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if c < ' ' => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}
