//! Prompts, their parts, and where these are cached.

mod cache_namespace;
mod claim_call;
mod claim_table;
mod fetch_completion;
mod keeper_changes;
mod kv_store;
mod kv_store_directory;
mod kv_store_uptime;
mod kv_store_view;
mod part_index;
mod prompt_info;
mod prompt_part;
mod reclaim_state;
mod save_claims;
mod sharing_group;
mod sharing_groups;
mod stored_part;

pub use {
    cache_namespace::*, claim_call::*, claim_table::*, fetch_completion::*, keeper_changes::*,
    kv_store::*, kv_store_directory::*, kv_store_uptime::*, kv_store_view::*, part_index::*,
    prompt_info::*, prompt_part::*, reclaim_state::*, save_claims::*, sharing_group::*,
    sharing_groups::*, stored_part::*,
};
