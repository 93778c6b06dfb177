use {
    crate::front::FrontContext,
    pitchhitch_core::{
        rollout::{OutcomeCounts, RolloutOrder, RolloutRecord},
        serving::StorePosition,
        time::Micros,
    },
    pitchhitch_platform::{
        encode_rollout_status, RowAddress, RowChange, RowCondition, RowTable, RowValue,
        StoreClient, StoreError,
    },
    pitchhitch_wire::codec::{decode_body, encode_body},
    serde::{Deserialize, Serialize},
};

/// Key prefix of the record of a roll-out; the service follows.
const RECORD_PREFIX: &str = "state/";
/// Key prefix of counts; service and box follow.
const COUNTS_PREFIX: &str = "counts/";
/// Maximum number of outdated rows that are removed with one write: a transaction has 100 entries.
const MAX_REMOVED: usize = 90;

/// Outcomes at one front, as stored.
#[derive(Debug, Serialize, Deserialize)]
struct CountsRow {
    /// The order during which they were counted.
    order: RolloutOrder,
    counts: OutcomeCounts,
}

/// The stored record of a service's roll-out.
#[derive(Debug, Clone)]
pub(crate) struct StoredRecord {
    /// The record, if there is a valid one.
    pub record: Option<RolloutRecord>,
    /// Condition under which it may be replaced.
    pub condition: RowCondition,
    /// The store's clock, in milliseconds, and when it showed this time at the latest.
    pub store_clock: Option<(u64, Micros)>,
    /// Position of the store at the read.
    pub position: StorePosition,
}

/// Reads the record of a service's roll-out.
///
/// # Errors
/// [`StoreError`] if the read fails.
pub(crate) async fn read_record(
    front: &FrontContext,
    client: &mut StoreClient,
    service: &str,
) -> Result<StoredRecord, StoreError> {
    let key = format!("{RECORD_PREFIX}{service}");
    let read = client
        .read_row_at(RowAddress::new(RowTable::Rollouts, &key))
        .await?;
    let condition = match &read.row {
        Some(row) => RowCondition::UnchangedSince(row.position),
        None => RowCondition::Missing,
    };
    let record = read.row.and_then(|row| match row.value {
        RowValue::Bytes(bytes) => decode_body::<RolloutRecord>(&bytes).ok(),
        RowValue::Deleted | RowValue::Unreadable => None,
    });
    Ok(StoredRecord {
        record,
        condition,
        store_clock: read.store_ms.map(|ms| (ms, front.now())),
        position: read.position,
    })
}

/// Replaces the record and the status that the operators read, and removes outdated counts.
///
/// # Errors
/// [`StoreError::Conflict`] if the record has changed since it was read.
pub(crate) async fn write_record(
    client: &mut StoreClient,
    record: &RolloutRecord,
    condition: RowCondition,
    outdated: &[String],
) -> Result<(), StoreError> {
    let bytes = encode_body(record).map_err(|e| StoreError::Unreadable(e.to_string()))?;
    let key = format!("{RECORD_PREFIX}{}", record.order.service);
    let (status_key, status) = encode_rollout_status(record);
    let mut changes = vec![
        RowChange {
            row: RowAddress::new(RowTable::Rollouts, &key),
            condition,
            value: Some(&bytes),
        },
        RowChange {
            row: RowAddress::new(RowTable::Status, &status_key),
            condition: RowCondition::Any,
            value: Some(&status),
        },
    ];
    let removals = outdated.iter().take(MAX_REMOVED).map(|key| RowChange {
        row: RowAddress::new(RowTable::Rollouts, key),
        condition: RowCondition::Any,
        value: None,
    });
    changes.extend(removals);
    client.transact(&changes).await.map(|_| ())
}

/// Counts of all fronts for one roll-out.
#[derive(Debug, Default)]
pub(crate) struct StoredCounts {
    /// Sum of the other fronts' counts.
    pub others: OutcomeCounts,
    /// Keys of counts of earlier roll-outs of the service.
    pub outdated: Vec<String>,
}

/// Reads the counts of the other fronts.
///
/// # Errors
/// [`StoreError`] if the read fails.
pub(crate) async fn read_counts(
    front: &FrontContext,
    client: &mut StoreClient,
    order: &RolloutOrder,
) -> Result<StoredCounts, StoreError> {
    let page = client.read_all(RowTable::Rollouts).await?;
    let prefix = format!("{COUNTS_PREFIX}{}/", order.service);
    let own_key = counts_key(front, &order.service);
    let mut stored = StoredCounts::default();
    for row in page.rows {
        if !row.key.starts_with(&prefix) || row.key == own_key {
            continue;
        }
        let RowValue::Bytes(bytes) = &row.value else {
            continue;
        };
        match decode_body::<CountsRow>(bytes) {
            Ok(counts) if counts.order.is_same(order) => stored.others.merge(&counts.counts),
            _ => stored.outdated.push(row.key),
        }
    }
    Ok(stored)
}

/// Writes the counts of this front.
///
/// # Errors
/// [`StoreError`]; the next write replaces them.
pub(crate) async fn write_counts(
    front: &FrontContext,
    client: &mut StoreClient,
    order: &RolloutOrder,
    counts: &OutcomeCounts,
) -> Result<(), StoreError> {
    let row = CountsRow {
        order: order.clone(),
        counts: counts.clone(),
    };
    let bytes = encode_body(&row).map_err(|e| StoreError::Unreadable(e.to_string()))?;
    let key = counts_key(front, &order.service);
    let change = RowChange {
        row: RowAddress::new(RowTable::Rollouts, &key),
        condition: RowCondition::Any,
        value: Some(&bytes),
    };
    client.transact(&[change]).await.map(|_| ())
}

fn counts_key(
    front: &FrontContext,
    service: &str,
) -> String {
    format!("{COUNTS_PREFIX}{service}/{}", front.settings.box_id)
}
