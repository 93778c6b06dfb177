//! An engine is taken away in a planned way while streams without a length run there: it closes its
//! port and its idle connections, and then ends its streams whole.

use {
    crate::{
        deployment::{list_entry_in, Machines, ENGINE_PORT},
        http::{call, Connection},
        platform::Platform,
        record::Record,
    },
    std::{
        io::{self, Write},
        net::{Shutdown, TcpListener, TcpStream},
        path::Path,
        sync::{
            atomic::{AtomicBool, AtomicUsize, Ordering},
            Arc, Mutex,
        },
        thread,
        time::{Duration, Instant},
    },
};

const FRONT_HOST: u8 = 11;
const ENGINE_HOSTS: [u8; 8] = [21, 22, 23, 24, 25, 26, 27, 28];
const SERVICE: &str = "mezhdi-notes";
const SLOTS: u32 = 6;
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Events of a stream, and the pause after each.
const EVENTS: usize = 40;
const PAUSE: Duration = Duration::from_millis(150);
/// Streams that run while the engine is taken away.
const STREAMS: usize = 32;

/// Schedule, in ms after the streams have begun: the engine says that it drains; it serves on for
/// `drain_ms` and a little longer; a configuration is sent; the engine ends once its streams have.
const DRAIN_AT: u64 = 500;
const CLOSE_AT: u64 = DRAIN_AT + 2_000 + 700;
const CONFIG_AT: u64 = 4_500;

/// The rule: a configuration is planned work from the moment it is sent until `config_apply_ms` + 1 s
/// after it is acknowledged, if requests are cut then over three times as often as at other times.
const PLANNED_TAIL: Duration = Duration::from_millis(2_000 + 1_000);
const PLANNED_FACTOR: f64 = 3.0;

fn event(id: &str, number: usize) -> String {
    format!("id: {number}\ndata: {id} event {number} of {EVENTS}\n\n")
}

fn whole_body(id: &str) -> String {
    (1..=EVENTS).map(|number| event(id, number)).collect()
}

/// Stand-in for an engine of a plain service with a streaming route.
struct Engine {
    id: String,
    is_closing: AtomicBool,
    running: AtomicUsize,
    /// Connections on which no request runs.
    idle: Mutex<Vec<(u64, TcpStream)>>,
    next_connection: AtomicUsize,
    record: Record,
}

impl Engine {
    fn start(id: &str, machines: &Machines, host: u8) -> io::Result<Arc<Self>> {
        let engine = Arc::new(Engine {
            id: id.to_string(),
            is_closing: AtomicBool::new(false),
            running: AtomicUsize::new(0),
            idle: Mutex::default(),
            next_connection: AtomicUsize::new(0),
            record: machines.record.clone(),
        });
        let listener = TcpListener::bind(machines.at(host, ENGINE_PORT))?;
        listener.set_nonblocking(true)?;
        let accepting = engine.clone();
        thread::spawn(move || {
            while !accepting.is_closing.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let engine = accepting.clone();
                thread::spawn(move || {
                    let _ = stream.set_nonblocking(false);
                    if let Ok(connection) = Connection::new(stream) {
                        engine.handle(connection);
                    }
                });
            }
        });
        Ok(engine)
    }

    fn handle(&self, mut connection: Connection) {
        let number = self.next_connection.fetch_add(1, Ordering::SeqCst) as u64;
        loop {
            let Ok(idle) = connection.stream.try_clone() else {
                return;
            };
            self.idle.lock().expect("lock").push((number, idle));
            let request = connection.read();
            self.idle.lock().expect("lock").retain(|(known, _)| *known != number);
            let Some(request) = request else {
                return;
            };
            let own_id = [("X-Pitchhitch-Instance-Id", self.id.as_str())];
            let expected = request.header("x-pitchhitch-expect-instance");
            if !expected.is_empty() && expected != self.id {
                connection.answer(421, &own_id, b"");
                continue;
            }
            if request.path() == "/healthz" {
                connection.answer(200, &own_id, b"ok");
                continue;
            }
            let id = request.header("x-pitchhitch-request-id").to_string();
            self.running.fetch_add(1, Ordering::SeqCst);
            let is_whole = self.stream(&id, &mut connection);
            self.running.fetch_sub(1, Ordering::SeqCst);
            let outcome = if is_whole { "whole" } else { "its connection is gone" };
            self.record.line(format!("{} has run {id}: {outcome}", self.id));
            return;
        }
    }

    /// Sends a stream without a length; its connection ends behind the last event.
    fn stream(&self, id: &str, connection: &mut Connection) -> bool {
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Pitchhitch-Request-Id: {id}\r\n\
             X-Pitchhitch-Response-Seal: seal.{}\r\nContent-Type: text/event-stream\r\n\r\n",
            whole_body(id).len()
        );
        let mut is_sent = connection.stream.write_all(head.as_bytes()).is_ok();
        for number in 1..=EVENTS {
            is_sent &= connection.stream.write_all(event(id, number).as_bytes()).is_ok();
            if !is_sent {
                return false;
            }
            if number < EVENTS {
                thread::sleep(PAUSE);
            }
        }
        connection.stream.shutdown(Shutdown::Both).is_ok()
    }

    /// Closes the port and all idle connections; what runs goes on.
    fn close_port(&self) {
        self.is_closing.store(true, Ordering::SeqCst);
        for (_, connection) in self.idle.lock().expect("lock").drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        let running = self.running.load(Ordering::SeqCst);
        self.record.line(format!(
            "{} closes its port and its idle connections; {running} streams run on",
            self.id
        ));
    }
}

