use {
    crate::front::{
        log_store_contact, observe_position, read_counts, read_record, write_counts, write_record,
        CallTimeout, FrontContext, StoredCounts, StoredRecord,
    },
    pitchhitch_core::{
        rollout::{
            decide_rollout, DecisionInput, OutcomeCounts, RolloutRecord, VersionArm,
            VersionCapacity,
        },
        serving::{stable_fraction, EndpointStatus, ReaderTier},
        time::Micros,
    },
    pitchhitch_platform::{StoreClient, StoreError},
    pitchhitch_process::to_duration,
    smol::Timer,
    std::{collections::BTreeMap, rc::Rc, time::Duration},
};

/// Interval at which a running roll-out is checked for calls that are due.
const CHECK_INTERVAL: Micros = Micros::from_millis(100);
/// Maximum wait for a wake-up; afterwards the task just waits again.
const IDLE_WAIT: Duration = Duration::from_secs(60);
/// Minimum interval between two reads of a record, and the interval per front: all fronts together
/// send at most 500 of these reads per second.
const MIN_READ_INTERVAL: Micros = Micros::from_millis(300);
const READ_INTERVAL_PER_FRONT: Micros = Micros::from_millis(2);
/// Minimum interval between two writes of a front's counts, and the interval per front: all fronts
/// together send at most 100 of these writes per second.
const MIN_WRITE_INTERVAL: Micros = Micros::from_millis(400);
const WRITE_INTERVAL_PER_FRONT: Micros = Micros::from_millis(10);
/// Interval between two decisions of a front, in percent of the rollback limit, by reader tier: few
/// fronts decide often, the others in case that these have failed.
const SECOND_DECISION_PERCENT: u64 = 20;
const LAST_DECISION_PERCENT: u64 = 35;
/// Maximum read interval, in percent of the rollback limit.
const MAX_READ_PERCENT: u64 = 15;

/// Progress of one roll-out at this front.
#[derive(Debug, Default)]
struct RolloutProgress {
    read_at: Option<Micros>,
    decided_at: Option<Micros>,
    written_at: Option<Micros>,
    /// Counts as last written.
    written: OutcomeCounts,
}

/// Carries out roll-outs: reads their records, writes this front's counts, and decides.
pub(crate) async fn run_rollouts(front: Rc<FrontContext>) {
    let mut timeout = CallTimeout::default();
    let mut client = StoreClient::new(front.settings.store, timeout.timeout());
    let mut progress: BTreeMap<String, RolloutProgress> = BTreeMap::new();
    let mut is_unreachable = false;
    loop {
        settle_versions(&front);
        let services = front.state().rollouts.active_services();
        if services.is_empty() && front.state().rollouts.sightings.is_settled() {
            progress.clear();
            front.rollout_due.wait(IDLE_WAIT).await;
            continue;
        }
        for service in services {
            update_capacity(&front, &service);
            let progress = progress.entry(service.clone()).or_default();
            client.set_timeout(timeout.timeout());
            let outcome = step_rollout(&front, &mut client, &service, progress).await;
            timeout.record(&outcome);
            log_store_contact(&front, "rollouts", &mut is_unreachable, &outcome);
        }
        Timer::after(to_duration(CHECK_INTERVAL)).await;
    }
}

/// Logs that an order was given or withdrawn, and wakes the task that carries it out.
pub(crate) fn log_rollout_order(
    front: &FrontContext,
    service: &str,
    change: &str,
) {
    let state = front.state();
    let order = state.rollouts.get(service).and_then(|r| r.order.as_ref());
    log::warn!(
        event = "rollout-order",
        service = service,
        change = change,
        target = order.map_or("", |order| order.target_version.as_str()),
        duration_ms = order.map_or(0, |order| order.duration.as_millis());
        ""
    );
    front.rollout_due.wake();
}

