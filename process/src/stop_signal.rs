use {
    async_signal::{Signal, Signals},
    futures_lite::StreamExt,
    std::io,
};

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
/// If the signal handlers cannot be installed.
pub async fn wait_for_stop() -> io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    match signals.next().await {
        Some(signal) => signal.map(|_| ()),
        None => Ok(()),
    }
}
