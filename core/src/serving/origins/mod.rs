//! Where streams began: a stream goes on only at the software version that began it, whichever
//! engine takes it, and whichever front its caller turns to.

mod keeper_set;
mod origin_lookups;
mod origin_table;
mod software_tag;
mod stream_origin;

pub use {keeper_set::*, origin_lookups::*, origin_table::*, software_tag::*, stream_origin::*};
