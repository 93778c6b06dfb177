use {
    serde::{Deserialize, Serialize},
    std::fs,
};

/// Clock ticks per second in `/proc`; 100 on all supported Linux systems.
const TICKS_PER_SECOND: f64 = 100.0;
const PAGE_BYTES: u64 = 4096;

/// Resource usage of a process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ProcessUsage {
    /// CPU time since the start, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
}

impl ProcessUsage {
    /// Reads the usage of this process; values that cannot be read are zero.
    pub fn current() -> Self {
        Self::of("self")
    }

    /// Reads the usage of another process; values that cannot be read are zero.
    pub fn for_pid(pid: u32) -> Self {
        Self::of(&pid.to_string())
    }

    fn of(process: &str) -> Self {
        let stat = fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
        let statm = fs::read_to_string(format!("/proc/{process}/statm")).unwrap_or_default();
        ProcessUsage {
            cpu_seconds: cpu_ticks(&stat) as f64 / TICKS_PER_SECOND,
            resident_bytes: resident_pages(&statm) * PAGE_BYTES,
        }
    }
}

fn cpu_ticks(stat: &str) -> u64 {
    // The process name in parentheses may contain spaces, so fields are counted after it.
    let Some((_, rest)) = stat.rsplit_once(')') else {
        return 0;
    };
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let field = |index: usize| fields.get(index).and_then(|f| f.parse().ok()).unwrap_or(0);
    let user: u64 = field(11);
    let system: u64 = field(12);
    user + system
}

fn resident_pages(statm: &str) -> u64 {
    let field = statm.split_whitespace().nth(1);
    field.and_then(|f| f.parse().ok()).unwrap_or(0)
}
