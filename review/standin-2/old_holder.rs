//! The process beside an engine is cut off, a front gives the engine its orders meanwhile, and later
//! the store turns the process away as its next order is due.

use {
    crate::{
        deployment::{list_entry, Machines, Program, ENGINE_PORT},
        http::{serve, Connection, Request},
        json::Json,
        link::{Link, LinkState},
        platform::Platform,
        record::Record,
    },
    std::{
        io,
        path::Path,
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

const FRONT_HOSTS: [u8; 2] = [11, 12];
const ENGINE_HOSTS: [u8; 3] = [21, 22, 23];
/// Where the process beside the first engine listens, and where it finds the store: behind links.
const BESIDE_HOST: u8 = 36;
const STORE_LINK_HOST: u8 = 37;
/// Addresses from which datagrams of fronts reach it.
const LINK_HOSTS: [u8; 4] = [51, 52, 53, 54];
const SLOTS: u32 = 128;
const ENGINE_TOKENS: u64 = 179_134;
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time that an engine takes to load weights, and the age of what it reports.
const LOAD_TIME: Duration = Duration::from_millis(1_300);
const REPORT_AGE: Duration = Duration::from_millis(200);

/// Schedule in ms: the machine is cut off for 12 s; later the store turns it away for 9 s.
const SECOND_NAMED_AT: u64 = 500;
const HEALED_AT: u64 = 12_000;
const TURNED_AWAY_AT: u64 = 15_000;
const THIRD_NAMED_AT: u64 = 17_000;
const SERVED_AT: u64 = 24_000;
const END_AT: u64 = 27_000;

/// What an engine reports, and when that became so.
#[derive(Debug, Clone, Copy)]
struct Facts {
    version: u64,
    is_busy: bool,
    sequence: u64,
}

struct EngineState {
    facts: Facts,
    history: Vec<(Instant, Facts)>,
    /// Highest fencing token of an order so far, and who sent it.
    highest: (u64, String),
}

/// Stand-in for a model engine that does not check fencing tokens.
#[derive(Clone)]
struct Engine {
    id: String,
    state: Arc<Mutex<EngineState>>,
    record: Record,
}

impl Engine {
    fn new(id: String, record: &Record) -> Self {
        let facts = Facts {
            version: 1,
            is_busy: false,
            sequence: 0,
        };
        let state = EngineState {
            facts,
            history: vec![(Instant::now() - REPORT_AGE, facts)],
            highest: (0, String::new()),
        };
        Engine {
            id,
            state: Arc::new(Mutex::new(state)),
            record: record.clone(),
        }
    }

    fn handle(&self, mut connection: Connection) {
        while let Some(request) = connection.read() {
            let own_id = [("X-Pitchhitch-Instance-Id", self.id.as_str())];
            let is_answered = match request.path() {
                "/healthz" => connection.answer(200, &own_id, b"ok"),
                "/api/report" => connection.answer_json(200, &self.report()),
                "/api/kv-events" => {
                    thread::sleep(Duration::from_millis(50));
                    let clock = self.record.clock_ms();
                    connection.answer_json(
                        200,
                        &format!(
                            "{{\"boot_epoch\":7,\"next_page_token\":0,\"lost\":false,\
                             \"events\":[],\"clock_ms\":{clock}}}"
                        ),
                    )
                }
                "/api/kv-list" => connection
                    .answer_json(200, "{\"boot_epoch\":7,\"next_page_token\":0,\"held\":[]}"),
                "/api/order" => {
                    let status = self.take_order(&request);
                    connection.answer(status, &own_id, b"")
                }
                _ => connection.answer(404, &own_id, b""),
            };
            if !is_answered {
                return;
            }
        }
    }

    fn report(&self) -> String {
        let state = self.state.lock().expect("lock");
        let seen_at = Instant::now() - REPORT_AGE;
        let known = state.history.iter().rev().find(|(at, _)| *at <= seen_at);
        let facts = known.map_or(state.history[0].1, |(_, facts)| *facts);
        format!(
            "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":{},\"adapters\":[]}}],\
             \"busy\":{},\"sequence\":{},\"waiting\":0,\"running\":0,\"kv_used\":0,\
             \"kv_total\":{ENGINE_TOKENS},\"handles\":0,\"runs\":[],\"clock_ms\":{}}}",
            facts.version,
            facts.is_busy,
            facts.sequence,
            self.record.clock_ms()
        )
    }

    fn take_order(&self, request: &Request) -> u16 {
        let order = Json::parse(&request.body);
        let (holder, fence) = (order.get("holder").text(), order.get("fence").number());
        let version = order.get("version").number();
        let expected = request.header("x-pitchhitch-expect-instance");
        let mut state = self.state.lock().expect("lock");
        let facts = state.facts;
        let is_other_sequence =
            *order.get("expected") != Json::Null && order.get("expected").number() != facts.sequence;
        let status = match () {
            () if !expected.is_empty() && expected != self.id => 421,
            () if holder.is_empty() || fence == 0 => 400,
            () if facts.version >= version => 200,
            () if facts.is_busy || is_other_sequence => 409,
            () => 202,
        };
        self.record.line(format!(
            "{} gets an order: version {version}, holder {holder}, fence {fence}; answers {status}",
            self.id
        ));
        let (highest, by) = state.highest.clone();
        if fence < highest {
            self.record.broken(format!(
                "ONE: {} gets an order with fence {fence} of {holder} after one with fence {highest} \
                 of {by}",
                self.id
            ));
        } else {
            state.highest = (fence, holder.to_string());
        }
        if status == 202 {
            self.change(&mut state, |facts| {
                facts.is_busy = true;
                facts.sequence += 1;
            });
            let engine = self.clone();
            thread::spawn(move || {
                thread::sleep(LOAD_TIME);
                let mut state = engine.state.lock().expect("lock");
                engine.change(&mut state, |facts| {
                    facts.is_busy = false;
                    facts.version = version;
                });
                engine.record.line(format!("{} has version {version}", engine.id));
            });
        }
        status
    }

    fn change(&self, state: &mut EngineState, change: impl FnOnce(&mut Facts)) {
        change(&mut state.facts);
        let facts = state.facts;
        state.history.push((Instant::now(), facts));
    }
}

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"dossier\",\"host\":\"field.example\",\
         \"path_prefix\":\"/dossier/\",\"kind\":\"streaming\",\"timeout_ms\":15000,\
         \"target_latency_ms\":600,\"priority\":2,\"service\":\"mezhdi-llm\",\"max_attempts\":1,\
         \"public\":false,\"sticky\":true,\"resumable\":false,\"gap_aim_ms\":300}}],\
         \"services\":[{{\"name\":\"mezhdi-llm\",\
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

pub fn run(folder: &Path, record: &Record, trouble: &str) -> io::Result<()> {
    let machines = Arc::new(Machines::claim(folder, record)?);
    let platform = Platform::start(machines.store(), record)?;
    platform.put("op", "config", &config());
    let name = |version: u64| {
        platform.put("op", "version/m", &format!("{{\"model\":\"m\",\"version\":{version}}}"));
        record.line(format!("version {version} is named"));
    };
    name(1);
    for host in ENGINE_HOSTS {
        let engine = Engine::new(format!("i-{host}"), record);
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
    }
    // The machine of the process beside the first engine: fronts reach it, and it reaches the store,
    // through links.
    let [first, others @ ..] = ENGINE_HOSTS;
    let (listen, store) = (machines.beside(BESIDE_HOST), machines.at(STORE_LINK_HOST, 9000));
    let to_beside = Link::start(machines.beside(first), listen)?;
    let own_addresses = LINK_HOSTS.map(|host| machines.beside(host));
    to_beside.pass_datagrams(machines.beside(first), listen, own_addresses.to_vec())?;
    let to_store = Link::start(store, machines.store())?;
    let mut programs: Vec<Program> = vec![machines.start_beside_at(first, listen, store)?];
    for host in others {
        programs.push(machines.start_beside(host)?);
    }
    for host in FRONT_HOSTS {
        programs.push(machines.start_front(host, &FRONT_HOSTS)?);
    }
    thread::sleep(Duration::from_secs(8));
    let started_at = Instant::now();
    let sleep_until = |at_ms: u64| {
        let at = started_at + Duration::from_millis(at_ms);
        thread::sleep(at.saturating_duration_since(Instant::now()));
    };
    let (is_cut, is_turned_away) = match trouble {
        "0" => (false, false),
        "cut" => (true, false),
        "store" => (false, true),
        _ => (true, true),
    };
    if is_cut {
        to_beside.set(LinkState::Cut);
        to_store.set(LinkState::Cut);
        record.line(format!("side-{first} is cut off"));
    }
    sleep_until(SECOND_NAMED_AT);
    name(2);
    sleep_until(HEALED_AT);
    if is_cut {
        to_beside.set(LinkState::Open);
        to_store.set(LinkState::Open);
        record.line(format!("side-{first} is no longer cut off"));
    }
    sleep_until(TURNED_AWAY_AT);
    if is_turned_away {
        to_store.set(LinkState::TurnedAway);
        record.line(format!("the store turns side-{first} away"));
    }
    sleep_until(THIRD_NAMED_AT);
    name(3);
    sleep_until(SERVED_AT);
    to_store.set(LinkState::Open);
    record.line(format!("the store serves side-{first}"));
    sleep_until(END_AT);
    if programs.iter_mut().any(|program| !program.is_running()) {
        record.line("a program has ended by itself");
    }
    Ok(())
}
