use {
    super::spawn_locked,
    anyhow::Context,
    pitchhitch_process::ProcessUsage,
    smol::Timer,
    std::{
        fs::{File, OpenOptions},
        path::{Path, PathBuf},
        process::{Child, Command, ExitStatus, Stdio},
        time::{Duration, Instant},
    },
};

/// How often a process is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A process that this program has started; it is killed when dropped.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
    /// Where its log goes.
    pub log: PathBuf,
}

/// A signal, by the name that `kill` knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessSignal {
    /// Planned stop.
    Term,
    /// Freeze.
    Stop,
    /// Go on after a freeze.
    Continue,
}

impl ChildProcess {
    /// Starts a process whose log goes to a file.
    ///
    /// # Errors
    /// When it cannot be started.
    pub fn start(
        mut command: Command,
        log: &Path,
    ) -> anyhow::Result<Self> {
        let file: File = OpenOptions::new().create(true).append(true).open(log)?;
        command
            .stdin(Stdio::null())
            .stdout(file.try_clone()?)
            .stderr(file);
        let child = spawn_locked(&mut command);
        let child = child.with_context(|| format!("cannot start {command:?}"))?;
        Ok(ChildProcess {
            child,
            log: log.to_path_buf(),
        })
    }

    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Kills it at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends it a signal.
    pub fn signal(
        &self,
        signal: ProcessSignal,
    ) {
        let name = match signal {
            ProcessSignal::Term => "-TERM",
            ProcessSignal::Stop => "-STOP",
            ProcessSignal::Continue => "-CONT",
        };
        let pid = self.pid().to_string();
        let sender = spawn_locked(Command::new("kill").args([name, &pid]));
        let _ = sender.and_then(|mut sender| sender.wait());
    }

    /// Waits until it has ended.
    ///
    /// # Errors
    /// When it has not after `limit`.
    pub async fn wait(
        &mut self,
        timeout: Duration,
    ) -> anyhow::Result<ExitStatus> {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if started.elapsed() > timeout {
                anyhow::bail!("process {} has not ended after {timeout:?}", self.pid());
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }

    /// What it has used so far.
    pub fn usage(&self) -> ProcessUsage {
        ProcessUsage::for_pid(self.pid())
    }

    /// Its log so far.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
