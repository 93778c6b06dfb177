use {
    super::LogLine,
    std::{
        collections::BTreeSet,
        io::{self, BufRead},
    },
};

/// Log lines of any number of processes that concern one request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestTrace {
    /// Lines with the id of the request, ordered by time.
    pub request_lines: Vec<LogLine>,
    /// Lines about status changes of the endpoints that the request was sent to, ordered by time.
    pub endpoint_lines: Vec<LogLine>,
    /// Number of lines that are not pitchhitch log lines.
    pub malformed_lines: u64,
}

/// Events of an endpoint that can explain the outcome of a request.
const ENDPOINT_EVENTS: [&str; 6] = [
    "endpoint",
    "endpoint-out",
    "endpoint-replaced",
    "engine-silent",
    "swap-turn",
    "weights-seen",
];

impl RequestTrace {
    /// Reads log lines and selects those that concern a request.
    ///
    /// # Errors
    /// When the lines cannot be read.
    pub fn read(
        lines: impl BufRead,
        request: &str,
    ) -> io::Result<Self> {
        let mut trace = RequestTrace::default();
        let mut endpoint_lines = Vec::new();
        for line in lines.split(b'\n') {
            let line = line?;
            if line.trim_ascii().is_empty() {
                continue;
            }
            match LogLine::parse(&String::from_utf8_lossy(&line)) {
                None => trace.malformed_lines += 1,
                Some(line) if line.field("request") == Some(request) => {
                    trace.request_lines.push(line)
                }
                Some(line) if ENDPOINT_EVENTS.contains(&line.event()) => endpoint_lines.push(line),
                Some(_) => {}
            }
        }
        let endpoint_id = |line: &LogLine| line.field("endpoint").map(str::to_string);
        let endpoints: BTreeSet<String> =
            trace.request_lines.iter().filter_map(endpoint_id).collect();
        let is_relevant =
            |line: &LogLine| endpoint_id(line).is_some_and(|id| endpoints.contains(&id));
        trace.endpoint_lines = endpoint_lines.into_iter().filter(is_relevant).collect();
        trace.request_lines.sort_by(|a, b| a.time().cmp(b.time()));
        trace.endpoint_lines.sort_by(|a, b| a.time().cmp(b.time()));
        Ok(trace)
    }
}
