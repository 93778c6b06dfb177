//! State shared by the traffic threads: an immutable view, links to agents, and limits.

mod endpoint_link;
mod entry_app;
mod key_index;
mod traffic_view;

pub use {endpoint_link::*, entry_app::*, key_index::*, traffic_view::*};
