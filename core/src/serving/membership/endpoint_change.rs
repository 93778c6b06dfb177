use crate::serving::EndpointStatus;

/// Change that an update of the endpoint list caused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointChange {
    /// The endpoint accepts requests from now on.
    Serves(String),
    /// The endpoint receives no new requests from now on.
    Leaves(String),
    /// The endpoint's entry disappeared while the list is unreliable.
    Lapses(String),
    /// The endpoint is alive but not on the list: it receives no requests.
    Away(String),
    /// The endpoint has restarted and serves; connections to its previous incarnation are unusable.
    Restarts(String),
}

impl EndpointChange {
    /// The change of an endpoint that now has this status.
    pub(in crate::serving) fn of_status(
        status: EndpointStatus,
        id: String,
    ) -> Self {
        match status {
            EndpointStatus::Serving => EndpointChange::Serves(id),
            EndpointStatus::Lapsed => EndpointChange::Lapses(id),
            EndpointStatus::Leaving => EndpointChange::Leaves(id),
        }
    }
}