/// Records the software versions of the listed endpoints.
pub(crate) fn record_versions(front: &FrontContext) {
    let now = front.now();
    let mut guard = front.state();
    let state = &mut *guard;
    let is_new = |service: &str, version: &str| {
        !version.is_empty() && !state.rollouts.sightings.contains(service, version)
    };
    let entries = || state.registry.iter().map(|(_, entry)| entry);
    if !entries().any(|entry| is_new(&entry.service, &entry.software)) {
        return;
    }
    let mut counts: BTreeMap<(String, String), u32> = BTreeMap::new();
    for entry in entries().filter(|entry| entry.status == EndpointStatus::Serving) {
        let Some(software) = entry.known_software() else {
            continue;
        };
        let version = (entry.service.clone(), software.to_string());
        *counts.entry(version).or_default() += 1;
    }
    state.rollouts.sightings.record_list(&counts, now);
    front.rollout_due.wake();
}

fn settle_versions(front: &FrontContext) {
    let mut state = front.state();
    if let Some(proven_at) = state.key_freshness.proven_at() {
        state.rollouts.sightings.settle(proven_at);
    }
}

fn update_capacity(
    front: &FrontContext,
    service: &str,
) {
    let mut guard = front.state();
    let state = &mut *guard;
    let mut capacity = VersionCapacity::default();
    for (_, entry) in state.registry.iter() {
        if entry.service != service || entry.status != EndpointStatus::Serving {
            continue;
        }
        let slots = u64::from(entry.slots.max(1));
        let arm = |software: &str| state.rollouts.arm_of(service, software);
        match entry.known_software().and_then(arm) {
            Some(VersionArm::Baseline) => capacity.baseline += slots,
            Some(VersionArm::Target) => capacity.target += slots,
            None => {}
        }
    }
    if let Some(rollout) = state.rollouts.get_mut(service) {
        rollout.capacity = capacity;
    }
}

/// Makes the calls that are due for one roll-out.
async fn step_rollout(
    front: &Rc<FrontContext>,
    client: &mut StoreClient,
    service: &str,
    progress: &mut RolloutProgress,
) -> Result<(), StoreError> {
    let now = front.now();
    let fronts = u64::from(front.state().fronts);
    if is_due(progress.read_at, read_interval(front, fronts), now) {
        progress.read_at = Some(now);
        let stored = read_stored(front, client, service).await?;
        if is_due(progress.decided_at, decision_interval(front), now) {
            progress.decided_at = Some(now);
            decide(front, client, service, &stored).await?;
        }
    }
    write_own_counts(front, client, service, progress, fronts).await
}

fn is_due(
    last_at: Option<Micros>,
    interval: Micros,
    now: Micros,
) -> bool {
    last_at.is_none_or(|at| now.since(at) >= interval)
}

fn read_interval(
    front: &FrontContext,
    fronts: u64,
) -> Micros {
    let maximum = Micros(front.settings.rollback_limit.0 * MAX_READ_PERCENT / 100);
    let paced = Micros(READ_INTERVAL_PER_FRONT.0 * fronts);
    paced.max(MIN_READ_INTERVAL).min(maximum)
}

/// Interval between two decisions of this front.
fn decision_interval(front: &FrontContext) -> Micros {
    let fraction = stable_fraction(&format!("rollouts {}", front.settings.box_id));
    let percent = match ReaderTier::from_fraction(fraction, front.state().fronts) {
        ReaderTier::First => 0,
        ReaderTier::Second => SECOND_DECISION_PERCENT,
        ReaderTier::Last => LAST_DECISION_PERCENT,
    };
    Micros(front.settings.rollback_limit.0 * percent / 100)
}

/// Reads the record and applies it.
async fn read_stored(
    front: &Rc<FrontContext>,
    client: &mut StoreClient,
    service: &str,
) -> Result<StoredRecord, StoreError> {
    let sent_at = front.now();
    let stored = read_record(front, client, service).await?;
    observe_position(front, "rollouts", stored.position)?;
    let record = stored.record.clone();
    let has_changed =
        front
            .state()
            .rollouts
            .record_read(service, record, sent_at, stored.store_clock);
    if has_changed {
        log_record(front, service);
    }
    Ok(stored)
}

