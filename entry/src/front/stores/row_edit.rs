use {
    super::software_rows::row_key,
    pitchhitch_core::serving::{RouteKey, RouteSoftware, StorePosition},
    pitchhitch_platform::{RowAddress, RowChange, RowCondition, RowTable, StoreError},
    pitchhitch_wire::codec::encode_body,
};

/// Change of a route's row that is due.
pub(super) struct RowEdit {
    pub key: String,
    pub route: RouteKey,
    expected: Option<StorePosition>,
    /// New content and its encoding; `None` removes the row.
    pub written: Option<(RouteSoftware, Vec<u8>)>,
}

impl RowEdit {
    pub fn write(
        row: RouteSoftware,
        expected: Option<StorePosition>,
    ) -> Result<Self, StoreError> {
        let bytes = encode_body(&row).map_err(|e| StoreError::Unreadable(e.to_string()))?;
        let route = row.route.clone();
        Ok(RowEdit {
            key: row_key(&route),
            route,
            expected,
            written: Some((row, bytes)),
        })
    }

    pub fn removal(
        route: RouteKey,
        expected: StorePosition,
    ) -> Self {
        RowEdit {
            key: row_key(&route),
            route,
            expected: Some(expected),
            written: None,
        }
    }

    pub fn as_change(&self) -> RowChange<'_> {
        let expected = self.expected;
        RowChange {
            row: RowAddress::new(RowTable::Product, &self.key),
            condition: expected.map_or(RowCondition::Missing, RowCondition::UnchangedSince),
            value: self.written.as_ref().map(|(_, bytes)| bytes.as_slice()),
        }
    }
}
