use {
    super::{RouteKey, SoftwareTag},
    crate::serving::{StoreEra, StorePosition},
    serde::{Deserialize, Serialize},
};

/// Software on which streams of one route may have begun.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteSoftware {
    /// The route.
    pub route: RouteKey,
    /// The software, in ascending order.
    pub software: Vec<SoftwareTag>,
}

/// A call to the platform store that is due for one route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SoftwareCall {
    /// The route's row is to be read.
    Read(RouteKey),
    /// The route's row is to be replaced, if it is still the one at `expected`.
    Write {
        /// New content.
        row: RouteSoftware,
        /// Position of the row that is replaced; `None` if there is none.
        expected: Option<StorePosition>,
    },
    /// The row of a route that no longer exists is to be removed, if it is still the one at
    /// `expected`.
    Remove {
        /// The route.
        route: RouteKey,
        /// Position of the row.
        expected: StorePosition,
    },
    /// The row that says in which era the rows are complete is to be read, and all rows if it names
    /// the present one.
    ReadProof,
    /// That row is to be replaced, if it is still the one at `expected`.
    WriteProof {
        /// The present era.
        era: StoreEra,
        /// Position of the row that is replaced; `None` if there is none.
        expected: Option<StorePosition>,
    },
}
