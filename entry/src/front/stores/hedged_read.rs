use {
    futures_lite::future::or,
    pitchhitch_platform::StoreError,
    smol::Timer,
    std::{future::Future, pin::pin, time::Duration},
};

/// Time for which a read of the platform store may be pending before a second one is sent on another
/// connection: the first may have been lost with its connection.
pub(crate) const HEDGE_DELAY: Duration = Duration::from_millis(400);

/// Result of a read, or of a second one that starts if the first is pending after `delay`. The second
/// one counts only if it succeeds or the first one fails, too.
///
/// # Errors
/// The error of the read that failed last.
pub(crate) async fn hedge<T>(
    first: impl Future<Output = Result<T, StoreError>>,
    delay: Duration,
    second: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    let mut first = pin!(first);
    let early = async { Some(first.as_mut().await) };
    let is_late = async {
        Timer::after(delay).await;
        None
    };
    if let Some(result) = or(early, is_late).await {
        return result;
    }
    let mut second = pin!(second);
    let by_first = async { (true, first.as_mut().await) };
    let by_second = async { (false, second.as_mut().await) };
    match or(by_first, by_second).await {
        (_, Ok(value)) => Ok(value),
        (true, Err(_)) => second.await,
        (false, Err(_)) => first.await,
    }
}
