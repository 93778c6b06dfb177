//! A fault proxy between two processes.

mod fault_proxy;
mod proxy_mode;

pub use {fault_proxy::*, proxy_mode::*};
