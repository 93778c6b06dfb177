//! Engines of a plain service crash in the middle of answers that have no length, while the links to
//! them lose packets.

use {
    crate::{
        deployment::{list_entry_beyond, Machines, Program, ENGINE_PORT},
        http::{call, serve, Answer, Connection},
        platform::Platform,
        record::Record,
    },
    std::{
        env,
        io::{self, Read, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        path::Path,
        process::Command,
        sync::{
            atomic::{AtomicBool, AtomicUsize, Ordering},
            Arc,
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Machines of the case.
const FRONT_HOST: u8 = 11;
/// Addresses of the engines in the platform's list, which are those of the links to them: one for each
/// start.
const LINK_HOST: u8 = 21;
/// Addresses at which the engines' processes listen.
const ENGINE_HOST: u8 = 121;

/// Interval of the engine's heartbeats, and the silence after which its entry goes.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const MAX_SILENCE: Duration = Duration::from_millis(3_600);
/// Time in which the front learns of an engine that has started.
const LISTING_TIME: Duration = Duration::from_millis(1_300);
/// Share of the packets that lossy links lose.
const LOSS: f64 = 0.025;
/// Time after which TCP sends a lost packet again where the round trip is short; it doubles.
const RETRANSMISSION: Duration = Duration::from_millis(201);
/// Engines, requests that each works on at once, and rounds, in each of which one of the engines
/// crashes.
const ENGINES: u8 = 3;
const SLOTS: usize = 6;
const ROUNDS: u8 = 42;
/// Time after which no further round begins.
const LAST_ROUND_MS: u64 = 90_000;

/// Pieces of an answer, and the pause after each.
const PIECES: usize = 6;
const PAUSE: Duration = Duration::from_millis(60);
/// Bytes of an answer after which it is about half sent.
const FIRST_BYTES: usize = 250;

const SERVICE: &str = "karta-app";

/// Routes of the case: name, kind and method.
const ROUTES: [(&str, &str, &str); 3] = [
    ("deed-scan", "idempotent", "GET"),
    ("map-tile", "non_idempotent", "POST"),
    ("note-feed", "streaming", "POST"),
];

/// A piece of the answer to a request, the same for engine and client.
fn piece(id: &str, number: usize) -> String {
    format!("id: {number}\ndata: {id} piece {number} of {PIECES}\n\n")
}

fn whole_body(id: &str) -> String {
    (1..=PIECES).map(|number| piece(id, number)).collect()
}

/// Runs the engine's process: it answers without a length, piece by piece, and ends each answer with
/// its connection.
pub fn run_engine(address: &str, id: &str) {
    let address: SocketAddr = address.parse().expect("an address");
    let id = id.to_string();
    serve(address, move |mut connection| {
        while let Some(request) = connection.read() {
            let expected = request.header("x-pitchhitch-expect-instance");
            let own_id = [("X-Pitchhitch-Instance-Id", id.as_str())];
            if !expected.is_empty() && expected != id {
                connection.answer(421, &own_id, b"");
                continue;
            }
            if request.path() == "/healthz" {
                connection.answer(200, &own_id, b"ok");
                continue;
            }
            return answer(&request.header("x-pitchhitch-request-id").to_string(), &mut connection);
        }
    })
    .expect("a free port");
    loop {
        thread::park();
    }
}

fn answer(request_id: &str, connection: &mut Connection) {
    println!("             engine runs {request_id}");
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Pitchhitch-Request-Id: {request_id}\r\n\
         X-Pitchhitch-Response-Seal: seal.{}\r\nContent-Type: text/event-stream\r\n\r\n",
        whole_body(request_id).len()
    );
    if connection.stream.write_all(head.as_bytes()).is_err() {
        return;
    }
    for number in 1..=PIECES {
        if connection.stream.write_all(piece(request_id, number).as_bytes()).is_err() {
            return;
        }
        thread::sleep(PAUSE);
    }
    let _ = connection.stream.shutdown(Shutdown::Both);
}

/// The links between the front and the engines. They pass everything on at once, and lose packets
/// while that disruption lasts: TCP sends a lost packet again, and what follows on its connection
/// waits for it.
#[derive(Default)]
struct Link {
    /// Whether packets are lost.
    is_lossy: AtomicBool,
    /// Packets that have passed while packets were lost, and those of them that were lost.
    packets: AtomicUsize,
    lost: AtomicUsize,
    /// Bytes of answers that have passed.
    answered: AtomicUsize,
    random: AtomicUsize,
}

impl Link {
    /// Lets the packet pass, after it has been sent again if it is lost.
    fn transmit(&self) {
        let mut timeout = RETRANSMISSION;
        while self.is_lossy.load(Ordering::SeqCst) {
            self.packets.fetch_add(1, Ordering::SeqCst);
            if self.next_random() >= LOSS {
                return;
            }
            self.lost.fetch_add(1, Ordering::SeqCst);
            thread::sleep(timeout);
            timeout *= 2;
        }
    }

    /// A number from 0 to 1, by the splitmix generator.
    fn next_random(&self) -> f64 {
        let state = self.random.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::SeqCst) as u64;
        let mixed = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    fn serve(self: &Arc<Self>, at: SocketAddr, engine: SocketAddr) -> io::Result<()> {
        let listener = TcpListener::bind(at)?;
        let link = self.clone();
        thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let link = link.clone();
                thread::spawn(move || {
                    let _ = link.connect(caller, engine);
                });
            }
        });
        Ok(())
    }

    fn connect(self: &Arc<Self>, caller: TcpStream, engine: SocketAddr) -> io::Result<()> {
        let Ok(engine) = TcpStream::connect(engine) else {
            // The port of a process that has ended resets.
            return Ok(());
        };
        caller.set_nodelay(true)?;
        engine.set_nodelay(true)?;
        let (link, from, to) = (self.clone(), caller.try_clone()?, engine.try_clone()?);
        let requests = thread::spawn(move || link.pass(from, to, false));
        self.pass(engine, caller, true);
        let _ = requests.join();
        Ok(())
    }

    /// Passes on what comes from one side, and its end.
    fn pass(&self, mut from: TcpStream, mut to: TcpStream, is_answer: bool) {
        let mut buffer = [0; 16_384];
        while let Ok(count) = from.read(&mut buffer) {
            self.transmit();
            if count == 0 || to.write_all(&buffer[..count]).is_err() {
                break;
            }
            if is_answer {
                self.answered.fetch_add(count, Ordering::SeqCst);
            }
        }
        let _ = to.shutdown(Shutdown::Write);
        if is_answer {
            let _ = from.shutdown(Shutdown::Both);
        }
    }
}

