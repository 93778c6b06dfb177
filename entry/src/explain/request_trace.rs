use {
    super::LogLine,
    std::{
        collections::BTreeSet,
        io::{self, BufRead},
    },
};

/// What the log lines of all processes say of one request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestTrace {
    /// Lines with the id of the request, in the order of their times.
    pub request_lines: Vec<LogLine>,
    /// Lines about endpoints that it went to: what was believed of them changed.
    pub endpoint_lines: Vec<LogLine>,
    /// Lines that are none of ours.
    pub malformed_lines: u64,
}

/// Events about an endpoint that can explain what became of a request.
const ENDPOINT_EVENTS: [&str; 6] = [
    "endpoint",
    "endpoint-out",
    "endpoint-replaced",
    "engine-silent",
    "swap-turn",
    "weights-seen",
];

impl RequestTrace {
    /// Gathers the story of a request.
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
