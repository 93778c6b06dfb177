//! Versions of weights: which are published, which engine loads them when, and on which a prompt
//! may start.

mod known_weights;
mod load_pace;
mod order_right;
mod publication_records;
mod swap_planner;
mod version_expiry;
mod weight_bounds;
mod weight_publication;

pub use {
    known_weights::*, order_right::*, publication_records::*, swap_planner::*, weight_bounds::*,
    weight_publication::*,
};
