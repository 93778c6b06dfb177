//! A store whose incarnation is reported by other boxes.

#![allow(dead_code)]

use {
    pitchhitch_core::{serving::KvStore, time::Micros},
    std::net::SocketAddr,
};

pub const START: Micros = Micros::from_secs(10);
pub const PORT: u16 = 1;

pub fn at(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

pub fn address() -> SocketAddr {
    ([10, 9, 0, 1], PORT).into()
}

pub fn store() -> KvStore {
    KvStore {
        name: "s1".to_string(),
        address: address(),
        domain: "a".to_string(),
        capacity_tokens: 1_000,
        link_mbps: 130_000.0,
        first_ms: 6.0,
        is_managed: true,
        max_pending_calls: 12,
    }
}
