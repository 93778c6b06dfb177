use {
    super::{DeploymentShape, FreePorts},
    std::{io, net::SocketAddr},
};

/// Addresses of one entry process.
#[derive(Debug, Clone)]
pub struct EntryBox {
    /// Id of its box.
    pub id: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Where callers are served.
    pub callers: SocketAddr,
    /// Where operators are served.
    pub operators: SocketAddr,
    /// Where beacons are taken.
    pub beacons: SocketAddr,
}

impl EntryBox {
    /// Places for the entry processes of a deployment.
    ///
    /// # Errors
    /// When the system has no free port.
    pub fn allocate_all(
        shape: &DeploymentShape,
        ports: &mut FreePorts,
    ) -> io::Result<Vec<Self>> {
        let mut boxes = Vec::new();
        for number in 0..shape.entries {
            let domain = &shape.failure_domains[number % shape.failure_domains.len()];
            boxes.push(EntryBox {
                id: format!("{}-entry-{}", shape.name, number + 1),
                failure_domain: domain.clone(),
                callers: ports.tcp()?,
                operators: ports.tcp()?,
                beacons: ports.udp()?,
            });
        }
        Ok(boxes)
    }
}
