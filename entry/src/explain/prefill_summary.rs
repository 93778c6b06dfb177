use {
    super::LogLine,
    jiff::Timestamp,
    std::{
        collections::{BTreeMap, HashMap},
        io::{self, BufRead},
    },
};

/// Time for which a part is expected to remain cached after a prefill, in seconds.
const EXPECTED_CACHE_LIFETIME_S: f64 = 20.0;
/// Time to first token of a prompt whose log lines do not give it, in seconds.
const DEFAULT_FIRST_TOKEN_S: f64 = 1.0;

/// Why an engine prefilled a shared part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PrefillCause {
    /// No engine had prefilled it for these weights.
    First,
    /// The same front had sent another prompt with it, which had no first token yet.
    InProgressSameFront,
    /// Another front had sent another prompt with it, which had no first token yet.
    InProgressOtherFront,
    /// It was prefilled recently enough to be cached, but no engine or store offered it.
    NotCached,
    /// It was prefilled longer ago than parts can be expected to remain cached.
    Expired,
}

impl PrefillCause {
    /// Returns the cause as printed for operators.
    pub fn as_str(self) -> &'static str {
        match self {
            PrefillCause::First => "first for these weights",
            PrefillCause::InProgressSameFront => "being read already, asked for by the same front",
            PrefillCause::InProgressOtherFront => "being read already, asked for by another front",
            PrefillCause::NotCached => "read within 20 s before, offered by nobody",
            PrefillCause::Expired => "read longer ago",
        }
    }
}

/// Number of prefilled parts and tokens of one cause.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PrefillTotals {
    /// Number of parts.
    pub parts: u64,
    /// Number of tokens; those of a prompt are divided evenly among the parts it prefills.
    pub tokens: f64,
}

/// Prefills of shared parts by cause, from the log lines of all fronts.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PrefillSummary {
    /// Totals by cause.
    pub by_cause: BTreeMap<PrefillCause, PrefillTotals>,
    /// Number of lines that are not pitchhitch log lines.
    pub malformed_lines: u64,
}

/// A part and the version of the weights that it was computed with.
type PartKey = (String, String);

/// A prefill of a part that a front requested; times in seconds since the Unix epoch.
#[derive(Debug, Clone)]
struct PartPrefill {
    sent_at: f64,
    first_token_at: f64,
    front: String,
}

impl PrefillSummary {
    /// Reads log lines and counts the prefills in them.
    ///
    /// # Errors
    /// When the lines cannot be read.
    pub fn read(lines: impl BufRead) -> io::Result<Self> {
        let mut summary = PrefillSummary::default();
        let mut sent_lines = Vec::new();
        let mut first_ms = HashMap::new();
        for line in lines.split(b'\n') {
            let line = line?;
            if line.trim_ascii().is_empty() {
                continue;
            }
            match LogLine::parse(&String::from_utf8_lossy(&line)) {
                None => summary.malformed_lines += 1,
                Some(line) if line.event() == "end" => record_first_token(&mut first_ms, &line),
                Some(line) if line.field("outcome") == Some("sent") => sent_lines.push(line),
                Some(_) => {}
            }
        }
        sent_lines.sort_by(|a, b| a.time().cmp(b.time()));
        let mut last_prefills: HashMap<PartKey, PartPrefill> = HashMap::new();
        for line in &sent_lines {
            summary.add_sent_line(line, &first_ms, &mut last_prefills);
        }
        Ok(summary)
    }

    fn add_sent_line(
        &mut self,
        line: &LogLine,
        first_ms: &HashMap<String, f64>,
        last_prefills: &mut HashMap<PartKey, PartPrefill>,
    ) {
        let parts = prefilled_parts(line);
        let Some(sent_at) = parse_seconds(line.time()).filter(|_| !parts.is_empty()) else {
            return;
        };
        let tokens = parse_number(line, "shared_unread").unwrap_or(0.0) / parts.len() as f64;
        let request = line.field("request").unwrap_or_default();
        let first_token_s = first_ms
            .get(request)
            .map_or(DEFAULT_FIRST_TOKEN_S, |ms| ms / 1_000.0);
        for part in parts {
            let prefill = PartPrefill {
                sent_at,
                first_token_at: sent_at + first_token_s,
                front: front_name(line),
            };
            let cause = prefill_cause(&prefill, last_prefills.get(&part));
            let totals = self.by_cause.entry(cause).or_default();
            totals.parts += 1;
            totals.tokens += tokens;
            last_prefills.insert(part, prefill);
        }
    }
}

fn prefill_cause(
    prefill: &PartPrefill,
    previous: Option<&PartPrefill>,
) -> PrefillCause {
    match previous {
        None => PrefillCause::First,
        Some(previous)
            if previous.first_token_at > prefill.sent_at && previous.front == prefill.front =>
        {
            PrefillCause::InProgressSameFront
        }
        Some(previous) if previous.first_token_at > prefill.sent_at => {
            PrefillCause::InProgressOtherFront
        }
        Some(previous) if prefill.sent_at - previous.sent_at < EXPECTED_CACHE_LIFETIME_S => {
            PrefillCause::NotCached
        }
        Some(_) => PrefillCause::Expired,
    }
}

/// Returns the last word before the pairs, which is the box: log collectors prepend timestamps.
fn front_name(line: &LogLine) -> String {
    let name = line.origin.split_whitespace().last();
    name.unwrap_or_default().to_string()
}

/// Returns the parts that the line marks as prefilled (`:r`), with the version of the weights.
fn prefilled_parts(line: &LogLine) -> Vec<PartKey> {
    let weights = line.field("weights").unwrap_or_default();
    let parts = line.field("parts").unwrap_or_default().split(',');
    let prefilled = parts.filter_map(|part| part.strip_suffix(":r"));
    prefilled
        .map(|part| (part.to_string(), weights.to_string()))
        .collect()
}

fn record_first_token(
    first_ms: &mut HashMap<String, f64>,
    end: &LogLine,
) {
    let first_token_ms = parse_number(end, "first_ms").filter(|ms| *ms >= 0.0);
    if let (Some(request), Some(ms)) = (end.field("request"), first_token_ms) {
        first_ms.insert(request.to_string(), ms);
    }
}

fn parse_number(
    line: &LogLine,
    name: &str,
) -> Option<f64> {
    line.field(name)?.parse().ok()
}

fn parse_seconds(time: &str) -> Option<f64> {
    let timestamp: Timestamp = time.parse().ok()?;
    Some(timestamp.as_millisecond() as f64 / 1_000.0)
}
