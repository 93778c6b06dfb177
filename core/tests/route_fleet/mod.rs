//! Test fixture: a fleet of engines with organisations, rules and cached pieces.

use {
    pitchhitch_core::{
        conf::{
            CostWeights, FleetConfig, ModelConf, OrganisationConf, PlacementRule, RuleEffect,
            VersionConf,
        },
        errors::ErrorKind,
        kv_cache::{prefix_keys, PieceHolder, PieceKey, StoreTier, StoredCopy},
        labels::{LabelSelector, LabelSet},
        route::{
            EndpointArena, EndpointKey, EndpointKind, EndpointLoad, EndpointState, InFlightLoad,
            LoadReport, PoolIndex, RouteChoice, RouteRequest, RouteTable, StoreState, WorkTarget,
        },
        time::Micros,
    },
    slotmap::SecondaryMap,
    std::{net::SocketAddr, sync::Arc},
};

pub const TOKENS: u32 = 4_096;

pub struct Fleet {
    pub config: FleetConfig,
    pub arena: EndpointArena,
    pub loads: SecondaryMap<EndpointKey, EndpointLoad>,
    pub table: RouteTable,
    pub keys: Vec<EndpointKey>,
}

pub fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

pub fn fleet(engines: usize) -> Fleet {
    let mut config = FleetConfig {
        revision: 1,
        ..FleetConfig::default()
    };
    config
        .organisations
        .insert("org".to_string(), OrganisationConf::default());
    config
        .organisations
        .insert("other".to_string(), OrganisationConf::default());
    let versions = ["v1", "v2"].map(|v| (v.to_string(), VersionConf::default()));
    let model = ModelConf {
        active: "v1".to_string(),
        versions: versions.into_iter().collect(),
        token_bytes: 1_000,
    };
    config.models.insert("m".to_string(), model);
    let mut fleet = Fleet {
        config,
        arena: EndpointArena::default(),
        loads: SecondaryMap::new(),
        table: RouteTable::default(),
        keys: Vec::new(),
    };
    for number in 0..engines {
        fleet.add_engine(number, "v1");
    }
    fleet
}

impl Fleet {
    pub fn add_engine(
        &mut self,
        number: usize,
        version: &str,
    ) -> EndpointKey {
        let site = if number % 2 == 0 { "a" } else { "b" };
        let key = self.arena.insert(Arc::new(EndpointState {
            id: format!("e{number}"),
            kind: EndpointKind::Engine {
                model: "m".to_string(),
                version: version.to_string(),
            },
            group: "g".to_string(),
            labels: [("site", site)].into_iter().collect::<LabelSet>(),
            address: address(),
            incarnation: 1,
            leaving: false,
        }));
        let report = LoadReport {
            slots: 8,
            token_cost: 20.0,
            service_time: 50_000.0,
            healthy: true,
            ..LoadReport::default()
        };
        let load = EndpointLoad {
            report,
            alive: true,
            penalty: 1.0,
            ..EndpointLoad::default()
        };
        self.loads.insert(key, load);
        self.keys.push(key);
        key
    }

    pub fn rule(
        &mut self,
        name: &str,
        precedence: i32,
        work: &str,
        endpoints: &str,
        effect: RuleEffect,
    ) {
        let rule = PlacementRule {
            precedence,
            work: LabelSelector::parse(work).expect("work"),
            endpoints: LabelSelector::parse(endpoints).expect("endpoints"),
            effect,
        };
        self.config.rules.insert(name.to_string(), rule);
    }

    pub fn cache(
        &mut self,
        endpoint: usize,
        pieces: &[PieceKey],
    ) {
        for piece in pieces {
            self.table
                .pieces
                .add(*piece, PieceHolder::Endpoint(self.keys[endpoint]));
        }
    }

    pub fn store(
        &mut self,
        pieces: &[PieceKey],
        link_rate: f64,
    ) {
        let store = self.table.stores.insert(StoreState {
            id: "s".to_string(),
            group: "g".to_string(),
            address: address(),
            link_rate,
            link_queue: 0,
            disk_rate: 1.0e9,
        });
        for piece in pieces {
            let copy = StoredCopy {
                store,
                tier: StoreTier::Memory,
                generation: 5,
            };
            self.table.pieces.add(*piece, PieceHolder::Store(copy));
        }
    }

    pub fn build(mut self) -> RouteTable {
        self.table.pools = Arc::new(PoolIndex::build(&self.config, &self.arena));
        self.table.config = Arc::new(self.config);
        self.table.endpoints = Arc::new(self.arena);
        self.table.loads = self.loads;
        self.table
    }
}

pub fn prompt() -> Vec<PieceKey> {
    let text: Vec<u8> = (0..TOKENS as usize * 4).map(|n| (n % 251) as u8).collect();
    prefix_keys("org", "v1", &text)
}

pub fn choose(
    table: &RouteTable,
    organisation: &str,
    version: &str,
    pieces: &[PieceKey],
    excluded: &[EndpointKey],
    seed: u64,
) -> Result<RouteChoice, ErrorKind> {
    let target = WorkTarget::Model("m".to_string());
    let request = RouteRequest {
        organisation,
        target: &target,
        version,
        pieces,
        input_tokens: TOKENS,
        weights: CostWeights::default(),
        token_bytes: 1_000,
        excluded,
        now: Micros::ZERO,
        seed,
    };
    table.choose(&request, |_| InFlightLoad::default())
}

pub fn chosen(
    table: &RouteTable,
    choice: &RouteChoice,
) -> String {
    table.endpoints[choice.endpoint].id.clone()
}
