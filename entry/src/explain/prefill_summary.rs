use {
    super::LogLine,
    jiff::Timestamp,
    std::{
        collections::{BTreeMap, HashMap},
        io::{self, BufRead},
    },
};

/// Time within which a part that is read again might have been kept, in seconds.
const EXPECTED_CACHE_LIFETIME_S: f64 = 20.0;
/// Time in which a prompt begins where its log lines do not say, in seconds.
const DEFAULT_FIRST_TOKEN_S: f64 = 1.0;

/// Why an engine read a shared part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PrefillCause {
    /// Nobody had read it for these weights.
    First,
    /// The same front had just sent another prompt with it, which had not begun.
    InProgressSameFront,
    /// Another front had.
    InProgressOtherFront,
    /// It was read a while ago, and no engine or store offered it any more.
    NotCached,
    /// It was read longer ago than it can be expected to be kept.
    Expired,
}

impl PrefillCause {
    /// Words for operators.
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

/// How often parts were read for one cause, and how much.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PrefillTotals {
    /// Parts.
    pub parts: u64,
    /// Tokens; those of one prompt are shared out evenly to the parts it reads.
    pub tokens: f64,
}

/// Why shared parts were read, from the log lines of all fronts.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PrefillSummary {
    /// Sums by cause.
    pub by_cause: BTreeMap<PrefillCause, PrefillTotals>,
    /// Lines that are none of ours.
    pub malformed_lines: u64,
}

/// A part under one version of the weights.
type PartKey = (String, String);

/// A read of a part that was asked for.
#[derive(Debug, Clone)]
struct PartPrefill {
    sent_at: f64,
    first_token_at: f64,
    front: String,
}

impl PrefillSummary {
    /// Adds up the reads that the lines tell of.
    ///
    /// # Errors
    /// When the lines cannot be read.
    pub fn read(lines: impl BufRead) -> io::Result<Self> {
        let mut summary = PrefillSummary::default();
        let mut sends = Vec::new();
        let mut first_ms = HashMap::new();
        for line in lines.split(b'\n') {
            let line = line?;
            if line.trim_ascii().is_empty() {
                continue;
            }
            match LogLine::parse(&String::from_utf8_lossy(&line)) {
                None => summary.malformed_lines += 1,
                Some(line) if line.event() == "end" => record_first_token(&mut first_ms, &line),
                Some(line) if line.field("outcome") == Some("sent") => sends.push(line),
                Some(_) => {}
            }
        }
        sends.sort_by(|a, b| a.time().cmp(b.time()));
        let mut known: HashMap<PartKey, PartPrefill> = HashMap::new();
        for send in &sends {
            summary.add_send(send, &first_ms, &mut known);
        }
        Ok(summary)
    }

    fn add_send(
        &mut self,
        send: &LogLine,
        first_ms: &HashMap<String, f64>,
        known: &mut HashMap<PartKey, PartPrefill>,
    ) {
        let parts = prefilled_parts(send);
        let Some(sent_at) = parse_seconds(send.time()).filter(|_| !parts.is_empty()) else {
            return;
        };
        let tokens = parse_number(send, "shared_unread").unwrap_or(0.0) / parts.len() as f64;
        let request = send.field("request").unwrap_or_default();
        let first_token_s = first_ms
            .get(request)
            .map_or(DEFAULT_FIRST_TOKEN_S, |ms| ms / 1_000.0);
        for part in parts {
            let prefill = PartPrefill {
                sent_at,
                first_token_at: sent_at + first_token_s,
                front: front_name(send),
            };
            let cause = prefill_cause(&prefill, known.get(&part));
            let totals = self.by_cause.entry(cause).or_default();
            totals.parts += 1;
            totals.tokens += tokens;
            known.insert(part, prefill);
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

/// The last word before the pairs: collectors put times of their own before it.
fn front_name(line: &LogLine) -> String {
    let name = line.origin.split_whitespace().last();
    name.unwrap_or_default().to_string()
}

/// The parts that the line says are read, with the weights.
fn prefilled_parts(send: &LogLine) -> Vec<PartKey> {
    let weights = send.field("weights").unwrap_or_default();
    let parts = send.field("parts").unwrap_or_default().split(',');
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
