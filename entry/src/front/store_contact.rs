use {
    super::FrontContext,
    pitchhitch_core::{
        serving::{stable_fraction, EraUpdate, StorePosition},
        time::Micros,
    },
    pitchhitch_platform::StoreError,
    pitchhitch_process::to_duration,
    smol::Timer,
    std::rc::Rc,
};

/// Time over which fronts write again what a store that came back from a copy has lost, and
/// what each further front adds to it: the store gives all of them some hundred writes a second.
const REWRITE_SPREAD: Micros = Micros::from_millis(2_000);
const REWRITE_SPREAD_PER_FRONT: Micros = Micros::from_millis(10);

/// Logs that the store was lost or is back, once each.
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
        // It is there, and is read anew at once.
        Err(StoreError::EraChanged) | Ok(()) => {}
        Err(error) => {
            front.metrics.count("store_failures", watch);
            if !*is_unreachable {
                *is_unreachable = true;
                let error = error.to_string();
                log::warn!(event = "store-lost", watch = watch, error = error.as_str(); "");
            }
        }
    }
}

/// Takes the position of a reading.
///
/// # Errors
/// [`StoreError::OutdatedEra`] where it is a late one.
pub(super) fn observe_position(
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
                writes_again = "held";
                ""
            );
            front.metrics.count("store_eras", watch);
            // What is held at the store was asked in the era before.
            front.era_changed.wake();
            front.spawn(schedule_rewrite(front.clone()));
            Ok(())
        }
    }
}

/// Has what this front holds back written again, at a moment of its own.
async fn schedule_rewrite(front: Rc<FrontContext>) {
    let fronts = u64::from(front.state().fronts);
    let spread = REWRITE_SPREAD.max(Micros(REWRITE_SPREAD_PER_FRONT.0 * fronts));
    let fraction = stable_fraction(&front.settings.box_id);
    Timer::after(to_duration(Micros((spread.0 as f64 * fraction) as u64))).await;
    front.state().rewrites_held_row = true;
    front.held_row_due.wake();
}
