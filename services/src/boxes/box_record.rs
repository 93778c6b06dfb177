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
    /// What runs on it: `entry`, `endpoint` or `store`.
    pub role: ListedRole,
    /// Group that it belongs to; empty for entry boxes.
    #[serde(default)]
    pub group: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Address: beacons for entry boxes, links for endpoints, HTTP for stores.
    pub address: SocketAddr,
    /// Whether it is leaving.
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
    /// A store for kept pieces.
    Store,
}

/// The whole list.
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
