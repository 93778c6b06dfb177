//! Runs both deployments small on loopback and shows what pitchhitch does.
fn main() {}
