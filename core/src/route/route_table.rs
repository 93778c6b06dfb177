use {
    super::{
        estimate, CostEstimate, EndpointArena, EndpointKey, EndpointLoad, EndpointState,
        ImportOffer, PieceImport, PoolIndex, PrefixReuse, RouteChoice, RoutePolicy, RoutePool,
        RouteReason, RouteRequest, RunnerUp, SentLoad, StoreKey, StoreState,
    },
    crate::{
        conf::FleetConfig,
        errors::ErrorKind,
        kept::{PieceDirectory, PieceHolder},
    },
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg32,
    slotmap::{SecondaryMap, SlotMap},
    std::sync::Arc,
};

/// Share by which two equal costs may be told apart at random, so that several
/// entry processes that see the same report do not all choose the same endpoint.
const JITTER: f64 = 0.05;

/// One immutable view of everything that routing decisions need.
///
/// The control thread makes a new one on change; a request is decided on one
/// table throughout.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    /// The configuration in force.
    pub config: Arc<FleetConfig>,
    /// All known endpoints.
    pub endpoints: Arc<EndpointArena>,
    /// Their load.
    pub loads: SecondaryMap<EndpointKey, EndpointLoad>,
    /// All known store boxes.
    pub stores: SlotMap<StoreKey, StoreState>,
    /// Who holds which piece.
    pub pieces: PieceDirectory,
    /// Which endpoints the selectors admit.
    pub pools: Arc<PoolIndex>,
    /// How endpoints are chosen.
    pub policy: RoutePolicy,
}

/// The best two candidates so far.
#[derive(Default)]
struct BestTwo {
    first: Option<Candidate>,
    second: Option<Candidate>,
}

#[derive(Clone, Copy)]
struct Candidate {
    endpoint: EndpointKey,
    estimate: CostEstimate,
    score: f64,
}

impl BestTwo {
    fn offer(
        &mut self,
        candidate: Candidate,
    ) {
        let beats =
            |other: &Option<Candidate>| other.as_ref().is_none_or(|o| candidate.score < o.score);
        if beats(&self.first) {
            self.second = self.first.replace(candidate);
        } else if beats(&self.second) {
            self.second = Some(candidate);
        }
    }
}

impl RouteTable {
    /// Chooses the endpoint for a request.
    ///
    /// `sent` tells what this process has under way at an endpoint.
    ///
    /// # Errors
    /// [`ErrorKind::NothingSelected`] when the selectors admit no endpoint, and
    /// [`ErrorKind::NoneAvailable`] when they do, but none of these is usable.
    pub fn choose(
        &self,
        request: &RouteRequest<'_>,
        sent: impl Fn(EndpointKey) -> SentLoad,
    ) -> Result<RouteChoice, ErrorKind> {
        let pool = self
            .pools
            .get(request.organisation, request.target, request.version);
        let pool = pool.ok_or(ErrorKind::NothingSelected)?;
        if pool.admitted == 0 && pool.known > 0 {
            return Err(ErrorKind::NothingSelected);
        }
        let reuse = PrefixReuse::find(&self.pieces, request.pieces);
        let mut best = BestTwo::default();
        let candidates = self.score_pool(request, pool, &reuse, sent, &mut best);
        let first = best.first.ok_or(ErrorKind::NoneAvailable)?;
        Ok(RouteChoice {
            endpoint: first.endpoint,
            estimate: first.estimate,
            runner_up: best.second.map(|c| RunnerUp {
                endpoint: c.endpoint,
                estimate: c.estimate,
            }),
            reason: self.reason(&first.estimate, candidates),
            candidates,
            imports: self.imports(request, &first.estimate),
        })
    }