fn log_record(
    front: &FrontContext,
    service: &str,
) {
    let state = front.state();
    let Some(rollout) = state.rollouts.get(service) else {
        return;
    };
    let Some(record) = &rollout.record else {
        return;
    };
    log::warn!(
        event = "rollout",
        service = service,
        target = record.order.target_version.as_str(),
        state = record.state.as_str(),
        reason = record.reason.as_str(),
        own_requests = rollout.meter.requests(),
        own_target_requests = rollout.meter.exposed();
        ""
    );
    front.metrics.increment("rollouts", record.state.as_str());
}

/// Decides about a roll-out with the counts of all fronts, and writes the new record.
async fn decide(
    front: &Rc<FrontContext>,
    client: &mut StoreClient,
    service: &str,
    stored: &StoredRecord,
) -> Result<(), StoreError> {
    let Some((store_ms, _)) = stored.store_clock else {
        return Ok(());
    };
    let order = {
        let state = front.state();
        state.rollouts.get(service).and_then(|r| r.order.clone())
    };
    let current = stored.record.as_ref();
    let is_running = current.is_some_and(|record| !record.state.is_final());
    let counts = match order.as_ref().filter(|_| is_running) {
        Some(order) => read_counts(front, client, order).await?,
        None => StoredCounts::default(),
    };
    let (decision, sum) = {
        let state = front.state();
        let Some(rollout) = state.rollouts.get(service) else {
            return Ok(());
        };
        let mut sum = counts.others;
        sum.merge(&rollout.counts);
        let decision = decide_rollout(&DecisionInput {
            order: order.as_ref(),
            record: current,
            known_final: state.rollouts.known_final(service),
            counts: &sum,
            capacity: rollout.capacity,
            store_ms,
        });
        (decision, sum)
    };
    let Some(record) = decision else {
        return Ok(());
    };
    let written = write_record(client, &record, stored.condition, &counts.outdated).await;
    log_decision(&record, &sum, &written);
    match written {
        // Another front has decided; the next read shows how.
        Err(StoreError::Conflict) => Ok(()),
        Err(error) => Err(error),
        Ok(()) => read_stored(front, client, service).await.map(|_| ()),
    }
}

/// Logs a decision with the counts that led to it.
fn log_decision(
    record: &RolloutRecord,
    counts: &OutcomeCounts,
    written: &Result<(), StoreError>,
) {
    let sum = counts.sum();
    let outcome = match written {
        Ok(()) => "written".to_string(),
        Err(error) => error.to_string(),
    };
    log::warn!(
        event = "rollout-decision",
        service = record.order.service.as_str(),
        target = record.order.target_version.as_str(),
        state = record.state.as_str(),
        reason = record.reason.as_str(),
        outcome = outcome.as_str(),
        target_answers = sum.target.total,
        target_failed = sum.target.failed,
        baseline_answers = sum.baseline.total,
        baseline_failed = sum.baseline.failed,
        unrepeatable_runs = counts.unrepeatable_runs;
        ""
    );
}

/// Writes this front's counts if they have changed: at once if the target version has failed,
/// otherwise at an interval that follows from the number of fronts.
async fn write_own_counts(
    front: &FrontContext,
    client: &mut StoreClient,
    service: &str,
    progress: &mut RolloutProgress,
    fronts: u64,
) -> Result<(), StoreError> {
    let now = front.now();
    let own = {
        let state = front.state();
        let is_running = state.rollouts.is_running(service);
        let rollout = state.rollouts.get(service).filter(|_| is_running);
        rollout.and_then(|rollout| Some((rollout.order.clone()?, rollout.counts.clone())))
    };
    let Some((order, counts)) = own else {
        return Ok(());
    };
    let paced = Micros(WRITE_INTERVAL_PER_FRONT.0 * fronts).max(MIN_WRITE_INTERVAL);
    let has_failed = counts.sum().target.failed > progress.written.sum().target.failed;
    let interval = if has_failed {
        MIN_WRITE_INTERVAL
    } else {
        paced
    };
    if counts == progress.written || !is_due(progress.written_at, interval, now) {
        return Ok(());
    }
    progress.written_at = Some(now);
    write_counts(front, client, &order, &counts).await?;
    progress.written = counts;
    Ok(())
}