fn config(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"note-feed\",\"host\":\"field.example\",\
         \"path_prefix\":\"/note-feed/\",\"kind\":\"streaming\",\"timeout_ms\":15000,\
         \"target_latency_ms\":600,\"priority\":2,\"service\":\"{SERVICE}\",\"max_attempts\":1,\
         \"public\":false,\"resumable\":false,\"gap_aim_ms\":300}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/healthz\",\
         \"max_connections\":100,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"farm\",\"api_keys\":[\"farmkey1\"],\"priority\":1}}]}}"
    )
}

/// Sends a stream's request to the front; whether the answer came complete to its end.
fn ask(machines: &Machines, id: &str) -> bool {
    let request = format!(
        "POST /note-feed/1 HTTP/1.1\r\nHost: field.example\r\nX-Pitchhitch-Request-Id: {id}\r\n\
         X-Pitchhitch-Key: farmkey1\r\nX-Pitchhitch-Deadline-Ms: 15000\r\nContent-Length: 2\r\n\r\nhi"
    );
    machines.record.line(format!("client sends {id}"));
    let timeout = Duration::from_secs(15);
    let answer = call(machines.callers(FRONT_HOST), request.as_bytes(), timeout);
    let Some(answer) = answer else {
        machines.record.line(format!("client gets {id}: no answer"));
        return false;
    };
    let events = String::from_utf8_lossy(&answer.body).matches("data: ").count();
    let end = if answer.is_complete { "complete" } else { "the connection ends without its end" };
    machines.record.line(format!("client gets {id}: {}, {events} of {EVENTS} events, {end}", answer.status));
    answer.is_complete && answer.body == whole_body(id).as_bytes()
}

pub fn run(folder: &Path, record: &Record, trouble: &str) -> io::Result<()> {
    let machines = Arc::new(Machines::claim(folder, record)?);
    let platform = Platform::start(machines.store(), record)?;
    platform.put("op", "config", &config(7));
    let mut engines = Vec::new();
    // What each engine writes about itself: its state, or nothing once it has ended.
    let mut states = Vec::new();
    for (number, host) in ENGINE_HOSTS.into_iter().enumerate() {
        let id = format!("i-{}", number + 1);
        engines.push(Engine::start(&id, &machines, host)?);
        let state = Arc::new(Mutex::new("ready"));
        states.push(state.clone());
        let (platform, address) = (platform.clone(), machines.at(host, ENGINE_PORT));
        thread::spawn(move || {
            for sequence in 1.. {
                let state = *state.lock().expect("lock");
                if state == "ended" {
                    return platform.remove("servers", &id);
                }
                let entry = list_entry_in(SERVICE, address, SLOTS, sequence, state);
                platform.put("servers", &id, &entry);
                thread::sleep(HEARTBEAT);
            }
        });
    }
    let leaving = &engines[0];
    let mut front = machines.start_front(FRONT_HOST, &[FRONT_HOST])?;
    thread::sleep(Duration::from_secs(2));
    let started_at = Instant::now();
    let streams: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (machines, id) = (machines.clone(), format!("stream-{number}"));
            thread::spawn(move || (ask(&machines, &id), id, Instant::now()))
        })
        .collect();
    let at = |at_ms: u64| started_at + Duration::from_millis(at_ms);
    let sleep_until = |time: Instant| thread::sleep(time.saturating_duration_since(Instant::now()));
    if trouble != "0" {
        sleep_until(at(DRAIN_AT));
        *states[0].lock().expect("lock") = "draining";
        let address = machines.at(ENGINE_HOSTS[0], ENGINE_PORT);
        platform.put("servers", "i-1", &list_entry_in(SERVICE, address, SLOTS, 1_000, "draining"));
        record.line("i-1 says that it drains; the store has taken it");
        sleep_until(at(CLOSE_AT));
        leaving.close_port();
    }
    sleep_until(at(CONFIG_AT));
    let planned_from = Instant::now();
    platform.put("op", "config", &config(8));
    let planned_until = Instant::now() + PLANNED_TAIL;
    record.line("the operator sends configuration 8 (only its version is new); the store has taken it");
    let (mut cut_then, mut cut_otherwise) = (Vec::new(), Vec::new());
    for stream in streams {
        let (is_whole, id, ended_at) = stream.join().map_err(|_| io::Error::other("a client failed"))?;
        if !is_whole {
            let is_planned = ended_at >= planned_from && ended_at <= planned_until;
            let cuts = if is_planned { &mut cut_then } else { &mut cut_otherwise };
            cuts.push(id);
        }
    }
    sleep_until(planned_until);
    if trouble != "0" {
        *states[0].lock().expect("lock") = "ended";
        record.line("i-1 ends");
    }
    // How often requests were cut around the configuration, and at other times.
    let planned_s = (planned_until - planned_from).as_secs_f64();
    let other_s = started_at.elapsed().as_secs_f64() - planned_s;
    let (rate_then, rate_otherwise) =
        (cut_then.len() as f64 / planned_s, cut_otherwise.len() as f64 / other_s);
    record.line(format!(
        "cut: {} of {STREAMS} around the configuration ({rate_then:.2} a second), {} at other times \
         ({rate_otherwise:.2} a second)",
        cut_then.len(),
        cut_otherwise.len()
    ));
    if rate_then > PLANNED_FACTOR * rate_otherwise {
        for id in cut_then {
            record.broken(format!("LOST: {id} was passed on to an engine and has no complete answer"));
        }
    }
    if !front.is_running() {
        record.line("the front has ended by itself");
    }
    Ok(())
}
