use {
    super::{EndpointKey, EndpointKind, EndpointState, WorkTarget},
    crate::{
        conf::{FleetConfig, PlacementRule, RuleEffect},
        labels::LabelSet,
    },
    slotmap::SlotMap,
    std::{collections::BTreeMap, sync::Arc},
};

/// All known endpoints.
pub type EndpointArena = SlotMap<EndpointKey, Arc<EndpointState>>;

/// Endpoints admitted by the selectors for one organisation, target and version.
#[derive(Debug, Clone, Default)]
pub struct RoutePool {
    /// Admitted endpoints that serve the version and are not draining.
    pub members: Vec<EndpointKey>,
    /// Number of endpoints of the model or service, admitted or not.
    pub known: usize,
    /// Number of endpoints admitted by the selectors, usable or not.
    pub admitted: usize,
}

/// Pools of all organisations, targets and versions.
#[derive(Debug, Clone, Default)]
pub struct PoolIndex {
    pools: BTreeMap<String, BTreeMap<WorkTarget, Vec<VersionPool>>>,
}

/// The pool of one weight version.
#[derive(Debug, Clone)]
pub struct VersionPool {
    /// The version; empty for plain services.
    pub version: String,
    /// The pool.
    pub pool: Arc<RoutePool>,
}

struct VersionTarget {
    target: WorkTarget,
    version: String,
}

impl PoolIndex {
    /// Evaluates all selectors of a configuration against the known endpoints.
    ///
    /// Organisations to which the same rules apply share one pool.
    pub fn build(
        config: &FleetConfig,
        arena: &EndpointArena,
    ) -> PoolIndex {
        let mut index = PoolIndex::default();
        for version_target in version_targets(config) {
            let endpoints = target_endpoints(arena, &version_target);
            let mut shared: BTreeMap<Vec<&str>, Arc<RoutePool>> = BTreeMap::new();
            for organisation in config.organisations.keys() {
                let work = work_labels(
                    config,
                    organisation,
                    &version_target.target,
                    &version_target.version,
                );
                let rules = effective_rules(config, &work);
                let rule_names: Vec<&str> = rules.iter().map(|r| r.name).collect();
                let pool = shared
                    .entry(rule_names)
                    .or_insert_with(|| Arc::new(build_pool(arena, &endpoints, &rules)));
                let pools = index.pools.entry(organisation.clone()).or_default();
                pools
                    .entry(version_target.target.clone())
                    .or_default()
                    .push(VersionPool {
                        version: version_target.version.clone(),
                        pool: pool.clone(),
                    });
            }
        }
        index
    }

    /// The pool of one organisation, target and version.
    pub fn get(
        &self,
        organisation: &str,
        target: &WorkTarget,
        version: &str,
    ) -> Option<&Arc<RoutePool>> {
        let pools = self.versions(organisation, target);
        pools.iter().find(|p| p.version == version).map(|p| &p.pool)
    }

    /// The pools of all versions of a target.
    pub fn versions(
        &self,
        organisation: &str,
        target: &WorkTarget,
    ) -> &[VersionPool] {
        let pools = self.pools.get(organisation).and_then(|p| p.get(target));
        pools.map_or(&[], Vec::as_slice)
    }
}

struct NamedRule<'a> {
    name: &'a str,
    rule: &'a PlacementRule,
}

struct TargetEndpoint {
    key: EndpointKey,
    usable: bool,
}

fn version_targets(config: &FleetConfig) -> Vec<VersionTarget> {
    let mut targets = Vec::new();
    for (name, model) in &config.models {
        for version in model.versions.keys() {
            targets.push(VersionTarget {
                target: WorkTarget::Model(name.clone()),
                version: version.clone(),
            });
        }
    }
    for name in config.services.keys() {
        targets.push(VersionTarget {
            target: WorkTarget::Service(name.clone()),
            version: String::new(),
        });
    }
    targets
}

fn target_endpoints(
    arena: &EndpointArena,
    version_target: &VersionTarget,
) -> Vec<TargetEndpoint> {
    let mut endpoints = Vec::new();
    for (key, state) in arena {
        let usable = match (&state.kind, &version_target.target) {
            (EndpointKind::Engine { model, version }, WorkTarget::Model(name)) if model == name => {
                *version == version_target.version
            }
            (EndpointKind::Service { service }, WorkTarget::Service(name)) if service == name => {
                true
            }
            _ => continue,
        };
        endpoints.push(TargetEndpoint {
            key,
            usable: usable && !state.leaving,
        });
    }
    endpoints
}

/// Labels of a request, as matched by the `work` selectors of rules.
pub fn work_labels(
    config: &FleetConfig,
    organisation: &str,
    target: &WorkTarget,
    version: &str,
) -> LabelSet {
    let mut labels = LabelSet::default();
    match target {
        WorkTarget::Model(name) => {
            let model = config.models.get(name);
            if let Some(conf) = model.and_then(|m| m.versions.get(version)) {
                labels = conf.labels.clone();
            }
            labels.set("version", version);
            labels.set("model", name);
        }
        WorkTarget::Service(name) => labels.set("service", name),
    }
    if let Some(conf) = config.organisations.get(organisation) {
        labels = labels.merged_with(&conf.labels);
    }
    labels.set("organisation", organisation);
    labels
}

fn effective_rules<'a>(
    config: &'a FleetConfig,
    work: &LabelSet,
) -> Vec<NamedRule<'a>> {
    let mut effective: Vec<NamedRule<'a>> = Vec::new();
    for (name, rule) in &config.rules {
        if !rule.work.matches(work) {
            continue;
        }
        let highest = effective.first().map(|r| r.rule.precedence);
        match highest {
            Some(highest) if rule.precedence < highest => continue,
            Some(highest) if rule.precedence > highest => effective.clear(),
            _ => {}
        }
        effective.push(NamedRule { name, rule });
    }
    effective
}

fn is_admitted(
    labels: &LabelSet,
    rules: &[NamedRule<'_>],
) -> bool {
    let matches_any = |effect: RuleEffect| {
        let mut same_effect = rules.iter().filter(|r| r.rule.effect == effect);
        same_effect.any(|r| r.rule.endpoints.matches(labels))
    };
    if matches_any(RuleEffect::Deny) {
        return false;
    }
    let has_allow = rules.iter().any(|r| r.rule.effect == RuleEffect::Allow);
    !has_allow || matches_any(RuleEffect::Allow)
}

fn build_pool(
    arena: &EndpointArena,
    endpoints: &[TargetEndpoint],
    rules: &[NamedRule<'_>],
) -> RoutePool {
    let mut pool = RoutePool {
        known: endpoints.len(),
        ..RoutePool::default()
    };
    for endpoint in endpoints {
        let Some(state) = arena.get(endpoint.key) else {
            continue;
        };
        if !is_admitted(&state.labels, rules) {
            continue;
        }
        pool.admitted += 1;
        if endpoint.usable {
            pool.members.push(endpoint.key);
        }
    }
    pool
}
