use {
    super::{DeploymentShape, FreePorts},
    std::{io, net::SocketAddr},
};

/// The box of an entry process and the addresses that the process listens on.
#[derive(Debug, Clone)]
pub struct EntryBox {
    /// Box id.
    pub id: String,
    /// Failure domain of the box.
    pub failure_domain: String,
    /// HTTP address for callers.
    pub callers: SocketAddr,
    /// HTTP address for operators.
    pub operators: SocketAddr,
    /// UDP address for beacons.
    pub beacons: SocketAddr,
}

impl EntryBox {
    /// Allocates ids and addresses for all entry processes of a deployment.
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
