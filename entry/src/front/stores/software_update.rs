use {
    crate::front::{rewrite_delay, FrontContext, FrontState},
    pitchhitch_core::{
        serving::{EndpointRegistry, EndpointStatus, RouteKey, ServingConfig, SoftwareTag},
        time::Micros,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Time, for each front, over which fronts spread the recording of software that appears while streams
/// begin on other software: the store accepts some hundred writes a second from all of them.
const RECORDING_JITTER_PER_FRONT: Micros = Micros::from_millis(4);
/// Age of the endpoint list, and of the configuration, up to which they show what has gone. Software
/// that is back for longer than that has been recorded anew by others.
const MAX_KNOWLEDGE_AGE: Micros = Micros::from_secs(5);

/// Records which software endpoints and which routes there are, and has software of endpoints that
/// serve recorded for the routes on which this front has begun streams.
pub(crate) fn update_software(
    front: &FrontContext,
    state: &mut FrontState,
) {
    let now = front.now();
    let Some(config) = state.config.clone() else {
        return;
    };
    let listed = listed_software(&state.registry);
    let present: BTreeSet<SoftwareTag> = listed.keys().map(|(_, tag)| *tag).collect();
    let mut serving: BTreeMap<&str, Vec<SoftwareTag>> = BTreeMap::new();
    for (key, _) in listed.iter().filter(|(key, _)| is_begun_on(&listed, key)) {
        serving.entry(key.0).or_default().push(key.1);
    }
    if !state.has_list {
        return;
    }
    let list_age = state.list_age(now);
    let config_age = state.key_freshness.age(now);
    let software = &mut state.stream_software;
    for (service, tag) in listed.keys() {
        software.record_seen(service, *tag, now);
    }
    let routes = &config.route_keys;
    let is_current = |age: Option<Micros>| age.is_some_and(|age| age <= MAX_KNOWLEDGE_AGE);
    match is_current(list_age) && is_current(config_age) {
        true => {
            software.record_present(present, now);
            software.record_routes(|route| routes.contains_key(route), now);
        }
        false => software.record_outdated_look(now),
    }
    // Fronts spread this, so that one of them completes the rows for all.
    let mut is_due = software.is_completion_due(now.since(rewrite_delay(front, state.fronts)));
    if is_due {
        software.complete_routes(&stream_services(&config), now);
    }
    let mut unrecorded = Vec::new();
    for route in software.used_routes() {
        let Some(index) = routes.get(&route) else {
            continue;
        };
        for target in &config.routes[*index].targets {
            let serving = serving.get(target.service.as_str()).into_iter().flatten();
            let missing = serving.filter(|tag| !software.allows(&route, **tag));
            unrecorded.extend(missing.map(|tag| (route.clone(), *tag)));
        }
    }
    if unrecorded.is_empty() {
        state.recording_due_at = None;
    } else {
        // None of this front's streams waits for it.
        let spread = RECORDING_JITTER_PER_FRONT.0 * u64::from(state.fronts);
        let delay = front.spread_delay(Micros(spread));
        let due_at = *state.recording_due_at.get_or_insert(now + delay);
        for (route, tag) in unrecorded.iter().filter(|_| now >= due_at) {
            is_due |= state.stream_software.want(route, *tag);
        }
    }
    if is_due {
        front.software_row_due.wake();
    }
}

/// Numbers of serving endpoints by service and software.
type SoftwareCounts<'a> = BTreeMap<(&'a str, SoftwareTag), usize>;

fn listed_software(registry: &EndpointRegistry) -> SoftwareCounts<'_> {
    let mut listed = SoftwareCounts::new();
    for (_, entry) in registry.iter() {
        let key = (entry.service.as_str(), SoftwareTag::of(entry));
        let serving = listed.entry(key).or_default();
        *serving += usize::from(entry.status == EndpointStatus::Serving);
    }
    listed
}

/// Whether streams are to begin on this software. Those that begin on unknown software go on nowhere,
/// so they begin there only if most endpoints have restarted.
fn is_begun_on(
    listed: &SoftwareCounts<'_>,
    (service, software): &(&str, SoftwareTag),
) -> bool {
    let serving = listed.get(&(*service, *software)).copied().unwrap_or(0);
    if *software != SoftwareTag::unknown(service) {
        return serving > 0;
    }
    let of_service = listed.iter().filter(|((other, _), _)| other == service);
    let all: usize = of_service.map(|(_, serving)| serving).sum();
    2 * serving > all
}

/// Services to which routes of streams lead.
pub(crate) fn stream_services(config: &ServingConfig) -> BTreeMap<RouteKey, BTreeSet<&str>> {
    let routes = config.routes.iter();
    let routes = routes.filter(|route| route.is_stream);
    let by_key = routes.map(|route| {
        let targets = route.targets.iter();
        let services = targets.map(|target| target.service.as_str());
        (RouteKey::of(route), services.collect())
    });
    by_key.collect()
}
