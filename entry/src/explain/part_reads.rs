use {
    super::LogLine,
    jiff::Timestamp,
    std::{
        collections::{BTreeMap, HashMap},
        io::{self, BufRead},
    },
};

/// Time within which a part that is read again might have been kept, in seconds.
const AGAIN_S: f64 = 20.0;
/// Time in which a prompt begins where its log lines do not say, in seconds.
const USUAL_READ_S: f64 = 1.0;

/// Why an engine read a shared part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReadCause {
    /// Nobody had read it for these weights.
    First,
    /// The same front had just sent another prompt with it, which had not begun.
    AtOnceSameFront,
    /// Another front had.
    AtOnceOtherFront,
    /// It was read a while ago, and no engine or store offered it any more.
    KeptNowhere,
    /// It was read longer ago than it can be expected to be kept.
    LongAgo,
}

impl ReadCause {
    /// Words for operators.
    pub fn words(self) -> &'static str {
        match self {
            ReadCause::First => "first for these weights",
            ReadCause::AtOnceSameFront => "being read already, asked for by the same front",
            ReadCause::AtOnceOtherFront => "being read already, asked for by another front",
            ReadCause::KeptNowhere => "read within 20 s before, offered by nobody",
            ReadCause::LongAgo => "read longer ago",
        }
    }
}

/// How often parts were read for one cause, and how much.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ReadSum {
    /// Parts.
    pub parts: u64,
    /// Tokens; those of one prompt are shared out evenly to the parts it reads.
    pub tokens: f64,
}

/// Why shared parts were read, from the log lines of all fronts.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PartReads {
    /// Sums by cause.
    pub by_cause: BTreeMap<ReadCause, ReadSum>,
    /// Lines that are none of ours.
    pub broken: u64,
}

/// A part under one version of the weights.
type PartName = (String, String);

/// A read of a part that was asked for.
#[derive(Debug, Clone)]
struct PartRead {
    at: f64,
    began_at: f64,
    front: String,
}

impl PartReads {
    /// Adds up the reads that the lines tell of.
    ///
    /// # Errors
    /// When the lines cannot be read.
    pub fn gather(lines: impl BufRead) -> io::Result<Self> {
        let mut reads = PartReads::default();
        let mut sends = Vec::new();
        let mut first_ms = HashMap::new();
        for line in lines.split(b'\n') {
            let line = line?;
            if line.trim_ascii().is_empty() {
                continue;
            }
            match LogLine::parse(&String::from_utf8_lossy(&line)) {
                None => reads.broken += 1,
                Some(line) if line.event() == "end" => note_begin(&mut first_ms, &line),
                Some(line) if line.field("outcome") == Some("sent") => sends.push(line),
                Some(_) => {}
            }
        }
        sends.sort_by(|one, two| one.time().cmp(two.time()));
        let mut known: HashMap<PartName, PartRead> = HashMap::new();
        for send in &sends {
            reads.add_send(send, &first_ms, &mut known);
        }
        Ok(reads)
    }

    fn add_send(
        &mut self,
        send: &LogLine,
        first_ms: &HashMap<String, f64>,
        known: &mut HashMap<PartName, PartRead>,
    ) {
        let parts = read_parts(send);
        let Some(at) = seconds(send.time()).filter(|_| !parts.is_empty()) else {
            return;
        };
        let tokens = number(send, "shared_unread").unwrap_or(0.0) / parts.len() as f64;
        let request = send.field("request").unwrap_or_default();
        let took_s = first_ms
            .get(request)
            .map_or(USUAL_READ_S, |ms| ms / 1_000.0);
        for part in parts {
            let read = PartRead {
                at,
                began_at: at + took_s,
                front: front_name(send),
            };
            let cause = cause_of(&read, known.get(&part));
            let sum = self.by_cause.entry(cause).or_default();
            sum.parts += 1;
            sum.tokens += tokens;
            known.insert(part, read);
        }
    }
}

fn cause_of(
    read: &PartRead,
    before: Option<&PartRead>,
) -> ReadCause {
    match before {
        None => ReadCause::First,
        Some(before) if before.began_at > read.at && before.front == read.front => {
            ReadCause::AtOnceSameFront
        }
        Some(before) if before.began_at > read.at => ReadCause::AtOnceOtherFront,
        Some(before) if read.at - before.at < AGAIN_S => ReadCause::KeptNowhere,
        Some(_) => ReadCause::LongAgo,
    }
}

/// The last word before the pairs: collectors put times of their own before it.
fn front_name(line: &LogLine) -> String {
    let name = line.origin.split_whitespace().last();
    name.unwrap_or_default().to_string()
}

/// The parts that the line says are read, with the weights.
fn read_parts(send: &LogLine) -> Vec<PartName> {
    let weights = send.field("weights").unwrap_or_default();
    let parts = send.field("parts").unwrap_or_default().split(',');
    let read = parts.filter_map(|part| part.strip_suffix(":r"));
    read.map(|part| (part.to_string(), weights.to_string()))
        .collect()
}

fn note_begin(
    first_ms: &mut HashMap<String, f64>,
    end: &LogLine,
) {
    let begun = number(end, "first_ms").filter(|ms| *ms >= 0.0);
    if let (Some(request), Some(ms)) = (end.field("request"), begun) {
        first_ms.insert(request.to_string(), ms);
    }
}

fn number(
    line: &LogLine,
    name: &str,
) -> Option<f64> {
    line.field(name)?.parse().ok()
}

fn seconds(time: &str) -> Option<f64> {
    let stamp: Timestamp = time.parse().ok()?;
    Some(stamp.as_millisecond() as f64 / 1_000.0)
}
