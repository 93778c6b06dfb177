use {
    super::{
        estimate, estimate_cost, CandidateState, CostEstimate, EndpointArena, EndpointKey,
        EndpointLoad, InFlightLoad, PieceImport, PoolIndex, PrefixReuse, PricedOffer, RouteChoice,
        RoutePolicy, RoutePool, RouteReason, RouteRequest, RunnerUp, StoreKey, StoreState,
    },
    crate::{
        conf::FleetConfig,
        errors::ErrorKind,
        kv_cache::{PieceDirectory, PieceHolder},
    },
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg32,
    slotmap::{SecondaryMap, SlotMap},
    std::sync::Arc,
};

/// Maximum relative jitter on costs, so that entry processes with the same load report do
/// not all choose the same endpoint.
const JITTER: f64 = 0.05;
/// Jitter per unit of a random `u32`.
const JITTER_STEP: f64 = JITTER / (u32::MAX as f64);

/// Immutable snapshot of the state that routing decisions need.
///
/// The control thread publishes a new one on each change; every decision uses a single
/// snapshot.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    /// The current configuration.
    pub config: Arc<FleetConfig>,
    /// All known endpoints.
    pub endpoints: Arc<EndpointArena>,
    /// Load of the endpoints.
    pub loads: SecondaryMap<EndpointKey, EndpointLoad>,
    /// All known store boxes.
    pub stores: SlotMap<StoreKey, StoreState>,
    /// Holders of pieces.
    pub pieces: PieceDirectory,
    /// Endpoints admitted by the selectors.
    pub pools: Arc<PoolIndex>,
    /// Routing policy.
    pub policy: RoutePolicy,
}

/// The best two candidates so far.
#[derive(Default)]
struct BestTwo<'a> {
    first: Option<Candidate<'a>>,
    second: Option<Candidate<'a>>,
    candidates: u32,
}

#[derive(Clone, Copy)]
struct Candidate<'a> {
    endpoint: EndpointKey,
    state: CandidateState<'a>,
    score: f64,
}

impl<'a> BestTwo<'a> {
    #[inline]
    fn add(
        &mut self,
        candidate: Candidate<'a>,
    ) {
        self.candidates += 1;
        let beats = |other: &Option<Candidate<'a>>| {
            other.as_ref().is_none_or(|o| candidate.score < o.score)
        };
        if beats(&self.first) {
            self.second = self.first.replace(candidate);
        } else if beats(&self.second) {
            self.second = Some(candidate);
        }
    }
}

/// An offer of a store box and the group of endpoints it applies to.
struct GroupOffer<'a> {
    group: &'a str,
    priced: PricedOffer,
}

impl RouteTable {
    /// Chooses the endpoint for a request.
    ///
    /// `sent` returns the load that this process has in flight on an endpoint.
    ///
    /// # Errors
    /// [`ErrorKind::NothingSelected`] if the selectors admit no endpoint, and
    /// [`ErrorKind::NoneAvailable`] if no admitted endpoint is usable.
    pub fn choose(
        &self,
        request: &RouteRequest<'_>,
        sent: impl Fn(EndpointKey) -> InFlightLoad,
    ) -> Result<RouteChoice, ErrorKind> {
        let pool = self
            .pools
            .get(request.organisation, request.target, request.version);
        let pool = pool.ok_or(ErrorKind::NothingSelected)?;
        if pool.admitted == 0 && pool.known > 0 {
            return Err(ErrorKind::NothingSelected);
        }
        let reuse = PrefixReuse::find(&self.pieces, request.pieces);
        let best = self.score_pool(request, pool, &reuse, sent);
        let first = best.first.ok_or(ErrorKind::NoneAvailable)?;
        let first_estimate = estimate(request, &first.state, self.policy);
        Ok(RouteChoice {
            endpoint: first.endpoint,
            estimate: first_estimate,
            runner_up: best.second.map(|c| RunnerUp {
                endpoint: c.endpoint,
                estimate: estimate(request, &c.state, self.policy),
            }),
            reason: self.reason(&first_estimate, best.candidates),
            candidates: best.candidates,
            imports: self.imports(request, &first_estimate),
        })
    }

    fn score_pool(
        &self,
        request: &RouteRequest<'_>,
        pool: &RoutePool,
        reuse: &PrefixReuse,
        sent: impl Fn(EndpointKey) -> InFlightLoad,
    ) -> BestTwo<'_> {
        let mut random = Pcg32::seed_from_u64(request.seed);
        let mut best = BestTwo::default();
        let offers = self.priced_offers(request, reuse);
        for (position, &endpoint) in pool.members.iter().enumerate() {
            let Some(load) = self.loads.get(endpoint) else {
                continue;
            };
            if !load.alive || !load.report.healthy || request.excluded.contains(&endpoint) {
                continue;
            }
            let reused_pieces = reuse.endpoint_pieces(endpoint);
            let state = CandidateState {
                load,
                sent: sent(endpoint),
                reused_pieces,
                offer: self.best_offer(endpoint, &offers),
            };
            let jitter = 1.0 + JITTER_STEP * f64::from(random.gen::<u32>());
            let score = jitter * self.base_score(request, pool, position, &state);
            best.add(Candidate {
                endpoint,
                state,
                score,
            });
        }
        best
    }

    #[inline]
    fn base_score(
        &self,
        request: &RouteRequest<'_>,
        pool: &RoutePool,
        position: usize,
        state: &CandidateState<'_>,
    ) -> f64 {
        let load = state.load;
        let running = || {
            let others = load.report.running.saturating_sub(load.own_running);
            f64::from(others + state.sent.running)
        };
        match self.policy {
            RoutePolicy::Estimate | RoutePolicy::AlwaysImport | RoutePolicy::AlwaysRecompute => {
                estimate_cost(request, state, self.policy) + 1.0
            }
            RoutePolicy::RoundRobin => {
                let turn = request.seed as usize % pool.members.len().max(1);
                let distance = (position + pool.members.len() - turn) % pool.members.len();
                1.0 + distance as f64
            }
            RoutePolicy::LeastLoad => running() + 1.0,
            RoutePolicy::PrefixAffinity => {
                let missing_pieces = request.pieces.len() as f64 - f64::from(state.reused_pieces);
                1.0 + missing_pieces * 1e6 + running()
            }
        }
    }

    fn priced_offers(
        &self,
        request: &RouteRequest<'_>,
        reuse: &PrefixReuse,
    ) -> Vec<GroupOffer<'_>> {
        let mut offers = Vec::new();
        for offer in reuse.offers() {
            if let Some(store) = self.stores.get(offer.store) {
                offers.push(GroupOffer {
                    group: &store.group,
                    priced: PricedOffer::new(request, store, *offer),
                });
            }
        }
        offers
    }

    /// The offer with the most pieces for the group of an endpoint.
    #[inline]
    fn best_offer(
        &self,
        endpoint: EndpointKey,
        offers: &[GroupOffer<'_>],
    ) -> Option<PricedOffer> {
        if offers.is_empty() {
            return None;
        }
        let group = &self.endpoints.get(endpoint)?.group;
        let group_offers = offers.iter().filter(|offer| offer.group == group.as_str());
        group_offers
            .map(|offer| offer.priced)
            .max_by_key(|priced| priced.offer.pieces)
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
}
