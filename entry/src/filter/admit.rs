use {
    super::Refusal,
    crate::traffic::{EntryApp, TrafficView},
    pitchhitch_core::errors::ErrorKind,
    std::sync::Arc,
};

/// Capacity that a request occupies; released on drop.
#[derive(Debug)]
pub struct AdmissionPermit {
    app: Arc<EntryApp>,
    organisation: String,
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        self.app.limits().release(&self.organisation);
    }
}

/// Second filter: checks the limits of the organisation and the capacity of this process.
///
/// # Errors
/// [`ErrorKind::OverLimit`] or [`ErrorKind::Overloaded`], with the time after which to retry.
pub fn admit(
    app: &Arc<EntryApp>,
    view: &TrafficView,
    organisation: &str,
) -> Result<AdmissionPermit, Refusal> {
    let conf = view.table.config.organisations.get(organisation);
    let limits = conf.map(|c| c.limits).unwrap_or_default();
    let share = view.limit_share();
    let now = app.clock.now();
    let admitted = app.limits().admit(organisation, &limits, share, now);
    admitted.map_err(|refused| {
        app.metrics.count("request.limited", 1);
        let detail = match refused.kind {
            ErrorKind::OverLimit => format!("organisation {organisation} is over its limits"),
            _ => "this process is full".to_string(),
        };
        let mut refusal = Refusal::new(refused.kind, detail);
        refusal.retry_after = Some(refused.retry_after);
        refusal
    })?;
    Ok(AdmissionPermit {
        app: app.clone(),
        organisation: organisation.to_string(),
    })
}
