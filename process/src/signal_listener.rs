use {
    async_signal::{Signal, Signals},
    futures_lite::StreamExt,
    std::io,
};

/// Meaning of a signal for a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessSignal {
    /// Finish open requests, then exit.
    Stop,
    /// Reload the settings.
    Reload,
}

/// Receives the signals that the platform sends to processes. An unhandled one would
/// terminate the process.
#[derive(Debug)]
pub struct SignalListener {
    signals: Signals,
}

impl SignalListener {
    /// Installs the signal handlers.
    ///
    /// # Errors
    /// If the handlers cannot be installed.
    pub fn start() -> io::Result<Self> {
        let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
        Ok(SignalListener { signals })
    }

    /// Waits for the next signal.
    ///
    /// # Errors
    /// If signals can no longer be received.
    pub async fn next(&mut self) -> io::Result<ProcessSignal> {
        match self.signals.next().await.transpose()? {
            Some(Signal::Hup) => Ok(ProcessSignal::Reload),
            _ => Ok(ProcessSignal::Stop),
        }
    }

    /// Waits for a stop signal. On a reload signal, reads and checks the settings again and logs whether
    /// they differ; a change takes effect at the next start, which the platform does one box at a time.
    ///
    /// # Errors
    /// If signals can no longer be received.
    pub async fn wait_for_stop<S: PartialEq>(
        &mut self,
        settings: &S,
        reload: &dyn Fn() -> Result<S, String>,
    ) -> io::Result<()> {
        while self.next().await? == ProcessSignal::Reload {
            match reload() {
                Ok(new) => log::info!(event = "reload", changed = new != *settings; ""),
                Err(error) => log::error!(event = "reload", error = error.as_str(); ""),
            }
        }
        Ok(())
    }
}
