use {
    super::{SettingsErrors, SettingsProblem},
    crate::time::Micros,
    serde::de::DeserializeOwned,
    serde_json::{Map, Value},
    std::{collections::BTreeSet, net::SocketAddr, ops::RangeInclusive},
};

/// Fields whose name starts with this prefix are comments.
const COMMENT_PREFIX: &str = "//";
/// Maximum number of characters of an invalid value in an error message.
const SHOWN_VALUE_CHARS: usize = 60;

/// Reads a settings file field by field and collects all problems.
///
/// An invalid field yields a placeholder value, so that reading can continue;
/// [`SettingsReader::finish`] then rejects the file.
#[derive(Debug)]
pub struct SettingsReader {
    file: String,
    fields: Map<String, Value>,
    known: BTreeSet<&'static str>,
    problems: Vec<SettingsProblem>,
}

impl SettingsReader {
    /// Parses the text of a file, which must be a JSON object.
    ///
    /// # Errors
    /// [`SettingsErrors`] if it is not.
    pub fn parse(
        file: &str,
        text: &str,
    ) -> Result<Self, SettingsErrors> {
        let file_problem = |found: String| SettingsErrors {
            file: file.to_string(),
            problems: vec![SettingsProblem {
                field: "(whole file)".to_string(),
                found,
                wanted: "one JSON object".to_string(),
            }],
        };
        match serde_json::from_str(text) {
            Ok(Value::Object(fields)) => Ok(SettingsReader {
                file: file.to_string(),
                fields,
                known: BTreeSet::new(),
                problems: Vec::new(),
            }),
            Ok(other) => Err(file_problem(abbreviate(&other))),
            Err(error) => Err(file_problem(error.to_string())),
        }
    }

    /// A required, non-empty string.
    pub fn text(
        &mut self,
        field: &'static str,
    ) -> String {
        match self.read_field(field) {
            Some(Value::String(text)) if !text.is_empty() => text,
            other => {
                self.add_field_problem(field, &other, "a non-empty string");
                String::new()
            }
        }
    }

    /// An optional, non-empty string.
    pub fn optional_text(
        &mut self,
        field: &'static str,
    ) -> Option<String> {
        match self.read_field(field) {
            None | Some(Value::Null) => None,
            Some(Value::String(text)) if !text.is_empty() => Some(text),
            other => {
                self.add_field_problem(field, &other, "a non-empty string, or nothing");
                None
            }
        }
    }

    /// A required IP address and port.
    pub fn address(
        &mut self,
        field: &'static str,
    ) -> SocketAddr {
        let value = self.read_field(field);
        match parse_address(&value) {
            Some(address) => address,
            None => {
                self.add_field_problem(
                    field,
                    &value,
                    "an IP address and port, such as \"127.0.0.1:8080\"",
                );
                SocketAddr::from(([127, 0, 0, 1], 0))
            }
        }
    }

    /// An optional IP address and port.
    pub fn optional_address(
        &mut self,
        field: &'static str,
    ) -> Option<SocketAddr> {
        let present = self.fields.get(field).is_some_and(|v| !v.is_null());
        if present {
            return Some(self.address(field));
        }
        self.read_field(field);
        None
    }

    /// An integer within bounds.
    pub fn number(
        &mut self,
        field: &'static str,
        default: u64,
        bounds: RangeInclusive<u64>,
    ) -> u64 {
        let value = self.read_field(field);
        let number = match &value {
            None | Some(Value::Null) => Some(default),
            Some(value) => value.as_u64().filter(|n| bounds.contains(n)),
        };
        number.unwrap_or_else(|| {
            let wanted = format!("a whole number from {} to {}", bounds.start(), bounds.end());
            self.add_field_problem(field, &value, &wanted);
            default
        })
    }

    /// A number within bounds, fractions allowed.
    pub fn fraction(
        &mut self,
        field: &'static str,
        default: f64,
        bounds: RangeInclusive<f64>,
    ) -> f64 {
        let value = self.read_field(field);
        let number = match &value {
            None | Some(Value::Null) => Some(default),
            Some(value) => value.as_f64().filter(|n| bounds.contains(n)),
        };
        number.unwrap_or_else(|| {
            let wanted = format!("a number from {} to {}", bounds.start(), bounds.end());
            self.add_field_problem(field, &value, &wanted);
            default
        })
    }

    /// A duration in milliseconds within bounds, fractions allowed.
    pub fn millis(
        &mut self,
        field: &'static str,
        default: f64,
        bounds: RangeInclusive<f64>,
    ) -> Micros {
        Micros((self.fraction(field, default, bounds) * 1_000.0).round() as u64)
    }

