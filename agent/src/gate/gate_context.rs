use {
    crate::{control::ControlHandle, endpoint::EndpointClient, transfers::PieceTransfers},
    pitchhitch_process::{MetricSet, ProcessClock},
    std::sync::Arc,
};

/// What all requests of an agent share.
#[derive(Debug)]
pub struct GateContext {
    /// Client of the endpoint.
    pub client: EndpointClient,
    /// The control thread.
    pub handle: ControlHandle,
    /// Carrier of pieces.
    pub transfers: PieceTransfers,
    /// Metrics.
    pub metrics: Arc<MetricSet>,
    /// Clock of the process.
    pub clock: ProcessClock,
}
