//! The platform's store and the KV stores: reads, their results, and what is written or freed.

mod blocked_rows;
mod foreign_rows;
mod hedged_read;
mod kv_store_poll;
mod kv_store_update;
mod kv_store_watch;
mod part_reclaim;
mod row_edit;
mod software_rows;
mod software_update;
mod store_contact;
mod store_readers;
mod watcher_assignment;

pub(crate) use {
    blocked_rows::*, foreign_rows::*, hedged_read::*, kv_store_poll::*, kv_store_update::*,
    kv_store_watch::*, part_reclaim::*, software_rows::*, software_update::*, store_contact::*,
    store_readers::*, watcher_assignment::*,
};
