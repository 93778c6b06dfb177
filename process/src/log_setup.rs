use {
    crate::bounded_output::BoundedOutput,
    env_logger::{Builder, Env, Target},
    log::kv::{Error, Key, Value, VisitSource},
    std::{
        io::Write,
        sync::{Mutex, OnceLock, PoisonError},
        time::Duration,
    },
};

/// Environment variable with the log filter, in the syntax of `env_logger`.
pub const LOG_VARIABLE: &str = "PITCHHITCH_LOG";

/// Buffered standard output of this process.
static OUTPUT: OnceLock<Mutex<BoundedOutput>> = OnceLock::new();

/// Writes to [`OUTPUT`], which the logger and [`flush_log`] share.
struct SharedOutput;

impl Write for SharedOutput {
    fn write(
        &mut self,
        line: &[u8],
    ) -> std::io::Result<usize> {
        let output = OUTPUT.get_or_init(|| Mutex::new(BoundedOutput::new()));
        output
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .write(line)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

struct KeyValueWriter {
    line: String,
}

impl<'kvs> VisitSource<'kvs> for KeyValueWriter {
    fn visit_pair(
        &mut self,
        key: Key<'kvs>,
        value: Value<'kvs>,
    ) -> Result<(), Error> {
        self.line.push(' ');
        self.line.push_str(key.as_str());
        self.line.push('=');
        self.line.push_str(&quoted(&value.to_string()));
        Ok(())
    }
}

/// Formats a value for a log line: quoted unless it is a single word.
pub fn quoted(value: &str) -> String {
    let is_plain = !value.is_empty() && !value.contains([' ', '"', '=', '\n']);
    if is_plain {
        value.to_string()
    } else {
        format!("{value:?}")
    }
}

/// Initialises logging: one line of key=value pairs per event, to standard error.
///
/// A non-empty message of a record is written under the key `text`.
pub fn start_logging() {
    // A second call, as in tests, has no effect.
    let _ = builder().try_init();
}

/// Initialises logging for a process that must never block on it: the same lines go to
/// standard output through a bounded buffer.
///
/// The buffer is written on [`flush_log`] or when it holds several kilobytes.
pub fn start_bounded_logging() {
    let mut builder = builder();
    builder.target(Target::Pipe(Box::new(SharedOutput)));
    builder.write_style(env_logger::WriteStyle::Never);
    let _ = builder.try_init();
}

/// Writes the buffered log lines.
pub fn flush_log() {
    if let Some(output) = OUTPUT.get() {
        let mut output = output.lock().unwrap_or_else(PoisonError::into_inner);
        // Lines that cannot be written yet stay buffered; dropped lines are counted.
        let _ = output.flush();
    }
}

/// Writes the buffered log lines before the process exits. A reader that is behind is waited for, but
/// not for longer than `limit`.
pub fn finish_log(limit: Duration) {
    if let Some(output) = OUTPUT.get() {
        let mut output = output.lock().unwrap_or_else(PoisonError::into_inner);
        output.finish(limit);
    }
}

fn builder() -> Builder {
    let env = Env::new().filter_or(
        LOG_VARIABLE,
        "info,trillium=warn,trillium_http=warn,h2=warn",
    );
    let mut builder = Builder::from_env(env);
    builder.format(|out, record| {
        let mut pairs = KeyValueWriter {
            line: String::new(),
        };
        let _ = record.key_values().visit(&mut pairs);
        let time = out.timestamp_millis();
        let level = record.level();
        let text = record.args().to_string();
        if text.is_empty() {
            writeln!(out, "time={time} level={level}{}", pairs.line)
        } else {
            writeln!(
                out,
                "time={time} level={level}{} text={}",
                pairs.line,
                quoted(&text)
            )
        }
    });
    builder
}
