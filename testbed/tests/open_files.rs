//! An entry process whose descriptors are used up by connections recovers once they are closed.

use {
    serde_json::json,
    std::{
        fs,
        io::{Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        path::PathBuf,
        process::{Child, Command, Stdio},
        thread,
        time::{Duration, Instant},
    },
};

/// Limit on the descriptors of the process.
const MAX_FILES: u32 = 64;
/// Connections that are opened, more than the process has descriptors.
const CONNECTIONS: usize = 80;
/// Longest wait for a response, and for a connection to be accepted.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// An entry process without services of the platform; it is killed when dropped.
struct EntryProcess {
    child: Child,
    settings: PathBuf,
}

impl EntryProcess {
    fn start(
        callers: SocketAddr,
        operators: SocketAddr,
    ) -> Self {
        let settings = json!({
            "box_id": "entry-1", "failure_domain": "z", "callers": callers.to_string(),
            "operators": operators.to_string(), "beacons": "127.0.0.1:0",
            "table": "127.0.0.1:9", "objects": "127.0.0.1:9", "boxes": "127.0.0.1:9",
            "traffic_threads": 1
        });
        let name = format!("pitchhitch-entry-{}.json", std::process::id());
        let file = std::env::temp_dir().join(name);
        fs::write(&file, settings.to_string()).expect("settings");
        let test = std::env::current_exe().expect("a path");
        let folder = test
            .parent()
            .and_then(|deps| deps.parent())
            .expect("target");
        let program = folder.join("pitchhitch");
        let script = format!("ulimit -n {MAX_FILES}; exec \"$0\" \"$@\"");
        let child = Command::new("sh")
            .args(["-c", &script])
            .arg(program)
            .args(["serve", "--settings"])
            .arg(&file)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("started");
        EntryProcess {
            child,
            settings: file,
        }
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address")
}

/// Whether the process is alive, as its health check tells.
fn is_healthy(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, RESPONSE_TIMEOUT) else {
        return false;
    };
    let is_limited = stream.set_read_timeout(Some(RESPONSE_TIMEOUT));
    is_limited.expect("a timeout");
    let request = b"GET /healthz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    let mut beginning = [0; 12];
    let is_read = stream.write_all(request).is_ok() && stream.read_exact(&mut beginning).is_ok();
    is_read && beginning.ends_with(b"200")
}

fn wait_until(
    what: &str,
    holds: impl Fn() -> bool,
) {
    let started_at = Instant::now();
    while !holds() {
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "timed out: {what}");
        thread::sleep(Duration::from_millis(50));
    }
}

fn fill(address: SocketAddr) -> Vec<TcpStream> {
    let connect = |_| TcpStream::connect_timeout(&address, RESPONSE_TIMEOUT).ok();
    (0..CONNECTIONS).map_while(connect).collect()
}

/// The accept loops retried for ever without a wait and kept the traffic threads: nothing was served
/// any more, and connections that their callers had closed stayed open.
#[test]
fn entry_out_of_files() {
    let (callers, operators) = (free_address(), free_address());
    let _process = EntryProcess::start(callers, operators);
    wait_until("the process serves", || is_healthy(callers));
    let connections = (fill(callers), fill(operators));
    thread::sleep(RESPONSE_TIMEOUT);
    drop(connections);
    wait_until("the process serves again", || is_healthy(callers));
}