    fn score_pool(
        &self,
        request: &RouteRequest<'_>,
        pool: &RoutePool,
        reuse: &PrefixReuse,
        sent: impl Fn(EndpointKey) -> SentLoad,
        best: &mut BestTwo,
    ) -> u32 {
        let mut random = Pcg32::seed_from_u64(request.seed);
        let mut candidates = 0;
        for (position, &endpoint) in pool.members.iter().enumerate() {
            let Some(load) = self.loads.get(endpoint) else {
                continue;
            };
            if !load.alive || !load.report.healthy || request.excluded.contains(&endpoint) {
                continue;
            }
            candidates += 1;
            let reused = reuse.on_endpoint(endpoint);
            let offer = self.best_offer(endpoint, reuse, reused);
            let own = sent(endpoint);
            let estimate = estimate(request, load, own, reused, offer, self.policy);
            let jitter = 1.0 + JITTER * random.gen::<f64>();
            let base = self.base_score(request, pool, position, load, own, &estimate);
            best.offer(Candidate {
                endpoint,
                estimate,
                score: base * jitter,
            });
        }
        candidates
    }

    fn base_score(
        &self,
        request: &RouteRequest<'_>,
        pool: &RoutePool,
        position: usize,
        load: &EndpointLoad,
        own: SentLoad,
        estimate: &CostEstimate,
    ) -> f64 {
        let others = load.report.running.saturating_sub(load.own_running);
        let running = f64::from(others + own.running);
        match self.policy {
            RoutePolicy::Estimate | RoutePolicy::AlwaysImport | RoutePolicy::AlwaysRecompute => {
                estimate.cost + 1.0
            }
            RoutePolicy::RoundRobin => {
                let turn = request.seed as usize % pool.members.len().max(1);
                let distance = (position + pool.members.len() - turn) % pool.members.len();
                1.0 + distance as f64
            }
            RoutePolicy::LeastLoad => running + 1.0,
            RoutePolicy::PrefixAffinity => {
                let lacking = request.pieces.len() as f64 - f64::from(estimate.reused_pieces);
                1.0 + lacking * 1e6 + running
            }
        }
    }

    fn best_offer(
        &self,
        endpoint: EndpointKey,
        reuse: &PrefixReuse,
        reused: u32,
    ) -> Option<(&StoreState, ImportOffer)> {
        if reuse.offers().is_empty() {
            return None;
        }
        let group = &self.endpoints.get(endpoint)?.group;
        let mut best: Option<(&StoreState, ImportOffer)> = None;
        for offer in reuse.offers() {
            let Some(store) = self.stores.get(offer.store) else {
                continue;
            };
            if &store.group != group || offer.pieces <= reused {
                continue;
            }
            let longer = best.as_ref().is_none_or(|(_, b)| offer.pieces > b.pieces);
            if longer {
                best = Some((store, *offer));
            }
        }
        best
    }

    fn reason(
        &self,
        estimate: &CostEstimate,
        candidates: u32,
    ) -> RouteReason {
        if candidates == 1 {
            RouteReason::OnlyOne
        } else if self.policy != RoutePolicy::Estimate {
            RouteReason::Baseline
        } else if estimate.imported_pieces > 0 {
            RouteReason::ImportsPrefix
        } else if estimate.reused_pieces > 0 {
            RouteReason::ReusesPrefix
        } else {
            RouteReason::ShortestQueue
        }
    }

    fn imports(
        &self,
        request: &RouteRequest<'_>,
        estimate: &CostEstimate,
    ) -> Vec<PieceImport> {
        let Some(store) = estimate.store else {
            return Vec::new();
        };
        let from = estimate.reused_pieces as usize;
        let to = from + estimate.imported_pieces as usize;
        let mut imports = Vec::with_capacity(to - from);
        for &key in &request.pieces[from..to] {
            for holder in self.pieces.holders(key) {
                if let PieceHolder::Store(copy) = holder {
                    if copy.store == store {
                        imports.push(PieceImport {
                            key,
                            generation: copy.generation,
                        });
                    }
                }
            }
        }
        imports
    }

    /// Finds an endpoint by the name that operators use.
    pub fn endpoint_by_id(
        &self,
        id: &str,
    ) -> Option<(EndpointKey, &Arc<EndpointState>)> {
        self.endpoints.iter().find(|(_, state)| state.id == id)
    }
}