/// An engine's process, and the heartbeats that it writes.
struct Engine {
    id: String,
    process: Program,
    is_alive: Arc<AtomicBool>,
}

impl Engine {
    fn start(machines: &Machines, platform: &Platform, link: &Arc<Link>, number: u8) -> io::Result<Self> {
        let id = format!("i-{number}");
        let address = machines.at(ENGINE_HOST + number, ENGINE_PORT);
        let mut command = Command::new(env::current_exe()?);
        command.args(["engine", &address.to_string(), &id]);
        let process = Program::spawn(&mut command)?;
        let deadline = Instant::now() + Duration::from_secs(5);
        while TcpStream::connect(address).is_err() {
            if Instant::now() > deadline {
                return Err(io::Error::other("the engine did not start"));
            }
            thread::sleep(Duration::from_millis(10));
        }
        let listed = machines.at(LINK_HOST + number, ENGINE_PORT);
        link.serve(listed, address)?;
        let is_alive = Arc::new(AtomicBool::new(true));
        let (beats, platform, key) = (is_alive.clone(), platform.clone(), id.clone());
        thread::spawn(move || {
            let mut sequence = 0;
            while beats.load(Ordering::SeqCst) {
                sequence += 1;
                platform.put("servers", &key, &list_entry_beyond(SERVICE, listed, SLOTS as u32, sequence));
                thread::sleep(HEARTBEAT);
            }
            thread::sleep(MAX_SILENCE);
            platform.remove("servers", &key);
        });
        machines.record.line(format!("engine {id} starts"));
        Ok(Engine {
            id,
            process,
            is_alive,
        })
    }

    /// Ends the process with SIGKILL; its heartbeats stop.
    fn crash(&mut self, record: &Record) {
        self.process.kill();
        self.is_alive.store(false, Ordering::SeqCst);
        record.line(format!("engine {} crashes (SIGKILL)", self.id));
    }
}

fn config() -> String {
    let route = |(name, kind, _): (&str, &str, &str)| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"field.example\",\"path_prefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"timeout_ms\":3000,\"target_latency_ms\":150,\"priority\":2,\
             \"service\":\"{SERVICE}\",\"max_attempts\":1,\"public\":false,\"resumable\":false,\
             \"gap_aim_ms\":300}}"
        )
    };
    let routes: Vec<String> = ROUTES.map(route).to_vec();
    format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"health_path\":\"/healthz\",\"max_connections\":100,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"farm\",\"api_keys\":[\"farmkey1\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}