    /// A duration in seconds within bounds, fractions allowed.
    pub fn seconds(
        &mut self,
        field: &'static str,
        default: f64,
        bounds: RangeInclusive<f64>,
    ) -> Micros {
        Micros((self.fraction(field, default, bounds) * 1_000_000.0).round() as u64)
    }

    /// A boolean.
    pub fn flag(
        &mut self,
        field: &'static str,
        default: bool,
    ) -> bool {
        match self.read_field(field) {
            None | Some(Value::Null) => default,
            Some(Value::Bool(flag)) => flag,
            other => {
                self.add_field_problem(field, &other, "true or false");
                default
            }
        }
    }

    /// A boolean that a template may have written as a string. The string is empty if the
    /// template had no value; the default applies then.
    pub fn flag_or_text(
        &mut self,
        field: &'static str,
        default: bool,
    ) -> bool {
        let parsed = match self.fields.get(field).and_then(Value::as_str) {
            Some("true") => true,
            Some("false") => false,
            Some("") => default,
            _ => return self.flag(field, default),
        };
        self.read_field(field);
        parsed
    }

    /// A number that a template may have written as a string. The string is empty if the
    /// template had no value; the default applies then.
    pub fn fraction_or_text(
        &mut self,
        field: &'static str,
        default: f64,
        bounds: RangeInclusive<f64>,
    ) -> f64 {
        let text = self.fields.get(field).and_then(Value::as_str);
        let number = match text {
            Some("") => {
                self.read_field(field);
                return default;
            }
            Some(text) => text.parse::<f64>().ok(),
            None => None,
        };
        if let Some(number) = number {
            self.fields.insert(field.to_string(), Value::from(number));
        }
        self.fraction(field, default, bounds)
    }

    /// A value of any type that can be deserialized from JSON.
    pub fn value<T: DeserializeOwned>(
        &mut self,
        field: &'static str,
        default: Option<T>,
        wanted: &str,
    ) -> Option<T> {
        let value = self.read_field(field);
        match &value {
            None | Some(Value::Null) if default.is_some() => default,
            None | Some(Value::Null) => {
                self.add_field_problem(field, &value, wanted);
                None
            }
            Some(present) => match serde_json::from_value(present.clone()) {
                Ok(read) => Some(read),
                Err(error) => {
                    let wanted = format!("{wanted} ({error})");
                    self.add_field_problem(field, &value, &wanted);
                    default
                }
            },
        }
    }

    /// Adds a problem that involves several fields.
    pub fn add_problem(
        &mut self,
        field: &'static str,
        found: &str,
        wanted: &str,
    ) {
        self.problems.push(SettingsProblem {
            field: field.to_string(),
            found: found.to_string(),
            wanted: wanted.to_string(),
        });
    }

    /// Checks for unknown fields and returns all problems.
    ///
    /// # Errors
    /// [`SettingsErrors`] with every problem, including unknown fields.
    pub fn finish(mut self) -> Result<(), SettingsErrors> {
        let known: Vec<&str> = self.known.iter().copied().collect();
        for (field, value) in &self.fields {
            if self.known.contains(field.as_str()) || field.starts_with(COMMENT_PREFIX) {
                continue;
            }
            self.problems.push(SettingsProblem {
                field: field.clone(),
                found: format!("an unknown field with {}", abbreviate(value)),
                wanted: format!("one of {}", known.join(", ")),
            });
        }
        if self.problems.is_empty() {
            return Ok(());
        }
        Err(SettingsErrors {
            file: self.file,
            problems: self.problems,
        })
    }

    fn read_field(
        &mut self,
        field: &'static str,
    ) -> Option<Value> {
        self.known.insert(field);
        self.fields.get(field).cloned()
    }

    fn add_field_problem(
        &mut self,
        field: &'static str,
        value: &Option<Value>,
        wanted: &str,
    ) {
        let found = match value {
            None => "nothing".to_string(),
            Some(value) => abbreviate(value),
        };
        self.add_problem(field, &found, wanted);
    }
}

fn parse_address(value: &Option<Value>) -> Option<SocketAddr> {
    value.as_ref()?.as_str()?.parse().ok()
}

fn abbreviate(value: &Value) -> String {
    let text = value.to_string();
    match text.char_indices().nth(SHOWN_VALUE_CHARS) {
        Some((cut, _)) => format!("{}...", &text[..cut]),
        None => text,
    }
}
