use {
    crate::front::AttemptTimer, futures_lite::future::poll_fn, pitchhitch_http1::TcpConnection,
    std::task::Poll,
};

/// Bytes of pipelined requests that are buffered for a caller.
pub(crate) const MAX_PIPELINED_BYTES: usize = 64 << 10;

/// Why the task of a request wakes up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WakeReason {
    /// The endpoint sent data or closed the connection.
    EndpointReadable,
    /// More of the request can be written to the endpoint.
    EndpointWritable,
    /// The endpoint no longer responds.
    EndpointUnresponsive,
    /// The caller closed its connection.
    CallerGone,
    /// The timer of the request expired.
    TimedOut,
}

/// Waits for the endpoint, and detects that the caller closes its connection.
pub(crate) async fn wait_for_endpoint(
    endpoint: &TcpConnection,
    wants_write: bool,
    caller: &mut TcpConnection,
    timer: &mut AttemptTimer,
) -> WakeReason {
    loop {
        let reads_caller = caller.buffer().len() < MAX_PIPELINED_BYTES;
        let wake = poll_fn(|context| {
            if endpoint.poll_readable(context).is_ready() {
                timer.record_heard();
                return Poll::Ready(Some(WakeReason::EndpointReadable));
            }
            if wants_write && endpoint.poll_writable(context).is_ready() {
                return Poll::Ready(Some(WakeReason::EndpointWritable));
            }
            if reads_caller && caller.poll_readable(context).is_ready() {
                return Poll::Ready(None);
            }
            timer.poll_end(context).map(Some)
        });
        if let Some(reason) = wake.await {
            return reason;
        }
        // Pipelined requests stay buffered; a closed connection is reported at once.
        if matches!(caller.try_read(), Ok(Some(0)) | Err(_)) {
            return WakeReason::CallerGone;
        }
    }
}

/// Writes to the caller until the deadline of the request; true if everything was written.
pub(crate) async fn write_to_caller(
    caller: &TcpConnection,
    bytes: &[u8],
    timer: &mut AttemptTimer,
) -> bool {
    // Usually everything is written at once.
    let sent = match caller.try_write(bytes) {
        Ok(count) if count == bytes.len() => return true,
        Ok(count) => count,
        Err(_) => return false,
    };
    let timed_out = async {
        poll_fn(|context| timer.poll_time(context)).await;
        false
    };
    let remaining_write = async { caller.write_all(&bytes[sent..]).await.is_ok() };
    futures_lite::future::or(remaining_write, timed_out).await
}
