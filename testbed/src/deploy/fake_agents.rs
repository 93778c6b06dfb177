use {
    async_global_executor::Task,
    pitchhitch_core::{
        kv_cache::PieceKey,
        labels::LabelSet,
        membership::{AgentBeacon, Beacon},
        role::{AgentPulse, EndpointEvent, EventBatch, PromptUse},
        route::{EndpointKind, LoadReport},
    },
    pitchhitch_process::{spawn, spawn_detached},
    pitchhitch_wire::{
        beacon::{BeaconKey, BeaconSocket},
        link::{serve_link, IncomingCall, ReplySender},
        messages::{LinkCall, LinkReply},
    },
    smol::{net::TcpListener, Timer},
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
};

/// Beacon interval of a real agent that has a link from each of its beacon targets.
const BEACON_INTERVAL: Duration = Duration::from_secs(10);
/// Pulse interval of a real idle agent.
const PULSE_INTERVAL: Duration = Duration::from_millis(11_700);
const BEACONS_PER_BATCH: usize = 50;

/// Number of fake agents and what they report.
#[derive(Debug, Clone)]
pub struct FakeAgentsShape {
    /// Number of agents.
    pub agents: usize,
    /// Prompts whose pieces each agent reports as cached.
    pub prompts_each: usize,
    /// Cached pieces of one prompt.
    pub pieces_each: usize,
    /// Model that they serve.
    pub model: String,
    /// Weight version that they have loaded.
    pub version: String,
    /// Entry processes that their beacons are sent to.
    pub beacon_targets: Vec<SocketAddr>,
    /// Beacon secret of the deployment.
    pub secret: String,
}

/// Agents without endpoints: they send beacons, accept links and send events, but
/// run no requests. Used to measure the memory and CPU time that an entry process
/// needs for many agents.
#[derive(Debug)]
pub struct FakeAgents {
    _tasks: Vec<Task<()>>,
}

impl FakeAgents {
    /// Starts the agents.
    ///
    /// # Errors
    /// When an address cannot be bound.
    pub async fn start(shape: FakeAgentsShape) -> io::Result<Self> {
        let shape = Arc::new(shape);
        let mut tasks = Vec::new();
        let mut beacons = Vec::new();
        for number in 0..shape.agents {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let beacon = beacon(&shape, number, listener.local_addr()?);
            beacons.push(beacon.clone());
            tasks.push(spawn(accept_links(listener, shape.clone(), number, beacon)));
        }
        tasks.push(spawn(send_beacons(shape, beacons)));
        Ok(FakeAgents { _tasks: tasks })
    }
}

fn beacon(
    shape: &FakeAgentsShape,
    number: usize,
    address: SocketAddr,
) -> AgentBeacon {
    AgentBeacon {
        endpoint_id: format!("fake-{number}"),
        kind: EndpointKind::Engine {
            model: shape.model.clone(),
            version: shape.version.clone(),
        },
        group: format!("fake-group-{}", number / 16),
        labels: [("site", "a"), ("failure_domain", "domain-1")]
            .into_iter()
            .collect::<LabelSet>(),
        address,
        incarnation: 1,
        revision: 0,
        pulse: AgentPulse {
            load: load(),
            refusing: false,
            exporting: 0,
            taken_up: 0,
        },
    }
}

fn load() -> LoadReport {
    LoadReport {
        pending_tokens: 0,
        running: 0,
        slots: 16,
        token_cost: 20.0,
        service_time: 1_000.0,
        healthy: true,
    }
}

fn pulse() -> AgentPulse {
    AgentPulse {
        load: load(),
        refusing: false,
        exporting: 0,
        taken_up: 0,
    }
}

async fn send_beacons(
    shape: Arc<FakeAgentsShape>,
    beacons: Vec<AgentBeacon>,
) {
    let mut sockets = Vec::new();
    for _ in &beacons {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        match BeaconSocket::bind(address, BeaconKey::from_secret(&shape.secret)).await {
            Ok(socket) => sockets.push(socket),
            Err(_) => return,
        }
    }
    let batches = beacons.len().div_ceil(BEACONS_PER_BATCH).max(1);
    loop {
        for batch in beacons
            .iter()
            .zip(&sockets)
            .collect::<Vec<_>>()
            .chunks(BEACONS_PER_BATCH)
        {
            for (beacon, socket) in batch {
                socket
                    .send(Beacon::Agent((*beacon).clone()), &shape.beacon_targets)
                    .await;
            }
            Timer::after(BEACON_INTERVAL / batches as u32).await;
        }
    }
}

async fn accept_links(
    listener: TcpListener,
    shape: Arc<FakeAgentsShape>,
    number: usize,
    beacon: AgentBeacon,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let shape = shape.clone();
        let beacon = beacon.clone();
        spawn_detached(async move {
            let _ = serve_link(stream, |call| {
                spawn_detached(handle_call(call, shape.clone(), number, beacon.clone()));
            })
            .await;
        });
    }
}

async fn handle_call(
    call: IncomingCall,
    shape: Arc<FakeAgentsShape>,
    number: usize,
    beacon: AgentBeacon,
) {
    let Ok((call, mut replies)) = call.read().await else {
        return;
    };
    match call {
        LinkCall::Subscribe { .. } => {
            let hello = LinkReply::Hello {
                endpoint_id: beacon.endpoint_id,
                incarnation: beacon.incarnation,
            };
            if replies.send(&hello).await.is_ok() {
                send_events(&shape, number, replies).await;
            }
        }
        _ => {
            if replies.send(&LinkReply::Taken).await.is_ok() {
                let _ = replies.end();
            }
        }
    }
}

async fn send_events(
    shape: &FakeAgentsShape,
    number: usize,
    mut replies: ReplySender,
) {
    let events = events(shape, number);
    let next = events.len() as u64;
    let mut batch = EventBatch {
        first: 0,
        events,
        pulse: pulse(),
    };
    while replies.send(&LinkReply::Events(batch)).await.is_ok() {
        Timer::after(PULSE_INTERVAL).await;
        batch = EventBatch {
            first: next,
            events: Vec::new(),
            pulse: pulse(),
        };
    }
}

fn events(
    shape: &FakeAgentsShape,
    number: usize,
) -> Vec<EndpointEvent> {
    let mut events = Vec::new();
    for prompt in 0..shape.prompts_each {
        let name = (number as u128) << 64 | (prompt as u128) << 32;
        let identity = piece_key(name);
        events.push(EndpointEvent::PromptUsed(PromptUse {
            identity,
            organisation: "fake-01".to_string(),
            label: "file".to_string(),
        }));
        events.push(EndpointEvent::Cached(identity));
        for piece in 1..shape.pieces_each {
            events.push(EndpointEvent::Cached(piece_key(name | piece as u128)));
        }
    }
    events
}

fn piece_key(name: u128) -> PieceKey {
    let hash = blake3::hash(&name.to_le_bytes());
    let mut half = [0; 16];
    half.copy_from_slice(&hash.as_bytes()[..16]);
    PieceKey(u128::from_le_bytes(half))
}
