use {
    pitchhitch_core::role::{BoxRole, ListedBox},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// One box as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxRecord {
    /// Id of the box.
    pub id: String,
    /// Role of the box: `entry`, `endpoint` or `store`.
    pub role: ListedRole,
    /// Group of the box; empty for entry boxes.
    #[serde(default)]
    pub group: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Address for beacons (entry boxes), agent links (endpoints) or HTTP (stores).
    pub address: SocketAddr,
    /// Whether the box is being removed from service.
    #[serde(default)]
    pub leaving: bool,
}

/// Role of a box in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedRole {
    /// An entry process.
    Entry,
    /// An endpoint with its agent.
    Endpoint,
    /// A store for cached pieces of prompt state.
    Store,
}

/// The list of all boxes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxList {
    /// All boxes.
    pub boxes: Vec<BoxRecord>,
}

impl From<BoxRecord> for ListedBox {
    fn from(record: BoxRecord) -> Self {
        ListedBox {
            id: record.id,
            role: match record.role {
                ListedRole::Entry => BoxRole::Entry,
                ListedRole::Endpoint => BoxRole::Endpoint,
                ListedRole::Store => BoxRole::Store,
            },
            group: record.group,
            failure_domain: record.failure_domain,
            address: record.address,
            leaving: record.leaving,
        }
    }
}
