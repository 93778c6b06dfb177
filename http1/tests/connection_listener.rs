//! Accepting connections while the process has no descriptors left.

use {
    pitchhitch_http1::ConnectionListener,
    rustix::{
        net::{connect, socket, AddressFamily, SocketType},
        process::{getrlimit, setrlimit, Resource, Rlimit},
    },
    std::{
        fs::File,
        net::SocketAddr,
        sync::mpsc::{channel, Sender},
        thread,
        time::Duration,
    },
};

/// Limit on descriptors of the test process.
const DESCRIPTORS: u64 = 256;
/// Longest wait for another task of the thread, and for the connection afterwards.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs a listener and another task on one thread, and sends the address, a message once the other
/// task has run for a while, and one once a connection is accepted.
fn run_listener(
    progress: &Sender<&'static str>,
    address: &Sender<SocketAddr>,
) {
    smol::block_on(async {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = ConnectionListener::bind(any_port)
            .await
            .expect("a listener");
        address
            .send(listener.local_address().expect("an address"))
            .expect("sent");
        let executor = smol::LocalExecutor::new();
        let other = executor.spawn(async {
            for _ in 0..20 {
                smol::Timer::after(Duration::from_millis(10)).await;
            }
            progress.send("other task").expect("sent");
        });
        let accept = async {
            listener.next().await;
            progress.send("accepted").expect("sent");
            other.await;
        };
        executor.run(accept).await;
    });
}

/// A listener without descriptors retried at once and for ever, and no other task of its thread ran.
#[test]
fn no_descriptors_left() {
    let (progress, events) = channel();
    let (address_sender, addresses) = channel();
    let limit = getrlimit(Resource::Nofile);
    let current = Some(DESCRIPTORS);
    setrlimit(Resource::Nofile, Rlimit { current, ..limit }).expect("a limit");
    let client = socket(AddressFamily::INET, SocketType::STREAM, None).expect("a socket");
    thread::spawn(move || run_listener(&progress, &address_sender));
    let address = addresses.recv_timeout(WAIT_TIMEOUT).expect("an address");
    let mut files = Vec::new();
    while let Ok(file) = File::open("/dev/null") {
        files.push(file);
    }
    connect(&client, &address).expect("connected");
    let first = events.recv_timeout(WAIT_TIMEOUT);
    assert_eq!(first, Ok("other task"), "what happens without descriptors");
    drop(files);
    assert_eq!(events.recv_timeout(WAIT_TIMEOUT), Ok("accepted"));
}
