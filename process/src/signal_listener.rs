use {
    async_signal::{Signal, Signals},
    futures_lite::StreamExt,
    std::io,
};

/// What a signal asks of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessSignal {
    /// To serve what is open to its end, and to end then.
    Stop,
    /// To read its settings again.
    Reload,
}

/// Watches the signals that processes on the platform get. One that is not
/// watched would end the process.
#[derive(Debug)]
pub struct SignalListener {
    signals: Signals,
}

impl SignalListener {
    /// Starts watching.
    ///
    /// # Errors
    /// When the system refuses.
    pub fn start() -> io::Result<Self> {
        let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
        Ok(SignalListener { signals })
    }

    /// Waits for the next signal.
    ///
    /// # Errors
    /// When the signals cannot be watched any more.
    pub async fn next(&mut self) -> io::Result<ProcessSignal> {
        match self.signals.next().await.transpose()? {
            Some(Signal::Hup) => Ok(ProcessSignal::Reload),
            _ => Ok(ProcessSignal::Stop),
        }
    }
}
