use {
    crate::front::FrontContext,
    pitchhitch_core::{
        serving::{EraUpdate, StorePosition},
        time::Micros,
    },
    pitchhitch_platform::StoreError,
    pitchhitch_process::to_duration,
    smol::Timer,
    std::rc::Rc,
};

/// Minimum time over which fronts spread their rewrites after the platform store was restored from
/// a snapshot, and the time per front, which applies if there are many: the store accepts some
/// hundred writes a second from all of them.
const REWRITE_JITTER: Micros = Micros::from_millis(2_000);
const REWRITE_JITTER_PER_FRONT: Micros = Micros::from_millis(10);

/// Logs once when the store becomes unreachable, and once when it is reachable again.
pub(crate) fn log_store_contact(
    front: &FrontContext,
    watch: &'static str,
    is_unreachable: &mut bool,
    outcome: &Result<(), StoreError>,
) {
    match outcome {
        Ok(()) if *is_unreachable => {
            *is_unreachable = false;
            log::info!(event = "store-back", watch = watch; "");
        }
        // The store is reachable and is read again immediately.
        Err(StoreError::EraChanged) | Ok(()) => {}
        Err(error) => {
            front.metrics.increment("store_failures", watch);
            if !*is_unreachable {
                *is_unreachable = true;
                let error = error.to_string();
                log::warn!(event = "store-lost", watch = watch, error = error.as_str(); "");
            }
        }
    }
}

/// Updates the known era with the position of a read.
///
/// # Errors
/// [`StoreError::OutdatedEra`] if the read is from an earlier era.
pub(crate) fn observe_position(
    front: &Rc<FrontContext>,
    watch: &'static str,
    position: StorePosition,
) -> Result<(), StoreError> {
    let update = front.state().eras.observe(position.era, front.now());
    match update {
        EraUpdate::Current => Ok(()),
        EraUpdate::Outdated => Err(StoreError::OutdatedEra),
        EraUpdate::Advanced { previous } => {
            let config = front.state().config.as_ref().map_or(0, |c| c.version);
            log::warn!(
                event = "store-era",
                era = position.era.0,
                before = previous.0,
                version = position.version,
                watch = watch,
                config = config,
                reads_anew = "operator,list",
                writes_again = "held,streams";
                ""
            );
            front.metrics.increment("store_eras", watch);
            // A pending long poll belongs to the previous era.
            front.era_changed.wake();
            let now = front.now();
            let mut state = front.state();
            state.rollouts.invalidate();
            state.stream_software.record_era(position.era, now);
            drop(state);
            front.rollout_due.wake();
            front.spawn(schedule_rewrite(front.clone()));
            Ok(())
        }
    }
}

/// Schedules another write of the requests that this front blocks, after a delay that differs
/// between fronts.
async fn schedule_rewrite(front: Rc<FrontContext>) {
    let fronts = front.state().fronts;
    Timer::after(to_duration(rewrite_delay(&front, fronts))).await;
    front.state().needs_blocked_row_rewrite = true;
    front.blocked_row_due.wake();
    let now = front.now();
    front.state().stream_software.invalidate_rows(now);
    front.software_row_due.wake();
}

/// Time by which this front delays what several fronts do after a restore of the platform store.
pub(crate) fn rewrite_delay(
    front: &FrontContext,
    fronts: u32,
) -> Micros {
    let spread = REWRITE_JITTER.max(Micros(REWRITE_JITTER_PER_FRONT.0 * u64::from(fronts)));
    front.spread_delay(spread)
}
