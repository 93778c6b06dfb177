use {
    crate::{control::ControlHandle, endpoint::EndpointClient, transfers::PieceTransfers},
    pitchhitch_process::{MetricSet, ProcessClock},
    std::sync::Arc,
};

/// State shared by all calls that an agent serves.
#[derive(Debug)]
pub struct GateContext {
    /// Client of the endpoint.
    pub client: EndpointClient,
    /// Handle of the control thread.
    pub handle: ControlHandle,
    /// Imports and exports of cached pieces.
    pub transfers: PieceTransfers,
    /// Metrics.
    pub metrics: Arc<MetricSet>,
    /// Clock of the process.
    pub clock: ProcessClock,
}
