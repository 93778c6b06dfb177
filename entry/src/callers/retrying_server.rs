use {
    smol::{
        net::{TcpListener, TcpStream},
        Timer,
    },
    std::{future::Future, io::Result, pin::Pin, time::Duration},
    trillium::Info,
    trillium_server_common::Server,
    trillium_smol::SmolTransport,
};

/// Delay after a connection could not be accepted. The server retries at once after each error, and
/// one that stays, such as too many open files, would keep a traffic thread busy for good.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The listener of an HTTP server, which waits after each failed accept.
#[derive(Debug)]
pub struct RetryingServer(TcpListener);

impl From<TcpListener> for RetryingServer {
    fn from(listener: TcpListener) -> Self {
        RetryingServer(listener)
    }
}

impl Server for RetryingServer {
    type Transport = SmolTransport<TcpStream>;
    const DESCRIPTION: &'static str = " (smol)";

    fn accept(&mut self) -> Pin<Box<dyn Future<Output = Result<Self::Transport>> + Send + '_>> {
        Box::pin(async move {
            let accepted = self.0.accept().await;
            if accepted.is_err() {
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
            accepted.map(|(stream, _)| stream.into())
        })
    }

    fn listener_from_tcp(listener: std::net::TcpListener) -> Self {
        let listener = TcpListener::try_from(listener);
        // The entry process passes bound listeners only.
        RetryingServer(listener.expect("a listener"))
    }

    fn info(&self) -> Info {
        // The address of a bound listener is known.
        self.0.local_addr().expect("an address").into()
    }

    fn spawn(future: impl Future<Output = ()> + Send + 'static) {
        async_global_executor::spawn(future).detach();
    }

    fn block_on(future: impl Future<Output = ()> + 'static) {
        async_global_executor::block_on(future);
    }
}
