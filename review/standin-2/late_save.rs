//! A store of kept KV cache restarts empty while an engine has yet to carry out a save that was
//! requested before.

use {
    crate::{
        deployment::{list_entry, Machines, Program, ENGINE_PORT},
        http::{call, serve, Connection, Request},
        json::quote,
        platform::Platform,
        record::Record,
    },
    std::{
        collections::BTreeMap,
        io,
        net::{Shutdown, SocketAddr, TcpStream},
        path::Path,
        sync::{Arc, Condvar, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// Machines of the case.
const FRONT_HOSTS: [u8; 2] = [11, 12];
const ENGINE_HOSTS: [u8; 3] = [21, 22, 23];
const STORE_HOST: u8 = 31;
const STORE_PORT: u16 = 8006;

/// Figures of a small site: bytes of a token, the store's link and its delay, and an engine's memory.
const TOKEN_BYTES: f64 = 35_136.0;
const STORE_LINK_MBPS: f64 = 130_000.0;
const STORE_FIRST_MS: f64 = 6.0;
const ENGINE_TOKENS: u64 = 179_134;
const SLOTS: u32 = 128;
const READ_TIME: Duration = Duration::from_millis(80);
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Shared parts of the prompt: their tokens.
const SHARED_TOKENS: [u64; 2] = [512, 8_610];
const OWN_TOKENS: u64 = 300;

/// Schedule of the case, in ms after the first request.
const SECOND_AT: u64 = 500;
const LATER_AT: u64 = 1_450;
const CRASH_AT: u64 = 1_600;
/// The store is back, empty.
const BACK_AT: u64 = 1_700;
/// The busy engine begins with the request that it got first.
const FIRST_RUNS_AT: u64 = 1_900;
/// The third engine works off its queue: its first request, and the time to the next.
const LATER_RUN_AT: u64 = 1_920;
const LATER_STEP: u64 = 8;
const LATER_REQUESTS: u64 = 16;
const END_AT: u64 = 5_000;

/// Salt and id of a part.
type PartKey = (String, String);

/// A part at the store: tokens whole, and tokens for which it has taken room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct StoredPart {
    whole: u64,
    taken: u64,
}

#[derive(Default)]
struct StoreState {
    is_up: bool,
    epoch: u64,
    parts: BTreeMap<PartKey, StoredPart>,
    events: Vec<String>,
    connections: Vec<TcpStream>,
}

/// Stand-in for a managed store of kept KV cache.
#[derive(Clone)]
struct KvStore {
    shared: Arc<(Mutex<StoreState>, Condvar)>,
    record: Record,
}

impl KvStore {
    fn start(address: SocketAddr, record: &Record) -> io::Result<Self> {
        let state = StoreState {
            is_up: true,
            epoch: 1_001,
            ..StoreState::default()
        };
        let store = KvStore {
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            record: record.clone(),
        };
        let served = store.clone();
        serve(address, move |connection| served.handle(connection))?;
        Ok(store)
    }

    fn handle(&self, mut connection: Connection) {
        {
            let mut state = self.shared.0.lock().expect("lock");
            match connection.stream.try_clone() {
                Ok(stream) if state.is_up => state.connections.push(stream),
                _ => return,
            }
        }
        while let Some(request) = connection.read() {
            let Some(body) = self.reply(&request) else {
                return;
            };
            if !connection.answer_json(200, &body) {
                return;
            }
        }
    }

    fn reply(&self, request: &Request) -> Option<String> {
        let clock = self.record.clock_ms();
        let (shared, changed) = &*self.shared;
        let mut state = shared.lock().expect("lock");
        if !state.is_up {
            return None;
        }
        let epoch = state.epoch;
        let place = format!("\"boot_epoch\":{epoch},\"next_page_token\":{}", state.events.len());
        match request.path() {
            "/api/kv-list" => {
                let list = |is_whole: bool, describe: &dyn Fn(&StoredPart) -> String| {
                    let parts = state.parts.iter();
                    let parts = parts.filter(|(_, part)| (part.whole == part.taken) == is_whole);
                    let texts = parts.map(|((salt, id), part)| {
                        format!("[{},\"{id}\",{}]", quote(salt), describe(part))
                    });
                    texts.collect::<Vec<String>>().join(",")
                };
                let held = list(true, &|part| format!("{},\"m\"", part.whole));
                let partial = list(false, &|part| format!("{},{}", part.whole, part.taken));
                Some(format!("{{{place},\"held\":[{held}],\"partial\":[{partial}]}}"))
            }
            "/api/kv-events" => {
                let since: usize = request.query("since").parse().unwrap_or(0);
                let wait = request.header("wait-ms").parse().unwrap_or(0);
                let deadline = Instant::now() + Duration::from_millis(wait);
                loop {
                    if !state.is_up || state.epoch != epoch {
                        return None;
                    }
                    let left = deadline.saturating_duration_since(Instant::now());
                    if state.events.len() > since || left.is_zero() {
                        let events: Vec<String> = state.events.iter().skip(since).cloned().collect();
                        return Some(format!(
                            "{{\"boot_epoch\":{epoch},\"next_page_token\":{},\"lost\":false,\
                             \"events\":[{}],\"clock_ms\":{}}}",
                            state.events.len(),
                            events.join(","),
                            self.record.clock_ms()
                        ));
                    }
                    state = changed.wait_timeout(state, left).expect("lock").0;
                }
            }
            "/api/report" => Some(format!(
                "{{\"kv_used\":0,\"kv_total\":1571491,\"boot_epoch\":{epoch},\"clock_ms\":{clock}}}"
            )),
            _ => Some("{}".to_string()),
        }
    }

    /// The process ends: its connections are reset, and what it kept is gone.
    fn crash(&self) {
        let (shared, changed) = &*self.shared;
        let mut state = shared.lock().expect("lock");
        state.is_up = false;
        state.epoch += 1;
        state.parts.clear();
        state.events.clear();
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        changed.notify_all();
        self.record.line("the store crashes");
    }

    fn restart(&self) {
        self.shared.0.lock().expect("lock").is_up = true;
        self.record.line("the store is back, empty");
    }

    /// Carries out a save: room is taken at once, and the part is whole once it has been sent.
    fn save(&self, key: &PartKey, tokens: u64, engine: &str) {
        let name = &key.1;
        let epoch = {
            let mut state = self.shared.0.lock().expect("lock");
            if !state.is_up {
                return self.record.line(format!("{engine}: save of {name} is lost, no store"));
            }
            if state.parts.contains_key(key) {
                return self.record.line(format!("{engine}: save of {name}: it is there"));
            }
            let part = StoredPart {
                whole: 0,
                taken: tokens,
            };
            state.parts.insert(key.clone(), part);
            state.epoch
        };
        self.record.line(format!("{engine}: save of {name} begins"));
        thread::sleep(transfer_time(tokens));
        let (shared, changed) = &*self.shared;
        let mut state = shared.lock().expect("lock");
        if !state.is_up || state.epoch != epoch {
            return;
        }
        let part = StoredPart {
            whole: tokens,
            taken: tokens,
        };
        state.parts.insert(key.clone(), part);
        let (number, (salt, id)) = (state.events.len() + 1, key);
        let salt = quote(salt);
        state.events.push(format!("[{number},\"+\",{salt},\"{id}\",{tokens},\"m\"]"));
        changed.notify_all();
        self.record.line(format!("{engine}: {name} is whole at the store"));
    }

    fn part(&self, key: &PartKey) -> Option<StoredPart> {
        let state = self.shared.0.lock().expect("lock");
        state.parts.get(key).copied().filter(|_| state.is_up)
    }
}

fn transfer_time(tokens: u64) -> Duration {
    let millis = STORE_FIRST_MS + tokens as f64 * TOKEN_BYTES * 8.0 / (STORE_LINK_MBPS * 1e3);
    Duration::from_secs_f64(millis / 1e3)
}

#[derive(Default)]
struct EngineState {
    running: u32,
    waiting: u32,
    /// Whether requests of other callers fill its slots and its memory.
    is_full: bool,
    parts: BTreeMap<PartKey, u64>,
    events: Vec<String>,
}

/// Stand-in for a model engine.
#[derive(Clone)]
struct Engine {
    id: String,
    state: Arc<Mutex<EngineState>>,
    /// Its moves run one after another.
    moves: Arc<Mutex<()>>,
    store: KvStore,
    store_address: String,
    started_at: Instant,
    record: Record,
}

/// What a request asks for, by part of its prompt.
struct PartPlan {
    key: PartKey,
    tokens: u64,
    fetch_tokens: Option<u64>,
    is_saved: bool,
}

impl Engine {
    fn handle(&self, mut connection: Connection) {
        while let Some(request) = connection.read() {
            let own_id = [("X-Pitchhitch-Instance-Id", self.id.as_str())];
            let is_answered = match request.path() {
                "/healthz" => connection.answer(200, &own_id, b"ok"),
                "/api/report" => connection.answer_json(200, &self.report()),
                "/api/kv-events" => {
                    thread::sleep(Duration::from_millis(50));
                    connection.answer_json(200, &self.events(&request))
                }
                "/api/kv-list" => connection.answer_json(200, &self.list()),
                "/api/order" => connection.answer_json(409, "{}"),
                _ => self.run(&request, &mut connection),
            };
            if !is_answered {
                return;
            }
        }
    }

    fn report(&self) -> String {
        let state = self.state.lock().expect("lock");
        let (others, used) = match state.is_full {
            true => (SLOTS, ENGINE_TOKENS - 9_000),
            false => (0, u64::from(state.running) * 9_500),
        };
        let waiting = state.waiting + if state.is_full { 40 } else { 0 };
        format!(
            "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"busy\":false,\"sequence\":0,\"waiting\":{waiting},\"running\":{},\"kv_used\":{used},\
             \"kv_total\":{ENGINE_TOKENS},\"handles\":0,\"runs\":[],\"clock_ms\":{}}}",
            others.max(state.running),
            self.record.clock_ms()
        )
    }

    fn events(&self, request: &Request) -> String {
        let since: usize = request.query("since").parse().unwrap_or(0);
        let state = self.state.lock().expect("lock");
        let events: Vec<String> = state.events.iter().skip(since).cloned().collect();
        format!(
            "{{\"boot_epoch\":7,\"next_page_token\":{},\"lost\":false,\"events\":[{}],\
             \"clock_ms\":{}}}",
            state.events.len(),
            events.join(","),
            self.record.clock_ms()
        )
    }

    fn list(&self) -> String {
        let state = self.state.lock().expect("lock");
        let parts = state.parts.iter();
        let held = parts.map(|((salt, id), tokens)| format!("[{},\"{id}\",{tokens},\"m\"]", quote(salt)));
        let held: Vec<String> = held.collect();
        let next = state.events.len();
        let held = held.join(",");
        format!("{{\"boot_epoch\":7,\"next_page_token\":{next},\"held\":[{held}]}}")
    }

    fn plans(&self, request: &Request) -> Vec<PartPlan> {
        let salt = request.header("cache-salt");
        let column = |name: &str| -> Vec<String> {
            request.header(name).split(',').map(|text| text.trim().to_string()).collect()
        };
        let (fetches, saves) = (column("kv-fetch"), column("kv-save"));
        let parts = request.header("x-pitchhitch-prompt-prefix").split(',');
        let parts = parts.filter_map(|part| part.trim().split_once(':'));
        let plans = parts.enumerate().map(|(index, (id, tokens))| {
            let tokens = tokens.parse().unwrap_or(0);
            let fetch = fetches.get(index).map_or("", String::as_str);
            let (address, count) = fetch.split_once('/').unwrap_or((fetch, ""));
            let is_from_store = address == self.store_address;
            PartPlan {
                key: (salt.to_string(), id.to_string()),
                tokens,
                fetch_tokens: is_from_store.then(|| count.parse().unwrap_or(tokens)),
                is_saved: saves.get(index).is_some_and(|save| *save == self.store_address),
            }
        });
        plans.collect()
    }

    fn run(&self, request: &Request, connection: &mut Connection) -> bool {
        let id = request.header("x-pitchhitch-request-id").to_string();
        let plans = self.plans(request);
        self.record.line(format!(
            "{} gets {id}: kv-fetch={} kv-save={} kv-until={}",
            self.id,
            request.header("kv-fetch"),
            request.header("kv-save"),
            request.header("kv-until")
        ));
        self.state.lock().expect("lock").waiting += 1;
        if id == "first" {
            self.state.lock().expect("lock").is_full = true;
        }
        self.wait_for_turn(&id);
        {
            let mut state = self.state.lock().expect("lock");
            state.waiting -= 1;
            state.running += 1;
        }
        let until = request.header("kv-until").parse().unwrap_or(u64::MAX);
        self.fetch(&id, &plans, until);
        thread::sleep(READ_TIME);
        self.keep(&plans);
        let (engine, saved) = (self.clone(), plans);
        thread::spawn(move || {
            for plan in saved.iter().filter(|plan| plan.is_saved) {
                let _moves = engine.moves.lock().expect("lock");
                engine.store.save(&plan.key, plan.tokens, &engine.id);
            }
        });
        let body: String = (1..=5).map(|n| format!("id: {n}\ndata: piece {n}\n\n")).collect();
        self.state.lock().expect("lock").running -= 1;
        let headers = [
            ("X-Pitchhitch-Request-Id", id.as_str()),
            ("X-Pitchhitch-Response-Seal", "seal"),
            ("Content-Type", "text/event-stream"),
            ("Versions", "1"),
        ];
        connection.answer(200, &headers, body.as_bytes())
    }

    /// Waits until a slot is free for the request.
    fn wait_for_turn(&self, id: &str) {
        let later = id.strip_prefix("later-").and_then(|number| number.parse::<u64>().ok());
        let turn = match (id, later) {
            ("first", _) => FIRST_RUNS_AT,
            (_, Some(number)) => LATER_RUN_AT + LATER_STEP * number,
            _ => 0,
        };
        sleep_until(self.started_at, turn);
    }

    /// Takes the parts from the store, one move after another.
    fn fetch(&self, id: &str, plans: &[PartPlan], until_ms: u64) {
        for plan in plans {
            let Some(count) = plan.fetch_tokens else {
                continue;
            };
            let _moves = self.moves.lock().expect("lock");
            let name = &plan.key.1;
            let Some(part) = self.store.part(&plan.key) else {
                self.record.line(format!("{} {id}: {name} is not at the store", self.id));
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let is_whole = part.whole >= count;
            thread::sleep(transfer_time(count));
            let is_in_time = self.record.clock_ms() <= until_ms;
            match (is_whole, is_in_time) {
                (true, _) => self.record.line(format!("{} {id}: {name} fetched", self.id)),
                (false, true) => self.record.broken(format!(
                    "{} {id} takes {name} from the store while it is being written",
                    self.id
                )),
                (false, false) => {
                    self.record.line(format!("{} {id}: {name} came too late", self.id));
                }
            }
        }
    }

    fn keep(&self, plans: &[PartPlan]) {
        let mut state = self.state.lock().expect("lock");
        for plan in plans {
            if state.parts.insert(plan.key.clone(), plan.tokens).is_none() {
                let (number, (salt, id)) = (state.events.len() + 1, &plan.key);
                let (salt, tokens) = (quote(salt), plan.tokens);
                state.events.push(format!("[{number},\"+\",{salt},\"{id}\",{tokens},\"m\"]"));
            }
        }
    }

    /// Requests of other callers fill the engine: what it kept gives way.
    fn fill(&self) {
        let mut guard = self.state.lock().expect("lock");
        let state = &mut *guard;
        state.is_full = true;
        for (salt, id) in std::mem::take(&mut state.parts).into_keys() {
            let number = state.events.len() + 1;
            let salt = quote(&salt);
            state.events.push(format!("[{number},\"-\",{salt},\"{id}\",0,\"m\"]"));
        }
        self.record.line(format!("{} is full, and drops what it kept", self.id));
    }
}

fn sleep_until(started_at: Instant, at_ms: u64) {
    let at = started_at + Duration::from_millis(at_ms);
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

fn config(store: &str) -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"dossier\",\"host\":\"field.example\",\
         \"path_prefix\":\"/dossier/\",\"kind\":\"streaming\",\"timeout_ms\":15000,\
         \"target_latency_ms\":600,\"priority\":2,\"service\":\"mezhdi-llm\",\"max_attempts\":1,\
         \"public\":false,\"sticky\":true,\"resumable\":false,\"gap_aim_ms\":300}}],\
         \"services\":[{{\"name\":\"pamet-b\",\"kv_store_addr\":\"{store}\",\"zone\":\"zone-a\",\
         \"kv_capacity_tokens\":1571491,\"link_mbps\":{STORE_LINK_MBPS:.1},\"max_in_flight\":12,\
         \"managed\":true,\"first_ms\":{STORE_FIRST_MS:.1}}},{{\"name\":\"mezhdi-llm\",\
         \"health_path\":\"/healthz\",\"max_connections\":620,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":{SLOTS},\"kv_capacity_tokens\":{ENGINE_TOKENS},\
         \"kv_token_bytes\":35136,\"link_mbps\":1100000.0,\"moves\":true,\"backups\":true,\
         \"managed\":true,\"stride\":6,\"max_in_flight\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\
         \"handle_s\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"farm\",\"api_keys\":[\"farmkey1\"],\"priority\":1}}]}}"
    )
}

/// Sends a prompt that begins with the shared parts.
fn ask(machines: &Machines, front: u8, id: &str, own: u64) {
    let [one, two] = SHARED_TOKENS;
    let seed = std::process::id();
    let prefix = format!("a1{seed:x}:{one},b2{seed:x}:{two},c{own:x}{seed:x}:{OWN_TOKENS}");
    let request = format!(
        "POST /dossier/1 HTTP/1.1\r\nHost: field.example\r\nX-Pitchhitch-Request-Id: {id}\r\n\
         X-Pitchhitch-Key: farmkey1\r\nX-Pitchhitch-Deadline-Ms: 15000\r\nX-Pitchhitch-Model: m\r\n\
         X-Pitchhitch-Token-Count: {},64\r\nX-Pitchhitch-Prompt-Prefix: {prefix}\r\n\
         Content-Length: 2\r\n\r\nhi",
        one + two + OWN_TOKENS
    );
    machines.record.line(format!("client sends {id} to front {front}"));
    let timeout = Duration::from_secs(15);
    let answer = call(machines.callers(front), request.as_bytes(), timeout);
    let status = answer.map_or(0, |answer| answer.status);
    machines.record.line(format!("client gets {id}: {status}"));
}

pub fn run(folder: &Path, record: &Record, trouble: &str) -> io::Result<()> {
    let machines = Arc::new(Machines::claim(folder, record)?);
    let platform = Platform::start(machines.store(), record)?;
    let store_address = machines.at(STORE_HOST, STORE_PORT);
    let store = KvStore::start(store_address, record)?;
    platform.put("op", "config", &config(&store_address.to_string()));
    platform.put("op", "version/m", "{\"model\":\"m\",\"version\":1}");
    // The requests come once the fronts have known the store for some seconds.
    let lead = Duration::from_secs(8);
    let started_at = Instant::now() + lead;
    let mut engines = Vec::new();
    for host in ENGINE_HOSTS {
        let engine = Engine {
            id: format!("i-{host}"),
            state: Arc::default(),
            moves: Arc::default(),
            store: store.clone(),
            store_address: store_address.to_string(),
            started_at,
            record: record.clone(),
        };
        let address = machines.at(host, ENGINE_PORT);
        let served = engine.clone();
        serve(address, move |connection| served.handle(connection))?;
        let (platform, id) = (platform.clone(), engine.id.clone());
        thread::spawn(move || {
            for sequence in 1.. {
                platform.put("servers", &id, &list_entry("mezhdi-llm", address, SLOTS, sequence));
                thread::sleep(HEARTBEAT);
            }
        });
        engines.push(engine);
    }
    let mut programs: Vec<Program> = Vec::new();
    for host in ENGINE_HOSTS {
        programs.push(machines.start_beside(host)?);
    }
    for host in FRONT_HOSTS {
        programs.push(machines.start_front(host, &FRONT_HOSTS)?);
    }
    if Instant::now() > started_at {
        return Err(io::Error::other("the programs took too long to start"));
    }
    sleep_until(started_at, 0);
    let mut clients = Vec::new();
    let mut send = |front: u8, id: String, own: u64| {
        let machines = machines.clone();
        clients.push(thread::spawn(move || ask(&machines, front, &id, own)));
    };
    // A slow engine gets this one; it has others to run before.
    send(FRONT_HOSTS[1], "first".to_string(), 1);
    sleep_until(started_at, SECOND_AT);
    ask(&machines, FRONT_HOSTS[0], "second", 2);
    let is_second = |engine: &&Engine| !engine.state.lock().expect("lock").parts.is_empty();
    let second = engines.iter().find(is_second);
    second.ok_or(io::Error::other("the second request did not run"))?.fill();
    sleep_until(started_at, LATER_AT);
    for number in 0..LATER_REQUESTS {
        send(FRONT_HOSTS[0], format!("later-{number}"), 16 + number);
    }
    sleep_until(started_at, CRASH_AT);
    if trouble != "0" {
        store.crash();
        sleep_until(started_at, BACK_AT);
        store.restart();
    }
    sleep_until(started_at, END_AT);
    for client in clients {
        let _ = client.join();
    }
    if programs.iter_mut().any(|program| !program.is_running()) {
        record.line("a program has ended by itself");
    }
    Ok(())
}
