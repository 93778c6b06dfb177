use {
    async_signal::{Signal, Signals},
    futures_lite::StreamExt,
    std::io,
};

/// Waits until somebody asks the process to stop, by SIGTERM or SIGINT.
///
/// # Errors
/// When the signals cannot be watched.
pub async fn wait_for_stop() -> io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    match signals.next().await {
        Some(signal) => signal.map(|_| ()),
        None => Ok(()),
    }
}
