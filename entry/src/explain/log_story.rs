use {
    super::LogLine,
    std::{
        collections::BTreeSet,
        io::{self, BufRead},
    },
};

/// What the log lines of all processes say of one request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LogStory {
    /// Lines with the id of the request, in the order of their times.
    pub own: Vec<LogLine>,
    /// Lines about endpoints that it went to: what was believed of them changed.
    pub around: Vec<LogLine>,
    /// Lines that are none of ours.
    pub broken: u64,
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

impl LogStory {
    /// Gathers the story of a request.
    ///
    /// # Errors
    /// When the lines cannot be read.
    pub fn gather(
        lines: impl BufRead,
        request: &str,
    ) -> io::Result<Self> {
        let mut story = LogStory::default();
        let mut others = Vec::new();
        for line in lines.split(b'\n') {
            let line = line?;
            if line.trim_ascii().is_empty() {
                continue;
            }
            match LogLine::parse(&String::from_utf8_lossy(&line)) {
                None => story.broken += 1,
                Some(line) if line.field("request") == Some(request) => story.own.push(line),
                Some(line) if ENDPOINT_EVENTS.contains(&line.event()) => others.push(line),
                Some(_) => {}
            }
        }
        let tried = |line: &LogLine| line.field("endpoint").map(str::to_string);
        let endpoints: BTreeSet<String> = story.own.iter().filter_map(tried).collect();
        let is_near = |line: &LogLine| tried(line).is_some_and(|id| endpoints.contains(&id));
        story.around = others.into_iter().filter(is_near).collect();
        story.own.sort_by(|one, two| one.time().cmp(two.time()));
        story.around.sort_by(|one, two| one.time().cmp(two.time()));
        Ok(story)
    }
}
