/// A log line: key=value pairs, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogLine {
    /// Text before the pairs, such as the name of a box.
    pub origin: String,
    fields: Vec<(String, String)>,
}

impl LogLine {
    /// Parses a line; `None` if it has no `time` or no `event`.
    pub fn parse(text: &str) -> Option<Self> {
        let start = text.find("time=")?;
        let mut line = LogLine {
            origin: text[..start].trim().to_string(),
            fields: Vec::new(),
        };
        let mut rest = &text[start..];
        while let Some((name, tail)) = rest.trim_start().split_once('=') {
            let (value, after) = parse_value(tail);
            line.fields.push((name.to_string(), value));
            rest = after;
        }
        line.field("event").is_some().then_some(line)
    }

    /// Returns the value of a field.
    pub fn field(
        &self,
        name: &str,
    ) -> Option<&str> {
        let found = self.fields.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the name of the event.
    pub fn event(&self) -> &str {
        self.field("event").unwrap_or_default()
    }

    /// Returns the time at which the line was written.
    pub fn time(&self) -> &str {
        self.field("time").unwrap_or_default()
    }

    /// Returns the pairs other than `time`, `level`, `event` and `request`, separated by spaces.
    pub fn details(&self) -> String {
        let common = ["time", "level", "event", "request"];
        let details = self
            .fields
            .iter()
            .filter(|(name, _)| !common.contains(&name.as_str()));
        let details: Vec<String> = details
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        details.join(" ")
    }
}

/// Splits off a value, which is quoted or ends at the next space, and returns it with the rest.
fn parse_value(text: &str) -> (String, &str) {
    let Some(quoted) = text.strip_prefix('"') else {
        let end = text.find(' ').unwrap_or(text.len());
        return (text[..end].to_string(), &text[end..]);
    };
    let mut value = String::new();
    let mut chars = quoted.char_indices();
    while let Some((index, ch)) = chars.next() {
        match ch {
            '"' => return (value, &quoted[index + 1..]),
            '\\' => value.extend(chars.next().map(|(_, ch)| ch)),
            ch => value.push(ch),
        }
    }
    (value, "")
}
