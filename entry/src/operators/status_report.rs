use {
    crate::traffic::EntryApp,
    pitchhitch_core::{drain::DrainState, role::EntryCore, route::EndpointKind, time::Micros},
    pitchhitch_process::ProcessUsage,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Status of an entry process, for operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Id of the box that the process runs on.
    pub box_id: String,
    /// Configuration revision in force.
    pub revision: u64,
    /// Whether the process is ready for new requests.
    pub ready: bool,
    /// Time since the process started, in seconds.
    pub up_seconds: f64,
    /// Number of running requests.
    pub running: u32,
    /// Known endpoints.
    pub endpoints: Vec<EndpointRow>,
    /// Other entry processes whose beacons it receives.
    pub peers: Vec<PeerRow>,
    /// Ids of the known store boxes.
    pub stores: Vec<String>,
    /// Number of known cached pieces.
    pub pieces: usize,
    /// Number of prompts in the history, which are expected to be reused.
    pub prompts: usize,
    /// Control shards whose lease it holds.
    pub shards: Vec<String>,
    /// Counters since the process started.
    pub counts: BTreeMap<String, u64>,
    /// CPU time and memory.
    pub usage: ProcessUsage,
}

/// An endpoint in a status report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointRow {
    /// Id of the endpoint.
    pub id: String,
    /// Model or service that it serves.
    pub target: String,
    /// Weight version; empty for plain services.
    pub version: String,
    /// Group of the endpoint.
    pub group: String,
    /// Labels of the endpoint.
    pub labels: String,
    /// Whether it is eligible for new requests.
    pub alive: bool,
    /// Number of requests that run on it.
    pub running: u32,
    /// Prompt tokens that it still has to compute.
    pub pending_tokens: u64,
    /// Its drain state.
    pub drain: DrainState,
}

/// Another entry process in a status report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerRow {
    /// Id of its box.
    pub id: String,
    /// Its configuration revision.
    pub revision: u64,
    /// Number of requests that run there.
    pub running: u32,
}

/// The fields of a status report that only the control thread knows.
#[derive(Debug)]
pub struct ControlStatus {
    revision: u64,
    endpoints: Vec<EndpointRow>,
    peers: Vec<PeerRow>,
    pieces: usize,
    prompts: usize,
    shards: Vec<String>,
}

impl ControlStatus {
    /// Reads the fields from the control state.
    pub fn read(
        core: &EntryCore,
        now: Micros,
    ) -> Self {
        let peers = core.peers().iter().map(|peer| PeerRow {
            id: peer.beacon.entry_id.clone(),
            revision: peer.beacon.revision,
            running: peer.beacon.running,
        });
        ControlStatus {
            revision: core.config().revision,
            endpoints: endpoint_rows(core, now),
            peers: peers.collect(),
            pieces: core.piece_count(),
            prompts: core.prompt_count(),
            shards: core.held_shards(now),
        }
    }
}

fn endpoint_rows(
    core: &EntryCore,
    now: Micros,
) -> Vec<EndpointRow> {
    let roster = core.roster();
    let mut rows = Vec::new();
    for (id, entry) in roster.iter() {
        let Some(state) = roster.arena.get(entry.key) else {
            continue;
        };
        let load = roster.loads.get(entry.key).copied().unwrap_or_default();
        let (target, version) = match &state.kind {
            EndpointKind::Engine { model, version } => (model.clone(), version.clone()),
            EndpointKind::Service { service } => (service.clone(), String::new()),
        };
        rows.push(EndpointRow {
            id: id.clone(),
            target,
            version,
            group: state.group.clone(),
            labels: state.labels.to_string(),
            alive: load.alive && load.report.healthy && !state.leaving,
            running: load.report.running,
            pending_tokens: load.report.pending_tokens,
            drain: core.drain_state(id, now),
        });
    }
    rows
}

impl StatusReport {
    /// Collects a report; `None` if the control thread has ended.
    pub async fn collect(app: &EntryApp) -> Option<Self> {
        let control = app
            .control
            .query(|core, now| ControlStatus::read(core, now))
            .await?;
        let view = app.view.load();
        let counts = app.metrics.counts();
        Some(StatusReport {
            box_id: app.settings.box_id.clone(),
            revision: control.revision,
            ready: app.is_ready(),
            up_seconds: app.clock.now().as_secs_f64(),
            running: app.limits().running(),
            endpoints: control.endpoints,
            peers: control.peers,
            stores: view.table.stores.values().map(|s| s.id.clone()).collect(),
            pieces: control.pieces,
            prompts: control.prompts,
            shards: control.shards,
            counts: counts
                .into_iter()
                .map(|(name, n)| (name.to_string(), n))
                .collect(),
            usage: ProcessUsage::current(),
        })
    }
}
