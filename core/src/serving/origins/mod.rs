//! Where streams began: a stream goes on only at the software version that began it, whichever
//! engine takes it, and whichever front its caller turns to.

mod keeper_set;
mod origin_lookups;
mod origin_table;
mod route_entry;
mod route_key;
mod route_software;
mod row_proof;
mod software_calls;
mod software_completion;
mod software_tag;
mod stream_origin;
mod stream_software;

pub use {
    keeper_set::*, origin_lookups::*, origin_table::*, route_key::*, route_software::*,
    row_proof::*, software_tag::*, stream_origin::*, stream_software::*,
};
