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

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A child process; it is killed on drop.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
    /// File that its output is appended to.
    pub log: PathBuf,
}

/// A signal that can be sent to a child process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessSignal {
    /// SIGTERM: graceful shutdown.
    Term,
    /// SIGHUP: reload.
    Reload,
    /// SIGSTOP: pause.
    Stop,
    /// SIGCONT: resume after a pause.
    Continue,
}

impl ChildProcess {
    /// Starts a process and appends its output to a log file.
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

    /// Process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends SIGKILL and waits for the end of the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal through the `kill` command.
    pub fn signal(
        &self,
        signal: ProcessSignal,
    ) {
        let name = match signal {
            ProcessSignal::Term => "-TERM",
            ProcessSignal::Reload => "-HUP",
            ProcessSignal::Stop => "-STOP",
            ProcessSignal::Continue => "-CONT",
        };
        let pid = self.pid().to_string();
        let sender = spawn_locked(Command::new("kill").args([name, &pid]));
        let _ = sender.and_then(|mut sender| sender.wait());
    }

    /// Waits for the process to exit.
    ///
    /// # Errors
    /// When it has not exited after `timeout`.
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
                anyhow::bail!("process {} has not exited after {timeout:?}", self.pid());
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }

    /// CPU time and memory that it uses.
    pub fn usage(&self) -> ProcessUsage {
        ProcessUsage::for_pid(self.pid())
    }

    /// Content of its log file.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