/// Sends a request to the front and reads the answer.
fn ask(machines: &Machines, route: usize, id: &str) -> Option<Answer> {
    let (name, _, method) = ROUTES[route];
    let body = if method == "GET" { "" } else { "Content-Length: 2\r\n" };
    let rest = if method == "GET" { "" } else { "hi" };
    let request = format!(
        "{method} /{name}/1 HTTP/1.1\r\nHost: field.example\r\nX-Pitchhitch-Request-Id: {id}\r\n\
         X-Pitchhitch-Key: farmkey1\r\nX-Pitchhitch-Deadline-Ms: 3000\r\n{body}\r\n{rest}"
    );
    machines.record.line(format!("client sends {id} ({name})"));
    let timeout = Duration::from_secs(4);
    let answer = call(machines.callers(FRONT_HOST), request.as_bytes(), timeout);
    let text = match &answer {
        None => "no answer".to_string(),
        Some(answer) => format!(
            "{}, {} of {} bytes, {}",
            answer.status,
            answer.body.len(),
            whole_body(id).len(),
            if answer.is_complete { "complete by its framing" } else { "visibly cut" }
        ),
    };
    machines.record.line(format!("client gets {id}: {text}"));
    answer
}

/// MIXED: a success has the engine's whole body; one that is cut short must not look complete.
fn check(record: &Record, id: &str, answer: Option<Answer>) {
    let Some(answer) = answer else {
        return;
    };
    let is_success = (200..300).contains(&answer.status);
    if is_success && answer.is_complete && answer.body != whole_body(id).as_bytes() {
        record.broken(format!("{id} looks complete and is not the engine's whole body"));
    }
}

pub fn run(folder: &Path, record: &Record, trouble: &str) -> io::Result<()> {
    let (crashes, is_lossy) = match trouble {
        "0" => (false, false),
        "crash" => (true, false),
        "loss" => (false, true),
        _ => (true, true),
    };
    let machines = Arc::new(Machines::claim(folder, record)?);
    let platform = Platform::start(machines.store(), record)?;
    platform.put("op", "config", &config());
    let link = Arc::new(Link::default());
    link.random.store(record.seed() as usize, Ordering::SeqCst);
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        engines.push(Engine::start(&machines, &platform, &link, number)?);
    }
    let _front = machines.start_front(FRONT_HOST, &[FRONT_HOST])?;
    for round in 0..ROUNDS {
        if record.elapsed_ms() > LAST_ROUND_MS {
            break;
        }
        thread::sleep(LISTING_TIME);
        ask_all(&machines, &link, &format!("calm-{round}"), || {})?;
        // Shorter than the disruption may last.
        link.is_lossy.store(is_lossy, Ordering::SeqCst);
        ask_all(&machines, &link, &format!("crash-{round}"), || {
            if crashes {
                engines.remove(0).crash(record);
            }
        })?;
        link.is_lossy.store(false, Ordering::SeqCst);
        if crashes {
            engines.push(Engine::start(&machines, &platform, &link, ENGINES + round)?);
        }
    }
    record.line(format!(
        "{} of {} packets were lost",
        link.lost.load(Ordering::SeqCst),
        link.packets.load(Ordering::SeqCst)
    ));
    Ok(())
}

/// Sends a request for each slot of the engines, calls `halfway` between two pieces of their answers,
/// and checks the answers.
fn ask_all(
    machines: &Arc<Machines>,
    link: &Link,
    name: &str,
    halfway: impl FnOnce(),
) -> io::Result<()> {
    let answered = link.answered.load(Ordering::SeqCst);
    let count = SLOTS * usize::from(ENGINES);
    let requests: Vec<_> = (0..count)
        .map(|number| {
            let (machines, id) = (machines.clone(), format!("{name}-{number}"));
            thread::spawn(move || {
                let answer = ask(&machines, number % ROUTES.len(), &id);
                check(&machines.record, &id, answer);
            })
        })
        .collect();
    let deadline = Instant::now() + Duration::from_secs(3);
    while link.answered.load(Ordering::SeqCst) < answered + count * FIRST_BYTES {
        if Instant::now() > deadline {
            // The client's time for these requests is over.
            break;
        }
        thread::sleep(Duration::from_millis(1));
    }
    thread::sleep(PAUSE / 3);
    halfway();
    for request in requests {
        request.join().map_err(|_| io::Error::other("a client failed"))?;
    }
    Ok(())
}
