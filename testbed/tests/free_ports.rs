//! Processes of one deployment are never told the same port.

use {pitchhitch_testbed::deploy::FreePorts, std::collections::HashSet};

const PORTS: usize = 600;

#[test]
fn ports_differ() {
    let mut ports = FreePorts::of_deployment(201);
    let mut named = HashSet::new();
    for _ in 0..PORTS {
        let address = ports.tcp().expect("a free port");
        assert!(named.insert(address), "{address} was named twice");
    }
}
